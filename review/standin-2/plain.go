package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type (
	// plainReplica is a replica of a service without a model.
	plainReplica struct {
		id, service, zone, address string
		work                       time.Duration
		// limit, unless 0, is the Server-Limit that its answers name.
		limit float64
		born  int64
		mu    sync.Mutex
		ran   []arrival
	}

	arrival struct {
		id, path string
		at       time.Time
	}

	outcome struct {
		id     string
		sent   time.Time
		status int
		body   string
		err    error
	}
)

func (d *deployment) startPlain(n int, id, service, zone string, work time.Duration, limit float64) *plainReplica {
	r := &plainReplica{
		id: id, service: service, zone: zone, address: fmt.Sprintf("%s%d:8080", d.network, n), work: work, limit: limit,
		born: time.Now().UnixMilli(),
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, map[string]any{"stage": "colocated", "models": []any{}, "busy": false, "seq": 0, "queued": 0, "inflight": 0, "born": r.born})
	})
	m.HandleFunc("/", r.answer)
	serve(r.address, m)
	r.beat(d.store, 1)
	return r
}

// beat writes the replica's entry.
func (r *plainReplica) beat(s *store, seq int) {
	s.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slot_count": 64, "state": "ready",
		"cold_left_ms": 0, "seq": seq, "born": r.born,
	})
}

func (r *plainReplica) answer(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Replica-Id", r.id)
	if want := q.Header.Get("Expect-Replica"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	r.mu.Lock()
	r.ran = append(r.ran, arrival{id, q.URL.Path, time.Now()})
	r.mu.Unlock()
	note("%s runs %s %s", r.id, id, q.URL.Path)
	time.Sleep(r.work)
	w.Header().Set("Replica-Signature", "sig."+r.id)
	w.Header().Set("Replica-Load", "1,0,64")
	if r.limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(r.limit, 'f', -1, 64))
	}
	fmt.Fprintf(w, "answer of %s to %s", r.id, id)
}

func (r *plainReplica) arrivals() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.ran...)
}

// newClient returns a client that keeps its channels.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 10 * time.Second}, Timeout: 10 * time.Second}
}

// call sends one request to a machine and returns its outcome.
func call(c *http.Client, m *machine, method, path, key string, body io.Reader, deadlineMs int) outcome {
	o := outcome{id: newID(), sent: time.Now()}
	q, err := http.NewRequest(method, "http://"+m.front()+path, body)
	if err != nil {
		cannotRun("%v", err)
	}
	q.Host = "app.example"
	q.Header.Set("Attempt-Id", o.id)
	q.Header.Set("Deadline-Ms", strconv.Itoa(deadlineMs))
	if key != "" {
		q.Header.Set("Authorization", "Token "+key)
	}
	res, err := c.Do(q)
	if err != nil {
		o.err = err
		note("%s %s %s at %s: %v", o.id, method, path, m.name, err)
		return o
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	o.status, o.body, o.err = res.StatusCode, string(data), err
	note("%s %s %s at %s, sent %.3f: %d", o.id, method, path, m.name, o.sent.Sub(started).Seconds(), o.status)
	return o
}
