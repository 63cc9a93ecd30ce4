package fproute

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

const (
	// maxDecisionAllocations is the users' bound on one decision at 400 replicas.
	maxDecisionAllocations = 10
	// requestsPerSecond is a host's rate at the letter's size.
	requestsPerSecond = 65
	// prefixes is the number of prefixes that the benchmark's requests share.
	prefixes = 64
)

var start = time.Unix(1000, 0)

func view(n int) *View {
	v := &View{Zone: "z", Hosts: 3}
	for i := range n {
		v.Replicas = append(v.Replicas, Replica{
			Name:        fmt.Sprintf("r%04d", i),
			Incarnation: 1,
			Zone:        "z",
			Model:       "m",
			Weights:     "1",
			PrefillRate: 10_000,
			ReportedAt:  start,
			Hash:        HashName(fmt.Sprintf("r%04d", i)),
		})
	}
	return v
}

func request(id string) Request {
	return Request{ID: id, Model: "m", Weights: "1", Prompt: fpprefix.Prompt{Tokens: 10_500, Levels: []fpprefix.Level{
		{Key: 1, Tokens: 5000}, {Key: 2, Tokens: 9000}, {Key: 3, Tokens: 10_000},
	}}}
}

// TestPlace shows what decides.
func TestPlace(t *testing.T) {
	tests := map[string]struct {
		prepare func(*Router, *View, *Request)
		check   func(*is.I, Decision, error, Decision)
	}{
		"all hosts agree without talking": {
			func(*Router, *View, *Request) {},
			func(is *is.I, d Decision, err error, fresh Decision) {
				is.NoErr(err)
				is.Equal(d.Ranked[0].Replica, fresh.Ranked[0].Replica)
				is.True(d.Ranked[0].Home)
			},
		},
		"a dead incarnation's entries don't count": {
			func(r *Router, v *View, q *Request) {
				for i := range v.Replicas {
					c := Candidate{Replica: v.Replicas[i].Name, Incarnation: 1}
					r.FirstToken(*q, c, 10_000, start)
					v.Replicas[i].Incarnation = 2
				}
			},
			func(is *is.I, d Decision, err error, _ Decision) {
				is.NoErr(err)
				is.True(d.Ranked[0].HitTokens < 10_000)
			},
		},
		"a holder beats the home": {
			func(r *Router, _ *View, q *Request) {
				r.FirstToken(*q, Candidate{Replica: "r0002", Incarnation: 1}, 10_000, start)
			},
			func(is *is.I, d Decision, err error, _ Decision) {
				is.NoErr(err)
				is.Equal(d.Ranked[0].Replica, "r0002")
				is.Equal(d.Ranked[0].HitTokens, 10_000.0)
			},
		},
		"a long queue beats a holder": {
			func(r *Router, v *View, q *Request) {
				r.FirstToken(*q, Candidate{Replica: "r0002", Incarnation: 1}, 10_000, start)
				v.Replicas[2].Queued[Interactive] = 100_000
			},
			func(is *is.I, d Decision, err error, _ Decision) {
				is.NoErr(err)
				is.True(d.Ranked[0].Replica != "r0002")
			},
		},
		"leaving and down replicas get nothing": {
			func(_ *Router, v *View, _ *Request) {
				v.Replicas[0].Leaving = true
				v.Replicas[1].Down = true
				v.Replicas[2].Weights = "2"
			},
			func(is *is.I, d Decision, err error, _ Decision) {
				is.NoErr(err)
				is.Equal(d.Eligible, 1)
				is.Equal(d.Ranked[0].Replica, "r0003")
			},
		},
		"nobody serves the model": {
			func(_ *Router, _ *View, q *Request) { q.Model = "x" },
			func(is *is.I, _ Decision, err error, _ Decision) { is.True(errors.Is(err, ErrNoReplica)) },
		},
		"overload is refused early": {
			func(_ *Router, v *View, _ *Request) {
				for i := range v.Replicas {
					v.Replicas[i].Queued[Interactive] = 1e6
				}
			},
			func(is *is.I, d Decision, err error, _ Decision) {
				is.True(errors.Is(err, ErrOverload))
				is.True(d.Ranked[0].Queue > 20)
			},
		},
		"work stays in the zone": {
			func(_ *Router, v *View, _ *Request) {
				for i := range 3 {
					v.Replicas[i].Zone = "far"
				}
				v.Replicas[3].Queued[Interactive] = 5000
			},
			func(is *is.I, d Decision, err error, _ Decision) {
				is.NoErr(err)
				is.Equal(d.Ranked[0].Replica, "r0003")
			},
		},
		"a zone without replicas is helped": {
			func(_ *Router, v *View, _ *Request) {
				for i := range v.Replicas {
					v.Replicas[i].Zone = "far"
				}
			},
			func(is *is.I, d Decision, err error, _ Decision) {
				is.NoErr(err)
				is.True(d.Ranked[0].Remote)
			},
		},
		"an open circuit keeps work away": {
			func(r *Router, _ *View, q *Request) {
				for range circuitFailures {
					r.Failed(*q, Candidate{Replica: "r0000"}, start)
				}
			},
			func(is *is.I, d Decision, err error, _ Decision) {
				is.NoErr(err)
				is.Equal(d.Eligible, 3)
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v, q := view(4), request("q")
			fresh, err := NewRouter(Settings{}).Place(v, q, start)
			is.NoErr(err)
			r := NewRouter(Settings{})
			tt.prepare(r, v, &q)
			d, err := r.Place(v, q, start)
			tt.check(is, d, err, fresh)
		})
	}
}

