package fpgateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/internal/fpnotice"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
)

const (
	// maxSends bounds the replicas that one request is sent to, including those that answer that
	// they did not run it. maxReplicasTried also counts replicas that could not be reached: a
	// third of the largest service may be down at once.
	maxSends         = 6
	maxReplicasTried = 16
	// maxIdleRepeatable is how recently a kept connection must have been used to carry a request
	// that may run again, maxIdleOnce the same for one that may not: the other side can close a
	// kept connection just as it is used.
	maxIdleRepeatable = 4 * time.Second
	maxIdleOnce       = time.Second
	// assumedWeightsLoadTime is how long a replica is assumed to be loading weights after it
	// refuses work while newer weights are published.
	assumedWeightsLoadTime = 700 * time.Millisecond
	// weightsPropagationMargin is how much later than the operator's store a host usually learns of newer
	// weights at most: through a zone's reader, its batch delay and a peer read.
	weightsPropagationMargin = time.Second
	// maxBufferedBytes bounds an answer that is read whole before it is forwarded.
	maxBufferedBytes = 8 << 20
	// maxNotRunBodyBytes and notRunBodyTimeout bound what is read of an answer that says that the
	// request did not run; its body is not used.
	maxNotRunBodyBytes = 16 << 10
	notRunBodyTimeout  = 100 * time.Millisecond
	// Callers give up on a silent stream after the longest of minSilenceTimeout,
	// silenceTimeoutObjectives times the route's objective and silenceTimeoutEventGaps times its
	// longest gap between events.
	minSilenceTimeout        = 2 * time.Second
	silenceTimeoutObjectives = 4
	silenceTimeoutEventGaps  = 8
)

const (
	// requestDone ends the request; tryAnotherReplica asks for another attempt.
	requestDone attemptResult = iota + 1
	tryAnotherReplica
)

var (
	// errRetryBudget means that another send would exceed the retry budget.
	errRetryBudget = errors.New("the retry budget is used up")
	// errConfigChanged means that a call was built from a configuration that is no longer in force.
	errConfigChanged = errors.New("the configuration has changed")
)

type (
	attemptResult int
)

// dispatch sends the request to replicas until one answers or no further attempt is allowed.
func (q *request) dispatch(ctx context.Context) {
	g := q.gateway
	for {
		q.snapshot = g.snapshot.Load()
		if !q.maySend() || !q.settleBuild(ctx) {
			return
		}
		if q.sends >= maxSends || len(q.triedReplicas) >= maxReplicasTried || q.runs >= q.route.MaxAttempts {
			q.failRequest("no attempt left", q.retryAfter())
			return
		}
		c, err := q.chooseReplica()
		if err != nil {
			q.refuseUnplaced(ctx, c, err)
			return
		}
		q.choice = c
		if !q.awaitLimit(ctx, c) {
			return
		}
		if q.dropChoice(c) {
			q.endTrial()
			continue
		}
		if q.tryReplica(ctx, c) == requestDone {
			return
		}
		if ctx.Err() != nil {
			q.failRequest(endReason(ctx), q.retryAfter())
			return
		}
	}
}

// maySend reports whether the request may be sent to a replica now, and ends it if not.
func (q *request) maySend() bool {
	if d := q.checkKeyAgain(); d != nil {
		q.refuseForKey(d)
		return false
	}
	if q.stopsTooSoon() {
		q.failRequest(errStopping.Error(), minRetryAfter)
		return false
	}
	if id, remaining := q.gateway.findQuarantined(q.quarantineIDs); id != "" {
		q.failRequest(describeQuarantined(id)+" crashes replicas", remaining)
		return false
	}
	return true
}

// refuseForKey ends a request whose key no longer allows it. The status says so only if the request
// has not run.
func (q *request) refuseForKey(d *rejection) {
	if q.ledger.Dispatched() || q.stream.headerSent || q.fallback != nil {
		q.failRequest(d.reason, 0)
		return
	}
	q.reject(d)
}

