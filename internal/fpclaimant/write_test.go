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
	// maxWrites is the users' bound on writes a second for claims.
	maxWrites = 300
	// claimsPerSecond is one in fifty of the letter's 57,000 requests a second.
	claimsPerSecond = 1140
	fleetSize       = 40
	lingerAtSize    = 110 * time.Millisecond
	playFor         = 5 * time.Second
)

type (
	// claimFleet is many hosts that settle claims for each other.
	claimFleet struct {
		mu      sync.Mutex
		members []Member
		brokers map[string]*Broker
		waits   []time.Duration
	}
)

// nearby is the store a few milliseconds away.
func nearby(s *fpmemory.Store) fpmemory.Direct {
	return fpmemory.Direct{Store: s, Reach: func(context.Context, bool) (bool, error) {
		time.Sleep(3 * time.Millisecond)
		return true, nil
	}}
}

func (f *claimFleet) Claim(ctx context.Context, address string, c fpclaim.Claim, wait time.Duration) (Settled, error) {
	time.Sleep(2 * time.Millisecond)
	return f.brokers[address].SettleClaim(ctx, c, wait), nil
}

func (*claimFleet) Answer(context.Context, string, fpclaim.Claim, time.Duration) (State, Result, error) {
	return Unreachable, Result{}, nil
}

func (*claimFleet) Knows(context.Context, string, fpclaim.Key) (bool, error) { return false, nil }

func (f *claimFleet) others(name string) []Member {
	return slices.DeleteFunc(slices.Clone(f.members), func(m Member) bool { return m.Name == name })
}

// TestWritesAtSize settles the letter's claims a second over many hosts and
// counts the writes that the platform sees.
func TestWritesAtSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fpmemory.New()
		ctx, cancel := context.WithCancel(context.Background())
		f := &claimFleet{brokers: make(map[string]*Broker)}
		for i := range fleetSize {
			name := fmt.Sprintf("entry-%02d", i)
			f.members = append(f.members, Member{Name: name, Address: name, Incarnation: 1})
		}
		for _, m := range f.members {
			c := New(m.Name, nearby(store), Settings{Shard: fpclaim.Settings{Linger: lingerAtSize}})
			go func() { _ = c.Run(ctx) }()
			f.brokers[m.Name] = NewBroker(m, 0, c, NewAnswers(10), f, func() []Member { return f.others(m.Name) }, func() {})
		}
		granted := f.play(ctx)
		writes := store.Counts().Writes * int64(time.Second) / int64(playFor)
		reads := store.Counts().Reads
		slices.Sort(f.waits)
		t.Logf("%d claims a second: %d writes a second, %d reads in all, waits %v at the median and %v at the 99th percentile",
			claimsPerSecond, writes, reads, f.waits[len(f.waits)/2], f.waits[len(f.waits)*99/100])
		if writes > maxWrites {
			t.Errorf("%d writes a second, target %d", writes, maxWrites)
		}
		if want := claimsPerSecond * int(playFor/time.Second); granted != want {
			t.Errorf("%d of %d claims granted", granted, want)
		}
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// play has the hosts ask for claims at their pace, and counts those granted.
func (f *claimFleet) play(ctx context.Context) int {
	var wg sync.WaitGroup
	granted := 0
	for i := range claimsPerSecond * int(playFor/time.Second) {
		name := f.members[i%fleetSize].Name
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / claimsPerSecond)
			asked := time.Now()
			c := fpclaim.Claim{
				Key:     fpclaim.NewKey("t", fmt.Sprint(i)),
				Attempt: fmt.Sprint(i),
				Host:    name,
				At:      asked.UnixMilli(),
			}
			s := f.brokers[name].Claim(ctx, c)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.waits = append(f.waits, time.Since(asked))
			if s.Verdict == fpclaim.Granted {
				granted++
			}
		})
	}
	wg.Wait()
	return granted
}
