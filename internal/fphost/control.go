package fphost

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpgossip"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
	"github.com/fescuepoint/fescuepoint/pkg/fpmember"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// unreachableAfterMisses is the number of consecutive missed load reports after which an
	// upstream counts as unreachable and gets no new work.
	unreachableAfterMisses = 2
	// leavingReportTTL is how long a report by another host, or by the platform once a later host list
	// no longer says so, that an upstream is leaving stays valid.
	leavingReportTTL = time.Minute
	// defaultRoundTrip is the assumed round trip time to zones that the settings don't name.
	defaultRoundTrip = 60 * time.Millisecond
)

type (
	// controlState is the state that only the control goroutine reads and writes.
	controlState struct {
		zone              string
		roundTrips        map[string]time.Duration
		members           *fpmember.Table
		config            fpconfig.Replica
		teamsByKeyHash    map[string]fpconfig.Team
		configLoaded      bool
		draining          bool
		upstreams         map[string]*upstreamState
		leavingReportedAt map[string]time.Time
		limitAllocators   map[string]*fplimit.Allocator
		snapshots         *fpstate.Holder
		recordRestart     func(replica string)
		recordReachable   func(replica string)
	}

	// upstreamState is the state of a declared upstream.
	upstreamState struct {
		report         fpupstream.LoadReport
		reportedAt     time.Time
		missedReports  int
		hasReport      bool
		reportsLeaving bool
		// listedLeaving is whether the last host list that could be read said that it is leaving.
		listedLeaving bool
	}

	// controlLoop runs tasks on the control goroutine.
	controlLoop struct {
		tasks chan func(*controlState)
	}
)

func newControlLoop() *controlLoop { return &controlLoop{tasks: make(chan func(*controlState), 256)} }

// submitTask queues a task for the control goroutine; it drops the task if the context ends first.
func (l *controlLoop) submitTask(ctx context.Context, f func(*controlState)) {
	select {
	case l.tasks <- f:
	case <-ctx.Done():
	}
}

// run executes tasks until the context ends. It publishes one snapshot for all tasks that are
// queued at the same time.
func (l *controlLoop) run(ctx context.Context, c *controlState) error {
	for {
		select {
		case f := <-l.tasks:
			f(c)
			for range len(l.tasks) {
				(<-l.tasks)(c)
			}
			c.publishSnapshot()
		case <-ctx.Done():
			return nil
		}
	}
}

// applyConfig puts a configuration in force: it adds the upstreams that are newly declared and
// drops those that no longer are.
func (c *controlState) applyConfig(r fpconfig.Replica) {
	c.config = r
	c.configLoaded = true
	c.teamsByKeyHash = make(map[string]fpconfig.Team, len(r.Current().Document.Teams))
	for _, t := range r.Current().Document.Teams {
		c.teamsByKeyHash[t.KeySHA256] = t
	}
	declared := make(map[string]bool)
	for _, u := range r.Current().Document.Upstreams {
		declared[u.Name] = true
		if c.upstreams[u.Name] == nil {
			c.upstreams[u.Name] = &upstreamState{}
		}
	}
	for name := range c.upstreams {
		if !declared[name] {
			delete(c.upstreams, name)
		}
	}
	c.updateSelf()
}

// updateSelf updates the version and the draining state that this host's heartbeats carry.
func (c *controlState) updateSelf() {
	v := c.config.Current()
	c.members.SetSelf(v.Version, uint32(v.Checksum()), c.draining)
}

// recordLoadReport records an upstream's load report, or a miss if err is not nil. A report with a
// new incarnation means that the upstream restarted, so that earlier signs of leaving no longer
// count.
func (c *controlState) recordLoadReport(name string, l fpupstream.LoadReport, err error, now time.Time) {
	u := c.upstreams[name]
	if u == nil {
		return
	}
	if err != nil {
		u.missedReports++
		return
	}
	if u.hasReport && u.report.Incarnation != l.Incarnation {
		c.recordRestart(name)
		u.reportsLeaving, u.listedLeaving = false, false
		delete(c.leavingReportedAt, name)
	}
	c.recordReachable(name)
	u.report = l
	u.reportedAt = now
	u.missedReports = 0
	u.hasReport = true
	u.reportsLeaving = u.reportsLeaving || l.Leaving
}

