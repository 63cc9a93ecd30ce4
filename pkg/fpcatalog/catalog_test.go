package fpcatalog

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestRoute(t *testing.T) {
	c := New(Document{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}})
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":      {"a.example", "/x/y/z", "long"},
		"shorter prefix":      {"a.example", "/x/z", "short"},
		"host's case":         {"A.Example", "/x/z", "short"},
		"prefix without end":  {"a.example", "/x", ""},
		"another host":        {"b.example", "/x/y/", "other"},
		"unknown host":        {"c.example", "/x/", ""},
		"prefix as substring": {"a.example", "/w/x/", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := c.Route(tt.host, tt.path); r != nil {
				got = r.Name
			}
			is.New(t).Equal(got, tt.want)
		})
	}
}

func TestPick(t *testing.T) {
	is := is.New(t)
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := make(map[string]int)
	for i := range 10_000 {
		id := fmt.Sprint("id", i)
		counts[r.Pick(id)]++
		is.Equal(r.Pick(id), r.Pick(id))
	}
	is.True(counts["b"] > 800 && counts["b"] < 1200)
	is.Equal((&Route{}).Pick("x"), "")
	is.Equal((&Route{Targets: []Target{{Service: "a"}}}).Pick("x"), "a")
	is.Equal((&Route{Targets: []Target{{Service: "a", Weight: 0}, {Service: "b", Weight: 1}}}).Pick("x"), "b")
}

func TestRank(t *testing.T) {
	is := is.New(t)
	first, second := 0, 1
	urgent, calm := &Route{Priority: 0}, &Route{Priority: 1}
	is.True(urgent.Rank(nil) < calm.Rank(nil))
	is.True(calm.Rank(&Team{Priority: &first}) < urgent.Rank(&Team{Priority: &second}))
	is.True(urgent.Rank(&Team{Priority: &second}) < calm.Rank(&Team{Priority: &second}))
	is.True(calm.Rank(nil) < calm.LongRank(nil))
	is.True(calm.LongRank(&Team{Priority: &first}) < urgent.Rank(&Team{Priority: &second}))
}

func TestRepeatable(t *testing.T) {
	tests := map[string]struct {
		route Route
		want  bool
	}{
		"idempotent":       {Route{Kind: Idempotent}, true},
		"once":             {Route{Kind: Once, Resumable: true}, false},
		"stream":           {Route{Kind: Stream}, false},
		"resumable stream": {Route{Kind: Stream, Resumable: true}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(tt.route.Repeatable(), tt.want) })
	}
}