// chooseReplica returns the replica for the next attempt and records the attempt with the
// balancer. A retry that follows a delivered send takes one token from the retry budget; one
// that follows a replica that could not be reached takes none, since that replica received
// nothing.
func (q *request) chooseReplica() (fpbalance.Choice, error) {
	g := q.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := q.chooseSuspects(); err != nil {
		return fpbalance.Choice{}, err
	}
	candidates := q.candidates()
	if len(q.suspects) > 0 {
		if candidates = g.withoutTrials(candidates); len(candidates) == 0 {
			return fpbalance.Choice{}, errOnTrial
		}
	}
	c, err := g.balancer.Choose(candidates, q.balancerRequest(), q.cacheLink(), g.clock())
	if err != nil {
		return c, err
	}
	if q.sends > q.paidSends {
		if !g.retryWindow(q.service.Name).TakeRetry(g.settings().RetryBudget, q.snapshot.hostCount, g.clock()) {
			return c, errRetryBudget
		}
		q.paidSends = q.sends
	}
	if len(q.suspects) > 0 {
		g.quarantine.trials.Begin(q.suspects, c.Replica.ID, g.clock())
	}
	g.balancer.RecordDispatch(c, q.balancerRequest(), g.clock())
	return c, nil
}

// balancerRequest describes the request to the balancer.
func (q *request) balancerRequest() fpbalance.Request {
	now := q.gateway.clock()
	w := fpbalance.Request{
		ID:                q.caller.ID,
		Parts:             q.caller.PromptParts,
		OutputTokens:      q.caller.OutputTokens,
		Salt:              q.cacheSalt,
		TimeToDeadline:    q.deadline - now,
		Objective:         q.route.Objective,
		Elapsed:           now - q.arrivedAt,
		Rank:              q.route.Rank(q.team),
		LongRank:          q.route.LongRank(q.team),
		ExcludedReplicas:  q.triedReplicas,
		CacheStores:       q.cacheStores(),
		RemoteLoadUnknown: q.snapshot.hostCount > maxBroadcastHosts,
	}
	if n := q.snapshot.published.newest(q.caller.Model); n.version > 0 {
		w.NewestVersion, w.NewestVersionAge = n.version, now-n.publishedAt
	}
	if q.route.Kind == fpcatalog.Stream {
		silenceTimeout := max(minSilenceTimeout, silenceTimeoutObjectives*q.route.Objective, silenceTimeoutEventGaps*q.route.MaxEventGap)
		w.TimeToDeadline = min(w.TimeToDeadline, q.arrivedAt+silenceTimeout-now)
	}
	w.TimeToBegin = q.timeToBegin
	return w
}

// timeToBegin returns the time in which the request may still begin on a version of the weights; it
// is without end for a service that has none.
func (q *request) timeToBegin(version int64) time.Duration {
	g := q.gateway
	return q.snapshot.published.timeToBegin(q.caller.Model, version, g.settings().OldWeightsLimit, g.clock()+weightsPropagationMargin)
}

// cacheSalt returns the namespace of cached prompt parts, which separates versions of the
// weights and dedicated teams.
func (q *request) cacheSalt(version int64) string {
	return fmt.Sprintf("%s/%d/%s", q.caller.Model, version, q.snapshot.catalog.CacheNamespace(q.team))
}

// cacheStores returns the KV cache stores for requests to an engine, nil for others.
func (q *request) cacheStores() []fpbalance.CacheStore {
	if q.service.Engine == nil {
		return nil
	}
	return q.snapshot.cacheStores
}

func (q *request) cacheLink() fpbalance.Link {
	e := q.service.Engine
	if e == nil {
		return fpbalance.Link{}
	}
	return fpbalance.Link{BytesPerToken: e.BytesPerToken, MegabitsPerSecond: e.LinkMegabitsPerSecond}
}

// retryAfter returns the minimum retry delay for a refused caller. When the queue is too long,
// dispatch suggests the time until it is short enough, if that is longer.
func (q *request) retryAfter() time.Duration { return max(q.route.Objective/4, minRetryAfter) }

