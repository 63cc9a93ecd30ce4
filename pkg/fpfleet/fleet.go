package fpfleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// StoreReturnGrace is how long a replica is kept whose registration lapsed while the store
	// was unreachable; living replicas have registered again by then.
	StoreReturnGrace = 2 * time.Second
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
	}

	// entry is a replica; lapsed is set when its registration was deleted but the replica is kept
	// until expiresAt.
	entry struct {
		Replica
		lapsed    bool
		expiresAt time.Duration
	}
)

// New returns a fleet without replicas.
func New() *Fleet {
	return &Fleet{replicas: make(map[string]entry), storeReturnedAt: -StoreReturnGrace}
}

// Put records a registration, unless a later revision of it is known.
func (f *Fleet) Put(r Replica) {
	if known, ok := f.replicas[r.ID]; ok && known.Revision > r.Revision {
		return
	}
	f.replicas[r.ID] = entry{Replica: r}
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
	if e.Draining || !f.storeUnreachable && now-f.storeReturnedAt >= StoreReturnGrace {
		delete(f.replicas, id)
		return
	}
	if !e.lapsed {
		e.lapsed = true
		e.expiresAt = now + StoreReturnGrace
		f.replicas[id] = e
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

// DropExpired drops lapsed entries whose grace period is over and reports whether there were any.
func (f *Fleet) DropExpired(now time.Duration) bool {
	dropped := false
	for id, e := range f.replicas {
		if e.lapsed && now >= e.expiresAt {
			delete(f.replicas, id)
			dropped = true
		}
	}
	return dropped
}

// Replicas returns the replicas sorted by ID.
func (f *Fleet) Replicas() []Replica {
	out := make([]Replica, 0, len(f.replicas))
	for _, e := range f.replicas {
		out = append(out, e.Replica)
	}
	slices.SortFunc(out, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
