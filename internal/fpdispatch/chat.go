package fpdispatch

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fpquarantine"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
	"github.com/fescuepoint/fescuepoint/pkg/fpstream"
)

const (
	// maxStalledResumes bounds the consecutive resumed connections of one attempt that deliver
	// nothing.
	maxStalledResumes = 4
	chatPath          = "/v1/chat/completions"
)

type (
	// chatRun is the state of one chat request until its outcome.
	chatRun struct {
		dispatcher       *Dispatcher
		admitted         AdmittedRequest
		request          fpchat.Request
		model            fpconfig.Model
		sink             Sink
		ledger           *fpoutcome.Ledger
		dispatchGate     func() error
		assembler        fpstream.Assembler
		deliveredText    strings.Builder
		origin           origin
		excludedReplicas []string
		sinkBegun        bool
		firstPieceSeen   bool
		usage            fpchat.Usage
		// crashes counts the upstreams that crashed under the request.
		crashes int
		// parts are what may be in quarantine: the request and the shared parts of its prompt.
		parts []fpquarantine.Part
		// suspects are those of parts that were suspected as the last attempt was sent.
		suspects  []string
		target    target
		attemptID string
		// sentAt is when the last attempt was sent.
		sentAt time.Time
	}
)

// DispatchChat dispatches an idempotent chat request and delivers its answer to the sink.
func (d *Dispatcher) DispatchChat(ctx context.Context, q AdmittedRequest, req fpchat.Request, m fpconfig.Model, sink Sink) RequestResult {
	d.runningRequests.Add(1)
	defer d.runningRequests.Add(-1)
	r := &chatRun{dispatcher: d, admitted: q, request: req, model: m, sink: sink, ledger: fpoutcome.NewLedger(true)}
	return d.recordOutcome(q, r.run(ctx))
}

// run tries replicas until the answer is complete, the caller is gone or no further attempt is
// allowed.
func (r *chatRun) run(ctx context.Context) RequestResult {
	r.countRequest()
	r.parts = chatParts(r.admitted.Team, r.request)
	for attempts := 1; ; attempts++ {
		if part, remaining := r.dispatcher.quarantinedPart(r.parts); part != "" {
			return r.newResult(r.refuseQuarantined(part, remaining))
		}
		t, err := r.place()
		if err != nil {
			return r.newResult(r.refusePlacement(err, t))
		}
		r.target = t
		err = r.runAttempt(ctx)
		switch {
		case err == nil:
			r.dispatcher.recordWholeAnswer(r.parts, r.sentAt)
			r.dispatcher.endTrial(r.suspects, r.target.candidate.Replica)
			return r.newResult(r.ledger.CompleteOutcome())
		case errors.Is(err, ErrCallerGone) || ctx.Err() != nil:
			r.cancelAttempt()
			return r.newResult(r.ledger.IncompleteOutcome("the caller went away", 0))
		}
		if o, done := r.finishOrRetry(err, attempts); done {
			return r.newResult(o)
		}
	}
}

// place chooses the replica for the next attempt, one without a trial for a request with suspected parts.
func (r *chatRun) place() (target, error) {
	suspects, occupied, err := r.dispatcher.suspectsAmong(r.parts)
	if err != nil {
		return target{}, err
	}
	t, err := r.dispatcher.placeChat(r.admitted, r.request, r.model, r.deliveredOrigin(), slices.Concat(r.excludedReplicas, occupied))
	switch {
	case err != nil && len(occupied) > 0:
		return t, errOnTrial
	case err == nil && !r.dispatcher.beginTrial(suspects, t.candidate.Replica):
		return t, errOnTrial
	}
	r.suspects = suspects
	return t, err
}

func (r *chatRun) countRequest() {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	r.dispatcher.router.RetryBudget().RecordRequest()
}

