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
		"longest prefix":               {"a.example", "/x/y/z", "long"},
		"shorter prefix":               {"a.example", "/x/z", "short"},
		"host in upper case":           {"A.Example", "/x/z", "short"},
		"path shorter than prefix":     {"a.example", "/x", ""},
		"route of another host":        {"b.example", "/x/y/", "other"},
		"unknown host":                 {"c.example", "/x/", ""},
		"prefix in the middle of path": {"a.example", "/w/x/", ""},
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

func TestPickServiceFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := make(map[string]int)
	for i := range 10_000 {
		id := fmt.Sprint("id", i)
		counts[r.PickService(id)]++
		is.Equal(r.PickService(id), r.PickService(id))
	}
	is.True(counts["b"] > 800 && counts["b"] < 1200)
	is.Equal((&Route{}).PickService("x"), "")
	is.Equal((&Route{Targets: []Target{{Service: "a"}}}).PickService("x"), "a")
	is.Equal((&Route{Targets: []Target{{Service: "a", Weight: 0}, {Service: "b", Weight: 1}}}).PickService("x"), "b")
}

func TestRankOrder(t *testing.T) {
	is := is.New(t)
	teamFirst, teamSecond := 0, 1
	highPriority, lowPriority := &Route{Priority: 0}, &Route{Priority: 1}
	is.True(highPriority.Rank(nil) < lowPriority.Rank(nil))
	is.True(lowPriority.Rank(&Team{Priority: &teamFirst}) < highPriority.Rank(&Team{Priority: &teamSecond}))
	is.True(highPriority.Rank(&Team{Priority: &teamSecond}) < lowPriority.Rank(&Team{Priority: &teamSecond}))
	is.True(lowPriority.Rank(nil) < lowPriority.LongRank(nil))
	is.True(lowPriority.LongRank(&Team{Priority: &teamFirst}) < highPriority.Rank(&Team{Priority: &teamSecond}))
}

func TestRepeatable(t *testing.T) {
	tests := map[string]struct {
		route Route
		want  bool
	}{
		"idempotent":       {Route{Kind: Idempotent}, true},
		"at most once":     {Route{Kind: AtMostOnce, Resumable: true}, false},
		"stream":           {Route{Kind: Stream}, false},
		"resumable stream": {Route{Kind: Stream, Resumable: true}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(tt.route.Repeatable(), tt.want) })
	}
}
