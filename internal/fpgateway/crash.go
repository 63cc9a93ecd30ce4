package fpgateway

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
)

const (
	// crashGatherTime is the time in which the attempts that one crash breaks are gathered.
	crashGatherTime = 100 * time.Millisecond
	// crashProbeTimeout bounds the connection that tells a crash from a single broken answer.
	crashProbeTimeout = 500 * time.Millisecond
	// brokenAttemptTTL is how long a broken attempt is kept for proof that its replica crashed.
	brokenAttemptTTL = 5 * time.Second
	// maxBrokenAttempts bounds the broken attempts that are kept for one replica.
	maxBrokenAttempts = 256
	// maxLoggedCounts bounds the prompt parts, and the fingerprints, in the log line of a crash.
	maxLoggedCounts = 12
)

type (
	// brokenReplica holds the attempts at a replica that ended without a complete answer.
	brokenReplica struct {
		attempts []brokenAttempt
		// probed says that a connection is being opened to tell whether the replica crashed.
		probed bool
		// crashed says that the replica is proved to have crashed.
		crashed bool
	}

	// brokenAttempt is an attempt that the replica broke off; parts are the IDs of the shared parts
	// of its prompt, and fingerprint is that of the request, which may have been on trial.
	brokenAttempt struct {
		at          time.Duration
		sentAt      time.Duration
		parts       []string
		fingerprint string
		trial       bool
	}
)

// recordBrokenAttempt records an attempt that a replica broke off, and has a new connection tell
// whether the replica crashed.
func (g *Gateway) recordBrokenAttempt(r fpbalance.Replica, a brokenAttempt) {
	if g.addBrokenAttempt(r, a) {
		g.reportCrash(r.ID, []brokenAttempt{a}, a.at)
	}
}

// addBrokenAttempt keeps a broken attempt and reports whether its replica is known to have crashed.
func (g *Gateway) addBrokenAttempt(r fpbalance.Replica, a brokenAttempt) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropOldBrokenAttempts(a.at)
	b := g.brokenReplicas[r.ID]
	if b == nil {
		b = &brokenReplica{}
		g.brokenReplicas[r.ID] = b
	}
	if !b.probed && !b.crashed {
		b.probed = true
		time.AfterFunc(crashGatherTime, func() { g.probeBrokenReplica(r) })
	}
	if len(b.attempts) < maxBrokenAttempts {
		b.attempts = append(b.attempts, a)
	}
	return b.crashed
}

// dropOldBrokenAttempts drops the replicas whose last broken attempt is too old.
func (g *Gateway) dropOldBrokenAttempts(now time.Duration) {
	maps.DeleteFunc(g.brokenReplicas, func(_ string, b *brokenReplica) bool {
		return now-b.attempts[len(b.attempts)-1].at > brokenAttemptTTL
	})
}

// dropBrokenAttempts drops the attempts that an earlier start of a replica broke off.
func (g *Gateway) dropBrokenAttempts(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.brokenReplicas, id)
}

// probeBrokenReplica opens a connection to a replica that broke off an answer. A refused one proves
// that the replica crashed, an accepted one that it did not.
func (g *Gateway) probeBrokenReplica(r fpbalance.Replica) {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	err := g.pool.Probe(ctx, r.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.recordNoConnection(r.ID, err)
		g.recordCrash(r.ID, "connection refused")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.brokenReplicas[r.ID]
	if b == nil {
		return
	}
	b.probed = false
	if err == nil && !b.crashed {
		delete(g.brokenReplicas, r.ID)
	}
}

// recordCrash records proof that a replica crashed, unless it broke off no attempt and left none unanswered, or its crash
// is known.
func (g *Gateway) recordCrash(id, proof string) {
	g.mu.Lock()
	broken, at := g.silences.Crash(id, g.clock())
	waiting, waitingSince := g.waitingAttempts(id)
	broken, at = append(broken, waiting...), min(at, waitingSince)
	unanswered := len(broken)
	if b := g.brokenReplicas[id]; b != nil && !b.crashed {
		b.crashed = true
		broken, at = append(slices.Clone(b.attempts), broken...), b.attempts[0].at
	}
	g.mu.Unlock()
	if len(broken) == 0 {
		return
	}
	g.metrics.AddToCounter("replica_crashes", 1)
	g.log("replica crashed", "Replica", id, "Proof", proof, "Broken", len(broken), "Unanswered", unanswered, "SilentFor", (g.clock() - at).String(), "Parts", formatCounts(countParts(broken)),
		"Fingerprints", formatCounts(countFingerprints(broken)))
	g.reportCrash(id, broken, at)
}

// countParts returns the number of broken attempts by the ID of a shared prompt part.
func countParts(broken []brokenAttempt) map[string]int {
	counts := make(map[string]int)
	for _, a := range broken {
		for _, id := range a.parts {
			counts[id]++
		}
	}
	return counts
}

// countFingerprints returns the number of broken attempts by the fingerprint of their request.
func countFingerprints(broken []brokenAttempt) map[string]int {
	counts := make(map[string]int)
	for _, a := range broken {
		counts[a.fingerprint]++
	}
	return counts
}

// formatCounts lists the IDs with the most attempts.
func formatCounts(counts map[string]int) string {
	ids := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	out := make([]string, 0, maxLoggedCounts)
	for _, id := range ids[:min(len(ids), maxLoggedCounts)] {
		out = append(out, fmt.Sprintf("%s:%d", id, counts[id]))
	}
	return fmt.Sprint(out)
}

// sharedPartIDs returns the IDs of the parts of a prompt that other prompts may share.
func sharedPartIDs(parts []fpbalance.Part) []string {
	shared := fpbalance.SharedParts(parts)
	ids := make([]string, 0, len(shared))
	for _, p := range shared {
		ids = append(ids, p.ID)
	}
	return ids
}

// noteBrokenAttempt records the attempt if its replica broke it off, or left it unanswered.
func (q *request) noteBrokenAttempt(c fpbalance.Choice, err error) {
	switch {
	case fpconn.ClosedByPeer(err):
		q.broken = true
		q.gateway.recordBrokenAttempt(c.Replica, q.brokenAttempt())
	case errors.Is(err, fpconn.ErrIncompleteResponse):
		q.gateway.recordUnanswered(c.Replica.ID, q.brokenAttempt())
	}
}

// brokenAttempt describes the last attempt, which ends now without a complete answer.
func (q *request) brokenAttempt() brokenAttempt {
	return brokenAttempt{
		at: q.gateway.clock(), sentAt: q.sentAt, parts: q.sharedParts, fingerprint: q.fingerprint, trial: len(q.suspects) > 0,
	}
}
