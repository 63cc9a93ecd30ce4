package fpgateway

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpnotice"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
)

const (
	// tellTokens is the least computed work that other hosts are told of: one
	// step of an engine.
	tellTokens = 1024
	// maxToldParts bounds the parts in a notice.
	maxToldParts = 8
	// maxToldHosts bounds the hosts that are told of each request; beyond it only
	// those of the region are, so that notices don't grow with the square of the fleet.
	maxToldHosts = 16
)

// peerAddress is where this host takes notices.
func (s Settings) peerAddress() string {
	a, err := netip.ParseAddrPort(s.Callers)
	if err != nil || s.PeerPort == 0 {
		return ""
	}
	return net.JoinHostPort(a.Addr().String(), strconv.Itoa(s.PeerPort))
}

// openPeers opens the socket for notices; without one a host works alone.
func (g *Gateway) openPeers() {
	address := g.settings().peerAddress()
	if address == "" {
		return
	}
	s, err := fpnotice.Open(address)
	if err != nil {
		g.log("no notices from other hosts", "Error", err.Error())
		return
	}
	g.notices = s
}

// receiveNotices takes in what other hosts tell.
func (g *Gateway) receiveNotices(ctx context.Context) error {
	if g.notices == nil {
		<-ctx.Done()
		return nil
	}
	return g.notices.Receive(ctx, g.heard)
}

func (g *Gateway) heard(n fpnotice.Notice) {
	if n.Host == g.settings().Host {
		return
	}
	if w := n.Weights; w != nil {
		g.post(func(c *control) { c.saw(w.Replica, w.Version, g.until(w.LoadingMs)) })
	}
	if v := n.Named; v != nil {
		age := time.Duration(v.AgeMs) * time.Millisecond
		g.post(func(c *control) { c.namedBefore(v.Model, v.Version, g.clock()-age) })
	}
	if w := n.Work; w != nil {
		g.heardWork(w)
	}
	if v := n.Gone; v != nil {
		g.gone(v.Replica)
	}
	if c := n.Cache; c != nil {
		g.heardCache(c)
		if c.Relay {
			c.Relay = false
			g.tell(g.state.Load().near, fpnotice.Notice{Cache: c})
		}
	}
}

// heardCache takes in what another host read of a replica's cache.
func (g *Gateway) heardCache(c *fpnotice.Cache) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.balancer.CacheDirectory()
	d.ResetOnNewEpoch(c.Replica, c.Epoch)
	for _, p := range c.Parts {
		if p.Tokens >= tellTokens {
			d.RecordStored(c.Replica, p.Salt, p.ID, p.Tokens, true, now)
		} else {
			d.RecordEvicted(c.Replica, p.Salt, p.ID, p.Tokens, now)
		}
	}
}

func (g *Gateway) heardWork(w *fpnotice.Work) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.Begun {
		g.balancer.RecordPeerFirstByte(w.Replica, w.ID)
		return
	}
	parts := make([]fpbalance.Part, 0, len(w.Parts))
	for _, p := range w.Parts {
		parts = append(parts, fpbalance.Part(p))
	}
	g.balancer.RecordPeerDispatch(w.Replica, w.ID, w.Tokens, w.Rank, w.Salt, parts, now)
}

// gone notes that another replica answers at a replica's address: this one has
// ended. It reports whether that is news. Only such proof is told to other hosts:
// a refused connection may be this host's own trouble.
func (g *Gateway) gone(id string) bool {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	news := g.balancer.Reachable(id, now)
	g.balancer.Forget(id)
	g.balancer.RecordUnreachable(id, now)
	return news
}

// until returns the moment in so many milliseconds, 0 for none.
func (g *Gateway) until(ms int) time.Duration {
	if ms <= 0 {
		return 0
	}
	return g.clock() + time.Duration(ms)*time.Millisecond
}

// tell sends a notice to the other hosts.
func (g *Gateway) tell(to []*net.UDPAddr, n fpnotice.Notice) {
	if g.notices == nil || len(to) == 0 {
		return
	}
	n.Host = g.settings().Host
	if err := g.notices.Send(to, n); err != nil {
		g.metrics.Count("notice_errors", 1)
	}
}

// tellWork tells the other hosts of a request with much to compute.
func (q *request) tellWork(c fpbalance.Choice, begun bool) {
	if c.MissTokens < tellTokens {
		return
	}
	w := &fpnotice.Work{ID: q.caller.ID, Replica: c.Replica.ID, Tokens: c.MissTokens, Rank: c.Rank, Begun: begun}
	if !begun {
		w.Salt = q.salt(c.Replica.Version)
		for _, p := range q.caller.Parts[:min(len(q.caller.Parts), maxToldParts)] {
			w.Parts = append(w.Parts, fpnotice.Part(p))
		}
	}
	q.gateway.tell(q.state.near, fpnotice.Notice{Work: w})
}

// tellWeights tells all hosts, this one included, of a replica's weights.
func (g *Gateway) tellWeights(id string, version int64, loading time.Duration) {
	until := time.Duration(0)
	if loading > 0 {
		until = g.clock() + loading
	}
	g.post(func(c *control) { c.saw(id, version, until) })
	w := &fpnotice.Weights{Replica: id, Version: version, LoadingMs: int(loading.Milliseconds())}
	g.tell(g.state.Load().all, fpnotice.Notice{Weights: w})
}

// hostEntry is what the store holds of this host: where it takes notices and
// questions, its region and its availability zone.
func (s Settings) hostEntry() string {
	return s.peerAddress() + " " + s.Place.Region + " " + s.Place.Zone
}

// decodeHost decodes a host's entry.
func decodeHost(value []byte) (hostEntry, error) {
	address, place, _ := strings.Cut(string(value), " ")
	region, zone, _ := strings.Cut(place, " ")
	a, err := net.ResolveUDPAddr("udp4", address)
	return hostEntry{region: region, zone: zone, address: a}, err
}
