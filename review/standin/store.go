package main

import (
	"context"
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

type (
	storeItem struct {
		Key       string `json:"key"`
		Value     []byte `json:"value,omitempty"`
		Revision  int64  `json:"revision"`
		Created   int64  `json:"created,omitempty"`
		Lease     int64  `json:"lease,omitempty"`
		Tombstone bool   `json:"tombstone,omitempty"`
	}

	lease struct {
		ttl  time.Duration
		ends time.Time
	}

	// store is the platform's metadata store, in memory.
	store struct {
		mu      sync.Mutex
		rev     int64
		items   map[string]storeItem
		events  []storeItem
		leases  map[int64]*lease
		changed chan struct{}
		address string
	}
)

func newStore() *store {
	s := &store{rev: 1, items: map[string]storeItem{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	s.address = s.serve(nil)
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

type translationKey struct{}

// serve returns an address of the store. Its answers name other addresses of replicas if there is a translation.
func (s *store) serve(translate func(string) string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	m := http.NewServeMux()
	m.HandleFunc("GET /kv-key", s.get)
	m.HandleFunc("GET /kv-range", s.list)
	m.HandleFunc("GET /kv-watch", s.watch)
	m.HandleFunc("POST /kv-txn", s.txn)
	m.HandleFunc("POST /kv-lease", s.grant)
	m.HandleFunc("POST /kv-keep/{id}", s.keep)
	m.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	server := &http.Server{Handler: m, BaseContext: func(net.Listener) context.Context {
		return context.WithValue(context.Background(), translationKey{}, translate)
	}}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

// translated returns an item with the address that the caller has to use.
func translated(r *http.Request, i storeItem) storeItem {
	translate, _ := r.Context().Value(translationKey{}).(func(string) string)
	if translate == nil || i.Tombstone || !strings.HasPrefix(i.Key, "servers/") {
		return i
	}
	var entry map[string]any
	if json.Unmarshal(i.Value, &entry) != nil {
		return i
	}
	address, _ := entry["address"].(string)
	entry["address"] = translate(address)
	i.Value, _ = json.Marshal(entry)
	return i
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.drop(id)
		}
	}
}

func (s *store) drop(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.change(k, nil, 0, true)
		}
	}
}

// change writes or deletes a key; the mutex must be held.
func (s *store) change(key string, value []byte, leaseID int64, deleted bool) {
	s.rev++
	i := storeItem{Key: key, Value: value, Revision: s.rev, Created: s.rev, Lease: leaseID, Tombstone: deleted}
	if deleted {
		i.Created = 0
		delete(s.items, key)
	} else {
		if old, ok := s.items[key]; ok {
			i.Created = old.Created
		}
		s.items[key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator and the replicas do.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(key, data, 0, false)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.change(key, nil, 0, true)
	}
}

// keys returns the keys with a prefix.
func (s *store) keys(prefix string) []string {
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

// translatedHost returns the entry of a host behind a translation with the address at which others reach it.
func (s *store) translatedHost(r *http.Request, key string, value []byte) []byte {
	translate, _ := r.Context().Value(translationKey{}).(func(string) string)
	address, place, found := strings.Cut(string(value), " ")
	if translate == nil || !found || !strings.HasPrefix(key, "fescuepoint/hosts/") {
		return value
	}
	return []byte(translate(address) + " " + place)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, 200, struct {
		storeItem
		Current int64 `json:"current_rev"`
	}{translated(r, i), rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	var out []storeItem
	for k, i := range s.items {
		if strings.HasPrefix(k, r.URL.Query().Get("prefix")) && k > r.URL.Query().Get("after") {
			out = append(out, translated(r, i))
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	more := len(out) > 500
	out = out[:min(len(out), 500)]
	reply(w, 200, map[string]any{"items": append([]storeItem{}, out...), "has_more": more, "current_rev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		out := []storeItem{}
		for n := len(s.events) - 1; n >= 0 && s.events[n].Revision > after; n-- {
			if strings.HasPrefix(s.events[n].Key, r.URL.Query().Get("prefix")) {
				out = append(out, translated(r, s.events[n]))
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		for a, b := 0, len(out)-1; a < b; a, b = a+1, b-1 {
			out[a], out[b] = out[b], out[a]
		}
		if len(out) > 0 {
			reply(w, 200, map[string]any{"events": out, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timer:
			reply(w, 200, map[string]any{"events": out, "current_rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []struct {
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
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	current := []storeItem{}
	failed := false
	for _, c := range t.Conditions {
		i, ok := s.items[c.Key]
		if ok {
			current = append(current, i)
		}
		failed = failed || i.Revision != c.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		s.change(p.Key, s.translatedHost(r, p.Key, p.Value), p.Lease, false)
	}
	for _, k := range t.Remove {
		if _, ok := s.items[k]; ok {
			s.change(k, nil, 0, true)
		}
	}
	reply(w, 200, map[string]any{"revision": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	ttl := max(q.TTL, 1000)
	s.mu.Lock()
	s.rev++
	id := s.rev
	s.leases[id] = &lease{ttl: time.Duration(ttl) * time.Millisecond, ends: time.Now().Add(time.Duration(ttl) * time.Millisecond)}
	s.mu.Unlock()
	reply(w, 200, map[string]any{"lease": id, "ttl_ms": ttl})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.drop(id)
	reply(w, 200, map[string]any{})
}
