package fpgateway

import (
	"context"
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpnotice"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

// limitAnnounceInterval is the interval at which a replica's limit is told to all hosts again, by the
// first that hears it named.
const limitAnnounceInterval = 2 * time.Second

// recordLimit records the limit that a reply names, or that it names none, and tells the other hosts. A
// rejection that names none tells nothing.
func (g *Gateway) recordLimit(id string, r Reply, sentAt time.Duration) {
	if !r.HasLimit && r.NotRun {
		return
	}
	now := g.clock()
	g.mu.Lock()
	changed := g.updateLimit(id, r.HasLimit, r.Limit, sentAt)
	announce := changed || r.HasLimit && now-g.limitsAnnouncedAt[id] >= limitAnnounceInterval
	if announce {
		g.limitsAnnouncedAt[id] = now
	}
	g.mu.Unlock()
	if announce {
		g.sendNotice(g.snapshot.Load().allPeers, fpnotice.Notice{Limit: &fpnotice.ReplicaLimit{Replica: id, Named: r.HasLimit, Rate: r.Limit}})
	}
	if changed {
		g.logLimit(id, r.HasLimit, r.Limit, g.settings().Host)
	}
}

// handleLimitNotice applies what another host heard of a replica's limit.
func (g *Gateway) handleLimitNotice(l *fpnotice.ReplicaLimit, host string) {
	g.mu.Lock()
	changed := g.updateLimit(l.Replica, l.Named, l.Rate, g.clock())
	g.limitsAnnouncedAt[l.Replica] = g.clock()
	g.mu.Unlock()
	if changed {
		g.logLimit(l.Replica, l.Named, l.Rate, host)
	}
}

// updateLimit records a replica's limit with this host's share of it, or its end, and reports whether
// that is a change; sentAt is when the request was sent whose answer names no limit. The gateway's mutex
// must be held.
func (g *Gateway) updateLimit(id string, named bool, rate float64, sentAt time.Duration) bool {
	if !named {
		return g.balancer.RecordNoLimit(id, sentAt)
	}
	share := g.snapshot.Load().limitShare(g.settings().Host, id, rate)
	return g.balancer.RecordLimit(id, rate, share, g.clock())
}

func (g *Gateway) logLimit(id string, named bool, rate float64, source string) {
	g.log("replica limit changed", "Replica", id, "Named", named, "Limit", rate, "Source", source)
}

// limitShare returns the part of a replica's limit, in requests a second, that a host may use. Hosts with
// the same list of hosts agree on it.
func (s *snapshot) limitShare(host, replica string, limit float64) float64 {
	names := s.hostNames
	if !slices.Contains(names, host) {
		// The host's own entry may not be in the store yet.
		names = append(slices.Clone(names), host)
	}
	return fplimit.HostShare(limit, fproute.RendezvousRank(replica, host, names), len(names))
}

// awaitLimit waits until the chosen replica's limit leaves room for the request, and reports whether it
// may still be sent; if not, it ends the request.
func (q *request) awaitLimit(ctx context.Context, c fpbalance.Choice) bool {
	if c.LimitWait <= 0 {
		return true
	}
	g := q.gateway
	waited := fpclock.Sleep(ctx, c.LimitWait)
	q.snapshot = g.snapshot.Load()
	if waited && q.maySend() {
		return true
	}
	g.mu.Lock()
	g.balancer.RecordEnd(c, false)
	g.mu.Unlock()
	if !waited {
		q.failRequest(endReason(ctx), q.retryAfter())
	}
	return false
}
