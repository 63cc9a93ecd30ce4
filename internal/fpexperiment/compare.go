package fpexperiment

import (
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpworkload"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

type (
	// Named is a policy with its name in tables.
	Named struct {
		Name string
		Make func(*Topology) Policy
	}

	// Row is what several seeds of one policy measured together.
	Row struct {
		Policy      string
		HitRate     float64
		Recomputed  int
		FirstToken  [fproute.Classes]time.Duration
		ClassHit    [fproute.Classes]float64
		Refused     int
		RemoteShare float64
		Digests     int
		HitOverTime []float64
	}
)

// Faults lists all faults, the healthy run first.
func Faults() []Fault {
	return []Fault{NoFault, EngineCrash, ThirdGone, ZoneCut, RollingWeights, HostsRestart}
}

// Policies lists the system's own placement, the baselines and the oracle.
func Policies() []Named {
	return []Named{
		{"random", Random},
		{"least loaded", LeastLoaded},
		{"consistent hash", ConsistentHash},
		{"fescuepoint", Ours},
		{"oracle", Oracle},
	}
}

// Learnings lists the system's own placement with each source of knowledge.
func Learnings() []Named {
	var out []Named
	for _, l := range []Learning{LearnPlacements, LearnAnswers, LearnDeviations, LearnDigests, LearnShared} {
		out = append(out, Named{string(l), WithLearning(l, fproute.Settings{})})
	}
	return out
}

// Measure plays a policy over the seeds and sums up.
func Measure(shape fpworkload.Shape, f Fault, n Named, seeds []uint64) Row {
	sum := newResult()
	for _, s := range seeds {
		sum.add(Run(Settings{Shape: shape, Seed: s, Fault: f}, n.Make))
	}
	return sum.row(n.Name, len(seeds))
}

// add sums another run's figures into the result.
func (r *Result) add(o *Result) {
	for c := range r.Classes {
		a, b := &r.Classes[c], o.Classes[c]
		a.Requests += b.Requests
		a.Refused += b.Refused
		a.PromptTokens += b.PromptTokens
		a.HitTokens += b.HitTokens
		a.FirstTokens = append(a.FirstTokens, b.FirstTokens...)
	}
	r.Recomputed += o.Recomputed
	r.RemoteBytes += o.RemoteBytes
	r.Bytes += o.Bytes
	r.Digests += o.Digests
	if r.HitOverTime == nil {
		r.HitOverTime = make([]float64, len(o.HitOverTime))
	}
	for i, h := range o.HitOverTime {
		r.HitOverTime[i] += h
	}
}

func (r *Result) row(name string, runs int) Row {
	row := Row{
		Policy:      name,
		HitRate:     r.HitRate(),
		Recomputed:  r.Recomputed / runs,
		RemoteShare: r.RemoteShare(),
		Digests:     r.Digests / runs,
		HitOverTime: slices.Clone(r.HitOverTime),
	}
	for c, v := range r.Classes {
		row.FirstToken[c] = v.Quantile(0.99)
		row.ClassHit[c] = v.HitRate()
		row.Refused += v.Refused
	}
	for i := range row.HitOverTime {
		row.HitOverTime[i] /= float64(runs)
	}
	return row
}
