package fpgateway

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/internal/fpnotice"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
)

const (
	// maxSends bounds the replicas that get one request, those that did not run it
	// included; maxTries also counts those that could not be reached: a third of
	// the largest service may be down at once (users' sheets).
	maxSends = 6
	maxTries = 16
	// recentRepeatable is how lately a kept connection must have served for a
	// request that may run again, recentOnce for one that may not: a kept
	// connection can be closed by the other side just as it is used.
	recentRepeatable = 4 * time.Second
	recentOnce       = time.Second
	// loadingFor is how long a replica that refuses work while newer weights are
	// named is believed to be changing to them.
	loadingFor = 700 * time.Millisecond
	// weightsMargin is how much later than the operator's store a host may learn of
	// newer weights: by a zone's reader, its pause and a question, or a restart.
	weightsMargin = time.Second
	// maxPlainBytes bounds an answer that is read whole before it is handed on.
	maxPlainBytes = 8 << 20
	// patienceFloor, patienceObjectives and patiencePauses are when callers give
	// up on a silent stream, whichever is longest (users' PROTOCOL).
	patienceFloor      = 2 * time.Second
	patienceObjectives = 4
	patiencePauses     = 8
)

const (
	// done ends the request; again asks for another replica.
	done verdict = iota + 1
	again
)

// errBudget means that one more send would go beyond the retry budget.
var errBudget = errors.New("the retry budget is used up")

type (
	verdict int
)

// dispatch sends the request to replicas until one answers or none may be tried.
func (q *request) dispatch(ctx context.Context) {
	g := q.gateway
	for {
		if q.sends > 0 {
			q.state = g.state.Load()
		}
		if q.sends >= maxSends || len(q.excluded) >= maxTries || q.runs >= q.route.MaxAttempts {
			q.refuse("no attempt left", q.retryAfter())
			return
		}
		c, err := q.choose()
		if err != nil {
			q.refuse(err.Error(), max(c.PredictedWait-q.route.Objective, q.retryAfter()))
			return
		}
		q.choice = c
		if q.attempt(ctx, c) == done {
			return
		}
		if ctx.Err() != nil {
			q.refuse("out of time", q.retryAfter())
			return
		}
	}
}

// choose returns the replica for the next attempt and counts the attempt there.
// Each send that arrived is paid for once by the next one; a replica that could
// not be reached got nothing, so that trying another costs no more.
func (q *request) choose() (fpbalance.Choice, error) {
	g := q.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	c, err := g.balancer.Choose(q.state.services[q.service.Name], q.want(), q.link(), g.clock())
	if err != nil {
		return c, err
	}
	if q.sends > q.paid {
		if !g.window(q.service.Name).TakeRetry(g.settings().Retry, q.state.hosts, g.clock()) {
			return c, errBudget
		}
		q.paid = q.sends
	}
	g.balancer.RecordDispatch(c, q.want(), g.clock())
	return c, nil
}

// want describes the request for the choice.
func (q *request) want() fpbalance.Request {
	now := q.gateway.clock()
	w := fpbalance.Request{
		ID:                q.caller.ID,
		Parts:             q.caller.Parts,
		OutputTokens:      q.caller.Output,
		Salt:              q.salt,
		TimeToDeadline:    q.ends - now,
		Objective:         q.route.Objective,
		Elapsed:           now - q.arrived,
		Rank:              q.route.Rank(q.team),
		LongRank:          q.route.LongRank(q.team),
		ExcludedReplicas:  q.excluded,
		CacheStores:       q.stores(),
		RemoteLoadUnknown: q.state.hosts > maxToldHosts,
	}
	if n := q.state.newest(q.caller.Model); n.version > 0 {
		w.NewestVersion, w.NewestVersionAge = n.version, now-n.since
	}
	if q.route.Kind == fpcatalog.Stream {
		patience := max(patienceFloor, patienceObjectives*q.route.Objective, patiencePauses*q.route.MaxEventGap)
		w.TimeToDeadline = min(w.TimeToDeadline, q.arrived+patience-now)
	}
	// It may wait at its replica for all the time that is left before it begins.
	w.MinVersion = q.state.oldest(q.caller.Model, q.gateway.settings().OldWeights, now+w.TimeToDeadline+weightsMargin)
	return w
}

// salt returns the namespace of cached parts: none is shared between versions
// of the weights, nor with a dedicated team.
func (q *request) salt(version int64) string {
	team := ""
	if q.team != nil && q.team.Dedicated {
		team = q.team.Name
	}
	return fmt.Sprintf("%s/%d/%s", q.caller.Model, version, team)
}

// stores returns the stores of KV cache, for requests with a prompt.
func (q *request) stores() []fpbalance.CacheStore {
	if q.service.Engine == nil {
		return nil
	}
	return q.state.stores
}

func (q *request) link() fpbalance.Link {
	e := q.service.Engine
	if e == nil {
		return fpbalance.Link{}
	}
	return fpbalance.Link{BytesPerToken: e.BytesPerToken, MegabitsPerSecond: e.LinkMegabitsPerSecond}
}

// retryAfter returns the least pause asked of a refused caller; where a queue is
// the reason, the time until it is short enough is asked for.
func (q *request) retryAfter() time.Duration { return max(q.route.Objective/4, minRetryAfter) }

