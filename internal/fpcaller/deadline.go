package fpcaller

import (
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

// deadline returns the time that orders work at engines: now, plus the class's
// slack, plus how far the team is beyond its even share of this host's part of
// the zone's prefill rate. A deadline comes nearer as time passes, so that
// bulk work ages into service.
func deadline(l *fplimit.Limiter, team string, c fproute.Class, tokens int, n *fpstate.Snapshot, now time.Time) time.Time {
	rate := 0.0
	for i := range n.View.Replicas {
		if r := &n.View.Replicas[i]; r.Zone == n.View.Zone && !r.Down {
			rate += r.PrefillRate
		}
	}
	if rate == 0 {
		return now.Add(c.Slack())
	}
	share := rate / float64(max(n.View.Hosts, 1)) / float64(max(len(n.Teams), 1))
	return l.Start(team, float64(tokens), share, now).Add(c.Slack())
}
