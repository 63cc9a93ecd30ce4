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
	// maxClaims bounds the tries to get a claim that other hosts release.
	maxClaims = 4
	// maxSilentAsks is the number of unanswered questions after which a host counts as gone.
	maxSilentAsks = 3
	askPause      = 300 * time.Millisecond
)

var (
	// ErrReused means that a request ID was used with another body.
	ErrReused = errors.New("the request ID was used with another body")
	// ErrTwice stops a second dispatch of a request that must run at most once.
	ErrTwice = errors.New("the request was dispatched already")
)

type (
	// gated runs a claimed request; gate must be called before the first byte.
	gated func(ctx context.Context, e *fpclaimant.Entry, gate func() error) fpclaimant.Result

	// buffer is a sink that keeps the answer, for repeats, and passes it on.
	buffer struct {
		next Sink
		body []byte
		gone bool
	}
)

// ChatOnce dispatches a non-idempotent chat request; text reaches the sink
// only on the request's first way through this host, a repeat gets the result.
func (d *Dispatcher) ChatOnce(ctx context.Context, q Query, req fpchat.Request, m fpconfig.Model, sink Sink) (fpclaimant.Result, bool) {
	return d.once(ctx, q, nil, func(ctx context.Context, e *fpclaimant.Entry, gate func() error) fpclaimant.Result {
		b := &buffer{next: sink}
		r := &chatRun{d: d, query: q, request: req, model: m, sink: b, ledger: e.Ledger, gate: gate}
		f := r.run(ctx)
		return fpclaimant.Result{
			Outcome:     f.Outcome,
			Status:      http.StatusOK,
			ContentType: "text/plain",
			Body:        b.body,
			Upstream:    f.Upstream,
		}
	})
}

// ServiceOnce dispatches a non-idempotent service call.
func (d *Dispatcher) ServiceOnce(ctx context.Context, q Query, c ServiceCall) fpclaimant.Result {
	unclaimed := func(ctx context.Context, e *fpclaimant.Entry, gate func() error) fpclaimant.Result {
		return d.callService(ctx, q, c, e.Ledger, gate, func(u fpstate.Upstream) bool { return u.RecognisesRepeats })
	}
	r, _ := d.once(ctx, q, unclaimed, func(ctx context.Context, e *fpclaimant.Entry, gate func() error) fpclaimant.Result {
		return d.callService(ctx, q, c, e.Ledger, gate, nil)
	})
	return r
}

// once claims a request, runs it and keeps its result; first reports whether
// this call ran it. A request whose caller goes away runs to its end, so that
// a repeat finds the answer.
func (d *Dispatcher) once(ctx context.Context, q Query, unclaimed, run gated) (result fpclaimant.Result, first bool) {
	d.running.Add(1)
	defer d.running.Add(-1)
	asked := d.settings.Clock()
	e, begun := d.answers.BeginAttempt(fpclaim.NewKey(q.Team, q.RequestID), q.Body, d.attemptID())
	if !begun {
		return d.join(ctx, q, e), false
	}
	ctx = context.WithoutCancel(ctx)
	result, first = d.claimed(ctx, q, e, asked, unclaimed, run)
	d.answers.EndAttempt(e, result)
	d.ended(q, Final{Outcome: result.Outcome, Upstream: result.Upstream})
	return result, first
}

// join waits for the result of a request that this host runs or ran.
func (d *Dispatcher) join(ctx context.Context, q Query, e *fpclaimant.Entry) fpclaimant.Result {
	if e.Body != q.Body {
		return refuse(fpoutcome.NewLedger(false), ErrReused.Error(), 0)
	}
	d.record(q, fprecord.Claimed, "", "joined the attempt "+e.Attempt+" at this host")
	state, result := e.Wait(ctx)
	if state == fpclaimant.Running {
		return mayHaveRun("the request still runs", retryHint)
	}
	return result
}

// claimed settles the claim and runs the request when it is granted.
func (d *Dispatcher) claimed(ctx context.Context, q Query, e *fpclaimant.Entry, asked time.Duration, unclaimed, run gated) (fpclaimant.Result, bool) {
	for range maxClaims {
		settled := d.claims.Claim(ctx, d.claimOf(e))
		d.record(q, fprecord.Claimed, "", settled.Verdict.String(),
			fprecord.Figure{Name: "seconds", Value: (d.settings.Clock() - asked).Seconds()})
		switch settled.Verdict {
		case fpclaim.Granted:
			return d.granted(q, run(ctx, e, d.gate(q, e, asked))), true
		case fpclaim.Held:
			result, released := d.elsewhere(ctx, q, e, settled.Holder)
			if !released {
				return result, false
			}
		default:
			return d.withoutClaim(ctx, q, e, asked, unclaimed), true
		}
		asked = d.settings.Clock()
	}
	return mayHaveRun("the claim changed hands too often", retryHint), true
}

