package fporigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func segment(t interface{ Fatal(...any) }, list ...Entry) Segment {
	data, err := NewSegment(list).Marshal()
	if err != nil {
		t.Fatal(err)
	}
	s, err := UnmarshalSegment(data)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestArchive checks which origins an archive tells after segments were added.
func TestArchive(t *testing.T) {
	const retention = 10 * time.Second
	tests := map[string]struct {
		segments map[string][]Entry
		service  string
		id       string
		at       time.Duration
		want     string
		found    bool
	}{
		"archived":                {map[string][]Entry{"1": {entry("a", "v1"), entry("b", "v2")}}, "s", "b", 0, "v2", true},
		"build without name":      {map[string][]Entry{"1": {entry("a", "")}}, "s", "a", 0, "", true},
		"unknown":                 {map[string][]Entry{"1": {entry("a", "v1")}}, "s", "b", 0, "", false},
		"of another service":      {map[string][]Entry{"1": {entry("a", "v1")}}, "other", "a", 0, "", false},
		"inferred":                {map[string][]Entry{"1": {inferred("a", "v1", "r", 7, 0)}}, "s", "a", 0, "", false},
		"expired":                 {map[string][]Entry{"1": {entry("a", "v1")}}, "s", "a", retention, "", false},
		"twice the same":          {map[string][]Entry{"1": {entry("a", "v1")}, "2": {entry("a", "v1")}}, "s", "a", 0, "v1", true},
		"contradictory":           {map[string][]Entry{"1": {entry("a", "v1")}, "2": {entry("a", "v2")}}, "s", "a", 0, "", false},
		"contradictory at once":   {map[string][]Entry{"1": {entry("a", "v1"), entry("a", "v2")}}, "s", "a", 0, "", false},
		"contradictory elsewhere": {map[string][]Entry{"1": {entry("a", "v1"), entry("b", "v1")}, "2": {entry("b", "v2")}}, "s", "a", 0, "v1", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := Archive{Retention: retention, MaxOrigins: 8}
			for _, list := range tt.segments {
				a.Add(segment(t, list...), 0)
				a.Add(segment(t, list...), 0) // told twice
			}
			o, _, found := a.Find(tt.service, tt.id, tt.at)
			is.Equal(found, tt.found)
			is.Equal(o.Build, tt.want)
		})
	}
}

// TestArchiveIsBounded checks that an archive never holds more origins than its bound, and always the latest ones.
func TestArchiveIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 6
		a := Archive{Retention: time.Minute, MaxOrigins: bound}
		next := 0
		for i, n := range rapid.SliceOf(rapid.IntRange(0, 3)).Draw(t, "sizes") {
			var list []Entry
			for range n {
				list = append(list, entry(fmt.Sprint(next), "v1"))
				next += rapid.IntRange(0, 1).Draw(t, "step")
			}
			a.Add(segment(t, list...), time.Duration(i)*time.Millisecond)
			if a.Len() > bound || len(a.order) > 2*bound {
				t.Fatalf("%d origins, %d times added", a.Len(), len(a.order))
			}
			for _, e := range list {
				if _, _, found := a.Find("s", e.ID, time.Duration(i)*time.Millisecond); !found {
					t.Fatalf("%s was dropped", e.ID)
				}
			}
		}
	})
}

// TestArchiveKeepsWhatIsAddedAgain checks that an origin is kept for a retention after it was last added.
func TestArchiveKeepsWhatIsAddedAgain(t *testing.T) {
	is := is.New(t)
	a := Archive{Retention: 10 * time.Second, MaxOrigins: 8}
	a.Add(segment(t, entry("a", "v1"), entry("b", "v1")), 0)
	a.Add(segment(t, entry("a", "v1")), 6*time.Second)
	for id, want := range map[string]bool{"a": true, "b": false} {
		_, _, found := a.Find("s", id, 12*time.Second)
		is.Equal(found, want)
	}
	is.Equal(a.Len(), 1)
}

// BenchmarkArchive measures to look up a stream, and to read and add a segment of 600, where 1<<17 are known.
func BenchmarkArchive(b *testing.B) {
	a := Archive{Retention: time.Hour, MaxOrigins: 1 << 17}
	var data []byte
	for n := 0; n < a.MaxOrigins; {
		var list []Entry
		for range 600 {
			list = append(list, entry(fmt.Sprint(n), "v1"))
			n++
		}
		s := NewSegment(list)
		data, _ = s.Marshal()
		a.Add(s, time.Duration(n))
	}
	b.Run("find", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			a.Find("s", "77777", time.Minute)
		}
	})
	b.Run("add", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s, _ := UnmarshalSegment(data)
			a.Add(s, time.Minute)
		}
	})
	b.Logf("a segment of 600 takes %d bytes", len(data))
}

// TestUnmarshalSegment checks that bytes of another writer make no segment.
func TestUnmarshalSegment(t *testing.T) {
	for name, data := range map[string]string{
		"no JSON":                `origins`,
		"no list":                `{"Service":"s"}`,
		"a digest that is short": `[{"Service":"s","Build":"v1","Digests":"AAAA"}]`,
		"no base64":              `[{"Service":"s","Build":"v1","Digests":"*"}]`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := UnmarshalSegment([]byte(data))
			is.New(t).True(err != nil)
		})
	}
}
