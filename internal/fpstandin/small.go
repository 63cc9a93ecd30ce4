package fpstandin

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
)

const (
	// freeLoads is the number of weight loads that don't slow each other down.
	freeLoads = 2
)

type (
	// HostList is the platform's lagging list of live and leaving hosts.
	HostList struct {
		lag  time.Duration
		mu   sync.Mutex
		now  []fpupstream.ListedHost
		old  []fpupstream.ListedHost
		when time.Time
	}

	// WeightStore serves weights, slower while more than freeLoads load at once.
	WeightStore struct {
		work    time.Duration
		loading atomic.Int64
		most    atomic.Int64
	}

	// CacheStore keeps exported cache blocks.
	CacheStore struct {
		mu     sync.Mutex
		blocks map[string][]byte
	}
)

// NewHostList returns a list whose readers see changes after the lag.
func NewHostList(lag time.Duration) *HostList { return &HostList{lag: lag} }

// Set replaces the list; readers see the former one until the lag is over.
func (h *HostList) Set(hosts []fpupstream.ListedHost, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.old = h.visible(now)
	h.now = hosts
	h.when = now
}

// Get returns the list as its readers see it.
func (h *HostList) Get(now time.Time) []fpupstream.ListedHost {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.visible(now)
}

// Handler returns the host list's HTTP handler.
func (h *HostList) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Get(time.Now())) })
	m.HandleFunc("POST /hosts", func(w http.ResponseWriter, r *http.Request) {
		var hosts []fpupstream.ListedHost
		if !readJSON(w, r, &hosts) {
			return
		}
		h.Set(hosts, time.Now())
		writeJSON(w, hosts)
	})
	return m
}

func (h *HostList) visible(now time.Time) []fpupstream.ListedHost {
	if now.Sub(h.when) < h.lag {
		return h.old
	}
	return h.now
}

// NewWeightStore returns a store whose loads take the given time.
func NewWeightStore(work time.Duration) *WeightStore { return &WeightStore{work: work} }

// Most returns the highest number of loads seen at once.
func (s *WeightStore) Most() int64 { return s.most.Load() }

// Handler returns the weight store's HTTP handler.
func (s *WeightStore) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /weights/{version}", func(w http.ResponseWriter, r *http.Request) {
		n := s.loading.Add(1)
		defer s.loading.Add(-1)
		s.most.Store(max(s.most.Load(), n))
		fpclock.Sleep(r.Context(), s.work*time.Duration(max(n, freeLoads))/freeLoads)
		writeJSON(w, r.PathValue("version"))
	})
	m.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Most()) })
	return m
}

// NewCacheStore returns an empty cache store.
func NewCacheStore() *CacheStore { return &CacheStore{blocks: make(map[string][]byte)} }

// Handler returns the cache store's HTTP handler.
func (c *CacheStore) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("PUT /blocks/{key}", c.put)
	m.HandleFunc("GET /blocks/{key}", c.get)
	return m
}

func (c *CacheStore) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks[r.PathValue("key")] = data
}

func (c *CacheStore) get(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	data, ok := c.blocks[r.PathValue("key")]
	c.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

// Len returns the number of blocks kept.
func (c *CacheStore) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.blocks)
}
