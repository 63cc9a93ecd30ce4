package fpexperiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpengine"
	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

type (
	// Policy places requests. One value stands for all hosts of all zones.
	Policy interface {
		// Place returns the index of the chosen engine, or false to refuse the request.
		Place(v fproute.View, q *request, now time.Time) (int, bool)
		// RecordFirstToken reports a response's first token and the number of cached prompt tokens.
		RecordFirstToken(q *request, replica, cached int, now time.Time)
		// RecordFailure reports that a replica refused or lost a request.
		RecordFailure(q *request, replica int, now time.Time)
		// RecordLoadReport delivers an engine's load report taken at time at.
		RecordLoadReport(replica int, l fpengine.Load, incarnation uint64, weights string, at time.Time)
		// RecordCacheEvent delivers a cache event of an engine's incarnation.
		RecordCacheEvent(e *engine, v fpengine.Event, incarnation uint64, now time.Time)
		// RestartHosts discards the state of all hosts.
		RestartHosts()
	}

	// Topology gives a policy access to the simulated deployment.
	Topology struct {
		sim *simulation
	}

	// baseline is embedded by the comparison policies. It keeps only the time of each replica's
	// last failure and ignores all other reports.
	baseline struct {
		sim      *simulation
		failedAt map[int]time.Time
	}

	randomPolicy struct {
		baseline
		random *rand.Rand
	}

	leastLoadedPolicy struct {
		baseline
		loads []fpengine.Load
	}

	consistentHashPolicy struct {
		baseline
	}

	oraclePolicy struct {
		baseline
		recomputeWeight float64
	}
)

const (
	// failureAvoidance is how long a baseline policy avoids a replica after a failure.
	failureAvoidance = 2 * time.Second
	// oracleRecomputeWeight adds each second of prefill once more to the request's own wait, for
	// the requests queued behind it.
	oracleRecomputeWeight = 1
)

// Random places at a random replica of the zone.
func Random(t *Topology) Policy {
	return &randomPolicy{baseline: newBaseline(t), random: rand.New(rand.NewPCG(t.sim.settings.Seed, 5))}
}

// LeastLoaded places at the replica of the zone with the shortest reported queue.
func LeastLoaded(t *Topology) Policy {
	return &leastLoadedPolicy{baseline: newBaseline(t), loads: make([]fpengine.Load, len(t.sim.engines))}
}

// ConsistentHash places at the rendezvous hash owner of the longest prefix level.
func ConsistentHash(t *Topology) Policy { return &consistentHashPolicy{baseline: newBaseline(t)} }

// Oracle places with the current content of every cache and queue and the requests still in
// transit. It minimizes the sum of the request's own wait and of its prefill time, for which
// other requests wait.
func Oracle(t *Topology) Policy {
	return &oraclePolicy{baseline: newBaseline(t), recomputeWeight: oracleRecomputeWeight}
}

func newBaseline(t *Topology) baseline {
	return baseline{sim: t.sim, failedAt: map[int]time.Time{}}
}

func (p *baseline) RecordFirstToken(*request, int, int, time.Time) {}

func (p *baseline) RecordFailure(_ *request, replica int, now time.Time) { p.failedAt[replica] = now }

func (p *baseline) RecordLoadReport(int, fpengine.Load, uint64, string, time.Time) {}

func (p *baseline) RecordCacheEvent(*engine, fpengine.Event, uint64, time.Time) {}

func (p *baseline) RestartHosts() {}

// usableReplicas returns the indices of the zone's replicas without a failure within
// failureAvoidance, or of such replicas in all zones if the zone has none.
func (p *baseline) usableReplicas(q *request, now time.Time) []int {
	var local, all []int
	for i, e := range p.sim.engines {
		at, ok := p.failedAt[i]
		if ok && now.Sub(at) < failureAvoidance {
			continue
		}
		if e.zone == q.Zone {
			local = append(local, i)
		}
		all = append(all, i)
	}
	if len(local) > 0 {
		return local
	}
	return all
}

func (p *randomPolicy) Place(_ fproute.View, q *request, now time.Time) (int, bool) {
	candidates := p.usableReplicas(q, now)
	if len(candidates) == 0 {
		return 0, false
	}
	return candidates[p.random.IntN(len(candidates))], true
}

func (p *leastLoadedPolicy) RecordLoadReport(replica int, l fpengine.Load, _ uint64, _ string, _ time.Time) {
	p.loads[replica] = l
}

func (p *leastLoadedPolicy) Place(_ fproute.View, q *request, now time.Time) (int, bool) {
	best, least := -1, math.MaxInt
	for _, i := range p.usableReplicas(q, now) {
		if n := p.loads[i].QueuedTokens; n < least {
			best, least = i, n
		}
	}
	return best, best >= 0
}

func (p *consistentHashPolicy) Place(_ fproute.View, q *request, now time.Time) (int, bool) {
	candidates := p.usableReplicas(q, now)
	if len(candidates) == 0 {
		return 0, false
	}
	l := q.Prompt.Levels[len(q.Prompt.Levels)-1]
	names := make([]string, 0, len(candidates))
	for _, i := range candidates {
		names = append(names, p.sim.engines[i].name)
	}
	return candidates[fproute.RendezvousOwner(formatKey(l.Key), names)], true
}

func (p *oraclePolicy) Place(_ fproute.View, q *request, _ time.Time) (int, bool) {
	best, least := -1, math.Inf(1)
	spillSeconds := fproute.Settings{}.WithDefaults().SpillSeconds
	for i, e := range p.sim.engines {
		if p.sim.isUnreachable(q.Zone, e) {
			continue
		}
		cost := p.cost(q, e)
		if e.zone != q.Zone {
			cost += spillSeconds
		}
		if cost < least {
			best, least = i, cost
		}
	}
	return best, best >= 0
}

// cost returns the request's cost at an engine in seconds: wait, round trip and weighted prefill.
func (p *oraclePolicy) cost(q *request, e *engine) float64 {
	rate := p.sim.settings.Shape.PrefillTokensPerSecond
	deadline := q.submittedAt.Add(q.Class.Slack())
	queued := float64(e.model.QueuedTokensBefore(deadline))
	for _, o := range e.inFlight {
		if !o.delivered && !o.submittedAt.Add(o.Class.Slack()).After(deadline) {
			queued += float64(o.Prompt.Tokens - e.model.CachedPrefixBlocks(o.keysForWeights(e.weights))*fpprefix.BlockTokens)
		}
	}
	miss := float64(q.Prompt.Tokens - e.model.CachedPrefixBlocks(q.keysForWeights(e.weights))*fpprefix.BlockTokens)
	roundTrip := 2 * p.sim.oneWayDelay(q.Zone, e.zone)
	return queued/rate + roundTrip.Seconds() + miss/rate*(1+p.recomputeWeight)
}