// granted passes on what a claimed request came to. That it did not run is said
// only while an earlier run could not have left the window since the call.
func (d *Dispatcher) granted(q Query, r fpclaimant.Result) fpclaimant.Result {
	if r.Outcome.Kind() == fpoutcome.NotRun && d.settings.Clock()-q.Asked > d.settings.Window/2 {
		return mayHaveRun("this host was suspended: "+r.Outcome.Reason(), retryHint)
	}
	return r
}

// withoutClaim runs a request whose claim could not be settled where the
// upstream itself recognises repeats, and refuses it otherwise.
func (d *Dispatcher) withoutClaim(ctx context.Context, q Query, e *fpclaimant.Entry, asked time.Duration, unclaimed gated) fpclaimant.Result {
	if unclaimed != nil {
		r := unclaimed(ctx, e, d.gate(q, e, asked))
		if r.Outcome.Kind() != fpoutcome.NotRun {
			return r
		}
	}
	return d.unsettled(ctx, e)
}

// unsettled refuses a request whose claim could not be settled. That it did
// not run is said only when it is proved that no other host ran it earlier.
func (d *Dispatcher) unsettled(ctx context.Context, e *fpclaimant.Entry) fpclaimant.Result {
	if d.claims.NeverClaimed(ctx, e.Key) {
		return refuse(e.Ledger, "the claim could not be settled: the platform cannot be reached", retryHint)
	}
	return mayHaveRun("the platform cannot be reached: this call ran nothing, an earlier one may have; "+
		"a repeat with the same request ID is safe", retryHint)
}

// mayHaveRun returns a result that says nothing of what other hosts did.
func mayHaveRun(reason string, hint time.Duration) fpclaimant.Result {
	l := fpoutcome.NewLedger(false)
	l.MarkClaimedElsewhere()
	return refuse(l, reason, hint)
}

func (d *Dispatcher) claimOf(e *fpclaimant.Entry) fpclaim.Claim {
	return fpclaim.Claim{
		Key:         e.Key,
		Body:        e.Body,
		Attempt:     e.Attempt,
		Host:        d.host.Name,
		Incarnation: d.host.Incarnation,
		At:          time.Now().UnixMilli(),
	}
}

// gate returns the check made immediately before the first byte: not after the
// deadline to dispatch, and long before an earlier claim could have left the
// window unseen.
func (d *Dispatcher) gate(q Query, e *fpclaimant.Entry, asked time.Duration) func() error {
	return func() error {
		now := d.settings.Clock()
		if now-asked > d.settings.Dispatch || now-q.Asked > d.settings.Window/2 {
			return ErrTooLate
		}
		if e.Ledger.Dispatched() {
			return ErrTwice
		}
		e.Ledger.MarkDispatched()
		return nil
	}
}

// elsewhere finds out what became of a request whose claim another attempt
// holds; released reports that the holder proved that it never dispatched.
func (d *Dispatcher) elsewhere(ctx context.Context, q Query, e *fpclaimant.Entry, holder fpclaim.Claim) (result fpclaimant.Result, released bool) {
	if holder.Body != e.Body {
		return refuse(fpoutcome.NewLedger(false), ErrReused.Error(), 0), false
	}
	for silent := 0; silent < maxSilentAsks; {
		state, r := d.claims.Ask(ctx, holder)
		d.record(q, fprecord.Claimed, "", "asked "+holder.Host+" for its attempt "+holder.Attempt)
		switch state {
		case fpclaimant.Kept:
			r.Outcome = e.Ledger.CompleteOutcome()
			return r, false
		case fpclaimant.NeverDispatched:
			return fpclaimant.Result{}, true
		case fpclaimant.Running:
			silent = 0
		case fpclaimant.Unreachable:
			silent++
			fpclock.Sleep(ctx, askPause)
		default:
			silent = maxSilentAsks
		}
	}
	return mayHaveRun("another host held the claim and its answer is lost", 0), false
}

func refuse(l *fpoutcome.Ledger, reason string, hint time.Duration) fpclaimant.Result {
	return fpclaimant.Result{Outcome: l.IncompleteOutcome(reason, hint)}
}

// Begin passes the beginning on.
func (b *buffer) Begin(upstream, reason string) { b.next.Begin(upstream, reason) }

// Text keeps the text; a caller that is gone does not stop the run.
func (b *buffer) Text(offset int, text string) error {
	b.body = append(b.body, text...)
	if !b.gone && b.next.Text(offset, text) != nil {
		b.gone = true
	}
	return nil
}
