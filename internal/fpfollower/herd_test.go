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
	fleetSize = 880
	// startDelayPerHost and configFetchInterval have the values of these constants in fphost.
	startDelayPerHost   = 12 * time.Millisecond
	configFetchInterval = 200 * time.Millisecond
	// maxReadsPerSecond is the platform's read capacity.
	maxReadsPerSecond = 2000
)

// startHost simulates a starting host: until it has a configuration it reads the platform's
// store once after a random delay and meanwhile polls the other hosts in turn.
func (f *testFleet) startHost(ctx context.Context, index int, random *rand.Rand) {
	self := f.followers[index]
	jitter := time.Duration(random.Float64() * fleetSize * float64(startDelayPerHost))
	first := random.IntN(fleetSize)
	go func() {
		if fpclock.Sleep(ctx, jitter) && !isLoaded(self) {
			_ = self.Load(ctx)
		}
	}()
	go func() {
		for i := first; !isLoaded(self) && ctx.Err() == nil; i++ {
			other := f.followers[i%fleetSize]
			if r, ok := other.Replica(); ok {
				s := r.Snapshot()
				self.ApplyPatches(nil, &s)
			}
			fpclock.Sleep(ctx, configFetchInterval)
		}
	}()
}

func isLoaded(f *Follower) bool {
	_, ok := f.Replica()
	return ok
}

// TestSimultaneousStartReads guards against overloading the platform when all hosts start at
// once while it is up: it bounds the platform's reads a second until every host has the
// configuration.
func TestSimultaneousStartReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(1, fleetSize)
		for i := range fpconfig.SnapshotIntervalVersions - 1 {
			_, err := f.sendPatch(fmt.Sprintf("p%d", i), 0)
			is.NoErr(err)
		}
		f.followers[0] = New(fpmemory.Direct{Store: f.store, BeforeCall: faultInjector{f}.beforeCall}, func(fpconfig.Replica) {})
		ctx, cancel := context.WithCancel(context.Background())
		random := rand.New(rand.NewPCG(1, 2))
		for i := range fleetSize {
			f.startHost(ctx, i, random)
		}
		peakReads, ready, elapsed := int64(0), 0, time.Duration(0)
		for ready < fleetSize && elapsed < time.Minute {
			before := f.store.Counts().Reads
			time.Sleep(time.Second)
			elapsed += time.Second
			peakReads = max(peakReads, f.store.Counts().Reads-before)
			ready = 0
			for _, o := range f.followers {
				if isLoaded(o) {
					ready++
				}
			}
		}
		t.Logf("%d hosts have the configuration after %v; at most %d reads in a second", ready, elapsed, peakReads)
		is.Equal(ready, fleetSize)
		if peakReads > maxReadsPerSecond {
			t.Errorf("%d reads in a second, the platform's capacity is %d", peakReads, maxReadsPerSecond)
		}
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}
