package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyLength is how long the store keeps its history, as the settings say (history_s).
	historyLength = 20 * time.Second
	maxPageItems  = 500
	maxPageBytes  = 1 << 20
)

// Faults of one listener of the store.
const (
	sound storeFault = iota
	// silent leaves calls without an answer.
	silent
	// busy answers each call with 503; nothing was done.
	busy
)

type (
	storeFault int

	item struct {
		Key       string `json:"key"`
		Value     []byte `json:"value"`
		Revision  int64  `json:"revision"`
		Created   int64  `json:"created"`
		Lease     int64  `json:"lease"`
		Tombstone bool   `json:"tombstone,omitempty"`
	}

	event struct {
		item
		at time.Time
	}

	lease struct {
		ttl     time.Duration
		expires time.Time
	}

	// store is a stand-in of the platform's store. Each host has a listener of its own, so that the store can
	// turn single hosts away.
	store struct {
		mu        sync.Mutex
		changed   chan struct{}
		revision  int64
		compacted int64
		items     map[string]item
		events    []event
		leases    map[int64]*lease
		nextLease int64
		faults    map[string]storeFault
	}
)

func newStore() *store {
	s := &store{changed: make(chan struct{}), revision: 100, items: map[string]item{}, leases: map[int64]*lease{}, nextLease: 7000, faults: map[string]storeFault{}}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.tick(time.Now())
		}
	}()
	return s
}

// tick ends leases and drops old history. Leases run on while the store is out of reach.
func (s *store) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		s.endLease(id, now)
	}
	n := 0
	for n < len(s.events) && now.Sub(s.events[n].at) > historyLength {
		s.compacted = s.events[n].Revision
		n++
	}
	s.events = s.events[n:]
}

// endLease ends a lease and removes its keys. The mutex must be held.
func (s *store) endLease(id int64, now time.Time) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(k, now)
		}
	}
}

func (s *store) put(key string, value []byte, leaseID int64, now time.Time) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = i
	s.record(i, now)
}

func (s *store) remove(key string, now time.Time) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Tombstone: true}, now)
}

func (s *store) record(i item, now time.Time) {
	s.events = append(s.events, event{i, now})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key as the operator and the replicas do.
func (s *store) Put(key string, value any) int64 {
	data, ok := value.([]byte)
	if !ok {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, data, 0, time.Now())
	return s.revision
}

// Remove removes a key as the replicas do.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key, time.Now())
}

// Keys returns the present keys with a prefix.
func (s *store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// SetFault sets the fault of the listeners named, of all if there is none.
func (s *store) SetFault(f storeFault, listeners ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(listeners) == 0 {
		for l := range s.faults {
			s.faults[l] = f
		}
	}
	for _, l := range listeners {
		s.faults[l] = f
	}
}

func (s *store) fault(l string) storeFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[l]
}

// Listen opens a listener of the store under a name and returns its address.
func (s *store) Listen(name, ip string) string {
	l := mustListen(ip)
	s.SetFault(sound, name)
	m := http.NewServeMux()
	m.HandleFunc("GET /kv-key", s.handleGet)
	m.HandleFunc("GET /kv-range", s.handleRange)
	m.HandleFunc("GET /kv-watch", s.handleWatch)
	m.HandleFunc("POST /kv-txn", s.handleTxn)
	m.HandleFunc("POST /kv-lease", s.handleLease)
	m.HandleFunc("POST /kv-keep/{id}", s.handleKeep)
	m.HandleFunc("DELETE /kv-lease-end/{id}", s.handleEnd)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		switch s.fault(name) {
		case silent:
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			time.Sleep(4 * time.Millisecond)
			m.ServeHTTP(w, r)
		}
	})
	go func() { _ = (&http.Server{Handler: h, ErrorLog: quietLog}).Serve(l) }()
	return l.Addr().String()
}

func (s *store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	rev := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		Current int64 `json:"current_rev"`
	}{i, rev})
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out, size, more := []item{}, 0, false
	for _, k := range keys {
		if len(out) >= maxPageItems || size > 0 && size+len(s.items[k].Value) > maxPageBytes {
			more = true
			break
		}
		out = append(out, s.items[k])
		size += len(s.items[k].Value)
	}
	rev := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": out, "has_more": more, "current_rev": rev})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMs, err2 := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer timeout.Stop()
	for over := false; ; {
		s.mu.Lock()
		if after < s.compacted || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		out := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				out = append(out, e.item)
			}
		}
		rev, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(out) > 0 || over {
			writeJSON(w, http.StatusOK, map[string]any{"events": out, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range q.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []item{}
	for _, c := range q.Precondition {
		i, ok := s.items[c.Key]
		if ok {
			current = append(current, i)
		}
		failed = failed || i.Revision != c.Revision
	}
	if failed {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range q.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range q.Puts {
		s.put(p.Key, p.Value, p.Lease, time.Now())
	}
	for _, k := range q.Remove {
		s.remove(k, time.Now())
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) handleLease(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(time.Duration(q.TTLMs)*time.Millisecond, time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl, time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) handleEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id, time.Now())
	writeJSON(w, http.StatusOK, map[string]any{})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func mustListen(ip string) net.Listener {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		fail(err)
	}
	return l
}
