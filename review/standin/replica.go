package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type (
	// replica is an engine that streams, or a plain service if it has no model.
	replica struct {
		id, service, zone, model string
		events                   int
		eventDelay               time.Duration
		// work is how long a plain service works on a request.
		work   time.Duration
		store  *store
		record *record
		// trouble, unless nil, takes a request over and reports whether it did.
		trouble func(net.Conn, *http.Request) bool

		mu       sync.Mutex
		software string
		state    string
		born     int64
		seq      int64
		address  string
		listener net.Listener
		conns    map[net.Conn]bool
		down     chan struct{}
	}
)

// start listens, at the address of the last start if there was one, and registers at once and each heartbeat.
func (r *replica) start(software string) {
	r.mu.Lock()
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	for n := 0; err != nil && n < 100; n++ {
		time.Sleep(10 * time.Millisecond)
		l, err = net.Listen("tcp", address)
	}
	check(err)
	r.address, r.listener, r.software, r.state, r.born, r.seq = l.Addr().String(), l, software, "ready", time.Now().UnixMilli(), 0
	r.conns, r.down = map[net.Conn]bool{}, make(chan struct{})
	down := r.down
	r.mu.Unlock()
	r.record.line("replica %s starts, software %s, at %s", r.id, software, r.address)
	server := &http.Server{Handler: r, ConnState: func(c net.Conn, s http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if s == http.StateNew {
			r.conns[c] = true
		}
		if s == http.StateClosed {
			delete(r.conns, c)
		}
	}}
	go func() { _ = server.Serve(l) }()
	r.register()
	go func() {
		t := time.NewTicker(1200 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				r.register()
			case <-down:
				return
			}
		}
	}()
}

func (r *replica) register() {
	r.mu.Lock()
	r.seq++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.software, "slot_count": 64, "state": r.state,
		"cold_left_ms": 0, "seq": r.seq, "born": r.born,
	}
	r.mu.Unlock()
	if r.model != "" {
		entry["stage"], entry["models"] = "colocated", []any{map[string]any{"name": r.model, "version": 1, "adapters": []string{}}}
	}
	r.store.put("servers/"+r.id, entry)
}

// drain reports that the replica leaves. It goes on serving.
func (r *replica) drain() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.record.line("replica %s drains, software %s", r.id, r.software)
	r.register()
}

// crash ends the replica as a killed process ends: it stops listening, and its connections are reset.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.down)
	_ = r.listener.Close()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	r.record.line("replica %s crashes, software %s", r.id, r.software)
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	software, born, seq, down := r.software, r.born, r.seq, r.down
	r.mu.Unlock()
	id := q.Header.Get("Attempt-Id")
	switch q.URL.Path {
	case "/report":
		reply(w, 200, map[string]any{
			"stage": "colocated", "models": []any{map[string]any{"name": r.model, "version": 1, "adapters": []string{}}}, "busy": false,
			"seq": 0, "queued": 0, "inflight": 0, "kv_used": 0, "kv_total": 266200, "kv_handles": 0, "born": born,
		})
		return
	case "/kv-events":
		wait, _ := strconv.Atoi(q.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(min(wait, 1000)) * time.Millisecond):
		case <-q.Context().Done():
		}
		reply(w, 200, map[string]any{"boot_epoch": born, "next": 0, "has_gap": false, "events": []any{}})
		return
	case "/order":
		reply(w, 200, map[string]any{"seq": seq})
		return
	}
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	if want := q.Header.Get("Expect-Replica"); want != "" && want != r.id {
		w.Header().Set("Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if want := q.Header.Get("Expect-Version"); want != "" && want != "1" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = body
	if r.trouble != nil {
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			if r.trouble(c, q) {
				return
			}
			_ = c.Close()
			return
		}
	}
	r.record.run(id, r.id, r.service, software, q.Header.Get("Last-Event-Id"))
	w.Header().Set("Replica-Signature", "sig."+r.id+"."+id)
	if r.model == "" {
		time.Sleep(r.work)
		_, _ = fmt.Fprintf(w, "%s %s %s", r.service, r.id, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(w)
	for n := from + 1; n <= r.events; n++ {
		select {
		case <-time.After(r.eventDelay):
		case <-q.Context().Done():
			return
		case <-down:
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: software %s piece %d of %d\n\n", n, software, n, r.events); err != nil {
			return
		}
		_ = control.Flush()
	}
}
