package fpfollower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpmemory"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
)

const (
	herdSize = 880
	// startSpread and joinEvery are those of a host's start.
	startSpread = 12 * time.Millisecond
	joinEvery   = 200 * time.Millisecond
	// maxReads is what the platform takes in a second.
	maxReads = 2000
)

// startHost does what a host does until it has a configuration: after its
// jitter it asks the platform, and all the while one other host after another.
func (f *fleet) startHost(ctx context.Context, number int, random *rand.Rand) {
	self := f.followers[number]
	jitter := time.Duration(random.Float64() * herdSize * float64(startSpread))
	first := random.IntN(herdSize)
	go func() {
		if fpclock.Sleep(ctx, jitter) && !loaded(self) {
			_ = self.Load(ctx)
		}
	}()
	go func() {
		for i := first; !loaded(self) && ctx.Err() == nil; i++ {
			other := f.followers[i%herdSize]
			if r, ok := other.Replica(); ok {
				s := r.Snapshot()
				self.Offer(nil, &s)
			}
			fpclock.Sleep(ctx, joinEvery)
		}
	}()
}

func loaded(f *Follower) bool {
	_, ok := f.Replica()
	return ok
}

// TestHerd starts all hosts at once, with the platform up, and counts its
// reads in every second until all have the configuration.
func TestHerd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, herdSize)
		for i := range fpconfig.SnapshotIntervalVersions - 1 {
			_, err := f.patch(fmt.Sprintf("p%d", i), 0)
			is.NoErr(err)
		}
		f.followers[0] = New(fpmemory.Direct{Store: f.store, BeforeCall: faulty{f}.reached}, func(fpconfig.Replica) {})
		ctx, cancel := context.WithCancel(context.Background())
		random := rand.New(rand.NewPCG(1, 2))
		for i := range herdSize {
			f.startHost(ctx, i, random)
		}
		most, ready, took := int64(0), 0, time.Duration(0)
		for ready < herdSize && took < time.Minute {
			before := f.store.Counts().Reads
			time.Sleep(time.Second)
			took += time.Second
			most = max(most, f.store.Counts().Reads-before)
			ready = 0
			for _, o := range f.followers {
				if loaded(o) {
					ready++
				}
			}
		}
		t.Logf("%d hosts have the configuration after %v; at most %d reads in a second", ready, took, most)
		is.Equal(ready, herdSize)
		if most > maxReads {
			t.Errorf("%d reads in a second, the platform takes %d", most, maxReads)
		}
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}
