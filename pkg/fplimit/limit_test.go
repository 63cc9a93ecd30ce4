package fplimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	stepInterval  = 100 * time.Millisecond
	shareInterval = 500 * time.Millisecond
	// limitTolerance is the fraction by which the fleet may exceed a limit: 5 % is the required bound.
	limitTolerance = 0.05
)

type (
	// fleet simulates hosts that share one team's limit through one allocator.
	fleet struct {
		now         time.Time
		limit       Rates
		hosts       []*Limiter
		shares      []Rates
		allocator   *Allocator
		partitioned map[int]bool
		admitted    []int
	}
)

func newFleet(n int, limit Rates) *fleet {
	f := &fleet{now: time.Unix(1000, 0), limit: limit, allocator: NewAllocator(), partitioned: map[int]bool{}, admitted: make([]int, n)}
	for range n {
		f.hosts = append(f.hosts, NewLimiter())
		f.shares = append(f.shares, EvenShare(limit, n))
	}
	return f
}

// offerLoad offers each host i perSecond[i] requests a second for the time d and returns the number
// of admitted requests.
func (f *fleet) offerLoad(d time.Duration, perSecond []float64) int {
	total := 0
	due := make([]float64, len(f.hosts))
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(stepInterval) {
		for i, h := range f.hosts {
			due[i] += perSecond[i] * stepInterval.Seconds()
			for ; due[i] >= 1; due[i]-- {
				if h.Admit("t", Quota{Share: f.shares[i]}, 10, f.now) == nil {
					h.Release("t")
					total++
					f.admitted[i]++
				}
			}
		}
		if f.now.UnixMilli()%shareInterval.Milliseconds() == 0 {
			f.updateShares()
		}
	}
	return total
}

// updateShares reports the demand of the hosts that aren't partitioned and sets their shares.
func (f *fleet) updateShares() {
	for i, h := range f.hosts {
		if !f.partitioned[i] {
			f.shares[i] = f.allocator.UpdateDemand(fmt.Sprint(i), h.Demand("t", f.now), f.limit, len(f.hosts), f.now)
		}
	}
}

// TestLimitOverFleet checks that a team gets its limit over all hosts, and no more, however its
// demand is distributed.
func TestLimitOverFleet(t *testing.T) {
	const limit = 100.0
	tests := map[string][]float64{
		"demand spread evenly":   {60, 60, 60, 60},
		"demand at one host":     {400, 0, 0, 0},
		"demand at two hosts":    {200, 200, 1, 1},
		"demand far above limit": {900, 900, 900, 900},
	}
	for name, demand := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(4, Rates{Requests: limit})
			f.offerLoad(3*time.Second, demand)
			got := float64(f.offerLoad(20*time.Second, demand)) / 20
			t.Logf("admitted %.1f a second of %.0f", got, limit)
			if got > limit*(1+limitTolerance) || got < limit*(1-limitTolerance) {
				t.Errorf("admitted %.1f a second, limit %.0f within 5 %%", got, limit)
			}
		})
	}
}

// TestShareFollowsDemand checks that when all demand moves to another host, that host gets the
// whole limit two seconds later.
func TestShareFollowsDemand(t *testing.T) {
	f := newFleet(3, Rates{Requests: 100})
	f.offerLoad(5*time.Second, []float64{300, 0, 0})
	f.offerLoad(2*time.Second, []float64{0, 300, 0})
	got := float64(f.offerLoad(10*time.Second, []float64{0, 300, 0})) / 10
	if got < 95 || got > 105 {
		t.Errorf("admitted %.1f a second after demand moved, limit 100 within 5 %%", got)
	}
}

// TestPartitionedHostKeepsShare checks that the fleet stays within the limit when a partitioned
// host keeps admitting within its last share: the other hosts must not get that share meanwhile.
func TestPartitionedHostKeepsShare(t *testing.T) {
	f := newFleet(3, Rates{Requests: 90})
	demand := []float64{100, 100, 100}
	f.offerLoad(5*time.Second, demand)
	f.partitioned[2] = true
	got := float64(f.offerLoad(20*time.Second, demand)) / 20
	if got > 90*(1+limitTolerance) {
		t.Errorf("admitted %.1f a second with a host partitioned, limit 90 within 5 %%", got)
	}
}

