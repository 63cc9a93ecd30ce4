package fpgateway

import (
	"cmp"
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpcoalesce"
	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
)

const (
	// startCheckTimeout is how long the first event of a stream waits for proof of which start of a replica sent it.
	startCheckTimeout = 400 * time.Millisecond
	// startReadTimeout bounds the read of a replica's start, and startReadOverlap is the least time from one to the next.
	startReadTimeout = 3 * time.Second
	startReadOverlap = 200 * time.Millisecond
	// startRetryPause is the pause after which a replica is asked again that gave no answer.
	startRetryPause = time.Second
	// startWait is how long a stream that is to go on waits for proof of the start that it depends on.
	startWait = startReadTimeout + startReadOverlap
	// restartedPause is how long a replica gets no requests that has restarted, as far as its registration does not
	// tell it.
	restartedPause = 500 * time.Millisecond
)

const (
	// startConfirmed means that the registered start of a replica answers, startReplaced that another one does.
	startConfirmed startState = iota + 1
	startReplaced
	startUnknown
)

var (
	errRestarted     = errors.New("the replica has restarted since its registration")
	errStartUnknown  = errors.New("it is not known which start of the replica answers")
	errNotRegistered = errors.New("the replica is not registered any more")
)

type (
	startState int

	// seenStart is the start of a replica, in Unix milliseconds, that was seen to answer at or after a time. Its report
	// may have said that no request waited there.
	seenStart struct {
		startUnixMilli int64
		at             time.Duration
		noneWaits      bool
	}
)

// confirmStart tells whether the answer comes from the registered start of the replica, whose software version is
// known.
func (q *request) confirmStart(ctx context.Context, r fpbalance.Replica, a *fpconn.Response) startState {
	if r.StartUnixMilli != 0 && a.Connection().Peer() == r.StartUnixMilli {
		q.gateway.recordStart(r.ID, seenStart{startUnixMilli: r.StartUnixMilli, at: q.sentAt})
	}
	return q.confirmConnection(ctx, r, a.Connection(), startCheckTimeout)
}

// requireStart fails unless the connection to a replica leads to its registered start, where the stream that the request
// is to go on with needs that.
func (q *request) requireStart(ctx context.Context, r fpbalance.Replica, c fpconn.Connection) error {
	if !q.buildKnown {
		return nil
	}
	switch q.confirmConnection(ctx, r, c, startWait) {
	case startReplaced:
		return errRestarted
	case startUnknown:
		return errStartUnknown
	}
	// The call was built before the wait.
	if q.gateway.snapshot.Load().catalog != q.snapshot.catalog {
		return errConfigChanged
	}
	return nil
}

// confirmConnection tells whether a connection to a replica leads to its registered start. A connection ends with the
// process that accepted it, so that it needs one proof: that start was seen to answer after the connection was opened.
func (q *request) confirmConnection(ctx context.Context, r fpbalance.Replica, c fpconn.Connection, wait time.Duration) startState {
	g := q.gateway
	switch {
	case r.StartUnixMilli == 0, c.Peer() == r.StartUnixMilli:
		return startConfirmed
	case c.Peer() != 0:
		return startReplaced
	}
	g.mu.Lock()
	seen, known := g.seenStarts[r.ID]
	g.mu.Unlock()
	state := startReplaced
	switch {
	case !known || seen.at < c.OpenedAt():
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		state = q.askStart(ctx, r.ID, r.StartUnixMilli)
	case seen.startUnixMilli == r.StartUnixMilli:
		state = startConfirmed
	}
	if state == startConfirmed {
		c.SetPeer(r.StartUnixMilli)
	}
	return state
}

// askStart asks a replica whether a start of it answers, unless it wants no requests now.
func (q *request) askStart(ctx context.Context, id string, startUnixMilli int64) startState {
	g := q.gateway
	if left := g.pauseLeft(fpbalance.Replica{ID: id, StartUnixMilli: startUnixMilli}); left > 0 {
		q.appendTrail("%s start not read: it wants no requests for %v", id, left)
		return startUnknown
	}
	start, err := g.startReader(id).Get(ctx)
	switch {
	case err != nil:
		q.appendTrail("%s start not read: %v", id, err)
		return startUnknown
	case start != startUnixMilli:
		return startReplaced
	}
	return startConfirmed
}

// askStarts asks for the starts of the replicas in a list at an interval, until the context ends, but each of them at most
// once in startRetryPause, and only if it is registered and wants requests. It passes failures on.
func (g *Gateway) askStarts(ctx context.Context, interval time.Duration, list func() []string, failed func(id string, err error)) error {
	// askAt holds until when a replica is not asked again, by ID.
	askAt := make(map[string]time.Duration)
	for fpclock.Sleep(ctx, interval) {
		now := g.clock()
		maps.DeleteFunc(askAt, func(_ string, at time.Duration) bool { return now >= at })
		for _, id := range list() {
			r, registered := g.snapshot.Load().registration(id)
			_, asked := askAt[id]
			if asked || !registered || g.pauseLeft(fpbalance.Replica{ID: id, StartUnixMilli: r.StartUnixMilli}) > 0 {
				continue
			}
			askAt[id] = now + startRetryPause
			go func() {
				if _, err := g.startReader(id).Get(ctx); err != nil && ctx.Err() == nil {
					failed(id, err)
				}
			}()
		}
	}
	return nil
}

// startReader returns what reads a replica's start, for all requests at a time.
func (g *Gateway) startReader(id string) *fpcoalesce.Reader[int64] {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.startReaders[id]
	if known == nil {
		known = &fpcoalesce.Reader[int64]{Overlap: startReadOverlap, Read: func() (int64, error) { return g.readStart(id) }}
		g.startReaders[id] = known
	}
	return known
}

// readStart reads a replica's start from its status report, at the address of its present registration, and records it. A
// report that names none counts as that of the registered start.
func (g *Gateway) readStart(id string) (int64, error) {
	r, ok := g.snapshot.Load().registration(id)
	if !ok {
		return 0, errNotRegistered
	}
	g.metrics.AddToCounter("replica_start_reads", 1)
	asked := g.clock()
	report, err := g.fetchReport(context.Background(), r, startReadTimeout)
	if err != nil {
		return 0, err
	}
	start := cmp.Or(report.StartUnixMilli, r.StartUnixMilli)
	if start != r.StartUnixMilli {
		g.log("replica restarted before its registration", "Replica", r.ID, "Start", start, "Registered", r.StartUnixMilli)
		g.recordStart(id, seenStart{startUnixMilli: start, at: asked})
		g.pauseReplica(id, r.StartUnixMilli, restartedPause)
		g.recordCrash(id, "another start answers")
		return start, nil
	}
	g.recordStart(id, seenStart{startUnixMilli: r.StartUnixMilli, at: asked, noneWaits: report.Queued == 0})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silences.HearStart(id, asked, g.clock())
	return start, nil
}

// recordStart records that a start of a replica was seen to answer, which confirms the origins that were inferred from it.
func (g *Gateway) recordStart(id string, s seenStart) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known, ok := g.seenStarts[id]; !ok || known.at < s.at {
		g.seenStarts[id] = s
	}
	g.confirmOrigins(id, s)
}
