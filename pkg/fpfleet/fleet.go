package fpfleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ReturnGrace is how long an entry that lapsed while the store was away is
	// kept after its return; registrations of living replicas are back by then.
	ReturnGrace = 2 * time.Second
)

type (
	// Replica is one registered upstream.
	Replica struct {
		ID       string
		Service  string
		Address  string
		Zone     string
		Slots    int
		Draining bool
		// Weights holds the version of each model that the replica serves.
		Weights map[string]int64
		// Born is the start of the replica in Unix milliseconds, 0 if unknown.
		Born int64
		// Revision is the store's revision of the entry.
		Revision int64
	}

	// Fleet is the set of registered replicas; it is not safe for concurrent use.
	Fleet struct {
		replicas map[string]entry
		away     bool
		returned time.Duration
	}

	entry struct {
		Replica
		lapsed  bool
		expires time.Duration
	}
)

// New returns a fleet without replicas.
func New() *Fleet { return &Fleet{replicas: make(map[string]entry), returned: -ReturnGrace} }

// Put takes in a registration; one older than what is known is ignored.
func (f *Fleet) Put(r Replica) {
	if old, ok := f.replicas[r.ID]; ok && old.Revision > r.Revision {
		return
	}
	f.replicas[r.ID] = entry{Replica: r}
}

// Remove takes in that a registration is gone. Around an absence of the store
// the replica is kept until ReturnGrace after its return: the entry may have
// lapsed although the replica lives.
func (f *Fleet) Remove(id string, revision int64, now time.Duration) {
	e, ok := f.replicas[id]
	if !ok || e.Revision > revision && revision > 0 {
		return
	}
	if e.Draining || !f.away && now-f.returned >= ReturnGrace {
		delete(f.replicas, id)
		return
	}
	if !e.lapsed {
		e.lapsed = true
		e.expires = now + ReturnGrace
		f.replicas[id] = e
	}
}

// Reset takes in a complete list; what it lacks is removed as by Remove.
func (f *Fleet) Reset(list []Replica, now time.Duration) {
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

// Away takes in that the store can't be reached.
func (f *Fleet) Away() { f.away = true }

// Back takes in that the store answers again.
func (f *Fleet) Back(now time.Duration) {
	if f.away {
		f.away = false
		f.returned = now
	}
}

// Expire drops lapsed entries whose time is over and reports whether any was.
func (f *Fleet) Expire(now time.Duration) bool {
	dropped := false
	for id, e := range f.replicas {
		if e.lapsed && now >= e.expires {
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
