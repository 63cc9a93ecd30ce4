package fphost

import (
	"context"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpgossip"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
	"github.com/fescuepoint/fescuepoint/pkg/fpmember"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

// Quota returns what this host may admit of a team: the share that it was
// told, or an even one until then.
func (h *Host) Quota(t fpconfig.Team) fplimit.Quota {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := limitOf(t)
	share, ok := h.shares[t.Name]
	if !ok {
		share = fplimit.EvenShare(limit, h.fleet)
	}
	q := fplimit.Quota{Share: share}
	if limit.Requests == 0 {
		q.Share.Requests = 0
	}
	if limit.Tokens == 0 {
		q.Share.Tokens = 0
	}
	if t.Running > 0 {
		q.MaxRunning = max((t.Running+h.fleet-1)/h.fleet, 1)
	}
	return q
}

func limitOf(t fpconfig.Team) fplimit.Rates {
	return fplimit.Rates{Requests: t.RequestsPerSecond, Tokens: t.TokensPerSecond}
}

func (h *Host) setShare(team string, r fplimit.Rates) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shares[team] = r
}

// shareLimits tells, at its pace, the owner of each limited team what this host's demand is.
func (h *Host) shareLimits(ctx context.Context) error {
	return every(ctx, shareEvery, func() {
		h.loop.post(ctx, func(c *control) {
			h.mu.Lock()
			h.fleet = c.hosts()
			h.mu.Unlock()
			h.reportDemand(c, time.Now())
		})
	})
}

// reportDemand sends each team's demand to the host that shares out its limit.
func (h *Host) reportDemand(c *control, now time.Time) {
	names, byName := fleet(c.table)
	demands := make(map[string][]fpgossip.Demand)
	h.callers.ForEachDemand(now, func(team string, r fplimit.Rates) {
		t, ok := c.replica.Current().Document.Team(team)
		if !ok || limitOf(t) == (fplimit.Rates{}) {
			return
		}
		owner := names[fproute.RendezvousOwner("limit/"+team, names)]
		demands[owner] = append(demands[owner], fpgossip.Demand{Team: team, Requests: r.Requests, Tokens: r.Tokens})
	})
	for owner, list := range demands {
		if owner == c.table.Self().Name {
			for _, s := range c.allocate(owner, list, now) {
				h.setShare(s.Team, fplimit.Rates{Requests: s.Requests, Tokens: s.Tokens})
			}
			continue
		}
		for len(list) > 0 {
			n := min(len(list), demandsPerMessage)
			m := h.message(c)
			m.Demands = list[:n]
			_ = h.socket.Send(byName[owner].Address, m)
			list = list[n:]
		}
	}
}

// allot answers another host's demands with its shares.
func (h *Host) allot(c *control, m fpgossip.Message) {
	if len(m.Demands) == 0 {
		return
	}
	answer := h.message(c)
	answer.Shares = c.allocate(m.Name, m.Demands, time.Now())
	_ = h.socket.Send(m.Address, answer)
}

// allocate returns a host's shares of the teams that it reports demand of.
func (c *control) allocate(host string, demands []fpgossip.Demand, now time.Time) []fpgossip.Demand {
	var out []fpgossip.Demand
	for _, d := range demands {
		t, ok := c.replica.Current().Document.Team(d.Team)
		if !ok {
			continue
		}
		a := c.owned[d.Team]
		if a == nil {
			a = fplimit.NewAllocator()
			c.owned[d.Team] = a
		}
		r := a.UpdateDemand(host, fplimit.Rates{Requests: d.Requests, Tokens: d.Tokens}, limitOf(t), c.hosts(), now)
		out = append(out, fpgossip.Demand{Team: d.Team, Requests: r.Requests, Tokens: r.Tokens})
	}
	return out
}

// fleet returns the hosts that count, sorted by name, this one among them.
func fleet(t *fpmember.Table) (names []string, byName map[string]fpmember.Member) {
	self := t.Self()
	byName = map[string]fpmember.Member{self.Name: self}
	names = append(names, self.Name)
	for _, m := range t.Members() {
		if m.State != fpmember.Dead && m.State != fpmember.Unheard {
			names = append(names, m.Name)
			byName[m.Name] = m
		}
	}
	return names, byName
}
