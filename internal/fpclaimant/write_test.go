package fpclaimant

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpmemory"
	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
)

const (
	// maxWritesPerSecond is the required bound on the platform writes that claims cause: 300 a
	// second.
	maxWritesPerSecond = 300
	// claimsPerSecond assumes that one in fifty of the specified 57,000 requests a
	// second is non-idempotent.
	claimsPerSecond = 1140
	fleetSize       = 40
	batchLinger     = 110 * time.Millisecond
	loadDuration    = 5 * time.Second
)

type (
	// claimFleet is a set of hosts that settle claims for each other.
	claimFleet struct {
		mu        sync.Mutex
		members   []Member
		brokers   map[string]*Broker
		latencies []time.Duration
	}
)

// withStoreLatency returns a connection to the store with a latency of 3 ms.
func withStoreLatency(s *fpmemory.Store) fpmemory.Direct {
	return fpmemory.Direct{Store: s, BeforeCall: func(context.Context, bool) (bool, error) {
		time.Sleep(3 * time.Millisecond)
		return true, nil
	}}
}

func (f *claimFleet) Claim(ctx context.Context, address string, c fpclaim.Claim, wait time.Duration) (ClaimResult, error) {
	time.Sleep(2 * time.Millisecond)
	return f.brokers[address].SettleClaim(ctx, c, wait), nil
}

func (*claimFleet) Answer(context.Context, string, fpclaim.Claim, time.Duration) (State, Result, error) {
	return Unreachable, Result{}, nil
}

func (*claimFleet) MayHaveDispatched(context.Context, string, fpclaim.Key) (bool, error) {
	return false, nil
}

func (f *claimFleet) membersExcept(name string) []Member {
	return slices.DeleteFunc(slices.Clone(f.members), func(m Member) bool { return m.Name == name })
}

// TestWriteRateOfLargeFleet checks that a large fleet at the specified rate of
// claims stays within the bound on platform writes and that all claims are granted.
func TestWriteRateOfLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fpmemory.New()
		ctx, cancel := context.WithCancel(context.Background())
		f := &claimFleet{brokers: make(map[string]*Broker)}
		for i := range fleetSize {
			name := fmt.Sprintf("entry-%02d", i)
			f.members = append(f.members, Member{Name: name, Address: name, Incarnation: 1})
		}
		for _, m := range f.members {
			c := New(m.Name, withStoreLatency(store), Settings{Shard: fpclaim.Settings{Linger: batchLinger}})
			go func() { _ = c.Run(ctx) }()
			f.brokers[m.Name] = NewBroker(m, 0, c, NewAttemptTable(10, 1<<20), f, func() []Member { return f.membersExcept(m.Name) }, func() {})
		}
		granted := f.runLoad(ctx)
		writes := store.Counts().Writes * int64(time.Second) / int64(loadDuration)
		reads := store.Counts().Reads
		slices.Sort(f.latencies)
		t.Logf("%d claims a second: %d writes a second, %d reads in all, latency %v at the median and %v at the 99th percentile",
			claimsPerSecond, writes, reads, f.latencies[len(f.latencies)/2], f.latencies[len(f.latencies)*99/100])
		if writes > maxWritesPerSecond {
			t.Errorf("%d writes a second, target %d", writes, maxWritesPerSecond)
		}
		if want := claimsPerSecond * int(loadDuration/time.Second); granted != want {
			t.Errorf("%d of %d claims granted", granted, want)
		}
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// runLoad has the hosts claim different requests at a constant rate and returns
// the number of claims granted.
func (f *claimFleet) runLoad(ctx context.Context) int {
	var wg sync.WaitGroup
	granted := 0
	for i := range claimsPerSecond * int(loadDuration/time.Second) {
		name := f.members[i%fleetSize].Name
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / claimsPerSecond)
			start := time.Now()
			c := fpclaim.Claim{
				Key:     fpclaim.NewKey("t", fmt.Sprint(i)),
				Attempt: fmt.Sprint(i),
				Host:    name,
				At:      start.UnixMilli(),
			}
			s := f.brokers[name].Claim(ctx, c)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.latencies = append(f.latencies, time.Since(start))
			if s.Verdict == fpclaim.Granted {
				granted++
			}
		})
	}
	wg.Wait()
	return granted
}
