package fpstandin

import (
	"sync"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpplatform"
)

type (
	// Store is the platform's key-value state in memory; times are arguments.
	Store struct {
		mu       sync.Mutex
		revision int64
		keys     map[string]storedKey
		leases   map[int64]storedLease
		serial   int64
		watchers map[string][]chan struct{}
		counts   Counts
	}

	// Counts tells how often the service was called.
	Counts struct {
		Reads   int64
		Writes  int64
		Watches int64
		Leases  int64
		Refused int64
	}

	storedKey struct {
		value    []byte
		revision int64
		lease    int64
	}

	storedLease struct {
		ttl   time.Duration
		until time.Time
	}
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		keys:     make(map[string]storedKey),
		leases:   make(map[int64]storedLease),
		watchers: make(map[string][]chan struct{}),
	}
}

// Counts returns the calls counted so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Get returns the key's value, or a Value with revision 0.
func (s *Store) Get(key string, now time.Time) fpplatform.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	return s.get(key, now)
}

// Swap writes data if the key's revision is the expected one.
func (s *Store) Swap(key string, expected int64, data []byte, lease int64, now time.Time) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if s.get(key, now).Revision != expected {
		return s.revision, false
	}
	if _, ok := s.leases[lease]; lease != 0 && !ok {
		return s.revision, false
	}
	s.revision++
	s.keys[key] = storedKey{value: data, revision: s.revision, lease: lease}
	s.wake(key)
	return s.revision, true
}

// Wait returns a channel that is closed at the key's next change, unless its
// revision is above after already, in which case the value is returned.
func (s *Store) Wait(key string, after int64, now time.Time) (fpplatform.Value, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Watches++
	if v := s.get(key, now); v.Revision > after {
		return v, nil
	}
	c := make(chan struct{})
	s.watchers[key] = append(s.watchers[key], c)
	return fpplatform.Value{}, c
}

// Grant returns a new lease.
func (s *Store) Grant(ttl time.Duration, now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Leases++
	s.serial++
	s.leases[s.serial] = storedLease{ttl: ttl, until: now.Add(ttl)}
	return s.serial
}

// KeepAlive renews a lease and returns its time to live, or zero when it is gone.
func (s *Store) KeepAlive(id int64, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Leases++
	s.expire(now)
	l, ok := s.leases[id]
	if !ok {
		return 0
	}
	l.until = now.Add(l.ttl)
	s.leases[id] = l
	return l.ttl
}

// Revoke ends a lease and removes its keys.
func (s *Store) Revoke(id int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Leases++
	s.expire(now)
	s.drop(id)
}

// Snapshot returns a copy of the store's content, for a later Restore.
func (s *Store) Snapshot() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := NewStore()
	c.revision = s.revision
	for k, v := range s.keys {
		c.keys[k] = v
	}
	return c
}

// Restore puts the content back to that of an earlier snapshot.
func (s *Store) Restore(old *Store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = old.revision
	s.keys = make(map[string]storedKey)
	for k, v := range old.keys {
		s.keys[k] = v
	}
}

func (s *Store) get(key string, now time.Time) fpplatform.Value {
	s.expire(now)
	k := s.keys[key]
	return fpplatform.Value{Data: k.value, Revision: k.revision}
}

func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.until) {
			s.drop(id)
		}
	}
}

func (s *Store) drop(id int64) {
	delete(s.leases, id)
	for k, v := range s.keys {
		if v.lease == id {
			delete(s.keys, k)
			s.revision++
			s.wake(k)
		}
	}
}

func (s *Store) wake(key string) {
	for _, c := range s.watchers[key] {
		close(c)
	}
	delete(s.watchers, key)
}

func (s *Store) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Refused++
}