// tryReplica sends the request to one replica and relays its answer.
func (q *request) tryReplica(ctx context.Context, c fpbalance.Choice) attemptResult {
	g := q.gateway
	sentAt := g.clock()
	q.sentAt = sentAt
	started := false
	defer func() {
		g.mu.Lock()
		g.balancer.RecordEnd(c, started)
		g.mu.Unlock()
		if !started {
			q.announceWork(c, true)
		}
	}()
	attempt, cancelCause := context.WithCancelCause(ctx)
	cancel := func() { cancelCause(nil) }
	defer cancel()
	// A request that has not begun by the time that its replica's weights may no longer be used would
	// begin too late.
	stopBeginLimit := func() bool { return true }
	if c.Replica.Engine {
		stopBeginLimit = time.AfterFunc(q.timeToBegin(c.Replica.Version), cancel).Stop
	}
	defer stopBeginLimit()
	onFirstByte := func() {
		stopBeginLimit()
		started = true
		now := g.clock()
		if q.firstByteDelay == 0 {
			q.firstByteDelay = now - q.arrivedAt
		}
		g.mu.Lock()
		g.balancer.RecordFirstByte(c, now-sentAt, now)
		g.mu.Unlock()
		q.announceWork(c, true)
	}
	q.triedReplicas = append(q.triedReplicas, c.Replica.ID)
	q.announceTrial(c.Replica.ID)
	q.announceWork(c, false)
	g.trackAttempt(q, cancelCause)
	defer g.untrackAttempt(q)
	a, err := g.pool.Do(attempt, q.buildCall(attempt, c, sentAt))
	g.untrackUnbegun(q)
	if err != nil {
		return q.handleNoAnswer(ctx, c, err, context.Cause(attempt))
	}
	defer a.Close()
	if a.NewConnection {
		g.recordRoundTrip(c.Replica, a.ConnectTime)
	}
	q.sends++
	g.hear(c.Replica.ID, g.clock())
	reply := g.dialect.DecodeReply(a.Status, a.Header)
	q.recordReply(c, reply, sentAt)
	q.recordIntake(c, a, reply)
	// After another answer, a rejection without an ID may be a late one of the request before.
	if reply.NotRun && (reply.ID == q.caller.ID || a.FirstOnConnection) {
		return q.handleNotRun(ctx, c, a, reply)
	}
	q.runs++
	q.ledger.MarkDispatched()
	if reply.NotRun {
		return q.handleIncompleteAnswer(ctx, c, errForeignAnswer)
	}
	if q.route.Kind == fpcatalog.Stream && a.Status == http.StatusOK {
		return q.relayStream(ctx, c, a, reply, onFirstByte)
	}
	onFirstByte()
	return q.relayBuffered(ctx, c, a, reply)
}

// buildCall builds the upstream call of an attempt, which ends with the context.
func (q *request) buildCall(ctx context.Context, c fpbalance.Choice, now time.Duration) fpconn.Call {
	a := Attempt{
		Replica:     c.Replica.ID,
		TimeLeft:    q.deadline - now,
		Source:      c.SourceAddress,
		Rank:        -1,
		LastEventID: q.caller.LastEventID,
	}
	if c.StoreToFill != nil {
		a.SaveTo = c.StoreToFill.Address
	}
	if q.stream.lastEventID != "" {
		a.LastEventID = q.stream.lastEventID
	}
	if q.team != nil {
		a.Team = q.team.Name
	}
	if c.Replica.Engine {
		a.Salt = q.cacheSalt(c.Replica.Version)
		a.Version = c.Replica.Version
		a.Rank = c.Rank
	}
	dialect := q.gateway.dialect
	return fpconn.Call{
		Address: c.Replica.Address,
		Method:  q.http.Method,
		Target:  q.http.RequestURI,
		Host:    q.http.Host,
		Header:  dialect.AttemptHeader(q.http.Header, a),
		Body:    q.body,
		MaxIdle: q.maxIdle(),
		Key:     q.caller.ID,
		Check: func(n fpconn.Connection) error {
			q.gateway.recordConnection(c.Replica.ID, n.OpenedAt())
			if err := q.requireStart(ctx, c.Replica, n); err != nil {
				return err
			}
			return q.gateway.checkIntake(c.Replica)
		},
		Accept: q.acceptsAnswer,
	}
}

// maxIdle returns how recently a kept connection must have been used to carry the request. A trial gets a new one, which
// proves that this host reaches the replica: where a host is cut off, resets tell nothing of the request.
func (q *request) maxIdle() time.Duration {
	switch {
	case len(q.suspects) > 0, q.needsNewConnection():
		return 0
	case q.route.Repeatable():
		return maxIdleRepeatable
	default:
		return maxIdleOnce
	}
}

// acceptsAnswer reports whether an answer with the header may be the request's.
func (q *request) acceptsAnswer(h http.Header) bool {
	id := q.gateway.dialect.DecodeReply(0, h).ID
	return id == "" || id == q.caller.ID
}

// recordReply records the load, the limit and the weights version that a reply reports.
func (q *request) recordReply(c fpbalance.Choice, r Reply, sentAt time.Duration) {
	g := q.gateway
	g.recordLimit(c.Replica.ID, r, sentAt)
	if r.HasLoad {
		g.mu.Lock()
		g.balancer.RecordLoadReport(c.Replica.ID, r.Running, r.Waiting, g.clock())
		g.mu.Unlock()
	}
	g.recordAnsweredWeights(c.Replica, r)
}

