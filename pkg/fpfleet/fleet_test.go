package fpfleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func joinedIDs(f *Fleet) string {
	out := ""
	for _, r := range f.Replicas() {
		out += r.ID
	}
	return out
}

func TestFleet(t *testing.T) {
	a := Replica{ID: "a", Revision: 5}
	b := Replica{ID: "b", Revision: 6}
	tests := map[string]struct {
		apply func(*Fleet)
		want  string
	}{
		"removed while the store is reachable": {func(f *Fleet) { f.Remove("a", 7, time.Minute) }, "b"},
		"kept when removed while the store is unreachable": {func(f *Fleet) {
			f.MarkStoreUnreachable()
			f.Remove("a", 7, time.Minute)
		}, "ab"},
		"lapsed and not registered again is dropped": {func(f *Fleet) {
			f.MarkStoreUnreachable()
			f.MarkStoreReachable(time.Minute)
			f.ReplaceAll([]Replica{b}, time.Minute)
			f.DropExpired(time.Minute + StoreReturnGrace)
		}, "b"},
		"lapsed is kept for the grace period": {func(f *Fleet) {
			f.MarkStoreUnreachable()
			f.MarkStoreReachable(time.Minute)
			f.ReplaceAll([]Replica{b}, time.Minute)
			f.DropExpired(time.Minute + StoreReturnGrace - 1)
		}, "ab"},
		"lapsed and registered again is kept": {func(f *Fleet) {
			f.MarkStoreUnreachable()
			f.MarkStoreReachable(time.Minute)
			f.ReplaceAll([]Replica{b}, time.Minute)
			f.Put(Replica{ID: "a", Revision: 9})
			f.DropExpired(time.Hour)
		}, "ab"},
		"a draining replica is dropped at once": {func(f *Fleet) {
			f.Put(Replica{ID: "a", Revision: 7, Draining: true})
			f.MarkStoreUnreachable()
			f.Remove("a", 8, time.Minute)
		}, "b"},
		"a deletion of an older revision is ignored":   {func(f *Fleet) { f.Remove("a", 4, time.Minute) }, "ab"},
		"a replica that is not on the list is dropped": {func(f *Fleet) { f.ReplaceAll([]Replica{a}, time.Minute) }, "a"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := New()
			f.Put(a)
			f.Put(b)
			tt.apply(f)
			is.New(t).Equal(joinedIDs(f), tt.want)
		})
	}
}

func TestPutIgnoresOlderRevision(t *testing.T) {
	is := is.New(t)
	f := New()
	f.Put(Replica{ID: "a", Revision: 5, Draining: true})
	f.Put(Replica{ID: "a", Revision: 4})
	is.True(f.Replicas()[0].Draining)
}

// TestRestoreAll checks what a fleet makes of the first list of a store that was restored from a copy.
func TestRestoreAll(t *testing.T) {
	const restoredAt = time.Minute
	ready := Replica{ID: "a", StartUnixMilli: 7, Revision: 50}
	draining := ready
	draining.Draining = true
	restarted := ready
	restarted.StartUnixMilli = 8
	copied := func(r Replica) Replica {
		r.Revision = 20
		return r
	}
	tests := map[string]struct {
		before func(*Fleet)
		list   []Replica
		after  func(*Fleet)
		// found and draining are the expectations at wait after the restore.
		wait            time.Duration
		found, draining bool
	}{
		"a change under a revision that was known before": {
			before: func(f *Fleet) { f.Put(ready) }, list: []Replica{copied(ready)},
			after: func(f *Fleet) {
				r := draining
				r.Revision = 21
				f.Put(r)
			},
			found: true, draining: true,
		},
		"a removal under a revision that was known before": {
			before: func(f *Fleet) { f.Put(ready) }, list: []Replica{copied(ready)},
			after: func(f *Fleet) { f.Remove("a", 21, restoredAt+3*time.Second) },
		},
		"the copy does not know that it drains": {
			before: func(f *Fleet) { f.Put(draining) }, list: []Replica{copied(ready)}, wait: time.Hour, found: true, draining: true,
		},
		"started again after it drained": {
			before: func(f *Fleet) { f.Put(draining) }, list: []Replica{copied(restarted)}, found: true,
		},
		"not in the copy, within the grace period": {
			before: func(f *Fleet) { f.Put(ready) }, wait: StoreReturnGrace - 1, found: true,
		},
		"not in the copy": {before: func(f *Fleet) { f.Put(ready) }, wait: StoreReturnGrace},
		"the copy does not know that it was removed": {
			before: func(f *Fleet) { f.Put(ready); f.Remove("a", 51, time.Second) }, list: []Replica{copied(ready)},
			wait: RevivedEntryDoubt - 1, found: true, draining: true,
		},
		"removed, still listed after the doubt": {
			before: func(f *Fleet) { f.Put(ready); f.Remove("a", 51, time.Second) }, list: []Replica{copied(ready)},
			wait: RevivedEntryDoubt, found: true,
		},
		"removed, registered again after the restore": {
			before: func(f *Fleet) { f.Put(ready); f.Remove("a", 51, time.Second) }, list: []Replica{copied(ready)},
			after: func(f *Fleet) {
				r := ready
				r.Revision = 21
				f.Put(r)
			},
			found: true,
		},
		"removed again during the doubt": {
			before: func(f *Fleet) { f.Put(ready); f.Remove("a", 51, time.Second) }, list: []Replica{copied(ready)},
			after: func(f *Fleet) { f.Remove("a", 21, restoredAt) },
		},
		"started again after it was removed": {
			before: func(f *Fleet) { f.Put(ready); f.Remove("a", 51, time.Second) }, list: []Replica{copied(restarted)}, found: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := New()
			tt.before(f)
			f.RestoreAll(tt.list, restoredAt)
			if tt.after != nil {
				tt.after(f)
			}
			f.DropExpired(restoredAt + tt.wait)
			replicas := f.Replicas()
			is.Equal(len(replicas) == 1, tt.found)
			if tt.found {
				is.Equal(replicas[0].Draining, tt.draining)
			}
		})
	}
}
