package fpexperiment

import (
	"strconv"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpengine"
	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// LearnAnswers learns from answers and own placements alone.
	LearnAnswers Learning = "answers"
	// LearnPlacements learns from own placements alone.
	LearnPlacements Learning = "own placements"
	// LearnDigests also gets the level keys out of every cache event.
	LearnDigests Learning = "digests of events"
	// LearnShared learns from answers, and each host tells the others of its zone what it learnt.
	LearnShared Learning = "answers shared in the zone"
	// LearnDeviations shares only what was placed elsewhere than at its home.
	LearnDeviations Learning = "deviations shared in the zone"

	// shareLag is the age at which other hosts hear what a host learnt.
	shareLag = 250 * time.Millisecond
)

type (
	// Learning names where knowledge of caches comes from.
	Learning string

	// routers plays the system's own placement, one router a host.
	routers struct {
		world    *world
		learning Learning
		settings fproute.Settings
		hosts    []*fproute.Router
		views    []fproute.View
		levels   map[fpprefix.Key]bool
		sent     map[int]fproute.Candidate
	}
)

// Ours places as the daemon does.
func Ours(t *Topology) Policy { return WithLearning(LearnShared, fproute.Settings{})(t) }

// WithLearning returns a maker of the daemon's placement with another source of knowledge.
func WithLearning(l Learning, s fproute.Settings) func(*Topology) Policy {
	return func(t *Topology) Policy {
		p := &routers{world: t.world, learning: l, settings: s, levels: map[fpprefix.Key]bool{}, sent: map[int]fproute.Candidate{}}
		p.Restart()
		return p
	}
}

// Restart makes all hosts forget everything; load reports come again.
func (p *routers) Restart() {
	sh := p.world.settings.Shape
	p.hosts = nil
	for range len(sh.Zones) * sh.HostsPerZone {
		p.hosts = append(p.hosts, fproute.NewRouter(p.settings))
	}
	p.views = nil
	for z := range sh.Zones {
		v := fproute.View{Zone: sh.Zones[z], Hosts: sh.HostsPerZone}
		for _, e := range p.world.engines {
			v.Replicas = append(v.Replicas, fproute.Replica{
				Name:        e.name,
				Hash:        fproute.HashName(e.name),
				Incarnation: e.incarnation,
				Zone:        sh.Zones[e.zone],
				Model:       sh.Name,
				Weights:     e.weights,
				PrefillRate: sh.PrefillTokensPerSecond,
				RoundTrip:   (2 * p.world.oneWay(z, e.zone)).Seconds(),
			})
		}
		p.views = append(p.views, v)
	}
}

func (p *routers) host(q *request) *fproute.Router {
	return p.hosts[q.Zone*p.world.settings.Shape.HostsPerZone+q.Host]
}

func (p *routers) ask(q *request, weights string) fproute.Request {
	return fproute.Request{
		ID:      q.id(),
		Class:   q.Class,
		Model:   p.world.settings.Shape.Name,
		Weights: weights,
		Prompt:  q.promptUnder(weights),
	}
}

// Place asks the request's host, under each weights version in service.
func (p *routers) Place(_ fproute.View, q *request, now time.Time) (int, bool) {
	v := &p.views[q.Zone]
	var best fproute.Candidate
	var chosen fproute.Request
	for _, w := range []string{"1", "2"} {
		r := p.ask(q, w)
		d, err := p.host(q).Place(v, r, now)
		if err == nil && (best.Replica == "" || d.Ranked[0].Score < best.Score) {
			best = d.Ranked[0]
			chosen = r
		}
	}
	if best.Replica == "" {
		return 0, false
	}
	p.host(q).RecordDispatch(chosen, best, now)
	p.sent[q.Serial] = best
	if p.learning == LearnShared || p.learning == LearnDeviations && !best.Home {
		p.share(q, chosen, best)
	}
	if p.learning == LearnDigests {
		for _, l := range chosen.Prompt.Levels {
			p.levels[l.Key] = true
		}
	}
	return best.Index, true
}

func queued(l fpengine.Load) [fproute.Classes]float64 {
	return [fproute.Classes]float64{float64(l.QueuedNow), float64(l.QueuedSoon), float64(l.QueuedTokens)}
}

// FirstToken lets the host learn from the answer.
func (p *routers) FirstToken(q *request, replica, cached int, now time.Time) {
	c := p.sent[q.Serial]
	delete(p.sent, q.Serial)
	r := p.ask(q, p.views[q.Zone].Replicas[replica].Weights)
	if p.learning == LearnPlacements {
		cached = int(c.HitTokens)
	}
	p.host(q).RecordFirstToken(r, c, cached, now)
}

// share tells the other hosts of the zone, late and with losses, where a prefix was placed.
func (p *routers) share(q *request, r fproute.Request, c fproute.Candidate) {
	n := p.world.settings.Shape.HostsPerZone
	m := fproute.NewPlacement(r, c)
	m.Age = shareLag
	for i, h := range p.hosts[q.Zone*n:][:n] {
		if i == q.Host || p.world.random.Float64() < p.world.settings.EventLoss {
			continue
		}
		p.world.result.Digests += len(r.Prompt.Levels)
		p.world.after(shareLag, func() {
			h.RecordPeerPlacement(m, p.world.now)
		})
	}
}

// Failed lets the host know of a refusal.
func (p *routers) Failed(q *request, replica int, now time.Time) {
	c, ok := p.sent[q.Serial]
	if !ok {
		c = fproute.Candidate{Replica: p.world.engines[replica].name}
	}
	delete(p.sent, q.Serial)
	p.host(q).RecordFailure(p.ask(q, ""), c, now)
}

// Report brings a load report to every zone that is not cut off.
func (p *routers) Report(replica int, l fpengine.Load, incarnation uint64, weights string, at time.Time) {
	e := p.world.engines[replica]
	for z := range p.views {
		if p.world.unreachable(z, e) {
			p.views[z].Replicas[replica].Down = true
			continue
		}
		r := &p.views[z].Replicas[replica]
		if r.Incarnation != incarnation {
			for _, h := range p.hosts[z*p.world.settings.Shape.HostsPerZone:][:p.world.settings.Shape.HostsPerZone] {
				h.RecordRestart(r.Name)
			}
		}
		r.Down = false
		r.Incarnation = incarnation
		r.Weights = weights
		r.QueuedTokens = queued(l)
		r.ReportedAt = at
		r.RunningOutput = l.Running
	}
}

// CacheEvent passes the level keys among the events on to the zone's hosts.
func (p *routers) CacheEvent(e *engine, v fpengine.Event, incarnation uint64, now time.Time) {
	if p.learning != LearnDigests || !p.levels[v.BlockKey] || incarnation != e.incarnation {
		return
	}
	n := p.world.settings.Shape.HostsPerZone
	for _, h := range p.hosts[e.zone*n:][:n] {
		if v.Kind == fpengine.BlockStored {
			h.CacheIndex().RecordStored(v.BlockKey, e.name, incarnation, now)
		} else {
			h.CacheIndex().RecordEvicted(v.BlockKey, e.name)
		}
	}
	p.world.result.Digests += n
}

func keyText(k fpprefix.Key) string { return strconv.FormatUint(uint64(k), 16) }
