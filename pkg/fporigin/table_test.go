package fporigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func entry(id, build string) Entry {
	return Entry{ID: id, Host: "h", Origin: Origin{Service: "s", Build: build}}
}

func TestTable(t *testing.T) {
	const retention = 10 * time.Second
	tests := map[string]struct {
		steps func(*Table)
		id    string
		at    time.Duration
		want  string
		known bool
	}{
		"recorded":           {func(a *Table) { a.Record(entry("a", "1"), 0) }, "a", 9 * time.Second, "1", true},
		"expired":            {func(a *Table) { a.Record(entry("a", "1"), 0) }, "a", retention, "", false},
		"unknown":            {func(a *Table) { a.Record(entry("a", "1"), 0) }, "b", 0, "", false},
		"kept by its use":    {func(a *Table) { a.Record(entry("a", "1"), 0); a.Use("a", 9*time.Second) }, "a", 18 * time.Second, "1", true},
		"replaced":           {func(a *Table) { a.Record(entry("a", "1"), 0); a.Record(entry("a", "2"), 0) }, "a", 0, "2", true},
		"not replaced":       {func(a *Table) { a.Record(entry("a", "1"), 0); a.Learn(entry("a", "2"), 0) }, "a", 0, "1", true},
		"unknown is learnt":  {func(a *Table) { a.Learn(entry("a", "2"), 0) }, "a", 0, "2", true},
		"learnt once old":    {func(a *Table) { a.Record(entry("a", "1"), 0); a.Learn(entry("a", "2"), retention) }, "a", retention, "2", true},
		"build without name": {func(a *Table) { a.Record(entry("a", ""), 0) }, "a", 0, "", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := NewTable(8, retention)
			tt.steps(a)
			got, known := a.Use(tt.id, tt.at)
			is.Equal(known, tt.known)
			is.Equal(got.Build, tt.want)
		})
	}
}

// TestTableIsBounded checks that a table never holds more than its bound, and always those used last.
func TestTableIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 4
		a := NewTable(bound, time.Minute)
		var used []string
		for i, n := range rapid.SliceOf(rapid.IntRange(0, 9)).Draw(t, "ids") {
			id := fmt.Sprint(n)
			a.Record(entry(id, "1"), time.Duration(i)*time.Millisecond)
			used = append([]string{id}, used...)
			if a.Len() > bound {
				t.Fatalf("%d entries", a.Len())
			}
			seen := make(map[string]bool)
			for _, id := range used {
				if seen[id] = true; len(seen) > bound {
					break
				}
				if !a.has(id) {
					t.Fatalf("%s was dropped", id)
				}
			}
		}
	})
}

func TestLatest(t *testing.T) {
	is := is.New(t)
	a := NewTable(8, time.Minute)
	for i, id := range []string{"a", "b", "c"} {
		a.Record(entry(id, "1"), time.Duration(i))
	}
	got := a.Latest(2, func(e Entry) bool { return e.ID != "c" }, 3)
	is.Equal(got, []Entry{entry("b", "1"), entry("a", "1")})
	is.Equal(len(a.Latest(1, func(Entry) bool { return true }, 3)), 1)
}

func (t *Table) has(id string) bool {
	_, ok := t.elements[id]
	return ok
}
