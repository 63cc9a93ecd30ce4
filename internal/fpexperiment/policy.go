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
	// Policy places requests; every host of every zone is played by one value.
	Policy interface {
		// Place returns the engine's number, or false to refuse.
		Place(v fproute.View, q *request, now time.Time) (int, bool)
		// FirstToken tells of an answer's first token and the prompt tokens found cached.
		FirstToken(q *request, replica, cached int, now time.Time)
		// Failed tells that a replica refused or lost a request.
		Failed(q *request, replica int, now time.Time)
		// Report brings an engine's load report as it was at time at.
		Report(replica int, l fpengine.Load, incarnation uint64, weights string, at time.Time)
		// CacheEvent brings a cache event of an engine's incarnation.
		CacheEvent(e *engine, v fpengine.Event, incarnation uint64, now time.Time)
		// Restart makes all hosts forget everything.
		Restart()
	}

	// Topology is what a policy may know from the configuration.
	Topology struct {
		world *world
	}

	// ignore is the part of a baseline that learns nothing.
	ignore struct {
		world  *world
		failed map[int]time.Time
	}

	randomly struct {
		ignore
		random *rand.Rand
	}

	leastLoaded struct {
		ignore
		loads []fpengine.Load
	}

	consistentHash struct {
		ignore
	}

	oracle struct {
		ignore
		weight float64
	}
)

const (
	// failedFor is how long a baseline keeps away from a replica that failed.
	failedFor = 2 * time.Second
	// oracleWeight counts a recomputed second once for the request and once for others.
	oracleWeight = 1
)

// Random places at any live replica of the zone.
func Random(t *Topology) Policy {
	return &randomly{ignore: newIgnore(t), random: rand.New(rand.NewPCG(t.world.settings.Seed, 5))}
}

// LeastLoaded places at the replica of the zone with the shortest reported queue.
func LeastLoaded(t *Topology) Policy {
	return &leastLoaded{ignore: newIgnore(t), loads: make([]fpengine.Load, len(t.world.engines))}
}

// ConsistentHash places by a hash of the whole shared prefix.
func ConsistentHash(t *Topology) Policy { return &consistentHash{ignore: newIgnore(t)} }

// Oracle knows every cache and queue as it is now, and what is on its way; it
// takes the least sum of its own wait and of recomputation, which others wait for.
func Oracle(t *Topology) Policy {
	return &oracle{ignore: newIgnore(t), weight: oracleWeight}
}

func newIgnore(t *Topology) ignore {
	return ignore{world: t.world, failed: map[int]time.Time{}}
}

func (p *ignore) FirstToken(*request, int, int, time.Time) {}

func (p *ignore) Failed(_ *request, replica int, now time.Time) { p.failed[replica] = now }

func (p *ignore) Report(int, fpengine.Load, uint64, string, time.Time) {}

func (p *ignore) CacheEvent(*engine, fpengine.Event, uint64, time.Time) {}

func (p *ignore) Restart() {}

// usable returns the numbers of the zone's replicas that did not fail lately,
// or with none of them, of all reachable ones.
func (p *ignore) usable(q *request, now time.Time) []int {
	var local, every []int
	for i, e := range p.world.engines {
		at, ok := p.failed[i]
		if ok && now.Sub(at) < failedFor {
			continue
		}
		if e.zone == q.Zone {
			local = append(local, i)
		}
		every = append(every, i)
	}
	if len(local) > 0 {
		return local
	}
	return every
}

func (p *randomly) Place(_ fproute.View, q *request, now time.Time) (int, bool) {
	u := p.usable(q, now)
	if len(u) == 0 {
		return 0, false
	}
	return u[p.random.IntN(len(u))], true
}

func (p *leastLoaded) Report(replica int, l fpengine.Load, _ uint64, _ string, _ time.Time) {
	p.loads[replica] = l
}

func (p *leastLoaded) Place(_ fproute.View, q *request, now time.Time) (int, bool) {
	best, least := -1, math.MaxInt
	for _, i := range p.usable(q, now) {
		if n := p.loads[i].QueuedTokens; n < least {
			best, least = i, n
		}
	}
	return best, best >= 0
}

func (p *consistentHash) Place(_ fproute.View, q *request, now time.Time) (int, bool) {
	u := p.usable(q, now)
	if len(u) == 0 {
		return 0, false
	}
	l := q.Prompt.Levels[len(q.Prompt.Levels)-1]
	names := make([]string, 0, len(u))
	for _, i := range u {
		names = append(names, p.world.engines[i].name)
	}
	return u[fproute.RendezvousOwner(keyText(l.Key), names)], true
}

func (p *oracle) Place(_ fproute.View, q *request, _ time.Time) (int, bool) {
	best, least := -1, math.Inf(1)
	spill := fproute.Settings{}.WithDefaults().SpillSeconds
	for i, e := range p.world.engines {
		if p.world.unreachable(q.Zone, e) {
			continue
		}
		s := p.score(q, e)
		if e.zone != q.Zone {
			s += spill
		}
		if s < least {
			best, least = i, s
		}
	}
	return best, best >= 0
}

// score returns the request's true cost at an engine.
func (p *oracle) score(q *request, e *engine) float64 {
	rate := p.world.settings.Shape.PrefillTokensPerSecond
	deadline := q.start.Add(q.Class.Slack())
	queued := float64(e.model.QueuedTokensBefore(deadline))
	for _, o := range e.inFlight {
		if !o.arrived && !o.start.Add(o.Class.Slack()).After(deadline) {
			queued += float64(o.Prompt.Tokens - e.model.CachedPrefixBlocks(o.keysUnder(e.weights))*fpprefix.BlockTokens)
		}
	}
	miss := float64(q.Prompt.Tokens - e.model.CachedPrefixBlocks(q.keysUnder(e.weights))*fpprefix.BlockTokens)
	trip := 2 * p.world.oneWay(q.Zone, e.zone)
	return queued/rate + trip.Seconds() + miss/rate*(1+p.weight)
}