// applyHostList applies the platform's host list: it adds entry hosts to the members and notes
// which upstreams are leaving.
func (c *controlState) applyHostList(hosts []fpupstream.ListedHost, now time.Time) {
	for _, u := range c.upstreams {
		u.listedLeaving = false
	}
	for _, h := range hosts {
		if u, ok := c.upstreams[h.Name]; ok {
			if h.Leaving {
				u.listedLeaving = true
				c.leavingReportedAt[h.Name] = now
			}
			continue
		}
		c.members.AddDiscovered(fpmember.Member{Name: h.Name, Zone: h.Zone, Address: h.Address, Leaving: h.Leaving})
	}
}

// recordHeartbeat records a heartbeat and reports whether this host should fetch the configuration
// from its sender: the sender has a higher version, or this host has none yet.
func (c *controlState) recordHeartbeat(m fpgossip.Message, now time.Time) (behind bool) {
	c.members.RecordHeartbeat(m.Heartbeat, now)
	for _, name := range m.LeavingUpstreams {
		if c.upstreams[name] != nil {
			c.leavingReportedAt[name] = now
		}
	}
	return m.ConfigVersion > c.config.Current().Version || !c.configLoaded
}

// leavingUpstreams returns the upstreams whose own load reports to this host say that they are
// leaving.
func (c *controlState) leavingUpstreams() []string {
	var out []string
	for name, u := range c.upstreams {
		if u.reportsLeaving {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// nonDeadHostCount returns the number of hosts that are not dead, including this one.
func (c *controlState) nonDeadHostCount() int {
	n := 1
	for _, m := range c.members.Members() {
		if m.State != fpmember.Dead {
			n++
		}
	}
	return n
}

// publishSnapshot builds a snapshot of the control state and publishes it.
func (c *controlState) publishSnapshot() {
	v := c.config.Current()
	s := &fpstate.Snapshot{
		Config:   v,
		Teams:    c.teamsByKeyHash,
		View:     fproute.View{Zone: c.zone, Hosts: max(len(c.members.LiveMembers(c.zone)), 1)},
		Services: make(map[string][]fpstate.Upstream),
		Members:  c.members.Members(),
		Ready:    c.configLoaded,
		Draining: c.draining,
	}
	now := time.Now()
	for _, d := range v.Document.Upstreams {
		u := c.snapshotUpstream(d, now)
		s.Upstreams = append(s.Upstreams, u)
		switch d.Kind {
		case fpconfig.KindEngine:
			s.View.Replicas = append(s.View.Replicas, c.routingReplica(d, u))
		case fpconfig.KindService:
			s.Services[d.Service] = append(s.Services[d.Service], u)
		}
	}
	slices.SortFunc(s.View.Replicas, func(a, b fproute.Replica) int { return cmp.Compare(a.Name, b.Name) })
	c.snapshots.Publish(s)
}

// snapshotUpstream returns an upstream's state for the snapshot.
func (c *controlState) snapshotUpstream(d fpconfig.Upstream, now time.Time) fpstate.Upstream {
	u := c.upstreams[d.Name]
	leavingReportedAt, ok := c.leavingReportedAt[d.Name]
	return fpstate.Upstream{
		Upstream:  d,
		Report:    u.report,
		Reachable: u.hasReport && u.missedReports < unreachableAfterMisses,
		Leaving:   d.Leaving || u.reportsLeaving || u.listedLeaving || ok && now.Sub(leavingReportedAt) < leavingReportTTL,
	}
}

// routingReplica returns an engine as the router sees it.
func (c *controlState) routingReplica(d fpconfig.Upstream, u fpstate.Upstream) fproute.Replica {
	rt, ok := c.roundTrips[d.AvailabilityZone]
	if !ok {
		rt = defaultRoundTrip
	}
	return fproute.Replica{
		Name:             d.Name,
		Address:          d.Address,
		Incarnation:      u.Report.Incarnation,
		Zone:             d.AvailabilityZone,
		Model:            d.Model,
		Weights:          u.Report.Weights,
		SoftwareVersion:  u.Report.SoftwareVersion,
		Leaving:          u.Leaving || u.Report.Loading,
		Down:             !u.Reachable,
		PrefillRate:      max(u.Report.PrefillTokensPerSecond, 1),
		RoundTripSeconds: rt.Seconds(),
		QueuedTokens:     queuedTokensByClass(u.Report),
		ReportedAt:       c.upstreams[d.Name].reportedAt,
		RunningOutput:    u.Report.Running,
		Hash:             fproute.HashName(d.Name),
	}
}

// queuedTokensByClass returns, for each class, the reported queued tokens that run before new work
// of that class.
func queuedTokensByClass(l fpupstream.LoadReport) [fproute.Classes]float64 {
	return [fproute.Classes]float64{float64(l.QueuedNow), float64(l.QueuedSoon), float64(l.QueuedTokens)}
}
