package fpcaller

import (
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// missRatioWeight is the weight of one answer in the exponential average of the cache miss ratio,
	// the share of prompt tokens that were not cached.
	missRatioWeight = 0.1
	// initialMissRatio is the cache miss ratio before any answer.
	initialMissRatio = 0.5
	// busyQueueSeconds is the queued work, in seconds of prefill, above which a replica counts as
	// busy.
	busyQueueSeconds = 0.5
)

// schedulingDeadline returns the deadline by which engines order their queues:
// the request's virtual start time plus the slack of its class. The virtual start
// time is now for a team within the rate that it is entitled to of this host's
// part of the zone's prefill rate, and later the further the team is beyond it.
// Queued work comes due as time passes, so that bulk work does not starve. While
// all replicas of the zone are busy, a team too far beyond its rate is refused.
// The caller must hold mu.
func (s *Server) schedulingDeadline(team string, c fproute.Class, tokens int, snapshot *fpstate.Snapshot, now time.Time) (time.Time, *fplimit.Refusal) {
	capacity, busy := 0.0, true
	for i := range snapshot.View.Replicas {
		if r := &snapshot.View.Replicas[i]; r.Zone == snapshot.View.Zone && !r.Down {
			capacity += r.PrefillRate
			busy = busy && r.QueuedTokens[c] > busyQueueSeconds*r.PrefillRate
		}
	}
	if capacity == 0 {
		return now.Add(c.Slack()), nil
	}
	capacity /= float64(max(snapshot.View.Hosts, 1))
	entitledRate := s.limiter.EntitledRate(team, capacity, s.missRatio, now)
	start, refusal := s.limiter.VirtualStart(team, float64(tokens)*s.missRatio, entitledRate, busy, now)
	return start.Add(c.Slack()), refusal
}

// updateMissRatio updates the average cache miss ratio with an answered prompt.
func (s *Server) updateMissRatio(promptTokens, cachedTokens int) {
	if promptTokens == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missRatio += missRatioWeight * (float64(promptTokens-cachedTokens)/float64(promptTokens) - s.missRatio)
}