// TestCircuit opens after failures, probes once and closes on success.
func TestCircuit(t *testing.T) {
	is := is.New(t)
	c := &Circuit{}
	for range circuitFailures {
		is.True(c.Allows(start))
		c.Failed(start)
	}
	is.True(!c.Allows(start))
	later := start.Add(circuitOpenFor)
	is.True(c.Allows(later))
	c.Dispatched()
	is.True(!c.Allows(later))
	c.Failed(later)
	is.True(!c.Allows(later.Add(circuitOpenFor)))
	is.True(c.Allows(later.Add(2 * circuitOpenFor)))
}

// TestRetryBudget holds retries to a tenth of requests after a first burst.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	var b RetryBudget
	retries := 0
	for range 10_000 {
		b.Request()
		if b.Take() {
			retries++
		}
	}
	is.True(retries <= 1000+int(retryBurst))
}

// TestHotPrefix gives a prefix more homes as its load grows, and takes them back.
func TestHotPrefix(t *testing.T) {
	is := is.New(t)
	r, v := NewRouter(Settings{}), view(8)
	now := start
	widest := 0
	for i := range 2000 {
		now = now.Add(5 * time.Millisecond)
		d, err := r.Place(v, request(fmt.Sprint(i)), now)
		is.NoErr(err)
		widest = max(widest, d.Width)
	}
	is.True(widest > 1)
	d, err := r.Place(v, request("late"), now.Add(time.Minute))
	is.NoErr(err)
	is.Equal(d.Width, 1)
}

// TestDecisionAllocations bounds a decision's allocations at a zone of 400 replicas.
func TestDecisionAllocations(t *testing.T) {
	r, v, q := NewRouter(Settings{}), view(400), request("q")
	n := testing.AllocsPerRun(200, func() { _, _ = r.Place(v, q, start) })
	if n > maxDecisionAllocations {
		t.Errorf("%v allocations, bound %d", n, maxDecisionAllocations)
	}
}

// BenchmarkPlace measures a decision by the number of replicas in the zone.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{3, 50, 400} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			r, v := NewRouter(Settings{}), view(n)
			now := start
			var asked []Request
			for i := range prefixes {
				q := request("q")
				for l := range q.Prompt.Levels {
					q.Prompt.Levels[l].Key += fpprefix.Key(10 * i)
				}
				asked = append(asked, q)
			}
			for i := range b.N {
				now = now.Add(time.Second / requestsPerSecond)
				_, _ = r.Place(v, asked[i%prefixes], now)
			}
		})
	}
}

// BenchmarkKnowledge measures what a remembered prefix takes in time and memory.
func BenchmarkKnowledge(b *testing.B) {
	b.ReportAllocs()
	k := NewKnowledge(200_000)
	for i := range b.N {
		k.Stored(fpprefix.Key(i), "r0001", 1, start)
	}
}

// TestAbandonedProbe lets the next probe through when nobody waits for the last one.
func TestAbandonedProbe(t *testing.T) {
	is := is.New(t)
	r, q := NewRouter(Settings{}), request("q")
	c := Candidate{Replica: "r0000", Incarnation: 1}
	for range circuitFailures {
		r.Failed(q, c, start)
	}
	later := start.Add(circuitOpenFor)
	is.True(r.allows(c.Replica, later))
	r.Dispatched(q, c, later)
	is.True(!r.allows(c.Replica, later))
	r.Abandoned(q, c)
	is.True(r.allows(c.Replica, later))
}
