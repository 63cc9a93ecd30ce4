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

func inferred(id, build, replica string, start int64, since time.Duration) Entry {
	e := entry(id, build)
	e.Inference = Inference{Replica: replica, StartUnixMilli: start, Since: since}
	return e
}

// TestInferredOrigin checks when an inferred origin becomes certain, and which origin goes before which.
func TestInferredOrigin(t *testing.T) {
	const second = time.Second
	tests := map[string]struct {
		steps   func(*Table)
		build   string
		certain bool
	}{
		"inferred":                       {func(a *Table) { a.Record(inferred("a", "1", "r", 7, second), second) }, "1", false},
		"its start answers later":        {func(a *Table) { a.Record(inferred("a", "1", "r", 7, second), second); a.Confirm("r", 7, 2*second) }, "1", true},
		"its start answered at the time": {func(a *Table) { a.Record(inferred("a", "1", "r", 7, second), second); a.Confirm("r", 7, second) }, "1", true},
		"its start answered before":      {func(a *Table) { a.Record(inferred("a", "1", "r", 7, second), second); a.Confirm("r", 7, second-1) }, "1", false},
		"another start answers":          {func(a *Table) { a.Record(inferred("a", "1", "r", 7, second), second); a.Confirm("r", 8, 2*second) }, "1", false},
		"another replica answers":        {func(a *Table) { a.Record(inferred("a", "1", "r", 7, second), second); a.Confirm("s", 7, 2*second) }, "1", false},
		"a certain one is learnt":        {func(a *Table) { a.Record(inferred("a", "1", "r", 7, second), second); a.Learn(entry("a", "2"), second) }, "2", true},
		"a certain one stays":            {func(a *Table) { a.Record(entry("a", "1"), 0); a.Learn(inferred("a", "2", "r", 7, second), second) }, "1", true},
		"the first inferred one stays": {func(a *Table) {
			a.Record(inferred("a", "1", "r", 7, second), second)
			a.Learn(inferred("a", "2", "s", 7, second), second)
		}, "1", false},
		"one inferred from nothing": {func(a *Table) { a.Record(inferred("a", "?", "", 0, second), second); a.Confirm("", 0, 2*second) }, "?", false},
		"evidence for one inferred from nothing": {func(a *Table) {
			a.Record(inferred("a", "?", "", 0, second), second)
			a.Learn(inferred("a", "1", "r", 7, second), second)
			a.Confirm("r", 7, 2*second)
		}, "1", true},
		"recorded anew": {func(a *Table) {
			a.Record(inferred("a", "1", "r", 7, second), second)
			a.Record(inferred("a", "2", "s", 7, second), second)
			a.Confirm("r", 7, 2*second)
		}, "2", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := NewTable(8, 10*second)
			tt.steps(a)
			got, known := a.Use("a", 2*second)
			is.True(known)
			is.Equal(got.Build, tt.build)
			is.Equal(got.Certain(), tt.certain)
			is.Equal(len(a.Unconfirmed("h", 2*second)) > 0, !tt.certain && got.Inference.Replica != "")
			is.Equal(len(a.Unconfirmed("other", 2*second)), 0)
			is.Equal(len(a.Unconfirmed("h", 20*second)), 0)
			is.Equal(len(a.inferred), 0)
		})
	}
}
