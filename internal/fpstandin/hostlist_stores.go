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
	// fullSpeedLoads is the number of concurrent weight loads that don't slow each other down.
	fullSpeedLoads = 2
)

type (
	// HostList is the platform's list of live and leaving hosts; readers see a change after the
	// lag.
	HostList struct {
		lag       time.Duration
		mu        sync.Mutex
		current   []fpupstream.ListedHost
		previous  []fpupstream.ListedHost
		changedAt time.Time
	}

	// WeightStore serves weights; more than fullSpeedLoads concurrent loads slow each other down.
	WeightStore struct {
		loadDuration       time.Duration
		concurrentLoads    atomic.Int64
		maxConcurrentLoads atomic.Int64
	}

	// CacheStore keeps exported cache blocks.
	CacheStore struct {
		mu     sync.Mutex
		blocks map[string][]byte
	}
)

// NewHostList returns an empty list whose readers see changes after the lag.
func NewHostList(lag time.Duration) *HostList { return &HostList{lag: lag} }

// SetHosts replaces the list; readers see the previous one until the lag has passed.
func (h *HostList) SetHosts(hosts []fpupstream.ListedHost, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.previous = h.visibleLocked(now)
	h.current = hosts
	h.changedAt = now
}

// VisibleHosts returns the list that readers see at now.
func (h *HostList) VisibleHosts(now time.Time) []fpupstream.ListedHost {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.visibleLocked(now)
}

// Handler returns the host list's HTTP handler.
func (h *HostList) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.VisibleHosts(time.Now())) })
	m.HandleFunc("POST /hosts", func(w http.ResponseWriter, r *http.Request) {
		var hosts []fpupstream.ListedHost
		if !readJSON(w, r, &hosts) {
			return
		}
		h.SetHosts(hosts, time.Now())
		writeJSON(w, hosts)
	})
	return m
}

// visibleLocked returns the list that readers see; the caller holds mu.
func (h *HostList) visibleLocked(now time.Time) []fpupstream.ListedHost {
	if now.Sub(h.changedAt) < h.lag {
		return h.previous
	}
	return h.current
}

// NewWeightStore returns a store whose loads take loadDuration at full speed.
func NewWeightStore(loadDuration time.Duration) *WeightStore {
	return &WeightStore{loadDuration: loadDuration}
}

// MaxConcurrentLoads returns the highest number of concurrent loads so far.
func (s *WeightStore) MaxConcurrentLoads() int64 { return s.maxConcurrentLoads.Load() }

// Handler returns the weight store's HTTP handler.
func (s *WeightStore) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /weights/{version}", func(w http.ResponseWriter, r *http.Request) {
		n := s.concurrentLoads.Add(1)
		defer s.concurrentLoads.Add(-1)
		s.maxConcurrentLoads.Store(max(s.maxConcurrentLoads.Load(), n))
		fpclock.Sleep(r.Context(), s.loadDuration*time.Duration(max(n, fullSpeedLoads))/fullSpeedLoads)
		writeJSON(w, r.PathValue("version"))
	})
	m.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.MaxConcurrentLoads()) })
	return m
}

// NewCacheStore returns an empty cache store.
func NewCacheStore() *CacheStore { return &CacheStore{blocks: make(map[string][]byte)} }

// Handler returns the cache store's HTTP handler.
func (c *CacheStore) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("PUT /blocks/{key}", c.servePut)
	m.HandleFunc("GET /blocks/{key}", c.serveGet)
	return m
}

func (c *CacheStore) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks[r.PathValue("key")] = data
}

func (c *CacheStore) serveGet(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	data, ok := c.blocks[r.PathValue("key")]
	c.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

// BlockCount returns the number of stored blocks.
func (c *CacheStore) BlockCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.blocks)
}
