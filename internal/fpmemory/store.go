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
	// MaxPageItems is the maximum number of items in a page, the same as in the platform's store.
	MaxPageItems = 500
	// maxHistoryItems bounds the changes kept for watches.
	maxHistoryItems = 20_000
)

type (
	// Store is an in-memory key-value store. Most methods take the current time as an
	// argument, so that they work in virtual time.
	Store struct {
		mu sync.Mutex
		// changeSignal is closed and replaced at each change.
		changeSignal chan struct{}
		incarnation  int64
		revision     int64
		// compactRevision is the revision after which the history is complete.
		compactRevision int64
		items           map[string]fpstore.Item
		history         []fpstore.Item
		// leases holds the leases by their number, which is what a caller names one by.
		leases    map[int64]lease
		lastLease int64
		counts    Counts
	}

	// Counts holds the number of calls of each kind.
	Counts struct {
		Reads   int64
		Writes  int64
		Watches int64
		Leases  int64
		Refused int64
	}

	lease struct {
		ttl       time.Duration
		expiresAt time.Time
	}
)

// New returns an empty store.
func New() *Store {
	return &Store{
		changeSignal:    make(chan struct{}),
		revision:        1,
		compactRevision: 1,
		items:           make(map[string]fpstore.Item),
		leases:          make(map[int64]lease),
	}
}

// Counts returns the calls counted so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// CountRefused counts a call that was rejected before it reached the store.
func (s *Store) CountRefused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Refused++
}

// Get returns a key's item and the store's revision.
func (s *Store) Get(key string, now time.Time) (fpstore.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	s.expireLeases(now)
	i, ok := s.items[key]
	if !ok {
		return fpstore.Item{}, s.revision, fpstore.ErrKeyNotFound
	}
	return i, s.revision, nil
}

// Range returns one page of the keys under a prefix that sort after the given key.
func (s *Store) Range(prefix, after string, now time.Time) fpstore.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	s.expireLeases(now)
	var items []fpstore.Item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b fpstore.Item) int { return cmp.Compare(a.Key, b.Key) })
	return fpstore.Page{Items: items[:min(len(items), MaxPageItems)], More: len(items) > MaxPageItems, Position: s.position()}
}

// position returns the store's position; the mutex must be held.
func (s *Store) position() fpstore.Position {
	return fpstore.Position{Incarnation: s.incarnation, Revision: s.revision}
}

// Incarnation returns the number of restorations so far.
func (s *Store) Incarnation() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// ChangesSince returns the changes under a prefix after a revision, the store's
// position, and a channel that is closed at the next change of any key. The history after a
// revision that the store has not reached is not available.
func (s *Store) ChangesSince(prefix string, after int64, now time.Time) ([]fpstore.Item, fpstore.Position, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Watches++
	s.expireLeases(now)
	if after < s.compactRevision || after > s.revision {
		return nil, s.position(), nil, fpstore.ErrCompacted
	}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(i fpstore.Item, r int64) int { return cmp.Compare(i.Revision, r) })
	var events []fpstore.Item
	for _, i := range s.history[first:] {
		if strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.position(), s.changeSignal, nil
}

// WaitForChanges returns the changes under a prefix after a revision as soon as there
// are any, or none when the wait has elapsed, with the store's position.
func (s *Store) WaitForChanges(ctx context.Context, prefix string, after int64, wait time.Duration) ([]fpstore.Item, fpstore.Position, error) {
	deadline := time.Now().Add(wait)
	for {
		now := time.Now()
		items, position, changed, err := s.ChangesSince(prefix, after, now)
		if err != nil || len(items) > 0 || !now.Before(deadline) {
			return items, position, err
		}
		// An expiring lease deletes keys only on the next call, so wake up for it.
		t := time.NewTimer(s.nextLeaseExpiry(deadline).Sub(now))
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil, fpstore.Position{}, ctx.Err()
		}
		t.Stop()
	}
}

