package fpbalance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	start = time.Hour
)

func engines() []Replica {
	return []Replica{
		{ID: "a", Address: "1.1.1.1:1", Zone: "z1", Region: "r1", Slots: 8, Version: 1, Engine: true},
		{ID: "b", Address: "1.1.1.2:1", Zone: "z1", Region: "r1", Slots: 8, Version: 1, Engine: true},
		{ID: "c", Address: "1.1.2.1:1", Zone: "z2", Region: "r2", Slots: 8, Version: 1, Engine: true},
	}
}

func review() Request {
	return Request{
		ID:    "q",
		Parts: []Part{{ID: "manual", Tokens: 13_300}, {ID: "own", Tokens: 3_700}},
		Salt:  func(int64) string { return "salt" },
		Left:  10 * time.Second,
	}
}

func hint() Request {
	q := review()
	q.Parts = []Part{{ID: "short", Tokens: 90}, {ID: "own", Tokens: 290}}
	return q
}

// TestChoose replays single beliefs and the choice that follows from each.
func TestChoose(t *testing.T) {
	link := Link{BytesPerToken: 18_432, Megabits: 370_000}
	home := func() string { return New(Place{Zone: "z1", Region: "r1"}).home(engines(), review()) }
	tests := map[string]struct {
		request Request
		prepare func(*Balancer)
		check   func(*is.I, Choice, error)
	}{
		"a short request stays in its zone": {request: hint(), check: func(is *is.I, c Choice, err error) {
			is.NoErr(err)
			is.Equal(c.Replica.Zone, "z1")
		}},
		"a long one goes where its first part is at home": {request: review(), check: func(is *is.I, c Choice, err error) {
			is.NoErr(err)
			is.Equal(c.Replica.ID, home())
		}},
		"a holder in the zone goes before the home": {request: review(), prepare: func(b *Balancer) {
			b.Directory().Stored("b", "salt", "manual", 13_300, true, start)
		}, check: func(is *is.I, c Choice, err error) {
			is.NoErr(err)
			is.Equal(c.Replica.ID, "b")
			is.Equal(c.Hit, 13_300)
		}},
		"a busy holder is copied from": {request: review(), prepare: func(b *Balancer) {
			b.Directory().Stored("b", "salt", "manual", 13_300, true, start)
			b.Heard("b", "other", 60_000, 0, "salt", nil, start)
		}, check: func(is *is.I, c Choice, err error) {
			is.NoErr(err)
			is.Equal(c.Replica.ID, "a")
			is.Equal(c.Source, "1.1.1.2:1")
			is.Equal(c.Copied, 13_300)
		}},
		"what was only just sent there is not copied": {request: review(), prepare: func(b *Balancer) {
			b.Directory().Stored("b", "salt", "manual", 13_300, false, start)
			b.Heard("b", "other", 60_000, 0, "salt", nil, start)
		}, check: func(is *is.I, c Choice, err error) {
			is.NoErr(err)
			is.Equal(c.Source, "")
		}},
		"a holder that is gone is not copied from": {request: review(), prepare: func(b *Balancer) {
			b.Directory().Stored("b", "salt", "manual", 13_300, true, start)
			b.Down("b", start)
		}, check: func(is *is.I, c Choice, err error) {
			is.NoErr(err)
			is.True(c.Replica.ID != "b")
			is.Equal(c.Source, "")
		}},
		"another salt's parts don't count": {request: review(), prepare: func(b *Balancer) {
			b.Directory().Stored("b", "older", "manual", 13_300, true, start)
		}, check: func(is *is.I, c Choice, err error) {
			is.NoErr(err)
			is.Equal(c.Hit+c.Copied, 0)
		}},
		"replicas that load weights get nothing": {
			request: with(hint(), func(q *Request) { q.Exclude = []string{"a", "b", "c"} }),
			check:   func(is *is.I, _ Choice, err error) { is.Equal(err, ErrNoReplica) },
		},
		"weights beyond their time are not used": {
			request: with(hint(), func(q *Request) { q.Oldest = 2 }),
			check:   func(is *is.I, _ Choice, err error) { is.Equal(err, ErrNoReplica) },
		},
		"what can't be answered in time is refused at once": {
			request: with(review(), func(q *Request) { q.Left = 300 * time.Millisecond }),
			prepare: func(b *Balancer) {
				for _, r := range []string{"a", "b", "c"} {
					b.Heard(r, "other", 100_000, 0, "salt", nil, start)
				}
			},
			check: func(is *is.I, _ Choice, err error) { is.Equal(err, ErrLate) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := New(Place{Zone: "z1", Region: "r1"})
			if tt.prepare != nil {
				tt.prepare(b)
			}
			c, err := b.Choose(engines(), tt.request, link, start)
			tt.check(is.New(t), c, err)
		})
	}
}

