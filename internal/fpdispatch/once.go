package fpdispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpclaimant"
	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
)

const (
	// maxClaimTries bounds the tries for a claim that other hosts release.
	maxClaimTries = 4
	// maxUnansweredQueries is the number of consecutive unanswered queries after which the claim's
	// holder counts as gone.
	maxUnansweredQueries = 3
	holderQueryDelay     = 300 * time.Millisecond
)

var (
	// ErrRequestIDReused means that a request ID was used with another body.
	ErrRequestIDReused = errors.New("the request ID was used with another body")
	// ErrAlreadyDispatched prevents a second dispatch of a request that must run at most once.
	ErrAlreadyDispatched = errors.New("the request was dispatched already")
)

type (
	// gatedRun runs a request that must run at most once; dispatchGate must be called before the
	// first byte is sent.
	gatedRun func(ctx context.Context, e *fpclaimant.Entry, dispatchGate func() error) fpclaimant.Result

	// bufferingSink is a sink that keeps the answer for repeats of the request and forwards it to
	// another sink.
	bufferingSink struct {
		sink       Sink
		body       []byte
		callerGone bool
	}
)

// DispatchChatOnce dispatches a non-idempotent chat request at most once. Only the first call of
// the request at this host delivers text to the sink; a repeat gets the result. The returned bool
// reports whether this was the first call.
func (d *Dispatcher) DispatchChatOnce(ctx context.Context, q AdmittedRequest, req fpchat.Request, m fpconfig.Model, sink Sink) (fpclaimant.Result, bool) {
	return d.runAtMostOnce(ctx, q, nil, func(ctx context.Context, e *fpclaimant.Entry, dispatchGate func() error) fpclaimant.Result {
		b := &bufferingSink{sink: sink}
		r := &chatRun{dispatcher: d, admitted: q, request: req, model: m, sink: b, ledger: e.Ledger, dispatchGate: dispatchGate}
		result := r.run(ctx)
		return fpclaimant.Result{
			Outcome:     result.Outcome,
			Status:      http.StatusOK,
			ContentType: "text/plain",
			Body:        b.body,
			Upstream:    result.Upstream,
		}
	})
}

// DispatchServiceOnce dispatches a non-idempotent service call at most once.
func (d *Dispatcher) DispatchServiceOnce(ctx context.Context, q AdmittedRequest, c ServiceCall) fpclaimant.Result {
	runWithoutClaim := func(ctx context.Context, e *fpclaimant.Entry, dispatchGate func() error) fpclaimant.Result {
		return d.callService(ctx, q, c, e.Ledger, dispatchGate, func(u fpstate.Upstream) bool { return u.RecognisesRepeats })
	}
	r, _ := d.runAtMostOnce(ctx, q, runWithoutClaim, func(ctx context.Context, e *fpclaimant.Entry, dispatchGate func() error) fpclaimant.Result {
		return d.callService(ctx, q, c, e.Ledger, dispatchGate, nil)
	})
	return r
}

// runAtMostOnce claims a request, runs it and keeps its result; first reports whether this call
// handled the request itself, rather than another attempt. A request runs to its end even if its
// caller goes away, so that a repeat finds the answer.
func (d *Dispatcher) runAtMostOnce(ctx context.Context, q AdmittedRequest, runWithoutClaim, run gatedRun) (result fpclaimant.Result, first bool) {
	d.runningRequests.Add(1)
	defer d.runningRequests.Add(-1)
	claimRequestedAt := d.settings.Clock()
	e, begun := d.answers.BeginAttempt(fpclaim.NewKey(q.Team, q.RequestID), q.BodyHash, d.newAttemptID())
	if !begun {
		return d.joinRequest(ctx, q, e), false
	}
	ctx = context.WithoutCancel(ctx)
	result, first = d.claimAndRun(ctx, q, e, claimRequestedAt, runWithoutClaim, run)
	d.answers.EndAttempt(e, result)
	d.recordOutcome(q, RequestResult{Outcome: result.Outcome, Upstream: result.Upstream})
	return result, first
}

// joinRequest waits for the result of a request that this host runs or ran already.
func (d *Dispatcher) joinRequest(ctx context.Context, q AdmittedRequest, e *fpclaimant.Entry) fpclaimant.Result {
	if e.Body != q.BodyHash {
		return refusedResult(fpoutcome.NewLedger(false), ErrRequestIDReused.Error(), 0)
	}
	d.addRecord(q, fprecord.Claimed, "", "joined the attempt "+e.Attempt+" at this host")
	state, result := e.Wait(ctx)
	if state == fpclaimant.Running {
		return unknownResult("the request still runs", defaultRetryAfter)
	}
	return result
}

// claimAndRun settles the claim and runs the request if the claim is granted.
func (d *Dispatcher) claimAndRun(ctx context.Context, q AdmittedRequest, e *fpclaimant.Entry, claimRequestedAt time.Duration, runWithoutClaim, run gatedRun) (fpclaimant.Result, bool) {
	for range maxClaimTries {
		settled := d.broker.Claim(ctx, d.newClaim(e))
		d.addRecord(q, fprecord.Claimed, "", settled.Verdict.String(),
			fprecord.Figure{Name: "seconds", Value: (d.settings.Clock() - claimRequestedAt).Seconds()})
		switch settled.Verdict {
		case fpclaim.Granted:
			return d.checkSuspension(q, run(ctx, e, d.newDispatchGate(q, e, claimRequestedAt))), true
		case fpclaim.Held:
			result, released := d.resolveHeldClaim(ctx, q, e, settled.Holder)
			if !released {
				return result, false
			}
		default:
			return d.runUnclaimed(ctx, q, e, claimRequestedAt, runWithoutClaim), true
		}
		claimRequestedAt = d.settings.Clock()
	}
	return unknownResult("the claim changed hands too often", defaultRetryAfter), true
}

