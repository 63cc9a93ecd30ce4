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
	raceSeeds = 1500
	racers    = 4
)

type (
	// fleet is a few followers on one store with faults.
	fleet struct {
		mu        sync.Mutex
		store     *fpmemory.Store
		down      bool
		lose      float64
		random    *rand.Rand
		followers []*Follower
		versions  [][]uint64
		patches   map[string]fpconfig.Patch
		results   map[string]error
		history   []porcupine.Operation
	}

	// faulty is the store as the followers reach it.
	faulty struct{ fleet *fleet }
)

func newFleet(seed uint64, hosts int) *fleet {
	f := &fleet{
		store:    fpmemory.New(),
		random:   rand.New(rand.NewPCG(seed, 9)),
		patches:  make(map[string]fpconfig.Patch),
		results:  make(map[string]error),
		versions: make([][]uint64, hosts),
	}
	for i := range hosts {
		f.followers = append(f.followers, New(fpmemory.Direct{Store: f.store, BeforeCall: faulty{f}.reached}, func(r fpconfig.Replica) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.versions[i] = append(f.versions[i], r.Current().Version)
		}))
	}
	return f
}

func (f *fleet) set(down bool, lose float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.lose = lose
}

// reach waits as long as a call takes and reports whether it arrives and whether its answer does.
func (s faulty) reach() (arrives, answers bool) {
	s.fleet.mu.Lock()
	d := time.Duration(1+s.fleet.random.IntN(20)) * time.Millisecond
	lost := s.fleet.random.Float64() < s.fleet.lose
	down := s.fleet.down
	s.fleet.mu.Unlock()
	time.Sleep(d)
	return !down, !down && !lost
}

// reached is the driver of the store as the followers reach it.
func (s faulty) reached(_ context.Context, _ bool) (bool, error) {
	arrives, answers := s.reach()
	if !answers {
		return arrives, fpstore.ErrOutcomeUnknown
	}
	return true, nil
}

func team(name string) fpconfig.Team {
	sum := sha256.Sum256([]byte(name))
	return fpconfig.Team{Name: name, KeySHA256: hex.EncodeToString(sum[:])}
}

// patch sends a patch through a host, at the base that the host has in force.
func (f *fleet) patch(id string, host int) (uint64, error) {
	r, _ := f.followers[host].Replica()
	p := fpconfig.Patch{ID: id, Base: r.Current().Version, Set: fpconfig.Document{Teams: []fpconfig.Team{team(id)}}}
	began := time.Now()
	v, err := f.followers[host].Patch(context.Background(), p)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record(began, host, p, err)
	f.patches[id] = p
	f.results[id] = err
	return v, err
}

// has returns the version at which a host has a patch in force, or zero.
func (f *fleet) has(host int, id string) uint64 {
	r, _ := f.followers[host].Replica()
	v, _ := r.VersionOfPatch(id)
	return v
}

// TestRace lets operators race through several hosts while the platform loses
// answers or goes down, and checks what was accepted and refused.
func TestRace(t *testing.T) {
	for part := range 6 {
		t.Run(fmt.Sprintf("part-%d", part), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(part) + 1; seed <= raceSeeds; seed += 6 {
				race(t, seed)
				if t.Failed() {
					return
				}
			}
		})
	}
}

func race(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(seed, 3)
		ctx, cancel := context.WithCancel(context.Background())
		for _, o := range f.followers {
			go func() { _ = o.Follow(ctx, func() bool { return true }) }()
		}
		time.Sleep(time.Second)
		f.set(false, []float64{0, 0.3, 0.6}[seed%3])
		var wg sync.WaitGroup
		for i := range racers {
			host := f.random.IntN(3)
			wg.Go(func() {
				for n := range 3 {
					_, _ = f.patch(fmt.Sprintf("p%d-%d", i, n), host)
				}
			})
		}
		if seed%5 == 0 {
			time.Sleep(50 * time.Millisecond)
			f.set(true, 0)
			time.Sleep(8 * time.Second)
		}
		wg.Wait()
		f.set(false, 0)
		time.Sleep(2 * watchFor)
		f.check(t, seed)
		f.checkLinear(t, seed)
		cancel()
		time.Sleep(retryEvery)
		synctest.Wait()
	})
}

