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
)

// shareOrigins tells the other hosts at which software versions streams began, until the context ends.
func (g *Gateway) shareOrigins(ctx context.Context) error {
	for fpclock.Sleep(ctx, shareOriginsInterval) {
		g.mu.Lock()
		unsent := g.unsentOrigins
		g.unsentOrigins = nil
		g.mu.Unlock()
		s := g.snapshot.Load()
		forEachOriginsNotice(unsent, func(n fpnotice.Notice) { g.sendNear(s, g.settings().Host, n) })
	}
	return nil
}

// forEachOriginsNotice calls send with notices of the origins that fit into a datagram each.
func forEachOriginsNotice(list []fporigin.Entry, send func(fpnotice.Notice)) {
	byOrigin := make(map[fporigin.Origin][]string)
	for _, e := range list {
		byOrigin[e.Origin] = append(byOrigin[e.Origin], e.ID)
	}
	for o, ids := range byOrigin {
		forEachNotice(ids, func(id string) string { return id }, func(ids []string) {
			send(fpnotice.Notice{Origins: &fpnotice.StreamOrigins{Service: o.Service, Build: o.Build, IDs: ids}})
		})
	}
}

// handleOriginsNotice learns where streams began that another host forwards. What this host saw itself goes
// before it.
func (g *Gateway) handleOriginsNotice(o *fpnotice.StreamOrigins, host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range o.IDs {
		g.origins.Learn(fporigin.Entry{Origin: fporigin.Origin{Service: o.Service, Build: o.Build}, ID: id, Host: host}, g.clock())
	}
}

// sendOriginsOf has the other hosts told of this host's streams of a service, of which a second software
// version has appeared.
func (g *Gateway) sendOriginsOf(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := func(e fporigin.Entry) bool { return e.Service == service && e.Host == g.settings().Host }
	g.unsentOrigins = append(g.unsentOrigins, g.origins.Latest(maxUnsentOrigins-len(g.unsentOrigins), own, g.clock())...)
}

// resendOrigins sends a host that has started what this host knows of streams of services with several
// software versions: its own, and, if it is chosen for it, those that the other host forwarded itself.
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
		return len(s.builds[e.Service]) > 1 && (e.Host == host || chosen && e.Host == name)
	}
	g.mu.Lock()
	list := g.origins.Latest(maxUnsentOrigins, wanted, g.clock())
	g.mu.Unlock()
	forEachOriginsNotice(list, func(n fpnotice.Notice) { g.sendNotice([]*net.UDPAddr{to}, n) })
}
