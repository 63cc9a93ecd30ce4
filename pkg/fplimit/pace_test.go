package fplimit

import (
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The cases that tests draw are the same in each run, unless the flag asks for others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestHostShare checks the number of hosts that share a limit, and that their shares add up to it.
func TestHostShare(t *testing.T) {
	tests := map[string]struct {
		limit   float64
		hosts   int
		sharers int
		sum     float64
	}{
		"small fleet":          {3.7, 4, 4, 3.7},
		"low limit":            {3.7, 9, 5, 3.7},
		"one host":             {3.7, 1, 1, 3.7},
		"large fleet":          {40, 880, 42, 40},
		"nothing allowed":      {0, 9, 2, minSharedRate},
		"higher than any rate": {1e300, 9, 9, 1e300},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Sharers(tt.limit, tt.hosts), tt.sharers)
			sum := 0.0
			for rank := range tt.hosts {
				sum += HostShare(tt.limit, rank, tt.hosts)
			}
			is.True(sum > 0.999*tt.sum && sum < 1.001*tt.sum)
		})
	}
}

// TestPaceKeepsLimit checks that all hosts together stay within a limit in any four seconds, whatever
// they have to send, and use it if they have a request at each tick: then a host loses at most a tick
// between two requests.
func TestPaceKeepsLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const window, tick, duration = 4 * time.Second, time.Millisecond, 12 * time.Second
		limit := rapid.Float64Range(0.2, 60).Draw(rt, "limit")
		hosts := rapid.IntRange(1, 40).Draw(rt, "hosts")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		paces := make([]Pace, hosts)
		for i := range paces {
			paces[i].SetShare(HostShare(limit, i, hosts), 0)
		}
		maxWait := time.Duration(rapid.IntRange(0, 2000).Draw(rt, "wait")) * time.Millisecond
		var sent []time.Duration
		for now := time.Duration(0); now < duration; now += tick {
			for i := range paces {
				p := &paces[i]
				if now%time.Second == 0 {
					p.SetShare(HostShare(limit, i, hosts), now)
				}
				for range 1 + r.IntN(2) {
					if wait := p.Wait(now); wait <= maxWait {
						p.Reserve(now)
						sent = append(sent, now+wait)
					}
				}
			}
		}
		slices.Sort(sent)
		first := 0
		for i, at := range sent {
			for at-sent[first] >= window {
				first++
			}
			if n := i - first + 1; float64(n) > 1.5*limit*window.Seconds()+5 {
				rt.Fatalf("%d requests in %v at %v a second of %d hosts", n, window, limit, hosts)
			}
		}
		least := 0.0
		for i := range paces {
			if share := HostShare(limit, i, hosts); share > 0 {
				least += math.Floor(duration.Seconds() / (1/share + tick.Seconds()))
			}
		}
		if float64(len(sent)) < least {
			rt.Fatalf("%d requests in %v at %v a second of %d hosts", len(sent), duration, limit, hosts)
		}
	})
}

// TestPace checks single waits.
func TestPace(t *testing.T) {
	is := is.New(t)
	var p Pace
	p.SetShare(2, time.Second)
	is.Equal(p.Wait(time.Second), time.Duration(0))
	p.Reserve(time.Second)
	p.Reserve(time.Second) // waits for the one before
	is.Equal(p.Wait(time.Second), time.Second)
	p.SetShare(2, time.Second) // told again
	is.Equal(p.Wait(time.Second), time.Second)
	p.SetShare(10, time.Second) // a higher share shortens the wait
	is.Equal(p.Wait(time.Second), 200*time.Millisecond)
	p.SetShare(0, 2*time.Second)
	is.Equal(p.Wait(3*time.Second), NoShare)
	is.Equal(p.Wait(2*time.Second+ProbeInterval), time.Duration(0))
	p.Reserve(2*time.Second + ProbeInterval)
	is.Equal(p.Wait(2*time.Second+ProbeInterval), ProbeInterval)
}
