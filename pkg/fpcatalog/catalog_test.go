package fpcatalog

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
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

// TestCacheNamespaceHoldsNoDedicatedParts lets teams become dedicated and cease to be so, at hosts some of which use an
// earlier configuration. A namespace that two teams use must hold no part of a team that is dedicated where it is used,
// or was where the part was made.
func TestCacheNamespaceHoldsNoDedicatedParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "a/b", "/", ""}
		var history []*Catalog
		makers := make(map[string]map[string]bool)
		for version := range rapid.IntRange(1, 12).Draw(t, "versions") {
			var teams []Team
			for _, n := range names {
				if rapid.Bool().Draw(t, "present") {
					teams = append(teams, Team{Name: n, Dedicated: rapid.Bool().Draw(t, "dedicated")})
				}
			}
			history = append(history, New(Document{Version: uint64(version), Teams: teams}))
			c := history[rapid.IntRange(0, version).Draw(t, "in force at the host")]
			for i := range c.document.Teams {
				team := &c.document.Teams[i]
				namespace := c.CacheNamespace(team)
				if makers[namespace] == nil {
					makers[namespace] = make(map[string]bool)
				}
				makers[namespace][team.Name] = true
				for _, other := range c.document.Teams {
					shared := other.Name != team.Name && makers[namespace][other.Name]
					if shared && (team.Dedicated || other.Dedicated) {
						t.Fatalf("version %d: team %q uses parts of %q in namespace %q", c.Version(), team.Name, other.Name, namespace)
					}
				}
			}
		}
	})
}

func TestCacheNamespace(t *testing.T) {
	team := func(name string, dedicated bool) Team { return Team{Name: name, Dedicated: dedicated} }
	namespace := func(name string, teams ...Team) string {
		c := New(Document{Teams: teams})
		for i := range c.document.Teams {
			if c.document.Teams[i].Name == name {
				return c.CacheNamespace(&c.document.Teams[i])
			}
		}
		return c.CacheNamespace(nil)
	}
	is := is.New(t)
	before := []Team{team("a", false), team("b", false)}
	after := []Team{team("b", false), team("a", true)}
	is.Equal(namespace("a", before...), "") // as in former builds
	is.Equal(namespace("b", before...), "")
	is.Equal(namespace("a", after...), "a") // as in former builds
	is.True(namespace("b", after...) != namespace("b", before...))
	is.Equal(namespace("b", after...), namespace("c", append(after, team("c", false))...)) // shared
	is.Equal(namespace("b", after...), namespace("", after...))                            // without a team
	is.Equal(namespace("b", after...), namespace("b", team("a", true), team("b", false)))  // in any order
}
