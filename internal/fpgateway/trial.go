package fpgateway

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpnotice"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
)

const (
	// trialRetryAfter is the Retry-After of a request that is held back for a trial, which takes about as long
	// as one answer.
	trialRetryAfter = 300 * time.Millisecond
)

// errOnTrial means that a request with the same suspected part is on trial, or that each replica has a trial.
var errOnTrial = errors.New("held back: a part that is suspected to crash replicas is tried by another request")

// chooseSuspects sets the request's suspected parts and returns an error if one of them is on trial.
// The gateway's mutex must be held.
func (q *request) chooseSuspects() error {
	g := q.gateway
	q.suspects = nil
	if len(g.quarantine.suspects) == 0 {
		return nil
	}
	for _, id := range q.quarantineIDs {
		if _, ok := g.quarantine.suspects[id]; ok {
			q.suspects = append(q.suspects, id)
		}
	}
	if !g.quarantine.trials.Allowed(q.suspects, g.clock()) {
		return errOnTrial
	}
	return nil
}

// withoutTrials returns the replicas at which no suspected part is on trial. The gateway's mutex must be held.
func (g *Gateway) withoutTrials(replicas []fpbalance.Replica) []fpbalance.Replica {
	occupied := g.quarantine.trials.Occupied(g.clock())
	return slices.DeleteFunc(slices.Clone(replicas), func(r fpbalance.Replica) bool { return slices.Contains(occupied, r.ID) })
}

// announceTrial tells the other hosts that a request with suspected parts is sent to a replica. They hold others
// with the same parts back and send no other suspected ones there.
func (q *request) announceTrial(replica string) {
	if len(q.suspects) == 0 {
		return
	}
	q.appendTrail("%s on trial", replica)
	forEachNotice(q.suspects, func(id string) string { return id }, func(ids []string) {
		q.gateway.sendNotice(q.snapshot.allPeers, fpnotice.Notice{Trial: &fpnotice.PartsOnTrial{IDs: ids, Replica: replica}})
	})
}

// handleTrialNotice records another host's trial.
func (g *Gateway) handleTrialNotice(t *fpnotice.PartsOnTrial) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.trials.Begin(t.IDs, t.Replica, g.clock())
}

// endTrial ends the request's trial, if it had one: its replica answered it, or did not get or run it.
func (q *request) endTrial() {
	if len(q.suspects) == 0 {
		return
	}
	g := q.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.trials.End(q.suspects, q.choice.Replica.ID)
}