// TestAdmitReportsReachedLimit checks that a refusal names the limit that was reached.
func TestAdmitReportsReachedLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		quota  Quota
		tokens float64
		calls  int
		limit  Limit
	}{
		"request rate": {Quota{Share: Rates{Requests: 2}}, 1, 3, RequestRateLimit},
		"token rate":   {Quota{Share: Rates{Tokens: 10}}, 20, 2, TokenRateLimit},
		"concurrency":  {Quota{MaxRunning: 1}, 1, 2, ConcurrencyLimit},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := NewLimiter()
			var last *Refusal
			for range tt.calls {
				last = l.Admit("t", tt.quota, tt.tokens, now)
			}
			is.True(last != nil)
			is.Equal(last.Limit, tt.limit)
			is.True(last.RetryAfter > 0)
		})
	}
	t.Run("unlimited", func(t *testing.T) {
		l := NewLimiter()
		for range 1000 {
			is.New(t).True(l.Admit("t", Quota{}, 1e6, now) == nil)
		}
	})
}

// TestVirtualStart checks that a team beyond its rate starts behind a team within its own, and that
// it is refused at MaxLag while replicas are busy: with a longer lag its work would come due in a
// flood.
func TestVirtualStart(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	now := time.Unix(1000, 0)
	latest, refused := now, 0
	for range 100 {
		start, refusal := l.VirtualStart("big", 1000, 1000, true, now)
		if refusal != nil {
			refused++
			is.Equal(refusal.Limit, BusyShareLimit)
			is.True(refusal.RetryAfter > 0)
			continue
		}
		latest = start
	}
	is.Equal(latest, now.Add(MaxLag))
	is.Equal(refused, 100-1-int(MaxLag/time.Second))
	small, refusal := l.VirtualStart("small", 1000, 1000, true, now)
	is.True(refusal == nil)
	is.Equal(small, now)
	start, refusal := l.VirtualStart("big", 1000, 1000, false, now)
	is.True(refusal == nil)
	is.Equal(start, now.Add(MaxLag))
	later := now.Add(2 * MaxLag)
	start, refusal = l.VirtualStart("big", 1000, 1000, true, later)
	is.True(refusal == nil)
	is.Equal(start, later)
}

// TestEntitledRate checks that a team is entitled to what the others leave of nine tenths of the
// capacity, and at least to an even part.
func TestEntitledRate(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	now := time.Unix(1000, 0)
	is.Equal(l.EntitledRate("a", 1000, 1, now), 900.0)
	l.Admit("b", Quota{}, 300, now)
	is.Equal(l.EntitledRate("a", 1000, 1, now), 600.0)
	is.Equal(l.EntitledRate("a", 1000, 0.5, now), 750.0)
	l.Admit("b", Quota{}, 900, now)
	is.Equal(l.EntitledRate("a", 1000, 1, now), 450.0)
}

// BenchmarkAdmit measures the time and memory of admission with few and many teams.
func BenchmarkAdmit(b *testing.B) {
	for _, teams := range []int{8, 2500} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			b.ReportAllocs()
			names := make([]string, teams)
			for i := range names {
				names[i] = fmt.Sprintf("team-%d", i)
			}
			l := NewLimiter()
			now := time.Unix(1000, 0)
			for i := range b.N {
				name := names[i%teams]
				if l.Admit(name, Quota{Share: Rates{Requests: 1e9}}, 100, now) == nil {
					l.Release(name)
				}
			}
		})
	}
}

// TestBurstAtLowDemand checks that a host without demand admits a burst of requests of a team that
// uses little of its limit.
func TestBurstAtLowDemand(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, Rates{Requests: 100})
	f.offerLoad(10*time.Second, []float64{1, 0})
	for range 10 {
		is.True(f.hosts[1].Admit("t", Quota{Share: f.shares[1]}, 10, f.now) == nil)
	}
}