// finishOrRetry decides after a failed attempt whether another replica may be tried; it returns the
// outcome and true if none may.
func (r *chatRun) finishOrRetry(err error, attempts int) (fpoutcome.Outcome, bool) {
	switch {
	case errors.Is(err, errNotTaken):
		r.dispatcher.recordAbandoned(r.target)
	case !errors.Is(err, errOtherSoftware):
		r.dispatcher.recordFailure(r.target, err)
	}
	if errors.Is(err, errUpstreamCrashed) {
		r.crashes++
		r.dispatcher.recordCrash(r.target.candidate.Replica, r.parts, r.sentAt, len(r.suspects) > 0)
	}
	if errors.Is(err, fpupstream.ErrNotRun) {
		r.dispatcher.endTrial(r.suspects, r.target.candidate.Replica)
	}
	r.excludedReplicas = append(slices.Clone(r.excludedReplicas), r.target.candidate.Replica)
	switch {
	case r.dispatchGate != nil && r.ledger.Dispatched():
		return r.ledger.IncompleteOutcome("the upstream broke off: "+err.Error(), 0), true
	case r.crashes >= maxCrashesPerRequest:
		return r.ledger.IncompleteOutcome("upstreams crashed under the request: "+err.Error(), 0), true
	case errors.Is(err, ErrDeadlinePassed), attempts >= maxAttempts:
		return r.ledger.IncompleteOutcome(err.Error(), defaultRetryAfter), true
	case !errors.Is(err, fpupstream.ErrNotRun) && !r.dispatcher.takeRetryToken():
		return r.ledger.IncompleteOutcome("the retry budget is spent: "+err.Error(), defaultRetryAfter), true
	}
	kind := fprecord.Retried
	if r.assembler.Delivered() > 0 {
		kind = fprecord.Continued
	}
	r.dispatcher.addRecord(r.admitted, kind, r.target.candidate.Replica, err.Error(),
		fprecord.Figure{Name: "delivered bytes", Value: float64(r.assembler.Delivered())})
	return fpoutcome.Outcome{}, false
}

func (r *chatRun) refusePlacement(err error, t target) fpoutcome.Outcome {
	retryAfter := defaultRetryAfter
	if errors.Is(err, fproute.ErrOverload) && len(t.decision.Ranked) > 0 {
		retryAfter = time.Duration(t.decision.Ranked[0].QueueSeconds * float64(time.Second))
	}
	if errors.Is(err, errPaused) {
		retryAfter = fplimit.ReturnAfter(t.pauseLeft, rand.Float64())
	}
	if errors.Is(err, errOnTrial) {
		retryAfter = trialRetryAfter
	}
	r.dispatcher.addRecord(r.admitted, fprecord.Refused, "", err.Error())
	return r.ledger.IncompleteOutcome(err.Error(), retryAfter)
}

func (r *chatRun) refuseQuarantined(part string, remaining time.Duration) fpoutcome.Outcome {
	reason := describeQuarantined(part) + " crashes upstreams"
	r.dispatcher.addRecord(r.admitted, fprecord.Refused, "", reason)
	return r.ledger.IncompleteOutcome(reason, remaining)
}

func (r *chatRun) newResult(o fpoutcome.Outcome) RequestResult {
	return RequestResult{Outcome: o, Usage: r.usage, Upstream: r.target.candidate.Replica}
}

// runAttempt sends one attempt and delivers its answer, over several connections if it has to be
// resumed.
func (r *chatRun) runAttempt(ctx context.Context) error {
	r.attemptID, r.sentAt = r.dispatcher.newAttemptID(), time.Now()
	r.assembler = r.assembler.WithAttempt(r.attemptID)
	r.dispatcher.recordPlacement(r.admitted, r.target)
	r.dispatcher.recordDispatch(r.target)
	s, err := r.dispatcher.client.OpenStream(ctx, r.encodeAttempt())
	progress := r.assembler.Delivered()
	for resumes := 0; ; resumes++ {
		if err == nil {
			err = r.deliverPieces(s)
			s.Close()
		}
		if err == nil || !isResumable(err) || ctx.Err() != nil {
			return err
		}
		if r.assembler.Delivered() > progress {
			progress = r.assembler.Delivered()
			resumes = 0
		}
		if resumes >= maxStalledResumes {
			return err
		}
		r.dispatcher.addRecord(r.admitted, fprecord.Resumed, r.target.candidate.Replica, err.Error(),
			fprecord.Figure{Name: "delivered bytes", Value: float64(progress)})
		s, err = r.resumeAttempt(ctx, err)
	}
}

// resumeAttempt requests the rest of the answer from the same upstream over a new connection. When
// that connection is refused, the error is ErrAttemptUnknown, not ErrNotRun, since the attempt may
// have run.
func (r *chatRun) resumeAttempt(ctx context.Context, cause error) (*fpupstream.Stream, error) {
	s, err := r.dispatcher.client.ResumeStream(ctx, r.resumedAttempt(), r.assembler.Delivered())
	if errors.Is(err, fpupstream.ErrNotRun) {
		err = errors.Mark(errors.Newf("%v, then %v", cause, err), fpupstream.ErrAttemptUnknown)
	}
	if errors.Is(err, fpupstream.ErrAttemptUnknown) && errors.Is(cause, fpupstream.ErrInterrupted) {
		err = errors.Mark(err, errUpstreamCrashed)
	}
	return s, err
}