// handleNotRun handles an answer that says that the replica did not run the request.
func (q *request) handleNotRun(ctx context.Context, c fpbalance.Choice, a *fpconn.Response, r Reply) attemptResult {
	g := q.gateway
	if r.Version > 0 {
		q.appendTrail("%s %d not run, weights %d instead of %d", c.Replica.ID, a.Status, r.Version, c.Replica.Version)
	} else {
		q.appendTrail("%s %d not run", c.Replica.ID, a.Status)
	}
	q.endTrial()
	a.MarkRefused()
	if err := a.Discard(maxNotRunBodyBytes, notRunBodyTimeout); err != nil {
		q.appendTrail("%s body: %v", c.Replica.ID, err)
		if errors.Is(err, fpconn.ErrResponseTooLong) {
			g.recordFailure(c.Replica.ID)
		}
	}
	now := g.clock()
	newest := q.snapshot.published.newest(q.caller.Model).version
	switch {
	case a.Status == http.StatusMisdirectedRequest && r.Replica != "" && r.Replica != c.Replica.ID:
		if g.markReplicaReplaced(c.Replica.ID) {
			g.log("address serves another replica", "RequestID", q.caller.ID, "Replica", c.Replica.ID, "Found", r.Replica)
			g.sendNotice(q.snapshot.allPeers, fpnotice.Notice{Gone: &fpnotice.ReplicaReplaced{Replica: c.Replica.ID}})
		}
	case a.Status == http.StatusMisdirectedRequest && c.Replica.Engine:
		if r.Version <= 0 {
			q.askWeights(ctx, c.Replica)
		}
	case c.Replica.Engine && newest > c.Replica.Version:
		g.enqueueControl(func(k *controlState) { k.recordLoading(c.Replica.ID, now+assumedWeightsLoadTime) })
	}
	return tryAnotherReplica
}

// handleNoAnswer handles an attempt that ended without an answer; cause tells why this host ended it,
// nil if it did not.
func (q *request) handleNoAnswer(ctx context.Context, c fpbalance.Choice, err, cause error) attemptResult {
	g := q.gateway
	switch {
	case errors.IsAny(err, errNotTaken, errStartUnknown, errRestarted, errConfigChanged):
	case fpconn.DialFailed(err) && ctx.Err() == nil:
		q.unreached = true
		g.recordNoConnection(c.Replica.ID, err)
	case ctx.Err() == nil && !errors.Is(cause, errQuarantined):
		g.recordFailure(c.Replica.ID)
	}
	if errors.Is(err, fpconn.ErrNotSent) {
		q.appendTrail("%s not sent: %v", c.Replica.ID, err)
		q.endTrial()
		return tryAnotherReplica
	}
	q.sends++
	q.runs++
	q.ledger.MarkDispatched()
	return q.handleIncompleteAnswer(ctx, c, err)
}

// handleIncompleteAnswer handles an attempt that may have run but returned no complete answer.
func (q *request) handleIncompleteAnswer(ctx context.Context, c fpbalance.Choice, err error) attemptResult {
	q.appendTrail("%s broken: %v", c.Replica.ID, err)
	q.noteBrokenAttempt(c, err)
	reason := "the replica gave no whole answer"
	if ctx.Err() == nil && q.route.Repeatable() && q.runs < q.route.MaxAttempts && q.stream.mayResume() {
		if !q.gateway.suspectsAny(q.quarantineIDs) {
			return tryAnotherReplica
		}
		reason += ", and the request is suspected to crash replicas"
	}
	if ctx.Err() != nil {
		reason = endReason(ctx)
	}
	q.failRequest(reason, 0)
	return requestDone
}

func (q *request) appendTrail(format string, args ...any) {
	q.trail = append(q.trail, fmt.Sprintf("%s "+format, append([]any{(q.gateway.clock() - q.arrivedAt).String()}, args...)...))
}

// recordFailure records a failed request to a replica.
func (g *Gateway) recordFailure(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.RecordFailure(id, g.clock())
}

// recordRoundTrip records the time in which a connection to a replica was opened.
func (g *Gateway) recordRoundTrip(r fpbalance.Replica, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.RecordRoundTrip(r, took.Seconds())
}

// recordSuccess records a complete answer of a replica, or the first event of a stream.
func (g *Gateway) recordSuccess(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.RecordSuccess(id)
}
