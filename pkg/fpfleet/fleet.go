package fpfleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// StoreReturnGrace is how long a replica is kept whose registration lapsed while the store
	// was unreachable; living replicas have registered again by then.
	StoreReturnGrace = 2 * time.Second
	// RevivedEntryDoubt is how long a removed registration that a restored store lists again counts as
	// draining; that of a replica that has ended lapses by then.
	RevivedEntryDoubt = 10 * time.Second
	// removedTTL is how long a removed registration is remembered, at most as long as a copy from which
	// the store is restored is old.
	removedTTL = 10 * time.Minute
	// maxRemoved bounds the removed registrations that are remembered.
	maxRemoved = 4096
)

type (
	// Replica is a registered upstream.
	Replica struct {
		ID       string
		Service  string
		Address  string
		Zone     string
		Slots    int
		Draining bool
		// Build is the version of the replica's software, "" if unknown.
		Build string
		// Weights holds the version of each model that the replica serves.
		Weights map[string]int64
		// StartUnixMilli is the start time of the replica in Unix milliseconds, 0 if unknown.
		StartUnixMilli int64
		// Revision is the store's revision of the entry.
		Revision int64
	}

	// Fleet is the set of registered replicas; it is not safe for concurrent use.
	Fleet struct {
		replicas         map[string]entry
		storeUnreachable bool
		storeReturnedAt  time.Duration
		// removed holds the replicas whose registration was removed, by ID.
		removed map[string]removedReplica
	}

	// entry is a replica; lapsed is set when its registration was deleted but the replica is kept
	// until expiresAt. One that is doubted counts as draining until doubtedUntil.
	entry struct {
		Replica
		lapsed       bool
		expiresAt    time.Duration
		doubted      bool
		doubtedUntil time.Duration
	}

	removedReplica struct {
		startUnixMilli int64
		at             time.Duration
	}
)

// New returns a fleet without replicas.
func New() *Fleet {
	return &Fleet{replicas: make(map[string]entry), storeReturnedAt: -StoreReturnGrace, removed: make(map[string]removedReplica)}
}

// Put records a registration, unless a later revision of it is known. A replica that was draining drains
// until it starts anew.
func (f *Fleet) Put(r Replica) {
	known, ok := f.replicas[r.ID]
	if ok && known.Revision > r.Revision {
		return
	}
	r.Draining = r.Draining || known.Draining && r.sameStart(known.StartUnixMilli)
	f.replicas[r.ID] = entry{Replica: r}
	delete(f.removed, r.ID)
}

// sameStart reports whether the replica is known to have started at the given time.
func (r Replica) sameStart(startUnixMilli int64) bool {
	return startUnixMilli != 0 && r.StartUnixMilli == startUnixMilli
}

// Remove records that a registration was deleted. While the store is unreachable, and for
// StoreReturnGrace after its return, the replica is kept for another StoreReturnGrace: the
// registration may have lapsed although the replica is alive. A draining replica is dropped
// at once. A deletion older than the known registration is ignored; revision 0 means unknown.
func (f *Fleet) Remove(id string, revision int64, now time.Duration) {
	e, ok := f.replicas[id]
	if !ok || e.Revision > revision && revision > 0 {
		return
	}
	if e.Draining || e.doubted || !f.storeUnreachable && now-f.storeReturnedAt >= StoreReturnGrace {
		f.drop(id, now)
		return
	}
	if !e.lapsed {
		e.lapsed = true
		e.expiresAt = now + StoreReturnGrace
		f.replicas[id] = e
	}
}

// drop forgets a replica but for the start that was removed.
func (f *Fleet) drop(id string, now time.Duration) {
	if len(f.removed) >= maxRemoved {
		maps.DeleteFunc(f.removed, func(_ string, r removedReplica) bool { return now-r.at >= removedTTL })
	}
	if start := f.replicas[id].StartUnixMilli; start != 0 && len(f.removed) < maxRemoved {
		f.removed[id] = removedReplica{startUnixMilli: start, at: now}
	}
	delete(f.replicas, id)
}

// RestoreAll is ReplaceAll for the first list of a store that was restored from a copy. The revisions
// known before are void, replicas that are not on the list may register again as after the store's return,
// and one whose registration was removed before counts as draining for RevivedEntryDoubt, or until it
// registers again.
func (f *Fleet) RestoreAll(list []Replica, now time.Duration) {
	for id, e := range f.replicas {
		e.Revision = 0
		f.replicas[id] = e
	}
	f.MarkStoreUnreachable()
	f.MarkStoreReachable(now)
	removed := maps.Clone(f.removed)
	f.ReplaceAll(list, now)
	for _, r := range list {
		if was, ok := removed[r.ID]; ok && !r.Draining && r.sameStart(was.startUnixMilli) {
			f.replicas[r.ID] = entry{Replica: r, doubted: true, doubtedUntil: now + RevivedEntryDoubt}
		}
	}
}

// ReplaceAll records the complete list of registrations; replicas that are not on it are removed
// as by Remove.
func (f *Fleet) ReplaceAll(list []Replica, now time.Duration) {
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.ID] = true
		f.Put(r)
	}
	for id := range f.replicas {
		if !listed[id] {
			f.Remove(id, 0, now)
		}
	}
}

// Draining reports whether a replica is registered as draining.
func (f *Fleet) Draining(id string) bool { return f.replicas[id].Draining }

// MarkStoreUnreachable records that the store can't be reached.
func (f *Fleet) MarkStoreUnreachable() { f.storeUnreachable = true }

// MarkStoreReachable records that the store answers again.
func (f *Fleet) MarkStoreReachable(now time.Duration) {
	if f.storeUnreachable {
		f.storeUnreachable = false
		f.storeReturnedAt = now
	}
}

// StoreReturnedAt returns when registrations could be written again, after the store was last out of reach or was
// restored.
func (f *Fleet) StoreReturnedAt() time.Duration { return f.storeReturnedAt }

// DropExpired drops lapsed entries whose grace period is over and reports whether there were any. It also
// ends doubts that are over.
func (f *Fleet) DropExpired(now time.Duration) bool {
	dropped := false
	for id, e := range f.replicas {
		switch {
		case e.lapsed && now >= e.expiresAt:
			f.drop(id, now)
			dropped = true
		case e.doubted && now >= e.doubtedUntil:
			e.doubted = false
			f.replicas[id] = e
		}
	}
	return dropped
}

// Replicas returns the replicas sorted by ID.
func (f *Fleet) Replicas() []Replica {
	out := make([]Replica, 0, len(f.replicas))
	for _, e := range f.replicas {
		r := e.Replica
		r.Draining = r.Draining || e.doubted
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
