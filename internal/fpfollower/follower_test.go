package fpfollower

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpmemory"
	"github.com/fescuepoint/fescuepoint/internal/fpstore"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
)

const (
	seedCount     = 1500
	operatorCount = 4
)

type (
	// testFleet is a set of followers that share one store with injected faults.
	testFleet struct {
		mu                sync.Mutex
		store             *fpmemory.Store
		storeDown         bool
		responseLossRatio float64
		random            *rand.Rand
		followers         []*Follower
		appliedVersions   [][]uint64
		patchesByID       map[string]fpconfig.Patch
		resultsByID       map[string]error
		patchHistory      []porcupine.Operation
	}

	// faultInjector delays and fails the followers' calls to the store.
	faultInjector struct{ fleet *testFleet }
)

func newTestFleet(seed uint64, hosts int) *testFleet {
	f := &testFleet{
		store:           fpmemory.New(),
		random:          rand.New(rand.NewPCG(seed, 9)),
		patchesByID:     make(map[string]fpconfig.Patch),
		resultsByID:     make(map[string]error),
		appliedVersions: make([][]uint64, hosts),
	}
	for i := range hosts {
		f.followers = append(f.followers, New(fpmemory.Direct{Store: f.store, BeforeCall: faultInjector{f}.beforeCall}, func(r fpconfig.Replica) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.appliedVersions[i] = append(f.appliedVersions[i], r.Current().Version)
		}))
	}
	return f
}

func (f *testFleet) setFaults(storeDown bool, responseLossRatio float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeDown = storeDown
	f.responseLossRatio = responseLossRatio
}

// simulateCall sleeps for a random latency and reports whether the request and its response arrive.
func (s faultInjector) simulateCall() (requestArrives, responseArrives bool) {
	s.fleet.mu.Lock()
	latency := time.Duration(1+s.fleet.random.IntN(20)) * time.Millisecond
	lost := s.fleet.random.Float64() < s.fleet.responseLossRatio
	down := s.fleet.storeDown
	s.fleet.mu.Unlock()
	time.Sleep(latency)
	return !down, !down && !lost
}

// beforeCall is the hook of fpmemory.Direct that injects the faults.
func (s faultInjector) beforeCall(_ context.Context, _ bool) (bool, error) {
	requestArrives, responseArrives := s.simulateCall()
	if !responseArrives {
		return requestArrives, fpstore.ErrOutcomeUnknown
	}
	return true, nil
}

func newTestTeam(name string) fpconfig.Team {
	sum := sha256.Sum256([]byte(name))
	return fpconfig.Team{Name: name, KeySHA256: hex.EncodeToString(sum[:])}
}

// sendPatch sends a patch through a host, based on that host's current version.
func (f *testFleet) sendPatch(id string, host int) (uint64, error) {
	r, _ := f.followers[host].Replica()
	p := fpconfig.Patch{ID: id, Base: r.Current().Version, Set: fpconfig.Document{Teams: []fpconfig.Team{newTestTeam(id)}}}
	startedAt := time.Now()
	v, err := f.followers[host].WritePatch(context.Background(), p)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordOperation(startedAt, host, p, err)
	f.patchesByID[id] = p
	f.resultsByID[id] = err
	return v, err
}

// versionOfPatch returns the version that a patch has at a host, or zero if it is not applied.
func (f *testFleet) versionOfPatch(host int, id string) uint64 {
	r, _ := f.followers[host].Replica()
	v, _ := r.VersionOfPatch(id)
	return v
}

// TestConcurrentPatches sends patches concurrently through several hosts while the platform
// loses responses or goes down, and checks that each outcome matches what the hosts applied.
func TestConcurrentPatches(t *testing.T) {
	for part := range 6 {
		t.Run(fmt.Sprintf("part-%d", part), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(part) + 1; seed <= seedCount; seed += 6 {
				runConcurrentPatches(t, seed)
				if t.Failed() {
					return
				}
			}
		})
	}
}

func runConcurrentPatches(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(seed, 3)
		ctx, cancel := context.WithCancel(context.Background())
		for _, o := range f.followers {
			go func() { _ = o.Follow(ctx, func() bool { return true }) }()
		}
		time.Sleep(time.Second)
		f.setFaults(false, []float64{0, 0.3, 0.6}[seed%3])
		var wg sync.WaitGroup
		for i := range operatorCount {
			host := f.random.IntN(3)
			wg.Go(func() {
				for n := range 3 {
					_, _ = f.sendPatch(fmt.Sprintf("p%d-%d", i, n), host)
				}
			})
		}
		if seed%5 == 0 {
			time.Sleep(50 * time.Millisecond)
			f.setFaults(true, 0)
			time.Sleep(8 * time.Second)
		}
		wg.Wait()
		f.setFaults(false, 0)
		time.Sleep(2 * watchTimeout)
		f.checkOutcomes(t, seed)
		f.checkLinearizable(t, seed)
		cancel()
		time.Sleep(retryInterval)
		synctest.Wait()
	})
}