// checkSuspension returns a claimed request's result. NotRun becomes an unknown outcome when the
// host may have been suspended for so long that the record of an earlier run has left the window
// since the call.
func (d *Dispatcher) checkSuspension(q AdmittedRequest, r fpclaimant.Result) fpclaimant.Result {
	if r.Outcome.Kind() == fpoutcome.NotRun && d.settings.Clock()-q.BodyReadAt > d.settings.DedupWindow/2 {
		return unknownResult("this host was suspended: "+r.Outcome.Reason(), defaultRetryAfter)
	}
	return r
}

// runUnclaimed handles a request whose claim could not be settled: it runs at an upstream that
// recognises repeats itself, and is refused otherwise.
func (d *Dispatcher) runUnclaimed(ctx context.Context, q AdmittedRequest, e *fpclaimant.Entry, claimRequestedAt time.Duration, runWithoutClaim gatedRun) fpclaimant.Result {
	if runWithoutClaim != nil {
		r := runWithoutClaim(ctx, e, d.newDispatchGate(q, e, claimRequestedAt))
		if r.Outcome.Kind() != fpoutcome.NotRun {
			return r
		}
	}
	return d.refuseUnsettled(ctx, e)
}

// refuseUnsettled refuses a request whose claim could not be settled. The outcome is NotRun only if
// it is proved that no other host ran the request earlier.
func (d *Dispatcher) refuseUnsettled(ctx context.Context, e *fpclaimant.Entry) fpclaimant.Result {
	if d.broker.ProvenNeverDispatched(ctx, e.Key) {
		return refusedResult(e.Ledger, "the claim could not be settled: the platform cannot be reached", defaultRetryAfter)
	}
	return unknownResult("the platform cannot be reached: this call ran nothing, an earlier one may have; "+
		"a repeat with the same request ID is safe", defaultRetryAfter)
}

// unknownResult returns a refusal that leaves open whether another host ran the request.
func unknownResult(reason string, retryAfter time.Duration) fpclaimant.Result {
	l := fpoutcome.NewLedger(false)
	l.MarkClaimedElsewhere()
	return refusedResult(l, reason, retryAfter)
}

func (d *Dispatcher) newClaim(e *fpclaimant.Entry) fpclaim.Claim {
	return fpclaim.Claim{
		Key:         e.Key,
		Body:        e.Body,
		Attempt:     e.Attempt,
		Host:        d.host.Name,
		Incarnation: d.host.Incarnation,
		At:          time.Now().UnixMilli(),
	}
}

// newDispatchGate returns the check made immediately before the first byte is sent. It fails after
// the dispatch deadline, and after half the window since the call, long before an earlier claim
// could have left the window unnoticed.
func (d *Dispatcher) newDispatchGate(q AdmittedRequest, e *fpclaimant.Entry, claimRequestedAt time.Duration) func() error {
	return func() error {
		now := d.settings.Clock()
		if now-claimRequestedAt > d.settings.DispatchTimeout || now-q.BodyReadAt > d.settings.DedupWindow/2 {
			return ErrDeadlinePassed
		}
		if e.Ledger.Dispatched() {
			return ErrAlreadyDispatched
		}
		e.Ledger.MarkDispatched()
		return nil
	}
}

// resolveHeldClaim finds the result of a request whose claim another attempt holds; released
// reports that the holder proved that it never dispatched the request.
func (d *Dispatcher) resolveHeldClaim(ctx context.Context, q AdmittedRequest, e *fpclaimant.Entry, holder fpclaim.Claim) (result fpclaimant.Result, released bool) {
	if holder.Body != e.Body {
		return refusedResult(fpoutcome.NewLedger(false), ErrRequestIDReused.Error(), 0), false
	}
	for unanswered := 0; unanswered < maxUnansweredQueries; {
		state, r := d.broker.FetchAttemptResult(ctx, holder)
		d.addRecord(q, fprecord.Claimed, "", "asked "+holder.Host+" for its attempt "+holder.Attempt)
		switch state {
		case fpclaimant.Kept:
			r.Outcome = e.Ledger.CompleteOutcome()
			return r, false
		case fpclaimant.NeverDispatched:
			return fpclaimant.Result{}, true
		case fpclaimant.Running:
			unanswered = 0
		case fpclaimant.Unreachable:
			unanswered++
			fpclock.Sleep(ctx, holderQueryDelay)
		default:
			unanswered = maxUnansweredQueries
		}
	}
	return unknownResult("another host held the claim and its answer is lost", 0), false
}

func refusedResult(l *fpoutcome.Ledger, reason string, retryAfter time.Duration) fpclaimant.Result {
	return fpclaimant.Result{Outcome: l.IncompleteOutcome(reason, retryAfter)}
}

// BeginAnswer forwards the call to the next sink.
func (b *bufferingSink) BeginAnswer(upstream, reason string) { b.sink.BeginAnswer(upstream, reason) }

// WriteText keeps the text and forwards it until the caller is gone; the run continues without the
// caller.
func (b *bufferingSink) WriteText(offset int, text string) error {
	b.body = append(b.body, text...)
	if !b.callerGone && b.sink.WriteText(offset, text) != nil {
		b.callerGone = true
	}
	return nil
}
