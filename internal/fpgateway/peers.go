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
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// minNoticeTokens is the least number of tokens to compute that other hosts are notified of:
	// one step of an engine.
	minNoticeTokens = 1024
	// maxPromptPartsPerNotice bounds the prompt parts in a notice.
	maxPromptPartsPerNotice = 8
	// maxBroadcastHosts is the largest fleet in which all hosts are notified of each request. In
	// a larger one only the hosts of the region are, so that notices don't grow with the square
	// of the fleet, and each other zone is sent a notice once.
	maxBroadcastHosts = 16
)

// peerAddress returns the address at which this host receives notices and peer reads, "" for
// none.
func (s Settings) peerAddress() string {
	a, err := netip.ParseAddrPort(s.CallersAddress)
	if err != nil || s.PeerPort == 0 {
		return ""
	}
	return net.JoinHostPort(a.Addr().String(), strconv.Itoa(s.PeerPort))
}

// openNoticeSocket opens the socket for notices; without it the host works alone.
func (g *Gateway) openNoticeSocket() {
	address := g.settings().peerAddress()
	if address == "" {
		return
	}
	s, err := fpnotice.Listen(address)
	if err != nil {
		g.log("notice socket not opened", "Error", err.Error())
		return
	}
	g.noticeSocket = s
}

// receiveNotices handles notices from other hosts until the context ends.
func (g *Gateway) receiveNotices(ctx context.Context) error {
	if g.noticeSocket == nil {
		<-ctx.Done()
		return nil
	}
	return g.noticeSocket.Receive(ctx, g.handleNotice)
}

func (g *Gateway) handleNotice(n fpnotice.Notice) {
	if n.Host == g.settings().Host {
		return
	}
	if n.RelayInZone {
		n.RelayInZone = false
		if n.Origins != nil {
			relayed := *n.Origins
			relayed.Relayed = true
			n.Origins = &relayed
		}
		g.sendNotice(g.snapshot.Load().nearPeers, n)
	}
	if w := n.Weights; w != nil {
		g.recordReport(w.Replica, w.Version, g.deadlineIn(w.LoadingMs))
	}
	if w := n.Work; w != nil {
		g.handleWorkNotice(w)
	}
	if v := n.Gone; v != nil {
		g.markReplicaReplaced(v.Replica)
	}
	if c := n.Crash; c != nil {
		g.handleCrashNotice(c)
	}
	if a := n.Answered; a != nil {
		g.handleAnsweredNotice(a)
	}
	if s := n.Survived; s != nil {
		g.handleSurvivalNotice(s)
	}
	if t := n.Trial; t != nil {
		g.handleTrialNotice(t)
	}
	if p := n.Quarantined; p != nil {
		g.quarantinePart(p.ID, n.Host)
	}
	if o := n.Origins; o != nil {
		g.handleOriginsNotice(o, n.Host)
	}
	if l := n.Leaving; l != nil {
		g.markReplicaLeaving(l.Replica, l.StartUnixMilli, n.Host)
	}
	if l := n.Limit; l != nil {
		g.handleLimitNotice(l, n.Host)
	}
	if c := n.Cache; c != nil {
		g.handleCacheNotice(c)
		if c.Relay {
			c.Relay = false
			g.sendNear(g.snapshot.Load(), c.Replica, fpnotice.Notice{Cache: c})
		}
	}
}

// handleCacheNotice applies what another host read of a replica's cache.
func (g *Gateway) handleCacheNotice(c *fpnotice.CacheChange) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.balancer.CacheDirectory()
	d.ResetOnNewEpoch(c.Replica, c.Epoch)
	for _, p := range c.Parts {
		if p.Tokens >= minNoticeTokens {
			d.RecordStored(c.Replica, p.Salt, p.ID, p.Tokens, true, now)
		} else {
			d.RecordEvicted(c.Replica, p.Salt, p.ID, p.Tokens, now)
		}
	}
}

func (g *Gateway) handleWorkNotice(w *fpnotice.Dispatch) {
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

// markReplicaReplaced records that another replica answers at a replica's address, which proves
// that this one has ended, and reports whether that was unknown. Other hosts are notified only
// of such proof: a refused connection may be a fault of this host alone.
func (g *Gateway) markReplicaReplaced(id string) bool {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	wasReachable := g.balancer.Reachable(id, now)
	g.balancer.ForgetReplica(id)
	g.balancer.RecordReplaced(id, now)
	return wasReachable
}

// deadlineIn returns the time that is the given number of milliseconds from now, or 0 if the
// number is not positive.
func (g *Gateway) deadlineIn(ms int) time.Duration {
	if ms <= 0 {
		return 0
	}
	return g.clock() + time.Duration(ms)*time.Millisecond
}

// sendNotice sends a notice to the given hosts.
func (g *Gateway) sendNotice(to []*net.UDPAddr, n fpnotice.Notice) {
	if g.noticeSocket == nil || len(to) == 0 {
		return
	}
	n.Host = g.settings().Host
	if err := g.noticeSocket.Send(to, n); err != nil {
		g.metrics.AddToCounter("notice_errors", 1)
	}
}

// sendNear sends a notice to the hosts of this host's region, or to all in a small fleet. Each other
// zone of the region gets it once, at a host that forwards it there; key spreads this work over the
// zone's hosts, and notices with the same key go the same way.
func (g *Gateway) sendNear(s *snapshot, key string, n fpnotice.Notice) {
	g.sendNotice(s.nearPeers, n)
	n.RelayInZone = true
	g.sendNotice(s.zoneRelays(key), n)
}

// zoneRelays returns the address of one host in each other zone of this host's region, if the fleet
// is large.
func (s *snapshot) zoneRelays(key string) []*net.UDPAddr {
	var out []*net.UDPAddr
	for _, names := range s.otherZones {
		if a := s.hostAddresses[names[fproute.RendezvousOwner(key, names)]]; a != nil {
			out = append(out, a)
		}
	}
	return out
}

// announceWork notifies other hosts of a request with many tokens to compute, or that its answer
// has begun.
func (q *request) announceWork(c fpbalance.Choice, begun bool) {
	if c.MissTokens < minNoticeTokens {
		return
	}
	w := &fpnotice.Dispatch{ID: q.caller.ID, Replica: c.Replica.ID, Tokens: c.MissTokens, Rank: c.Rank, Begun: begun}
	if !begun {
		w.Salt = q.cacheSalt(c.Replica.Version)
		for _, p := range q.caller.PromptParts[:min(len(q.caller.PromptParts), maxPromptPartsPerNotice)] {
			w.Parts = append(w.Parts, fpnotice.PromptPart(p))
		}
	}
	q.gateway.sendNear(q.snapshot, q.caller.ID, fpnotice.Notice{Work: w})
}

// encodeHostEntry returns this host's entry in the store: the address for notices and peer
// reads, the region and the availability zone.
func (s Settings) encodeHostEntry() string {
	return s.peerAddress() + " " + s.Place.Region + " " + s.Place.Zone
}

// decodeHostEntry decodes another host's entry.
func decodeHostEntry(value []byte) (hostEntry, error) {
	address, place, _ := strings.Cut(string(value), " ")
	region, zone, _ := strings.Cut(place, " ")
	a, err := net.ResolveUDPAddr("udp4", address)
	return hostEntry{region: region, zone: zone, address: a}, err
}
