package fpfleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func ids(f *Fleet) string {
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
		play func(*Fleet)
		want string
	}{
		"gone while the store is there": {func(f *Fleet) { f.Remove("a", 7, time.Minute) }, "b"},
		"gone while the store is away is kept": {func(f *Fleet) {
			f.Away()
			f.Remove("a", 7, time.Minute)
		}, "ab"},
		"lapsed and not back is gone": {func(f *Fleet) {
			f.Away()
			f.Back(time.Minute)
			f.Reset([]Replica{b}, time.Minute)
			f.Expire(time.Minute + ReturnGrace)
		}, "b"},
		"lapsed is kept until then": {func(f *Fleet) {
			f.Away()
			f.Back(time.Minute)
			f.Reset([]Replica{b}, time.Minute)
			f.Expire(time.Minute + ReturnGrace - 1)
		}, "ab"},
		"lapsed and back stays": {func(f *Fleet) {
			f.Away()
			f.Back(time.Minute)
			f.Reset([]Replica{b}, time.Minute)
			f.Put(Replica{ID: "a", Revision: 9})
			f.Expire(time.Hour)
		}, "ab"},
		"a draining one that lapses is gone": {func(f *Fleet) {
			f.Put(Replica{ID: "a", Revision: 7, Draining: true})
			f.Away()
			f.Remove("a", 8, time.Minute)
		}, "b"},
		"an old deletion does not remove a newer entry": {func(f *Fleet) { f.Remove("a", 4, time.Minute) }, "ab"},
		"a list without it removes it":                  {func(f *Fleet) { f.Reset([]Replica{a}, time.Minute) }, "a"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := New()
			f.Put(a)
			f.Put(b)
			tt.play(f)
			is.New(t).Equal(ids(f), tt.want)
		})
	}
}

func TestOldEntry(t *testing.T) {
	is := is.New(t)
	f := New()
	f.Put(Replica{ID: "a", Revision: 5, Draining: true})
	f.Put(Replica{ID: "a", Revision: 4})
	is.True(f.Replicas()[0].Draining)
}
