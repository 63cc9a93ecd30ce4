package fpcaller

import (
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// missMemory is the weight of one answer in the average share of prompt tokens not found cached.
	missMemory = 0.1
	// missUnknown is that share before any answer.
	missUnknown = 0.5
	// busySeconds is the queue from which on a replica counts as busy.
	busySeconds = 0.5
)

// deadline returns the time that orders work at engines: now, plus the class's
// slack, plus how far the team is beyond what it is entitled to of this host's
// part of the zone's prefill rate. A deadline comes nearer as time passes, so
// that bulk work ages into service. The lock is held.
func (s *Server) deadline(team string, c fproute.Class, tokens int, n *fpstate.Snapshot, now time.Time) (time.Time, *fplimit.Refusal) {
	capacity, busy := 0.0, true
	for i := range n.View.Replicas {
		if r := &n.View.Replicas[i]; r.Zone == n.View.Zone && !r.Down {
			capacity += r.PrefillRate
			busy = busy && r.QueuedTokens[c] > busySeconds*r.PrefillRate
		}
	}
	if capacity == 0 {
		return now.Add(c.Slack()), nil
	}
	capacity /= float64(max(n.View.Hosts, 1))
	entitled := s.limiter.EntitledRate(team, capacity, s.missRatio, now)
	start, refusal := s.limiter.VirtualStart(team, float64(tokens)*s.missRatio, entitled, busy, now)
	return start.Add(c.Slack()), refusal
}

// learnMisses takes in how much of an answered prompt was not found cached.
func (s *Server) learnMisses(prompt, cached int) {
	if prompt == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missRatio += missMemory * (float64(prompt-cached)/float64(prompt) - s.missRatio)
}
