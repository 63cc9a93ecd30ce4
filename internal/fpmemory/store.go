package fpmemory

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpstore"
)

const (
	// PageItems is the most items in a page, as many as the users' store returns.
	PageItems = 500
	// maxHistory bounds the changes kept for watches.
	maxHistory = 20_000
)

type (
	// Store is the state; times are arguments, so that it works in virtual time.
	Store struct {
		mu       sync.Mutex
		changed  chan struct{}
		revision int64
		// oldest is the revision after which the history is whole.
		oldest  int64
		items   map[string]fpstore.Item
		history []fpstore.Item
		leases  map[fpstore.Lease]lease
		serial  fpstore.Lease
		counts  Counts
	}

	// Counts tells how often the store was called.
	Counts struct {
		Reads   int64
		Writes  int64
		Watches int64
		Leases  int64
		Refused int64
	}

	lease struct {
		ttl  time.Duration
		ends time.Time
	}
)

// New returns an empty store.
func New() *Store {
	return &Store{
		changed:  make(chan struct{}),
		revision: 1,
		oldest:   1,
		items:    make(map[string]fpstore.Item),
		leases:   make(map[fpstore.Lease]lease),
	}
}

// Counts returns the calls counted so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Refused counts a call that was turned away before it reached the store.
func (s *Store) Refused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Refused++
}

// Get returns a key's item and the store's revision.
func (s *Store) Get(key string, now time.Time) (fpstore.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	s.expire(now)
	i, ok := s.items[key]
	if !ok {
		return fpstore.Item{}, s.revision, fpstore.ErrMissing
	}
	return i, s.revision, nil
}

// Range returns a page of the keys under a prefix, those behind after.
func (s *Store) Range(prefix, after string, now time.Time) fpstore.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	s.expire(now)
	var items []fpstore.Item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b fpstore.Item) int { return cmp.Compare(a.Key, b.Key) })
	return fpstore.Page{Items: items[:min(len(items), PageItems)], More: len(items) > PageItems, Revision: s.revision}
}

// Changes returns the changes under a prefix after a revision, the store's
// revision, and a channel that is closed at the next change of any key.
func (s *Store) Changes(prefix string, after int64, now time.Time) ([]fpstore.Item, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Watches++
	s.expire(now)
	if after < s.oldest {
		return nil, s.revision, nil, fpstore.ErrCompacted
	}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(i fpstore.Item, r int64) int { return cmp.Compare(i.Revision, r) })
	var events []fpstore.Item
	for _, i := range s.history[first:] {
		if strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed, nil
}

// Await returns the changes under a prefix after a revision as soon as there
// are any, or none when the wait is over, with the store's revision.
func (s *Store) Await(ctx context.Context, prefix string, after int64, wait time.Duration) ([]fpstore.Item, int64, error) {
	until := time.Now().Add(wait)
	for {
		now := time.Now()
		items, revision, changed, err := s.Changes(prefix, after, now)
		if err != nil || len(items) > 0 || !now.Before(until) {
			return items, revision, err
		}
		// A lease that runs out changes keys without a call.
		t := time.NewTimer(s.nextExpiry(until).Sub(now))
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil, 0, ctx.Err()
		}
		t.Stop()
	}
}

// nextExpiry returns when the next lease runs out, or latest.
func (s *Store) nextExpiry(latest time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		if past := l.ends.Add(1); past.Before(latest) {
			latest = past
		}
	}
	return latest
}

// Commit writes a transaction and returns its revision; nothing is written
// with ErrConflict and ErrLeaseGone.
func (s *Store) Commit(t fpstore.Transaction, now time.Time) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.expire(now)
	for _, c := range t.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			return s.revision, fpstore.ErrConflict
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return s.revision, fpstore.ErrLeaseGone
		}
	}
	for _, p := range t.Puts {
		s.write(p)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	return s.revision, nil
}

// Grant returns a new lease.
func (s *Store) Grant(ttl time.Duration, now time.Time) fpstore.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Leases++
	s.serial++
	s.leases[s.serial] = lease{ttl: ttl, ends: now.Add(ttl)}
	return s.serial
}

// KeepAlive renews a lease and returns its time to live.
func (s *Store) KeepAlive(id fpstore.Lease, now time.Time) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Leases++
	s.expire(now)
	l, ok := s.leases[id]
	if !ok {
		return 0, fpstore.ErrLeaseGone
	}
	l.ends = now.Add(l.ttl)
	s.leases[id] = l
	return l.ttl, nil
}

// End ends a lease and removes its keys.
func (s *Store) End(id fpstore.Lease, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Leases++
	s.expire(now)
	if _, ok := s.leases[id]; !ok {
		return fpstore.ErrLeaseGone
	}
	s.drop(id)
	return nil
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
}

// Snapshot returns a copy of the keys, for a later Restore.
func (s *Store) Snapshot() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := New()
	c.revision, c.oldest = s.revision, s.revision
	c.items = maps.Clone(s.items)
	return c
}

// Restore puts the keys and the revision back to those of an earlier snapshot.
func (s *Store) Restore(old *Store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.oldest, s.history = old.revision, old.revision, nil
	s.items = maps.Clone(old.items)
}

func (s *Store) write(p fpstore.Put) {
	s.revision++
	i := fpstore.Item{Key: p.Key, Value: p.Value, Revision: s.revision, Created: s.revision, Lease: p.Lease}
	if old, ok := s.items[p.Key]; ok {
		i.Created = old.Created
	}
	s.items[p.Key] = i
	s.note(i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.note(fpstore.Item{Key: key, Revision: s.revision, Deleted: true})
}

// note adds a change to the history and wakes the watches.
func (s *Store) note(i fpstore.Item) {
	if len(s.history) >= maxHistory {
		s.oldest = s.history[maxHistory/2-1].Revision
		s.history = slices.Clone(s.history[maxHistory/2:])
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is over.
func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.drop(id)
		}
	}
}

func (s *Store) drop(id fpstore.Lease) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}