// attempt sends the request to one replica and relays its answer.
func (q *request) attempt(ctx context.Context, c fpbalance.Choice) verdict {
	g := q.gateway
	sent := g.clock()
	started := false
	defer func() {
		g.mu.Lock()
		g.balancer.RecordEnd(c, started)
		g.mu.Unlock()
		if !started {
			q.tellWork(c, true)
		}
	}()
	onFirst := func() {
		started = true
		now := g.clock()
		if q.first == 0 {
			q.first = now - q.arrived
		}
		g.mu.Lock()
		g.balancer.RecordFirstByte(c, now-sent, now)
		g.mu.Unlock()
		q.tellWork(c, true)
	}
	q.excluded = append(q.excluded, c.Replica.ID)
	q.tellWork(c, false)
	a, err := g.pool.Do(ctx, q.call(c, sent))
	if err != nil {
		return q.broken(ctx, c, err)
	}
	defer a.Close()
	q.sends++
	reply := g.dialect.Reply(a.Status, a.Header)
	q.learn(c, reply)
	if reply.NotRun {
		return q.notRun(c, a, reply)
	}
	q.runs++
	q.ledger.MarkDispatched()
	if q.route.Kind == fpcatalog.Stream && a.Status == http.StatusOK {
		return q.relayStream(ctx, c, a, reply, onFirst)
	}
	onFirst()
	return q.relayPlain(ctx, c, a, reply)
}

// call builds the call of an attempt.
func (q *request) call(c fpbalance.Choice, now time.Duration) fpconn.Call {
	a := Attempt{
		Replica:   c.Replica.ID,
		Left:      q.ends - now,
		Source:    c.SourceAddress,
		Rank:      -1,
		LastEvent: q.caller.LastEvent,
	}
	if c.StoreToFill != nil {
		a.Save = c.StoreToFill.Address
	}
	if q.stream.lastEvent != "" {
		a.LastEvent = q.stream.lastEvent
	}
	if q.team != nil {
		a.Team = q.team.Name
	}
	if c.Replica.Engine {
		a.Salt = q.salt(c.Replica.Version)
		a.Version = c.Replica.Version
		a.Rank = c.Rank
	}
	recent := recentOnce
	if q.route.Repeatable() {
		recent = recentRepeatable
	}
	id := q.caller.ID
	dialect := q.gateway.dialect
	return fpconn.Call{
		Address: c.Replica.Address,
		Method:  q.http.Method,
		Target:  q.http.RequestURI,
		Host:    q.http.Host,
		Header:  dialect.Header(q.http.Header, a),
		Body:    q.body,
		Recent:  recent,
		Accept: func(h http.Header) bool {
			got := dialect.Reply(0, h).ID
			return got == "" || got == id
		},
	}
}

// learn takes in what an answer says of its replica.
func (q *request) learn(c fpbalance.Choice, r Reply) {
	g := q.gateway
	if r.HasLoad {
		g.mu.Lock()
		g.balancer.RecordLoadReport(c.Replica.ID, r.Running, r.Waiting, g.clock())
		g.mu.Unlock()
	}
	if r.Version > c.Replica.Version && !r.NotRun {
		g.post(func(k *control) { k.saw(c.Replica.ID, r.Version, 0) })
	}
}

// notRun handles a replica's word that it did not run the request.
func (q *request) notRun(c fpbalance.Choice, a *fpconn.Answer, r Reply) verdict {
	g := q.gateway
	q.note("%s %d not run", c.Replica.ID, a.Status)
	if _, err := fpconn.ReadAll(a.Body, maxPlainBytes); err != nil {
		q.note("%s body: %v", c.Replica.ID, err)
	}
	now := g.clock()
	newest := q.state.newest(q.caller.Model).version
	switch {
	case a.Status == http.StatusMisdirectedRequest && r.Replica != "" && r.Replica != c.Replica.ID:
		if g.gone(c.Replica.ID) {
			g.log("address has another replica", "RequestID", q.caller.ID, "Replica", c.Replica.ID, "Found", r.Replica)
			g.tell(q.state.all, fpnotice.Notice{Gone: &fpnotice.Gone{Replica: c.Replica.ID}})
		}
	case a.Status == http.StatusMisdirectedRequest && c.Replica.Engine && newest > c.Replica.Version:
		// The replica has newer weights than believed: the newest, most likely.
		g.post(func(k *control) { k.saw(c.Replica.ID, newest, 0) })
	case c.Replica.Engine && newest > c.Replica.Version:
		g.post(func(k *control) { k.saw(c.Replica.ID, c.Replica.Version, now+loadingFor) })
	}
	return again
}

// broken handles an attempt without an answer.
func (q *request) broken(ctx context.Context, c fpbalance.Choice, err error) verdict {
	g := q.gateway
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		g.down(c.Replica.ID)
	case ctx.Err() == nil:
		g.fail(c.Replica.ID)
	}
	if errors.Is(err, fpconn.ErrNotSent) {
		q.note("%s not sent: %v", c.Replica.ID, err)
		return again
	}
	q.sends++
	q.runs++
	q.ledger.MarkDispatched()
	return q.brokenOff(ctx, c, err)
}

// brokenOff handles an attempt that may have run and gave no whole answer.
func (q *request) brokenOff(ctx context.Context, c fpbalance.Choice, err error) verdict {
	q.note("%s broken: %v", c.Replica.ID, err)
	if ctx.Err() == nil && q.route.Repeatable() && q.runs < q.route.MaxAttempts {
		return again
	}
	reason := "the replica gave no whole answer"
	if ctx.Err() != nil {
		reason = "out of time"
	}
	q.refuse(reason, 0)
	return done
}

func (q *request) note(format string, args ...any) {
	q.trail = append(q.trail, fmt.Sprintf("%s "+format, append([]any{(q.gateway.clock() - q.arrived).String()}, args...)...))
}

// fail counts a failure of a replica.
func (g *Gateway) fail(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.RecordFailure(id, g.clock())
}

// down notes that a replica is gone.
func (g *Gateway) down(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.RecordUnreachable(id, g.clock())
}