// TestStaleWeights checks that newer weights win only while they aren't overloaded.
func TestStaleWeights(t *testing.T) {
	is := is.New(t)
	b := New(Place{Zone: "z1", Region: "r1"})
	replicas := engines()[:2]
	replicas[0].Version = 2
	q := with(hint(), func(q *Request) { q.Newest, q.NamedFor = 2, 3*time.Second })
	c, err := b.Choose(replicas, q, Link{}, start)
	is.NoErr(err)
	is.Equal(c.Replica.ID, "a")
	b.Heard("a", "other", 60_000, 0, "", nil, start)
	c, err = b.Choose(replicas, q, Link{}, start)
	is.NoErr(err)
	is.Equal(c.Replica.ID, "b")
}

// TestRanks replays a burst of long requests: short ones of a better rank don't
// wait behind them, and those that can't be on time go behind those that can.
func TestRanks(t *testing.T) {
	is := is.New(t)
	b := New(Place{Zone: "z1", Region: "r1"})
	replicas := engines()[:1]
	long := with(review(), func(q *Request) { q.Rank, q.Objective = 4, 800*time.Millisecond })
	ranks := make(map[int]int)
	for i := range 8 {
		long.Parts = []Part{{ID: fmt.Sprint("manual ", i), Tokens: 13_300}, {ID: "own", Tokens: 3_700}}
		c, err := b.Choose(replicas, long, Link{}, start)
		is.NoErr(err)
		b.Sent(c, long, start)
		ranks[c.Rank]++
	}
	is.True(ranks[4] >= 2)
	is.True(ranks[LateRank] >= 4)
	c, err := b.Choose(replicas, with(hint(), func(q *Request) { q.Rank, q.Objective = 3, 500*time.Millisecond }), Link{}, start)
	is.NoErr(err)
	is.Equal(c.Rank, 3)
	// It waits for the prompt that is being read, and not for the queue.
	is.True(c.Wait < 250*time.Millisecond)
}

// TestShortFirst replays a burst of which a part finds its shared part cached:
// what is quick to compute doesn't wait behind what is not, on time or late.
func TestShortFirst(t *testing.T) {
	is := is.New(t)
	b := New(Place{Zone: "z1", Region: "r1"})
	replicas := engines()[:1]
	q := with(review(), func(q *Request) { q.Rank, q.LongRank, q.Objective = 4, 5, 800*time.Millisecond })
	cold := func(i int) Request {
		return with(q, func(q *Request) {
			q.Parts = []Part{{ID: fmt.Sprint("manual ", i), Tokens: 13_300}, {ID: "own", Tokens: 3_700}}
		})
	}
	b.Directory().Stored("a", "salt", "manual", 13_300, true, start)
	ranks := make(map[int]int)
	for i := range 8 {
		c, err := b.Choose(replicas, cold(i), Link{}, start)
		is.NoErr(err)
		b.Sent(c, cold(i), start)
		ranks[c.Rank]++
	}
	is.True(ranks[5] >= 1)
	is.True(ranks[LateRank] >= 4)
	c, err := b.Choose(replicas, q, Link{}, start)
	is.NoErr(err)
	is.Equal(c.Rank, 4)
	is.True(c.Wait < q.Objective)
	late := with(q, func(q *Request) { q.Waited = time.Second })
	c, err = b.Choose(replicas, late, Link{}, start)
	is.NoErr(err)
	is.Equal(c.Rank, ShortLateRank)
	c, err = b.Choose(replicas, with(cold(9), func(q *Request) { q.Waited = time.Second }), Link{}, start)
	is.NoErr(err)
	is.Equal(c.Rank, LateRank)
}

