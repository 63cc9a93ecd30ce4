package fpgateway

import (
	"context"
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/internal/fpnotice"
)

const (
	// survivalCheckInterval is the interval at which replicas are looked for that run suspected attempts, and
	// minSurvivalAge the age from which such a replica is asked whether it lives.
	survivalCheckInterval = 250 * time.Millisecond
	minSurvivalAge        = 500 * time.Millisecond
	// maxReportAge is how old the figures in a replica's report may be.
	maxReportAge = time.Second
)

type (
	// runningAttempt is an attempt that has not ended, at a start of a replica in Unix milliseconds. The replica was last
	// heard answering it at heardAt, 0 for never.
	runningAttempt struct {
		replica        string
		startUnixMilli int64
		stream         bool
		sentAt         time.Duration
		heardAt        time.Duration
	}

	// survival is the time for which a replica has lived on with an attempt with a part.
	survival struct {
		id     string
		sentAt time.Duration
		lived  time.Duration
		begun  bool
	}
)

// recordReplicaStart records that a start of a replica was registered, and recordReplicaEnd that it is gone.
func (g *Gateway) recordReplicaStart(id, service string, at time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.tracker.RecordStart(id, service, at)
}

func (g *Gateway) recordReplicaEnd(id string, at time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.tracker.RecordEnd(id, at)
}

// hearEvent records that the request's replica sent an event of its answer.
func (q *request) hearEvent(replica string) {
	g := q.gateway
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silences.Hear(replica, now)
	if a := g.quarantine.running[q]; a != nil {
		a.heardAt = now
	}
}

// lived returns the time for which the attempt's replica has been seen to live on with it, and whether it runs it: it
// answers, or no request waits there. A stream may be held up by its prompt until its first event. The gateway's mutex
// must be held.
func (g *Gateway) lived(a *runningAttempt) (lived time.Duration, begun bool) {
	if a.heardAt > 0 {
		return a.heardAt - a.sentAt, true
	}
	if s := g.seenStarts[a.replica]; s.startUnixMilli == a.startUnixMilli {
		lived := max(s.at-a.sentAt, 0)
		return lived, !a.stream && s.noneWaits && lived >= maxReportAge
	}
	return 0, false
}

// suspectsOf returns those of the request's parts that are suspected now. The gateway's mutex must be held.
func (g *Gateway) suspectsOf(q *request) []string {
	var out []string
	for _, id := range q.quarantineIDs {
		if _, ok := g.quarantine.suspects[id]; ok {
			out = append(out, id)
		}
	}
	return out
}

// recordSurvivals takes running attempts with suspected parts as evidence, and returns those that changed some. The
// gateway's mutex must be held.
func (g *Gateway) recordSurvivals() []survival {
	if len(g.quarantine.suspects) == 0 {
		return nil
	}
	var out []survival
	for q, a := range g.quarantine.running {
		lived, begun := g.lived(a)
		if lived == 0 {
			continue
		}
		for _, id := range g.quarantine.tracker.RecordSurvival(g.suspectsOf(q), a.sentAt, lived, begun) {
			out = append(out, survival{id: id, sentAt: a.sentAt, lived: lived, begun: begun})
		}
	}
	return out
}

// announceSurvivals tells the other hosts of survivals.
func (g *Gateway) announceSurvivals(list []survival) {
	now, peers := g.clock(), g.snapshot.Load().allPeers
	for _, begun := range []bool{true, false} {
		alike := slices.DeleteFunc(slices.Clone(list), func(s survival) bool { return s.begun != begun })
		forEachNotice(alike, func(s survival) string { return s.id }, func(chunk []survival) {
			n := fpnotice.PartsSurvived{Begun: begun}
			for _, s := range chunk {
				n.IDs = append(n.IDs, s.id)
				n.SentAgesMs = append(n.SentAgesMs, (now - s.sentAt).Milliseconds())
				n.LivedMs = append(n.LivedMs, s.lived.Milliseconds())
			}
			g.sendNotice(peers, fpnotice.Notice{Survived: &n})
		})
	}
}

// handleSurvivalNotice takes survivals at another host as evidence.
func (g *Gateway) handleSurvivalNotice(n *fpnotice.PartsSurvived) {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, id := range n.IDs[:min(len(n.IDs), len(n.SentAgesMs), len(n.LivedMs))] {
		sentAt := now - time.Duration(n.SentAgesMs[i])*time.Millisecond
		g.quarantine.tracker.RecordSurvival([]string{id}, sentAt, time.Duration(n.LivedMs[i])*time.Millisecond, n.Begun)
	}
}

// checkSurvivals asks replicas for their start, until the context ends, that have run attempts with suspected parts for
// some time without a sign of life.
func (g *Gateway) checkSurvivals(ctx context.Context) error {
	unseen := func() []string {
		g.mu.Lock()
		defer g.mu.Unlock()
		var out []string
		if len(g.quarantine.suspects) == 0 {
			return nil
		}
		for q, a := range g.quarantine.running {
			lived, _ := g.lived(a)
			if a.heardAt == 0 && g.clock()-a.sentAt-lived >= minSurvivalAge && len(g.suspectsOf(q)) > 0 && !slices.Contains(out, a.replica) {
				out = append(out, a.replica)
			}
		}
		return out
	}
	// A replica that doesn't answer tells nothing.
	return g.askStarts(ctx, survivalCheckInterval, unseen, func(string, error) {})
}
