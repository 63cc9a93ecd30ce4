package fpgateway

import (
	"context"
	"maps"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/pkg/fpquarantine"
)

const (
	// silenceCheckInterval is the interval at which silent replicas are looked for.
	silenceCheckInterval = 500 * time.Millisecond
	// uncertainTTL is how long a request is remembered that may have been sent to a replica which had ended before, and
	// maxUncertain bounds such requests.
	uncertainTTL = 10 * time.Minute
	maxUncertain = 4096
)

// recordConnection records when a replica accepted a connection.
func (g *Gateway) recordConnection(id string, at time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silences.Accept(id, at)
}

// hear records that bytes of an answer came from a replica.
func (g *Gateway) hear(id string, at time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silences.Hear(id, at)
}

// recordUnanswered records an attempt that ended without a complete answer, though its replica did not break it off. It is
// evidence only once the replica is proved to have crashed.
func (g *Gateway) recordUnanswered(id string, a brokenAttempt) {
	g.mu.Lock()
	verdict, since := g.silences.Add(id, a.sentAt, a)
	if verdict == fpquarantine.Uncertain {
		g.rememberUncertain(requestIDPrefix+a.fingerprint, a.at)
	}
	g.mu.Unlock()
	if verdict == fpquarantine.Crashed {
		g.reportCrash(id, []brokenAttempt{a}, since)
	}
}

// rememberUncertain has a request sent over new connections for some time, which prove that the replica is alive as it is
// sent. The gateway's mutex must be held.
func (g *Gateway) rememberUncertain(id string, now time.Duration) {
	if len(g.uncertain) >= maxUncertain {
		maps.DeleteFunc(g.uncertain, func(_ string, at time.Duration) bool { return now-at >= uncertainTTL })
	}
	if len(g.uncertain) < maxUncertain {
		g.uncertain[id] = now
	}
}

// needsNewConnection reports whether an earlier attempt of the request got no answer from a replica that may have ended
// before.
func (q *request) needsNewConnection() bool {
	g := q.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.uncertain[requestIDPrefix+q.fingerprint]
	return ok && g.clock()-at < uncertainTTL
}

// waitingAttempts returns the attempts that wait for an answer from a replica that has crashed, and when it fell silent. The
// gateway's mutex must be held.
func (g *Gateway) waitingAttempts(id string) ([]brokenAttempt, time.Duration) {
	var out []brokenAttempt
	since := g.clock()
	for q := range g.quarantine.unbegun {
		if q.choice.Replica.ID != id {
			continue
		}
		if v, silentSince := g.silences.Judge(id, q.sentAt); v == fpquarantine.Crashed {
			out, since = append(out, q.brokenAttempt()), min(since, silentSince)
		}
	}
	return out, since
}

// checkSilentReplicas asks replicas for their start, until the context ends, that left attempts unanswered and were not
// heard since.
func (g *Gateway) checkSilentReplicas(ctx context.Context) error {
	silent := func() []string {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.silences.Expire(g.clock())
		return g.silences.Pending()
	}
	return g.askStarts(ctx, silenceCheckInterval, silent, func(id string, err error) {
		if errors.Is(err, syscall.ECONNREFUSED) {
			g.recordNoConnection(id, err)
			g.recordCrash(id, "connection refused")
		}
	})
}
