package fpexperiment

import (
	"testing"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpworkload"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// The required bounds on the daemon's routing, as fractions of the figures of the oracle and of
	// the least loaded policy, of all bytes sent, and of the daemon's own hit rate before the fault.
	minHitRateOfOracle         = 0.95
	maxRecomputedOfOracle      = 1.10
	maxFirstTokenOfOracle      = 1.2
	maxFirstTokenOfLeastLoaded = 0.5
	maxRemoteByteShare         = 0.01
	minHitRateAfterRestart     = 0.9

	// faultSampleIndex is the index of the hit rate sample in which the fault happens.
	faultSampleIndex = int(faultDelay / sampleInterval)
)

// TestTargets checks the daemon's routing against the required bounds under each fault, one subtest
// for each bound.
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
					daemon := RunSeeds(shape, f, NamedPolicy{"fescuepoint", DaemonRouting}, seeds)
					oracle := RunSeeds(shape, f, NamedPolicy{"oracle", Oracle}, seeds)
					leastLoaded := RunSeeds(shape, f, NamedPolicy{"least loaded", LeastLoaded}, seeds)
					checkTargets(t, f, daemon, oracle, leastLoaded)
				})
			}
		})
	}
}

func checkTargets(t *testing.T, f Fault, daemon, oracle, leastLoaded PolicyResult) {
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
	firstTokenSeconds := func(r PolicyResult) float64 { return r.FirstTokenP99[fproute.Interactive].Seconds() }
	atLeast("hit-rate", daemon.HitRate, minHitRateOfOracle*oracle.HitRate)
	atMost("recomputed", float64(daemon.RecomputedTokens), maxRecomputedOfOracle*float64(oracle.RecomputedTokens))
	atMost("first-token-of-oracle", firstTokenSeconds(daemon), maxFirstTokenOfOracle*firstTokenSeconds(oracle))
	atMost("first-token-of-least-loaded", firstTokenSeconds(daemon), maxFirstTokenOfLeastLoaded*firstTokenSeconds(leastLoaded))
	if f == NoFault {
		atMost("remote-bytes", daemon.RemoteByteShare, maxRemoteByteShare)
	}
	if f == HostsRestart {
		before := daemon.HitRateSamples[faultSampleIndex-1]
		atLeast("after-restart", daemon.HitRateSamples[faultSampleIndex+1], minHitRateAfterRestart*before)
	}
}

// TestSameSeedSameFigures checks that two runs with the same seed have the same measurements.
func TestSameSeedSameFigures(t *testing.T) {
	shape, err := fpworkload.ShapeByName(fpworkload.Roostwell)
	if err != nil {
		t.Fatal(err)
	}
	s := Settings{Shape: shape, Seed: 3, Warmup: 2 * time.Second, MeasureTime: 5 * time.Second, Fault: EngineCrash}
	a, b := Run(s, DaemonRouting), Run(s, DaemonRouting)
	if a.HitRate() != b.HitRate() || a.RecomputedTokens != b.RecomputedTokens || a.Classes[0].FirstTokenQuantile(0.99) != b.Classes[0].FirstTokenQuantile(0.99) {
		t.Errorf("two runs of one seed differ: hit rate %v and %v, recomputed tokens %d and %d", a.HitRate(), b.HitRate(), a.RecomputedTokens, b.RecomputedTokens)
	}
}
