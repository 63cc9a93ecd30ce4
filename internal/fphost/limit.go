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

// Quota returns what this host may admit of a team: the share that the owner of
// the team's limit assigned to it, or an even share until one is assigned.
func (h *Host) Quota(t fpconfig.Team) fplimit.Quota {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := teamLimit(t)
	share, ok := h.teamShares[t.Name]
	if !ok {
		share = fplimit.EvenShare(limit, h.hostCount)
	}
	q := fplimit.Quota{Share: share}
	if limit.Requests == 0 {
		q.Share.Requests = 0
	}
	if limit.Tokens == 0 {
		q.Share.Tokens = 0
	}
	if t.Running > 0 {
		q.MaxRunning = max((t.Running+h.hostCount-1)/h.hostCount, 1)
	}
	return q
}

func teamLimit(t fpconfig.Team) fplimit.Rates {
	return fplimit.Rates{Requests: t.RequestsPerSecond, Tokens: t.TokensPerSecond}
}

func (h *Host) setTeamShare(team string, r fplimit.Rates) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.teamShares[team] = r
}

// reportDemands periodically reports this host's demand for each limited team to the owner of the
// team's limit.
func (h *Host) reportDemands(ctx context.Context) error {
	return runEvery(ctx, demandReportInterval, func() {
		h.controlLoop.submitTask(ctx, func(c *controlState) {
			h.mu.Lock()
			h.hostCount = c.nonDeadHostCount()
			h.mu.Unlock()
			h.sendDemands(c, time.Now())
		})
	})
}

// sendDemands sends each team's demand to the rendezvous hash owner of its limit, which assigns the
// hosts' shares. The shares of the limits that this host owns are set directly.
func (h *Host) sendDemands(c *controlState, now time.Time) {
	names, byName := hostsHeardFrom(c.members)
	demands := make(map[string][]fpgossip.Demand)
	h.callerServer.ForEachDemand(now, func(team string, r fplimit.Rates) {
		t, ok := c.config.Current().Document.Team(team)
		if !ok || teamLimit(t) == (fplimit.Rates{}) {
			return
		}
		owner := names[fproute.RendezvousOwner("limit/"+team, names)]
		demands[owner] = append(demands[owner], fpgossip.Demand{Team: team, Requests: r.Requests, Tokens: r.Tokens})
	})
	for owner, list := range demands {
		if owner == c.members.Self().Name {
			for _, s := range c.allocateShares(owner, list, now) {
				h.setTeamShare(s.Team, fplimit.Rates{Requests: s.Requests, Tokens: s.Tokens})
			}
			continue
		}
		for len(list) > 0 {
			n := min(len(list), maxDemandsPerMessage)
			m := h.heartbeatMessage(c)
			m.Demands = list[:n]
			_ = h.gossipSocket.Send(byName[owner].Address, m)
			list = list[n:]
		}
	}
}

// answerDemands replies to another host's demands with its shares.
func (h *Host) answerDemands(c *controlState, m fpgossip.Message) {
	if len(m.Demands) == 0 {
		return
	}
	reply := h.heartbeatMessage(c)
	reply.Shares = c.allocateShares(m.Name, m.Demands, time.Now())
	_ = h.gossipSocket.Send(m.Address, reply)
}

// allocateShares records a host's demands and returns its shares of these teams' limits.
func (c *controlState) allocateShares(host string, demands []fpgossip.Demand, now time.Time) []fpgossip.Demand {
	var out []fpgossip.Demand
	for _, d := range demands {
		t, ok := c.config.Current().Document.Team(d.Team)
		if !ok {
			continue
		}
		a := c.limitAllocators[d.Team]
		if a == nil {
			a = fplimit.NewAllocator()
			c.limitAllocators[d.Team] = a
		}
		r := a.UpdateDemand(host, fplimit.Rates{Requests: d.Requests, Tokens: d.Tokens}, teamLimit(t), c.nonDeadHostCount(), now)
		out = append(out, fpgossip.Demand{Team: d.Team, Requests: r.Requests, Tokens: r.Tokens})
	}
	return out
}

// hostsHeardFrom returns this host and then, sorted by name, the others that it has received a
// heartbeat from and that are not dead.
func hostsHeardFrom(t *fpmember.Table) (names []string, byName map[string]fpmember.Member) {
	self := t.Self()
	byName = map[string]fpmember.Member{self.Name: self}
	names = append(names, self.Name)
	for _, m := range t.Members() {
		if m.State != fpmember.Dead && m.State != fpmember.NotContacted {
			names = append(names, m.Name)
			byName[m.Name] = m
		}
	}
	return names, byName
}
