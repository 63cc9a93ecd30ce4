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
	// downAfter is the number of reports missed in a row after which a replica is ranked out.
	downAfter = 2
	// leavingLasts is how long another host's word that an upstream leaves counts.
	leavingLasts = time.Minute
	// defaultRoundTrip is the distance to zones that the settings don't name.
	defaultRoundTrip = 60 * time.Millisecond
)

type (
	// control is the state that only the control goroutine touches.
	control struct {
		zone       string
		roundTrips map[string]time.Duration
		table      *fpmember.Table
		replica    fpconfig.Replica
		teams      map[string]fpconfig.Team
		loaded     bool
		draining   bool
		upstreams  map[string]*upstream
		told       map[string]time.Time
		owned      map[string]*fplimit.Allocator
		state      *fpstate.Holder
		restarted  func(replica string)
	}

	// upstream is what the control goroutine keeps of a declared upstream.
	upstream struct {
		report   fpupstream.LoadReport
		at       time.Time
		failures int
		heard    bool
		leaving  bool
	}

	// loop runs functions on the control goroutine.
	loop struct {
		events chan func(*control)
	}
)

func newLoop() *loop { return &loop{events: make(chan func(*control), 256)} }

// post hands a function to the control goroutine.
func (l *loop) post(ctx context.Context, f func(*control)) {
	select {
	case l.events <- f:
	case <-ctx.Done():
	}
}

// run executes functions until the context ends, and publishes once for those that wait together.
func (l *loop) run(ctx context.Context, c *control) error {
	for {
		select {
		case f := <-l.events:
			f(c)
			for range len(l.events) {
				(<-l.events)(c)
			}
			c.publish()
		case <-ctx.Done():
			return nil
		}
	}
}

// configured puts a configuration in force.
func (c *control) configured(r fpconfig.Replica) {
	c.replica = r
	c.loaded = true
	c.teams = make(map[string]fpconfig.Team, len(r.Current().Document.Teams))
	for _, t := range r.Current().Document.Teams {
		c.teams[t.KeySHA256] = t
	}
	declared := make(map[string]bool)
	for _, u := range r.Current().Document.Upstreams {
		declared[u.Name] = true
		if c.upstreams[u.Name] == nil {
			c.upstreams[u.Name] = &upstream{}
		}
	}
	for name := range c.upstreams {
		if !declared[name] {
			delete(c.upstreams, name)
		}
	}
	c.tellSelf()
}

// tellSelf sets what heartbeats say of this host.
func (c *control) tellSelf() {
	v := c.replica.Current()
	c.table.SetSelf(v.Version, uint32(v.Checksum()), c.draining)
}

// reported takes in an upstream's load report, or that none came.
func (c *control) reported(name string, l fpupstream.LoadReport, err error, now time.Time) {
	u := c.upstreams[name]
	if u == nil {
		return
	}
	if err != nil {
		u.failures++
		return
	}
	if u.heard && u.report.Incarnation != l.Incarnation {
		c.restarted(name)
		u.leaving = false
		delete(c.told, name)
	}
	u.report = l
	u.at = now
	u.failures = 0
	u.heard = true
	u.leaving = u.leaving || l.Leaving
}

// listed takes in the platform's list: hosts of ours, and upstreams that leave.
func (c *control) listed(hosts []fpupstream.ListedHost, now time.Time) {
	for _, h := range hosts {
		if _, ok := c.upstreams[h.Name]; ok {
			if h.Leaving {
				c.told[h.Name] = now
			}
			continue
		}
		c.table.AddDiscovered(fpmember.Member{Name: h.Name, Zone: h.Zone, Address: h.Address, Leaving: h.Leaving})
	}
}

// heard takes in a heartbeat and reports whether its sender has a higher version.
func (c *control) heard(m fpgossip.Message, now time.Time) (behind bool) {
	c.table.RecordHeartbeat(m.Heartbeat, now)
	for _, name := range m.LeavingUpstreams {
		if c.upstreams[name] != nil {
			c.told[name] = now
		}
	}
	return m.ConfigVersion > c.replica.Current().Version || !c.loaded
}

// leaving returns the upstreams that this host itself knows to be leaving.
func (c *control) leaving() []string {
	var out []string
	for name, u := range c.upstreams {
		if u.leaving {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// hosts returns the number of hosts that count, this one among them.
func (c *control) hosts() int {
	n := 1
	for _, m := range c.table.Members() {
		if m.State != fpmember.Dead {
			n++
		}
	}
	return n
}

// publish builds and publishes the snapshot.
func (c *control) publish() {
	v := c.replica.Current()
	s := &fpstate.Snapshot{
		Config:   v,
		Teams:    c.teams,
		View:     fproute.View{Zone: c.zone, Hosts: max(len(c.table.LiveMembers(c.zone)), 1)},
		Services: make(map[string][]fpstate.Upstream),
		Members:  c.table.Members(),
		Ready:    c.loaded,
		Draining: c.draining,
	}
	now := time.Now()
	for _, d := range v.Document.Upstreams {
		u := c.stateOf(d, now)
		s.Upstreams = append(s.Upstreams, u)
		switch d.Kind {
		case fpconfig.KindEngine:
			s.View.Replicas = append(s.View.Replicas, c.engine(d, u))
		case fpconfig.KindService:
			s.Services[d.Service] = append(s.Services[d.Service], u)
		}
	}
	slices.SortFunc(s.View.Replicas, func(a, b fproute.Replica) int { return cmp.Compare(a.Name, b.Name) })
	c.state.Publish(s)
}

func (c *control) stateOf(d fpconfig.Upstream, now time.Time) fpstate.Upstream {
	u := c.upstreams[d.Name]
	told, ok := c.told[d.Name]
	return fpstate.Upstream{
		Upstream:  d,
		Report:    u.report,
		Reachable: u.heard && u.failures < downAfter,
		Leaving:   d.Leaving || u.leaving || ok && now.Sub(told) < leavingLasts,
	}
}

func (c *control) engine(d fpconfig.Upstream, u fpstate.Upstream) fproute.Replica {
	rt, ok := c.roundTrips[d.AvailabilityZone]
	if !ok {
		rt = defaultRoundTrip
	}
	return fproute.Replica{
		Name:          d.Name,
		Address:       d.Address,
		Incarnation:   u.Report.Incarnation,
		Zone:          d.AvailabilityZone,
		Model:         d.Model,
		Weights:       u.Report.Weights,
		Leaving:       u.Leaving || u.Report.Loading,
		Down:          !u.Reachable,
		PrefillRate:   max(u.Report.PrefillTokensPerSecond, 1),
		RoundTrip:     rt.Seconds(),
		QueuedTokens:  queued(u.Report),
		ReportedAt:    c.upstreams[d.Name].at,
		RunningOutput: u.Report.Running,
		Hash:          fproute.HashName(d.Name),
	}
}

// queued returns the reported work that goes before new work of each class.
func queued(l fpupstream.LoadReport) [fproute.Classes]float64 {
	return [fproute.Classes]float64{float64(l.QueuedNow), float64(l.QueuedSoon), float64(l.QueuedTokens)}
}
