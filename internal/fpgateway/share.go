package fpgateway

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpnotice"
	"github.com/fescuepoint/fescuepoint/pkg/fporigin"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// shareOriginsInterval is the interval at which the other hosts are told where streams began.
	shareOriginsInterval = 100 * time.Millisecond
	// maxUnsentOrigins bounds the streams that the other hosts are told of at a time.
	maxUnsentOrigins = 4096
	// unknownBuild stands in notices for the software version of a stream at a replica that may have restarted. No
	// replica registers with it.
	unknownBuild = "?"
)

// shareOrigins tells the other hosts at which software versions streams began, until the context ends.
func (g *Gateway) shareOrigins(ctx context.Context) error {
	for fpclock.Sleep(ctx, shareOriginsInterval) {
		g.mu.Lock()
		unsent := g.unsentOrigins
		g.unsentOrigins = nil
		g.mu.Unlock()
		s := g.snapshot.Load()
		forEachOriginsNotice(unsent, g.clock(), func(n fpnotice.Notice) { g.sendNear(s, g.settings().Host, n) })
	}
	return nil
}

// forEachOriginsNotice calls send with notices of the origins that fit into a datagram each.
func forEachOriginsNotice(list []fporigin.Entry, now time.Duration, send func(fpnotice.Notice)) {
	for o, ids := range groupOrigins(list) {
		n := fpnotice.StreamOrigins{Service: o.Service, Build: o.Build}
		if i := o.Inference; i != (fporigin.Inference{}) {
			n.Build = unknownBuild
			n.Inferred = &fpnotice.InferredBuild{Build: o.Build, Replica: i.Replica, StartUnixMilli: i.StartUnixMilli, AgeMs: (now - i.Since).Milliseconds()}
		}
		forEachNotice(ids, func(id string) string { return id }, func(ids []string) {
			n := n
			n.IDs = ids
			send(fpnotice.Notice{Origins: &n})
		})
	}
}

// groupOrigins returns the IDs of streams with the same origin, by an entry without ID. Those that were inferred from the
// same start need proof that is younger than the latest of them.
func groupOrigins(list []fporigin.Entry) map[fporigin.Entry][]string {
	latest := make(map[fporigin.Entry]time.Duration)
	group := func(e fporigin.Entry) fporigin.Entry {
		e.ID, e.Host, e.Inference.Since = "", "", 0
		return e
	}
	for _, e := range list {
		latest[group(e)] = max(latest[group(e)], e.Inference.Since)
	}
	out := make(map[fporigin.Entry][]string)
	for _, e := range list {
		g := group(e)
		g.Inference.Since = latest[g]
		out[g] = append(out[g], e.ID)
	}
	return out
}

// handleOriginsNotice learns where streams began that another host forwards. What this host saw itself goes
// before it.
func (g *Gateway) handleOriginsNotice(o *fpnotice.StreamOrigins, host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	e := fporigin.Entry{Origin: fporigin.Origin{Service: o.Service, Build: o.Build}, Host: host}
	switch i := o.Inferred; {
	case i != nil:
		e.Build = i.Build
		e.Inference = fporigin.Inference{Replica: i.Replica, StartUnixMilli: i.StartUnixMilli, Since: now - time.Duration(i.AgeMs)*time.Millisecond}
	case o.Build == unknownBuild:
		e.Inference.Since = now
	}
	archived := !o.Relayed && slices.Contains(g.snapshot.Load().zoneHosts, host)
	for _, id := range o.IDs {
		e.ID = id
		g.origins.Learn(e, now)
		if archived {
			g.enqueueUnarchived(e)
		}
	}
	if seen, known := g.seenStarts[e.Inference.Replica]; known {
		g.confirmOrigins(e.Inference.Replica, seen)
	}
}

// sendOriginsOf has the other hosts told of this host's streams of a service, of which a second software
// version has appeared.
func (g *Gateway) sendOriginsOf(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := func(e fporigin.Entry) bool { return e.Service == service && e.Host == g.settings().Host }
	g.enqueueOrigins(g.origins.Latest(maxUnsentOrigins-len(g.unsentOrigins), own, g.clock())...)
}

// resendOrigins sends a host that has started what this host knows of streams of services with several
// software versions, and of those whose version is uncertain: its own, and, if it is chosen for it, those that the other host forwarded itself.
func (g *Gateway) resendOrigins(name string, to *net.UDPAddr) {
	host := g.settings().Host
	s := g.snapshot.Load()
	if to == nil || name == host {
		return
	}
	others := slices.DeleteFunc(slices.Clone(s.hostNames), func(n string) bool { return n == name })
	i := fproute.RendezvousOwner(name, others)
	chosen := i >= 0 && others[i] == host
	wanted := func(e fporigin.Entry) bool {
		return (len(s.builds[e.Service]) > 1 || !e.Certain()) && (e.Host == host || chosen && e.Host == name)
	}
	g.mu.Lock()
	list := g.origins.Latest(maxUnsentOrigins, wanted, g.clock())
	g.mu.Unlock()
	forEachOriginsNotice(list, g.clock(), func(n fpnotice.Notice) { g.sendNotice([]*net.UDPAddr{to}, n) })
}
