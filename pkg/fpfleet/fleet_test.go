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
