package fpgateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpcoalesce"
	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
)

const (
	// startCheckTimeout bounds the question whether a replica is the one that is registered.
	startCheckTimeout = 400 * time.Millisecond
	// restartedPause is how long a replica gets no requests that has restarted, as far as its registration does not
	// tell it.
	restartedPause = 500 * time.Millisecond
	// unknownBuild stands for the software version of a stream at a replica that may have restarted. No replica
	// registers with it.
	unknownBuild = "?"
)

const (
	// startConfirmed means that the registered start of a replica answers, startReplaced that another one does.
	startConfirmed startState = iota + 1
	startReplaced
	startUnknown
)

var (
	errRestarted     = errors.New("the replica has restarted since its registration")
	errNotRegistered = errors.New("the replica is not registered any more")
)

type (
	startState int

	// seenStart is the start of a replica, in Unix milliseconds, that was seen to answer at or after a time.
	seenStart struct {
		startUnixMilli int64
		at             time.Duration
	}
)

// confirmStart tells whether the answer comes from the registered start of the replica, whose software version is
// known. A connection ends with the process that accepted it, so that it needs one proof: that start was seen to
// answer after the connection was opened.
func (q *request) confirmStart(ctx context.Context, r fpbalance.Replica, a *fpconn.Response) startState {
	g := q.gateway
	switch {
	case r.StartUnixMilli == 0:
		return startConfirmed
	case a.Peer() == r.StartUnixMilli:
		g.recordStart(r.ID, seenStart{r.StartUnixMilli, q.sentAt})
		return startConfirmed
	case a.Peer() != 0:
		return startReplaced
	}
	g.mu.Lock()
	seen, known := g.seenStarts[r.ID]
	g.mu.Unlock()
	state := startReplaced
	switch {
	case !known || seen.at < a.OpenedAt():
		state = q.askStart(ctx, r)
	case seen.startUnixMilli == r.StartUnixMilli:
		state = startConfirmed
	}
	if state == startConfirmed {
		a.SetPeer(r.StartUnixMilli)
	}
	return state
}

// askStart asks a replica for its start, unless it wants no requests now.
func (q *request) askStart(ctx context.Context, r fpbalance.Replica) startState {
	g := q.gateway
	switch {
	case r.StartUnixMilli == 0:
		return startConfirmed
	case g.checkIntake(r) != nil:
		return startUnknown
	}
	asked := g.clock()
	start, err := g.startReader(r.ID).Get(ctx)
	switch {
	case err != nil:
		q.appendTrail("%s start not read: %v", r.ID, err)
		return startUnknown
	case start != 0 && start != r.StartUnixMilli:
		g.log("replica restarted before its registration", "RequestID", q.caller.ID, "Replica", r.ID, "Start", start, "Registered", r.StartUnixMilli)
		g.recordStart(r.ID, seenStart{start, asked})
		g.pauseReplica(r.ID, r.StartUnixMilli, restartedPause)
		return startReplaced
	}
	g.recordStart(r.ID, seenStart{r.StartUnixMilli, asked})
	return startConfirmed
}

// startReader returns what reads a replica's start, for all requests at a time.
func (g *Gateway) startReader(id string) *fpcoalesce.Reader[int64] {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.startReaders[id]
	if known == nil {
		known = &fpcoalesce.Reader[int64]{Read: func() (int64, error) { return g.readStart(id) }}
		g.startReaders[id] = known
	}
	return known
}

// readStart reads a replica's start from its status report, at the address of its present registration.
func (g *Gateway) readStart(id string) (int64, error) {
	r, ok := g.snapshot.Load().registration(id)
	if !ok {
		return 0, errNotRegistered
	}
	ctx, cancel := context.WithTimeout(context.Background(), startCheckTimeout)
	defer cancel()
	g.metrics.AddToCounter("replica_start_reads", 1)
	report, err := g.fetchReport(ctx, r)
	return report.StartUnixMilli, err
}

// recordStart records that a start of a replica was seen to answer.
func (g *Gateway) recordStart(id string, s seenStart) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known, ok := g.seenStarts[id]; !ok || known.at < s.at {
		g.seenStarts[id] = s
	}
}
