package fpexperiment

import (
	"strconv"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpengine"
	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// SourceAnswers uses the host's own placements and the cached tokens that responses report.
	SourceAnswers IndexSource = "answers"
	// SourcePlacements uses only the host's own placements.
	SourcePlacements IndexSource = "own placements"
	// SourceCacheEvents is SourceAnswers plus the engines' cache events for known prefix levels.
	SourceCacheEvents IndexSource = "digests of events"
	// SourceZoneGossip is SourceAnswers, and each host sends its placements to the other hosts
	// of its zone.
	SourceZoneGossip IndexSource = "answers shared in the zone"
	// SourceDeviationGossip is SourceZoneGossip limited to placements away from a rendezvous hash owner.
	SourceDeviationGossip IndexSource = "deviations shared in the zone"

	// gossipDelay is the age of a placement when the other hosts of the zone receive it.
	gossipDelay = 250 * time.Millisecond
)

type (
	// IndexSource names the information from which hosts fill their cache index.
	IndexSource string

	// routerPolicy places with the daemon's router, one for each host.
	routerPolicy struct {
		sim              *simulation
		source           IndexSource
		settings         fproute.Settings
		routers          []*fproute.Router
		zoneViews        []fproute.View
		dispatchedLevels map[fpprefix.Key]bool
		dispatched       map[int]fproute.Candidate
	}
)

// DaemonRouting places as the daemon does, with placements gossiped within the zone.
func DaemonRouting(t *Topology) Policy {
	return DaemonRoutingWith(SourceZoneGossip, fproute.Settings{})(t)
}

// DaemonRoutingWith returns a constructor of the daemon's placement with the given cache index
// source and settings.
func DaemonRoutingWith(source IndexSource, s fproute.Settings) func(*Topology) Policy {
	return func(t *Topology) Policy {
		p := &routerPolicy{sim: t.sim, source: source, settings: s, dispatchedLevels: map[fpprefix.Key]bool{}, dispatched: map[int]fproute.Candidate{}}
		p.RestartHosts()
		return p
	}
}

// RestartHosts replaces all routers and views by new ones without cache entries and loads; load
// reports arrive again.
func (p *routerPolicy) RestartHosts() {
	sh := p.sim.settings.Shape
	p.routers = nil
	for range len(sh.Zones) * sh.HostsPerZone {
		p.routers = append(p.routers, fproute.NewRouter(p.settings))
	}
	p.zoneViews = nil
	for z := range sh.Zones {
		v := fproute.View{Zone: sh.Zones[z], Hosts: sh.HostsPerZone}
		for _, e := range p.sim.engines {
			v.Replicas = append(v.Replicas, fproute.Replica{
				Name:             e.name,
				Hash:             fproute.HashName(e.name),
				Incarnation:      e.incarnation,
				Zone:             sh.Zones[e.zone],
				Model:            sh.Name,
				Weights:          e.weights,
				PrefillRate:      sh.PrefillTokensPerSecond,
				RoundTripSeconds: (2 * p.sim.oneWayDelay(z, e.zone)).Seconds(),
			})
		}
		p.zoneViews = append(p.zoneViews, v)
	}
}

func (p *routerPolicy) hostRouter(q *request) *fproute.Router {
	return p.routers[q.Zone*p.sim.settings.Shape.HostsPerZone+q.Host]
}

func (p *routerPolicy) routeRequest(q *request, weights string) fproute.Request {
	return fproute.Request{
		ID:      q.id(),
		Class:   q.Class,
		Model:   p.sim.settings.Shape.Name,
		Weights: weights,
		Prompt:  q.promptForWeights(weights),
	}
}

// Place asks the router of the request's host once for each weights version and dispatches to the
// candidate with the lowest score.
func (p *routerPolicy) Place(_ fproute.View, q *request, now time.Time) (int, bool) {
	v := &p.zoneViews[q.Zone]
	var best fproute.Candidate
	var chosen fproute.Request
	for _, weights := range []string{"1", "2"} {
		r := p.routeRequest(q, weights)
		d, err := p.hostRouter(q).Place(v, r, now)
		if err == nil && (best.Replica == "" || d.Ranked[0].Score < best.Score) {
			best = d.Ranked[0]
			chosen = r
		}
	}
	if best.Replica == "" {
		return 0, false
	}
	p.hostRouter(q).RecordDispatch(chosen, best, now)
	p.dispatched[q.Serial] = best
	if p.source == SourceZoneGossip || p.source == SourceDeviationGossip && !best.IsOwner {
		p.gossipPlacement(q, chosen, best)
	}
	if p.source == SourceCacheEvents {
		for _, l := range chosen.Prompt.Levels {
			p.dispatchedLevels[l.Key] = true
		}
	}
	return best.Index, true
}