// TestDown replays a crash: one call to an address where nobody listens keeps
// all further work away, and single ones are tried again later.
func TestDown(t *testing.T) {
	is := is.New(t)
	b := New(Place{Zone: "z1", Region: "r1"})
	replicas := engines()[:2]
	b.Directory().Stored("b", "salt", "manual", 13_300, true, start)
	b.Down("b", start)
	for range 5 {
		c, err := b.Choose(replicas, review(), Link{}, start+time.Second)
		is.NoErr(err)
		is.Equal(c.Replica.ID, "a")
	}
	later := start + 3*time.Second
	c, err := b.Choose(replicas, review(), Link{}, later)
	is.NoErr(err)
	is.Equal(c.Replica.ID, "b")
	b.Sent(c, review(), later)
	probe := c
	c, err = b.Choose(replicas, review(), Link{}, later)
	is.NoErr(err)
	is.Equal(c.Replica.ID, "a")
	// The probe's caller leaves, or the replica is full: the next one may try.
	b.Ended(probe, false)
	c, err = b.Choose(replicas, review(), Link{}, later)
	is.NoErr(err)
	is.Equal(c.Replica.ID, "b")
}

// TestLoadReturns checks that all work that was counted is uncounted.
func TestLoadReturns(t *testing.T) {
	is := is.New(t)
	b := New(Place{Zone: "z1", Region: "r1"})
	for range 10 {
		c, err := b.Choose(engines(), review(), Link{}, start)
		is.NoErr(err)
		b.Sent(c, review(), start)
		b.Started(c, time.Millisecond, start)
		b.Ended(c, true)
		b.Sent(c, review(), start)
		b.Ended(c, false)
	}
	for id, l := range b.loads {
		is.Equal(l.unstarted, [ranks]int{}) // of id
		is.Equal(l.running, 0)
		_ = id
	}
}

// TestSaves checks that shared parts are saved once, and only in the store's region.
func TestSaves(t *testing.T) {
	is := is.New(t)
	b := New(Place{Zone: "z1", Region: "r1"})
	q := with(review(), func(q *Request) {
		q.Stores = []CacheStore{{ID: "keep", Address: "9.9.9.9:9", Zone: "z1", Region: "r1", Megabits: 44_000}}
	})
	c, err := b.Choose(engines()[:1], q, Link{BytesPerToken: 18_432, Megabits: 370_000}, start)
	is.NoErr(err)
	is.True(c.Save != nil)
	far, err := b.Choose(engines()[2:], q, Link{BytesPerToken: 18_432, Megabits: 370_000}, start)
	is.NoErr(err)
	is.True(far.Save == nil)
	b.Sent(c, q, start)
	c, err = b.Choose(engines()[:1], q, Link{BytesPerToken: 18_432, Megabits: 370_000}, start)
	is.NoErr(err)
	is.True(c.Save == nil)
	b.Directory().Stored("keep", "salt", "manual", 13_300, true, start)
	c, err = b.Choose(engines()[1:2], q, Link{BytesPerToken: 18_432, Megabits: 370_000}, start)
	is.NoErr(err)
	is.Equal(c.Source, "9.9.9.9:9")
}

func with(q Request, change func(*Request)) Request {
	change(&q)
	return q
}