// resumedAttempt returns the attempt as far as its resumption needs it.
func (r *chatRun) resumedAttempt() fpupstream.Attempt {
	return fpupstream.Attempt{ID: r.attemptID, Address: r.target.candidate.Address, OnIntake: r.dispatcher.recordIntake(r.target.start())}
}

func isResumable(err error) bool {
	return errors.IsAny(err, fpupstream.ErrInterrupted, fpupstream.ErrSilent, fpupstream.ErrMismatched, fpstream.ErrBufferFull) &&
		!errors.IsAny(err, fpupstream.ErrAttemptUnknown, fpupstream.ErrNotRun, ErrCallerGone)
}

// deliverPieces delivers the pieces of one connection in order until the answer is complete. It gives
// the attempt up if what was delivered came from another software version.
func (r *chatRun) deliverPieces(s *fpupstream.Stream) error {
	if err := r.checkOrigin(s); err != nil {
		r.cancelAttempt()
		return err
	}
	if !r.sinkBegun {
		r.sinkBegun = true
		r.sink.BeginAnswer(r.target.candidate.Replica, r.target.decision.Reason)
	}
	for {
		p, err := s.Next()
		if errors.Is(err, io.EOF) && r.assembler.Complete() {
			return nil
		}
		if err != nil {
			return errors.Mark(errors.Wrap(err, "answer"), streamErrorKind(err))
		}
		offset := r.assembler.Delivered()
		text, err := r.assembler.Add(p)
		if err != nil {
			return errors.Mark(err, fpupstream.ErrMismatched)
		}
		r.updateUsage(s)
		if text == "" {
			continue
		}
		r.deliveredText.WriteString(text)
		if err := r.sink.WriteText(offset, text); err != nil {
			return errors.Mark(err, ErrCallerGone)
		}
	}
}

func streamErrorKind(err error) error {
	if errors.Is(err, fpupstream.ErrSilent) {
		return fpupstream.ErrSilent
	}
	return fpupstream.ErrInterrupted
}

// updateUsage updates the token counts and, at the attempt's first piece, reports the cached tokens
// to placement and the metrics.
func (r *chatRun) updateUsage(s *fpupstream.Stream) {
	u := s.Usage()
	if r.usage.PromptTokens == 0 {
		r.usage = u
	}
	r.usage.CompletionTokens = r.assembler.Delivered() / 4
	r.usage.TotalTokens = r.usage.PromptTokens + r.usage.CompletionTokens
	if r.firstPieceSeen {
		return
	}
	r.firstPieceSeen = true
	cached := u.PromptTokensDetails.CachedTokens
	r.dispatcher.recordFirstToken(r.target, cached)
	r.dispatcher.metrics.Series(r.admitted.Team, r.admitted.Class.String()).
		RecordAnswer(time.Since(r.admitted.ReceivedAt), cached, u.PromptTokens-cached)
}

// encodeAttempt returns the attempt in the engine's form. If text was delivered before, the engine
// is asked to continue it.
func (r *chatRun) encodeAttempt() fpupstream.Attempt {
	r.firstPieceSeen = false
	req := r.request
	req.Stream = true
	req.PrefixLevels = nil
	req.CacheSalt = strconv.FormatUint(uint64(r.target.seed.Key()), 16)
	req.Priority = r.admitted.Deadline.UnixMilli()
	if r.deliveredText.Len() > 0 {
		req.ContinueFinalMessage = true
		req.Messages = append(slices.Clone(req.Messages), fpchat.Message{Role: "assistant", Content: r.deliveredText.String()})
	}
	body, err := json.Marshal(req)
	if err != nil {
		panic(errors.Wrap(err, "fpdispatch: encode chat request"))
	}
	return fpupstream.Attempt{
		ID:           r.attemptID,
		RequestID:    r.admitted.RequestID,
		Address:      r.target.candidate.Address,
		Weights:      r.target.request.Weights,
		Method:       http.MethodPost,
		Path:         chatPath,
		Header:       http.Header{"Content-Type": {"application/json"}},
		Body:         body,
		OnConnected:  r.ledger.MarkDispatched,
		DispatchGate: r.dispatcher.gateFor(r.target.start(), r.dispatchGate),
		OnIntake:     r.dispatcher.recordIntake(r.target.start()),
	}
}

// cancelAttempt tells placement and the engine that the answer is no longer needed.
func (r *chatRun) cancelAttempt() {
	r.dispatcher.recordAbandoned(r.target)
	if !r.ledger.Dispatched() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.dispatcher.client.CancelAttempt(ctx, r.target.candidate.Address, r.attemptID)
}
