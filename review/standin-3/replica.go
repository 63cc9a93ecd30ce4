package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type (
	arrival struct {
		id   string
		path string
		at   time.Time
	}

	// replica is a stand-in of a replica without a model.
	replica struct {
		id, service, zone string
		work              time.Duration
		slots             int
		born              int64
		listener          net.Listener

		mu    sync.Mutex
		limit string
		// spoil reports whether the next answer is spoilt, nil for none.
		spoil func() bool
		// crashes reports whether the replica crashes as it begins to run a request; nil for never.
		crashes func(id, body, prefix string) bool
		// generation is how long the replica streams an answer, 0 if it answers at once.
		generation time.Duration
		// version is that of the software, v1 if it is empty.
		version  string
		server   *http.Server
		running  int
		arrivals []arrival
		ran      map[string]int
	}
)

func newReplica(id, service, zone string, slots int, work time.Duration) *replica {
	r := &replica{id: id, service: service, zone: zone, slots: slots, work: work, born: time.Now().UnixMilli(), ran: map[string]int{}}
	r.listener = mustListen(network + ".9.1")
	r.server = &http.Server{Handler: r, ErrorLog: quietLog}
	go func() { _ = r.server.Serve(r.listener) }()
	return r
}

// entry returns what the replica registers in the store.
func (r *replica) entry(state string) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": cmp.Or(r.version, "v1"), "slot_count": r.slots,
		"state": state, "cold_left_ms": 0, "seq": 1, "born": r.born,
	}
}

func (r *replica) setLimit(limit string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = limit
}

func (r *replica) setSpoil(f func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spoil = f
}

// spoils reports whether the next answer is spoilt.
func (r *replica) spoils() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spoil != nil && r.spoil()
}

// begin takes a slot, or reports that the replica is full; it queues nothing.
func (r *replica) begin(id, path string) (limit string, running int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{id, path, time.Now()})
	if r.running >= 4*r.slots {
		return r.limit, r.running, false
	}
	r.running++
	r.ran[id]++
	return r.limit, r.running, true
}

func (r *replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if want := q.Header.Get("Expect-Replica"); want != "" && want != r.id {
		w.Header().Set("Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/healthz" {
		w.Header().Set("Replica-Id", r.id)
		return
	}
	if q.URL.Path == "/report" {
		writeJSON(w, http.StatusOK, map[string]any{"stage": "plain", "models": []any{}, "busy": false, "seq": 0, "queued": 0, "inflight": 0, "born": r.born})
		return
	}
	limit, running, ok := r.begin(id, q.URL.Path)
	if limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
	w.Header().Set("Replica-Load", fmt.Sprintf("%d,0,%d", running, r.slots))
	if !ok {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.end()
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.crashes != nil && r.crashes(id, string(body), q.Header.Get("Prompt-Prefix")) {
		_ = r.server.Close()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		panic(http.ErrAbortHandler)
	}
	if r.spoils() {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			fail(err)
		}
		say("%s spoils the answer to %s", r.id, id)
		_, _ = io.WriteString(c, spoilt)
		_ = c.Close()
		return
	}
	w.Header().Set("Replica-Signature", "sig."+r.id+"."+id)
	if r.generation > 0 {
		r.streamAnswer(w, q)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %d", r.id, r.service, len(body))
}

// hasRun reports whether the replica has run a request.
func (r *replica) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id] > 0
}

// streamAnswer sends an answer as a stream of events.
func (r *replica) streamAnswer(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	const gap = 200 * time.Millisecond
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= int(r.generation/gap); i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, cmp.Or(r.version, "v1"))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(gap):
		case <-q.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}
