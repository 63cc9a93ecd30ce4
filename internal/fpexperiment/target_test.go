package fpexperiment

import (
	"testing"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpworkload"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// The targets that the users set, against the oracle and least loaded.
	minHit          = 0.95
	maxRecomputed   = 1.10
	maxOfOracle     = 1.2
	maxOfLeast      = 0.5
	maxRemote       = 0.01
	minAfterRestart = 0.9

	// faultWindow is the sample in which the fault happens.
	faultWindow = int(faultAfter / sampleEvery)
)

// TestTargets holds placement to the users' targets, each a check of its own.
func TestTargets(t *testing.T) {
	seeds := []uint64{1, 2}
	for _, name := range []string{fpworkload.TinggiSelamat, fpworkload.Roostwell} {
		shape, err := fpworkload.ShapeByName(name)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(name, func(t *testing.T) {
			for _, f := range Faults() {
				t.Run(string(f), func(t *testing.T) {
					t.Parallel()
					ours := Measure(shape, f, Named{"fescuepoint", Ours}, seeds)
					oracle := Measure(shape, f, Named{"oracle", Oracle}, seeds)
					least := Measure(shape, f, Named{"least loaded", LeastLoaded}, seeds)
					checkTargets(t, f, ours, oracle, least)
				})
			}
		})
	}
}

func checkTargets(t *testing.T, f Fault, ours, oracle, least Row) {
	atLeast := func(name string, got, bound float64) {
		t.Run(name, func(t *testing.T) {
			if got < bound {
				t.Errorf("%.4g, target at least %.4g", got, bound)
			}
		})
	}
	atMost := func(name string, got, bound float64) {
		t.Run(name, func(t *testing.T) {
			if got > bound {
				t.Errorf("%.4g, target at most %.4g", got, bound)
			}
		})
	}
	first := func(r Row) float64 { return r.FirstToken[fproute.Interactive].Seconds() }
	atLeast("hit-rate", ours.HitRate, minHit*oracle.HitRate)
	atMost("recomputed", float64(ours.Recomputed), maxRecomputed*float64(oracle.Recomputed))
	atMost("first-token-of-oracle", first(ours), maxOfOracle*first(oracle))
	atMost("first-token-of-least-loaded", first(ours), maxOfLeast*first(least))
	if f == NoFault {
		atMost("remote-bytes", ours.RemoteShare, maxRemote)
	}
	if f == HostsRestart {
		steady := ours.HitOverTime[faultWindow-1]
		atLeast("after-restart", ours.HitOverTime[faultWindow+1], minAfterRestart*steady)
	}
}

// TestSameSeedSameFigures shows that a run is repeatable to the token.
func TestSameSeedSameFigures(t *testing.T) {
	shape, err := fpworkload.ShapeByName(fpworkload.Roostwell)
	if err != nil {
		t.Fatal(err)
	}
	s := Settings{Shape: shape, Seed: 3, Warm: 2 * time.Second, Measure: 5 * time.Second, Fault: EngineCrash}
	a, b := Run(s, Ours), Run(s, Ours)
	if a.HitRate() != b.HitRate() || a.Recomputed != b.Recomputed || a.Classes[0].Quantile(0.99) != b.Classes[0].Quantile(0.99) {
		t.Errorf("two runs of one seed differ: hit %v and %v, recomputed %d and %d", a.HitRate(), b.HitRate(), a.Recomputed, b.Recomputed)
	}
}