// nextLeaseExpiry returns when the next lease expires, but at most latest.
func (s *Store) nextLeaseExpiry(latest time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		if expiry := l.expiresAt.Add(1); expiry.Before(latest) {
			latest = expiry
		}
	}
	return latest
}

// Commit applies a transaction and returns its position. Nothing is written if a
// condition does not hold or a lease has ended.
func (s *Store) Commit(t fpstore.Transaction, now time.Time) (fpstore.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.expireLeases(now)
	for _, c := range t.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			return s.position(), fpstore.ErrConflict
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease.Number]; p.Lease.Number != 0 && !ok {
			return s.position(), fpstore.ErrLeaseNotFound
		}
	}
	for _, p := range t.Puts {
		s.putKey(p)
	}
	for _, key := range t.Deletes {
		s.deleteKey(key)
	}
	return s.position(), nil
}

// GrantLease creates a lease.
func (s *Store) GrantLease(ttl time.Duration, now time.Time) fpstore.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Leases++
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl: ttl, expiresAt: now.Add(ttl)}
	return fpstore.LeaseID{Incarnation: s.incarnation, Number: s.lastLease}
}

// RenewLease renews a lease and returns its time to live.
func (s *Store) RenewLease(id fpstore.LeaseID, now time.Time) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Leases++
	s.expireLeases(now)
	l, ok := s.leases[id.Number]
	if !ok {
		return 0, fpstore.ErrLeaseNotFound
	}
	l.expiresAt = now.Add(l.ttl)
	s.leases[id.Number] = l
	return l.ttl, nil
}

// RevokeLease revokes a lease and deletes its keys.
func (s *Store) RevokeLease(id fpstore.LeaseID, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Leases++
	s.expireLeases(now)
	if _, ok := s.leases[id.Number]; !ok {
		return fpstore.ErrLeaseNotFound
	}
	s.deleteLease(id.Number)
	return nil
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactRevision = nil, s.revision
}

// Snapshot returns a copy of the keys and leases for a later Restore, without the history.
func (s *Store) Snapshot() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := New()
	c.revision, c.compactRevision = s.revision, s.revision
	c.items = maps.Clone(s.items)
	c.leases, c.lastLease = maps.Clone(s.leases), s.lastLease
	return c
}

// Restore starts a new incarnation with the keys, leases and revision of an earlier snapshot and without
// history. The leases run from now.
func (s *Store) Restore(snapshot *Store, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	s.revision, s.compactRevision, s.history = snapshot.revision, snapshot.revision, nil
	s.items = maps.Clone(snapshot.items)
	s.leases, s.lastLease = make(map[int64]lease), snapshot.lastLease
	for number, l := range snapshot.leases {
		s.leases[number] = lease{ttl: l.ttl, expiresAt: now.Add(l.ttl)}
	}
	s.signalChange()
}

func (s *Store) putKey(p fpstore.Put) {
	s.revision++
	i := fpstore.Item{Key: p.Key, Value: p.Value, Revision: s.revision, Created: s.revision, Lease: p.Lease}
	if old, ok := s.items[p.Key]; ok {
		i.Created = old.Created
	}
	s.items[p.Key] = i
	s.appendHistory(i)
}

func (s *Store) deleteKey(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.appendHistory(fpstore.Item{Key: key, Revision: s.revision, Deleted: true})
}

// appendHistory adds a change to the history, drops the older half of a full history, and
// wakes the watches.
func (s *Store) appendHistory(i fpstore.Item) {
	if len(s.history) >= maxHistoryItems {
		s.compactRevision = s.history[maxHistoryItems/2-1].Revision
		s.history = slices.Clone(s.history[maxHistoryItems/2:])
	}
	s.history = append(s.history, i)
	s.signalChange()
}

// signalChange wakes the watches.
func (s *Store) signalChange() {
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}

// expireLeases deletes all expired leases and their keys.
func (s *Store) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.deleteLease(id)
		}
	}
}

func (s *Store) deleteLease(number int64) {
	delete(s.leases, number)
	for key, i := range s.items {
		if i.Lease.Number == number {
			s.deleteKey(key)
		}
	}
}