// check holds the outcomes against what every host has in force.
func (f *fleet) check(t *testing.T, seed uint64) {
	first, _ := f.followers[0].Replica()
	for i, o := range f.followers {
		r, _ := o.Replica()
		if r.Current().Checksum() != first.Current().Checksum() {
			t.Errorf("seed %d: host %d differs from host 0 at versions %d and %d", seed, i, r.Current().Version, first.Current().Version)
		}
		for n := 1; n < len(f.versions[i]); n++ {
			if f.versions[i][n] < f.versions[i][n-1] {
				t.Errorf("seed %d: host %d went back from %d to %d", seed, i, f.versions[i][n-1], f.versions[i][n])
			}
		}
	}
	for id, err := range f.results {
		at := f.has(0, id)
		switch {
		case err == nil && at == 0:
			t.Errorf("seed %d: %s was accepted and is in force nowhere", seed, id)
		case err != nil && !errors.Is(err, ErrUnknown) && at != 0:
			t.Errorf("seed %d: %s was refused (%v) and is version %d", seed, id, err, at)
		}
	}
}

// TestPatch walks through the ways in which one patch can go.
func TestPatch(t *testing.T) {
	tests := map[string]func(*testing.T, *fleet){
		"the same patch twice is one patch": func(t *testing.T, f *fleet) {
			is := is.New(t)
			v, err := f.patch("p", 0)
			is.NoErr(err)
			r, _ := f.followers[0].Replica()
			again, err := f.followers[0].Patch(context.Background(), f.patches["p"])
			is.NoErr(err)
			is.Equal(again, v)
			is.Equal(r.Current().Version, v)
		},
		"a stale base is refused": func(t *testing.T, f *fleet) {
			is := is.New(t)
			_, err := f.patch("p", 0)
			is.NoErr(err)
			_, err = f.followers[1].Patch(context.Background(), fpconfig.Patch{ID: "q", Base: 0})
			is.True(errors.Is(err, fpconfig.ErrStale))
		},
		"an invalid document is refused": func(t *testing.T, f *fleet) {
			_, err := f.followers[0].Patch(context.Background(), fpconfig.Patch{ID: "q", Set: fpconfig.Document{
				Upstreams: []fpconfig.Upstream{{Name: "u", Kind: "Toaster"}},
			}})
			is.New(t).True(errors.Is(err, fpconfig.ErrInvalid))
		},
		"a platform that is down refuses": func(t *testing.T, f *fleet) {
			f.set(true, 0)
			_, err := f.patch("p", 0)
			is.New(t).True(errors.Is(err, ErrUnavailable))
		},
		"ten minutes without the platform change nothing": func(t *testing.T, f *fleet) {
			is := is.New(t)
			_, err := f.patch("p", 0)
			is.NoErr(err)
			f.set(true, 0)
			time.Sleep(10 * time.Minute)
			is.Equal(f.has(0, "p"), uint64(1))
			f.set(false, 0)
			_, err = f.patch("q", 0)
			is.NoErr(err)
			is.Equal(f.has(0, "q"), uint64(2))
		},
		"a restored store is reported, not followed": func(t *testing.T, f *fleet) {
			is := is.New(t)
			_, err := f.patch("p", 0)
			is.NoErr(err)
			old := f.store.Snapshot()
			_, err = f.patch("q", 0)
			is.NoErr(err)
			f.store.Restore(old)
			_, err = f.patch("r", 0)
			is.True(errors.Is(err, ErrStoreBehind))
			is.Equal(f.has(0, "q"), uint64(2))
			is.NoErr(f.followers[0].followOnce(context.Background()))
			is.Equal(f.followers[0].Note(), ErrStoreBehind.Error())
		},
		"a store without history is watched": func(t *testing.T, f *fleet) {
			is := is.New(t)
			_, err := f.patch("p", 0)
			is.NoErr(err)
			f.store.Compact()
			f.set(false, 0)
			is.NoErr(f.followers[1].Load(context.Background()))
			watched := make(chan error)
			go func() { watched <- f.followers[1].followOnce(context.Background()) }()
			time.Sleep(time.Second)
			_, err = f.patch("q", 0)
			is.NoErr(err)
			is.NoErr(<-watched)
			is.Equal(f.has(1, "q"), uint64(2))
		},
		"many patches pass the ring and its snapshots": func(t *testing.T, f *fleet) {
			is := is.New(t)
			for i := range fpconfig.PatchSlots + 50 {
				_, err := f.patch(fmt.Sprintf("p%d", i), 0)
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
			synctest.Test(t, func(t *testing.T) { run(t, newFleet(1, 2)) })
		})
	}
}
