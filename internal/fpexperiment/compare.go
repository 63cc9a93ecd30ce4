package fpexperiment

import (
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpworkload"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

type (
	// NamedPolicy is a policy constructor with the policy's name in tables.
	NamedPolicy struct {
		Name      string
		NewPolicy func(*Topology) Policy
	}

	// PolicyResult holds the measurements of one policy over several seeds. FirstToken holds the
	// 99th percentile of each class.
	PolicyResult struct {
		Policy           string
		HitRate          float64
		RecomputedTokens int
		FirstTokenP99    [fproute.Classes]time.Duration
		ClassHitRates    [fproute.Classes]float64
		Refused          int
		RemoteByteShare  float64
		CacheUpdates     int
		HitRateSamples   []float64
	}
)

// Faults returns all faults, NoFault first.
func Faults() []Fault {
	return []Fault{NoFault, EngineCrash, EngineRemoved, ZonePartition, RollingWeights, HostsRestart}
}

// Policies returns the policies that are compared: baselines, the daemon's routing and the oracle.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{"random", Random},
		{"least loaded", LeastLoaded},
		{"consistent hash", ConsistentHash},
		{"fescuepoint", DaemonRouting},
		{"oracle", Oracle},
	}
}

// IndexSourcePolicies returns the daemon's routing with each cache index source.
func IndexSourcePolicies() []NamedPolicy {
	var out []NamedPolicy
	for _, l := range []IndexSource{SourcePlacements, SourceAnswers, SourceDeviationGossip, SourceCacheEvents, SourceZoneGossip} {
		out = append(out, NamedPolicy{string(l), DaemonRoutingWith(l, fproute.Settings{})})
	}
	return out
}

// RunSeeds runs a policy once for each seed and combines the results.
func RunSeeds(shape fpworkload.Shape, f Fault, n NamedPolicy, seeds []uint64) PolicyResult {
	sum := newResult()
	for _, s := range seeds {
		sum.merge(Run(Settings{Shape: shape, Seed: s, Fault: f}, n.NewPolicy))
	}
	return sum.summarize(n.Name, len(seeds))
}

// merge adds another run's measurements to the result.
func (r *Result) merge(o *Result) {
	for c := range r.Classes {
		a, b := &r.Classes[c], o.Classes[c]
		a.Requests += b.Requests
		a.Refused += b.Refused
		a.PromptTokens += b.PromptTokens
		a.HitTokens += b.HitTokens
		a.FirstTokenTimes = append(a.FirstTokenTimes, b.FirstTokenTimes...)
	}
	r.RecomputedTokens += o.RecomputedTokens
	r.RemoteBytes += o.RemoteBytes
	r.DispatchedBytes += o.DispatchedBytes
	r.CacheUpdates += o.CacheUpdates
	if r.HitRateSamples == nil {
		r.HitRateSamples = make([]float64, len(o.HitRateSamples))
	}
	for i, h := range o.HitRateSamples {
		r.HitRateSamples[i] += h
	}
}

func (r *Result) summarize(name string, runs int) PolicyResult {
	row := PolicyResult{
		Policy:           name,
		HitRate:          r.HitRate(),
		RecomputedTokens: r.RecomputedTokens / runs,
		RemoteByteShare:  r.RemoteByteShare(),
		CacheUpdates:     r.CacheUpdates / runs,
		HitRateSamples:   slices.Clone(r.HitRateSamples),
	}
	for c, v := range r.Classes {
		row.FirstTokenP99[c] = v.FirstTokenQuantile(0.99)
		row.ClassHitRates[c] = v.HitRate()
		row.Refused += v.Refused
	}
	for i := range row.HitRateSamples {
		row.HitRateSamples[i] /= float64(runs)
	}
	return row
}