// checkOutcomes checks that the hosts agree, that none went back to an older version, and that
// accepted patches are applied and refused ones are not.
func (f *testFleet) checkOutcomes(t *testing.T, seed uint64) {
	first, _ := f.followers[0].Replica()
	for i, o := range f.followers {
		r, _ := o.Replica()
		if r.Current().Checksum() != first.Current().Checksum() {
			t.Errorf("seed %d: host %d differs from host 0 at versions %d and %d", seed, i, r.Current().Version, first.Current().Version)
		}
		for n := 1; n < len(f.appliedVersions[i]); n++ {
			if f.appliedVersions[i][n] < f.appliedVersions[i][n-1] {
				t.Errorf("seed %d: host %d went back from %d to %d", seed, i, f.appliedVersions[i][n-1], f.appliedVersions[i][n])
			}
		}
	}
	for id, err := range f.resultsByID {
		at := f.versionOfPatch(0, id)
		switch {
		case err == nil && at == 0:
			t.Errorf("seed %d: %s was accepted but no host applied it", seed, id)
		case err != nil && !errors.Is(err, ErrOutcomeUnknown) && at != 0:
			t.Errorf("seed %d: %s was refused (%v) and is version %d", seed, id, err, at)
		}
	}
}

// TestWritePatch checks the outcomes of single patches, also while the store is down and after it was
// restored or compacted.
func TestWritePatch(t *testing.T) {
	tests := map[string]func(*testing.T, *testFleet){
		"resending a patch does not apply it twice": func(t *testing.T, f *testFleet) {
			is := is.New(t)
			v, err := f.sendPatch("p", 0)
			is.NoErr(err)
			r, _ := f.followers[0].Replica()
			again, err := f.followers[0].WritePatch(context.Background(), f.patchesByID["p"])
			is.NoErr(err)
			is.Equal(again, v)
			is.Equal(r.Current().Version, v)
		},
		"a stale base is refused": func(t *testing.T, f *testFleet) {
			is := is.New(t)
			_, err := f.sendPatch("p", 0)
			is.NoErr(err)
			_, err = f.followers[1].WritePatch(context.Background(), fpconfig.Patch{ID: "q", Base: 0})
			is.True(errors.Is(err, fpconfig.ErrStale))
		},
		"an invalid document is refused": func(t *testing.T, f *testFleet) {
			_, err := f.followers[0].WritePatch(context.Background(), fpconfig.Patch{ID: "q", Set: fpconfig.Document{
				Upstreams: []fpconfig.Upstream{{Name: "u", Kind: "Toaster"}},
			}})
			is.New(t).True(errors.Is(err, fpconfig.ErrInvalid))
		},
		"a patch is refused while the platform is down": func(t *testing.T, f *testFleet) {
			f.setFaults(true, 0)
			_, err := f.sendPatch("p", 0)
			is.New(t).True(errors.Is(err, ErrPlatformUnavailable))
		},
		"the version survives ten minutes without the platform": func(t *testing.T, f *testFleet) {
			is := is.New(t)
			_, err := f.sendPatch("p", 0)
			is.NoErr(err)
			f.setFaults(true, 0)
			time.Sleep(10 * time.Minute)
			is.Equal(f.versionOfPatch(0, "p"), uint64(1))
			f.setFaults(false, 0)
			_, err = f.sendPatch("q", 0)
			is.NoErr(err)
			is.Equal(f.versionOfPatch(0, "q"), uint64(2))
		},
		"a store restored to older state is reported, not followed": func(t *testing.T, f *testFleet) {
			is := is.New(t)
			_, err := f.sendPatch("p", 0)
			is.NoErr(err)
			backup := f.store.Snapshot()
			_, err = f.sendPatch("q", 0)
			is.NoErr(err)
			f.store.Restore(backup, time.Now())
			_, err = f.sendPatch("r", 0)
			is.True(errors.Is(err, ErrStoreBehind))
			is.Equal(f.versionOfPatch(0, "q"), uint64(2))
			is.NoErr(f.followers[0].followOnce(context.Background()))
			is.Equal(f.followers[0].StoreWarning(), ErrStoreBehind.Error())
		},
		"a compacted store can be watched": func(t *testing.T, f *testFleet) {
			is := is.New(t)
			_, err := f.sendPatch("p", 0)
			is.NoErr(err)
			f.store.Compact()
			f.setFaults(false, 0)
			is.NoErr(f.followers[1].Load(context.Background()))
			watched := make(chan error)
			go func() { watched <- f.followers[1].followOnce(context.Background()) }()
			time.Sleep(time.Second)
			_, err = f.sendPatch("q", 0)
			is.NoErr(err)
			is.NoErr(<-watched)
			is.Equal(f.versionOfPatch(1, "q"), uint64(2))
		},
		"more patches than slots are covered by snapshots": func(t *testing.T, f *testFleet) {
			is := is.New(t)
			for i := range fpconfig.PatchSlots + 50 {
				_, err := f.sendPatch(fmt.Sprintf("p%d", i), 0)
				is.NoErr(err)
			}
			is.NoErr(f.followers[1].Load(context.Background()))
			a, _ := f.followers[0].Replica()
			b, _ := f.followers[1].Replica()
			is.Equal(a.Current().Checksum(), b.Current().Checksum())
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(t, newTestFleet(1, 2)) })
		})
	}
}
