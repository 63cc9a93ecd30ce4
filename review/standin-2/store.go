package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyTime is how long the store keeps changes for watches (history_s).
	historyTime = 20 * time.Second
	maxWatch    = 30 * time.Second
	// pageItems and pageBytes bound a page of a range.
	pageItems = 500
	pageBytes = 1 << 20
)

type (
	item struct {
		Key       string `json:"key"`
		Value     []byte `json:"value,omitempty"`
		Revision  int64  `json:"revision"`
		Created   int64  `json:"created,omitempty"`
		Lease     int64  `json:"lease,omitempty"`
		Tombstone bool   `json:"tombstone,omitempty"`
		at        time.Time
	}

	lease struct {
		ttl     time.Duration
		expires time.Time
		keys    map[string]bool
	}

	txn struct {
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

	// store is the platform's metadata store, as PROTOCOL.md describes it.
	store struct {
		mu        sync.Mutex
		revision  int64
		items     map[string]item
		history   []item
		trimmed   int64
		leases    map[int64]*lease
		nextLease int64
		changed   chan struct{}
		writes    int
		lost      int
		// loseLate, unless nil, tells for how long an unanswered transaction is delayed, 0 for one that is answered.
		loseLate func(txn) time.Duration
	}
)

func startStore(address string) *store {
	s := &store{revision: 100, trimmed: 100, items: map[string]item{}, leases: map[int64]*lease{}, nextLease: 500, changed: make(chan struct{})}
	m := http.NewServeMux()
	m.HandleFunc("GET /kv-key", s.get)
	m.HandleFunc("GET /kv-range", s.rangeKeys)
	m.HandleFunc("GET /kv-watch", s.watch)
	m.HandleFunc("POST /kv-txn", s.transact)
	m.HandleFunc("POST /kv-lease", s.grant)
	m.HandleFunc("POST /kv-keep/{id}", s.keep)
	m.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	serve(address, m)
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// serve serves a handler at an address until the program ends.
func serve(address string, h http.Handler) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("listen at %s: %v", address, err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// record adds a change to the history; the mutex must be held.
func (s *store) record(i item) {
	i.at = time.Now()
	s.history = append(s.history, i)
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.dropLease(id, l)
		}
	}
	n := 0
	for n < len(s.history) && time.Since(s.history[n].at) > historyTime {
		s.trimmed = s.history[n].Revision
		n++
	}
	s.history = s.history[n:]
}

func (s *store) dropLease(id int64, l *lease) {
	delete(s.leases, id)
	for key := range l.keys {
		if s.items[key].Lease == id {
			s.revision++
			s.record(item{Key: key, Revision: s.revision, Tombstone: true})
		}
	}
}

// put writes a key as the operator or a replica does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		cannotRun("encode %s: %v", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.record(item{Key: key, Value: data, Revision: s.revision, Created: created})
}

// keys returns the keys with a prefix.
func (s *store) keysUnder(prefix string) []string {
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

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		CurrentRev int64 `json:"current_rev"`
	}{i, revision})
}

func (s *store) rangeKeys(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	out, size, more := []item{}, 0, false
	keys := s.keysUnder(prefix)
	s.mu.Lock()
	for _, k := range keys {
		if k <= after {
			continue
		}
		i, ok := s.items[k]
		if !ok {
			continue
		}
		if len(out) >= pageItems || len(out) > 0 && size+len(i.Value) > pageBytes {
			more = true
			break
		}
		out, size = append(out, i), size+len(i.Value)
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": out, "has_more": more, "current_rev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(min(time.Duration(wait)*time.Millisecond, maxWatch))
	for over := false; ; {
		s.mu.Lock()
		if after < s.trimmed {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		out := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				out = append(out, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(out) > 0 || over || wait == 0 {
			reply(w, http.StatusOK, map[string]any{"events": out, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	s.writes++
	delay := time.Duration(0)
	if s.loseLate != nil {
		delay = s.loseLate(t)
	}
	if delay > 0 {
		s.lost++
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			status, _ := s.commit(t)
			note("store: carries out a late transaction, status %d: %s", status, describe(t))
		})
		s.mu.Unlock()
		note("store: loses the answer of a transaction, to be carried out %v later: %s", delay, describe(t))
		<-r.Context().Done()
		return
	}
	status, out := s.commit(t)
	s.mu.Unlock()
	reply(w, status, out)
}

func describe(t txn) string {
	var keys []string
	for _, p := range t.Puts {
		keys = append(keys, "put "+p.Key+" under lease "+strconv.FormatInt(p.Lease, 10))
	}
	return strings.Join(append(keys, t.Remove...), ", ")
}

// commit carries out a transaction; the mutex must be held.
func (s *store) commit(t txn) (int, any) {
	var current []item
	holds := true
	for _, c := range t.Precondition {
		i, ok := s.items[c.Key]
		holds = holds && i.Revision == c.Revision
		if ok {
			current = append(current, i)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	s.revision++
	for _, p := range t.Puts {
		created := s.revision
		if old, ok := s.items[p.Key]; ok {
			created = old.Created
		}
		if p.Lease != 0 {
			s.leases[p.Lease].keys[p.Key] = true
		}
		s.record(item{Key: p.Key, Value: p.Value, Revision: s.revision, Created: created, Lease: p.Lease})
	}
	for _, k := range t.Remove {
		if _, ok := s.items[k]; ok {
			s.record(item{Key: k, Revision: s.revision, Tombstone: true})
		}
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.writes++
	s.nextLease++
	id, ttl := s.nextLease, time.Duration(max(q.TTL, 1000))*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]bool{}}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		s.dropLease(id, l)
	}
	s.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

// remove deletes a key as the platform does with an entry that has run out.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		s.record(item{Key: key, Revision: s.revision, Tombstone: true})
	}
}