func queuedTokensByClass(l fpengine.Load) [fproute.Classes]float64 {
	return [fproute.Classes]float64{float64(l.QueuedNow), float64(l.QueuedSoon), float64(l.QueuedTokens)}
}

// RecordFirstToken updates the host's cache index from the response.
func (p *routerPolicy) RecordFirstToken(q *request, replica, cached int, now time.Time) {
	c := p.dispatched[q.Serial]
	delete(p.dispatched, q.Serial)
	r := p.routeRequest(q, p.zoneViews[q.Zone].Replicas[replica].Weights)
	if p.source == SourcePlacements {
		cached = int(c.HitTokens)
	}
	p.hostRouter(q).RecordFirstToken(r, c, cached, now)
}

// gossipPlacement sends a placement to the other hosts of the zone, with delay and losses.
func (p *routerPolicy) gossipPlacement(q *request, r fproute.Request, c fproute.Candidate) {
	n := p.sim.settings.Shape.HostsPerZone
	m := fproute.NewPlacement(r, c)
	m.Age = gossipDelay
	for i, h := range p.routers[q.Zone*n:][:n] {
		if i == q.Host || p.sim.random.Float64() < p.sim.settings.EventLossRate {
			continue
		}
		p.sim.result.CacheUpdates += len(r.Prompt.Levels)
		p.sim.schedule(gossipDelay, func() {
			h.RecordPeerPlacement(m, p.sim.now)
		})
	}
}

// RecordFailure records a refusal or a lost request at the request's host.
func (p *routerPolicy) RecordFailure(q *request, replica int, now time.Time) {
	c, ok := p.dispatched[q.Serial]
	if !ok {
		c = fproute.Candidate{Replica: p.sim.engines[replica].name}
	}
	delete(p.dispatched, q.Serial)
	p.hostRouter(q).RecordFailure(p.routeRequest(q, ""), c, now)
}

// RecordLoadReport updates the view of each zone that can reach the engine; the others mark the
// replica as down. A new incarnation is recorded as a restart.
func (p *routerPolicy) RecordLoadReport(replica int, l fpengine.Load, incarnation uint64, weights string, at time.Time) {
	e := p.sim.engines[replica]
	for z := range p.zoneViews {
		if p.sim.isUnreachable(z, e) {
			p.zoneViews[z].Replicas[replica].Down = true
			continue
		}
		r := &p.zoneViews[z].Replicas[replica]
		if r.Incarnation != incarnation {
			for _, h := range p.routers[z*p.sim.settings.Shape.HostsPerZone:][:p.sim.settings.Shape.HostsPerZone] {
				h.RecordRestart(r.Name)
			}
		}
		r.Down = false
		r.Incarnation = incarnation
		r.Weights = weights
		r.QueuedTokens = queuedTokensByClass(l)
		r.ReportedAt = at
		r.RunningOutput = l.Running
	}
}

// RecordCacheEvent records the event at all hosts of the engine's zone if its key is that of a
// dispatched prefix level and the engine has not restarted since.
func (p *routerPolicy) RecordCacheEvent(e *engine, v fpengine.Event, incarnation uint64, now time.Time) {
	if p.source != SourceCacheEvents || !p.dispatchedLevels[v.BlockKey] || incarnation != e.incarnation {
		return
	}
	n := p.sim.settings.Shape.HostsPerZone
	for _, h := range p.routers[e.zone*n:][:n] {
		if v.Kind == fpengine.BlockStored {
			h.CacheIndex().RecordStored(v.BlockKey, e.name, incarnation, now)
		} else {
			h.CacheIndex().RecordEvicted(v.BlockKey, e.name)
		}
	}
	p.sim.result.CacheUpdates += n
}

func formatKey(k fpprefix.Key) string { return strconv.FormatUint(uint64(k), 16) }
