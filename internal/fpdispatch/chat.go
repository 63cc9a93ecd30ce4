package fpdispatch

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
	"github.com/fescuepoint/fescuepoint/pkg/fpstream"
)

const (
	// maxResumes bounds the connections spent on one attempt's answer without progress.
	maxResumes = 4
	chatPath   = "/v1/chat/completions"
)

type (
	// chatRun is one chat request on its way to its outcome.
	chatRun struct {
		d         *Dispatcher
		query     Query
		request   fpchat.Request
		model     fpconfig.Model
		sink      Sink
		ledger    *fpoutcome.Ledger
		gate      func() error
		assembler fpstream.Assembler
		text      strings.Builder
		weights   string
		avoid     []string
		began     bool
		first     bool
		usage     fpchat.Usage
		target    target
		attempt   string
	}
)

// Chat dispatches a chat request that may be repeated and delivers its answer
// to the sink.
func (d *Dispatcher) Chat(ctx context.Context, q Query, req fpchat.Request, m fpconfig.Model, sink Sink) Final {
	d.running.Add(1)
	defer d.running.Add(-1)
	r := &chatRun{d: d, query: q, request: req, model: m, sink: sink, ledger: fpoutcome.NewLedger(true)}
	return d.ended(q, r.run(ctx))
}

// run tries replicas until the answer is whole, the caller is gone or nothing is left to try.
func (r *chatRun) run(ctx context.Context) Final {
	r.countRequest()
	for tries := 1; ; tries++ {
		t, err := r.d.placeChat(r.query, r.request, r.model, r.weights, r.avoid)
		if err != nil {
			return r.final(r.refusal(err, t))
		}
		r.target = t
		err = r.try(ctx)
		switch {
		case err == nil:
			return r.final(r.ledger.Complete())
		case errors.Is(err, ErrCaller) || ctx.Err() != nil:
			r.cancelAttempt()
			return r.final(r.ledger.Refuse("the caller went away", 0))
		}
		if o, over := r.giveUp(err, tries); over {
			return r.final(o)
		}
	}
}

func (r *chatRun) countRequest() {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	r.d.router.Budget().Request()
}

// giveUp decides whether another replica may be tried after an error.
func (r *chatRun) giveUp(err error, tries int) (fpoutcome.Outcome, bool) {
	r.d.failed(r.target)
	r.avoid = append(slices.Clone(r.avoid), r.target.candidate.Replica)
	switch {
	case r.gate != nil && r.ledger.Dispatched():
		return r.ledger.Refuse("the upstream broke off: "+err.Error(), 0), true
	case errors.Is(err, ErrTooLate), tries >= maxAttempts:
		return r.ledger.Refuse(err.Error(), retryHint), true
	case !errors.Is(err, fpupstream.ErrNotRun) && !r.d.takeRetry():
		return r.ledger.Refuse("the retry budget is spent: "+err.Error(), retryHint), true
	}
	kind := fprecord.Retried
	if r.assembler.Delivered() > 0 {
		kind = fprecord.Continued
		r.weights = r.target.request.Weights
	}
	r.d.record(r.query, kind, r.target.candidate.Replica, err.Error(),
		fprecord.Figure{Name: "delivered bytes", Value: float64(r.assembler.Delivered())})
	return fpoutcome.Outcome{}, false
}

func (r *chatRun) refusal(err error, t target) fpoutcome.Outcome {
	hint := retryHint
	if errors.Is(err, fproute.ErrOverload) && len(t.decision.Ranked) > 0 {
		hint = time.Duration(t.decision.Ranked[0].Queue * float64(time.Second))
	}
	r.d.record(r.query, fprecord.Refused, "", err.Error())
	return r.ledger.Refuse(err.Error(), hint)
}

func (r *chatRun) final(o fpoutcome.Outcome) Final {
	return Final{Outcome: o, Usage: r.usage, Upstream: r.target.candidate.Replica}
}

// try sends one attempt and follows its answer over as many connections as it takes.
func (r *chatRun) try(ctx context.Context) error {
	r.attempt = r.d.attemptID()
	r.assembler = r.assembler.WithAttempt(r.attempt)
	r.d.recordPlaced(r.query, r.target)
	r.d.dispatched(r.target)
	s, err := r.d.client.OpenStream(ctx, r.wire())
	progress := r.assembler.Delivered()
	for resumes := 0; ; resumes++ {
		if err == nil {
			err = r.pump(s)
			s.Close()
		}
		if err == nil || !resumable(err) || ctx.Err() != nil {
			return err
		}
		if r.assembler.Delivered() > progress {
			progress = r.assembler.Delivered()
			resumes = 0
		}
		if resumes >= maxResumes {
			return err
		}
		r.d.record(r.query, fprecord.Resumed, r.target.candidate.Replica, err.Error(),
			fprecord.Figure{Name: "delivered bytes", Value: float64(progress)})
		s, err = r.resume(ctx, err)
	}
}

// resume asks the same upstream for the rest over a new connection. When that
// connection is refused, the attempt counts as broken, not as never run.
func (r *chatRun) resume(ctx context.Context, cause error) (*fpupstream.Stream, error) {
	s, err := r.d.client.ResumeStream(ctx, r.target.candidate.Address, r.attempt, r.assembler.Delivered())
	if errors.Is(err, fpupstream.ErrNotRun) {
		return nil, errors.Mark(errors.Newf("%v, then %v", cause, err), fpupstream.ErrAttemptUnknown)
	}
	return s, err
}

func resumable(err error) bool {
	return errors.IsAny(err, fpupstream.ErrInterrupted, fpupstream.ErrSilent, fpupstream.ErrMismatched, fpstream.ErrHeldTooMuch) &&
		!errors.IsAny(err, fpupstream.ErrAttemptUnknown, fpupstream.ErrNotRun, ErrCaller)
}

// pump delivers a connection's pieces in order until the answer is whole.
func (r *chatRun) pump(s *fpupstream.Stream) error {
	if !r.began {
		r.began = true
		r.sink.Begin(r.target.candidate.Replica, r.target.decision.Reason)
	}
	for {
		p, err := s.Next()
		if errors.Is(err, io.EOF) && r.assembler.Complete() {
			return nil
		}
		if err != nil {
			return errors.Mark(errors.Wrap(err, "answer"), cutUnlessKnown(err))
		}
		offset := r.assembler.Delivered()
		text, err := r.assembler.Add(p)
		if err != nil {
			return errors.Mark(err, fpupstream.ErrMismatched)
		}
		r.noteFirst(s)
		if text == "" {
			continue
		}
		r.text.WriteString(text)
		if err := r.sink.Text(offset, text); err != nil {
			return errors.Mark(err, ErrCaller)
		}
	}
}

func cutUnlessKnown(err error) error {
	if errors.Is(err, fpupstream.ErrSilent) {
		return fpupstream.ErrSilent
	}
	return fpupstream.ErrInterrupted
}

// noteFirst takes in what the attempt's first piece tells of the cache.
func (r *chatRun) noteFirst(s *fpupstream.Stream) {
	u := s.Usage()
	if r.usage.PromptTokens == 0 {
		r.usage = u
	}
	r.usage.CompletionTokens = r.assembler.Delivered() / 4
	r.usage.TotalTokens = r.usage.PromptTokens + r.usage.CompletionTokens
	if r.first {
		return
	}
	r.first = true
	cached := u.Details.CachedTokens
	r.d.firstToken(r.target, cached)
	r.d.metrics.Series(r.query.Team, r.query.Class.String()).
		Answered(time.Since(r.query.Received), cached, u.PromptTokens-cached)
}

// wire returns the attempt as it goes to the engine.
func (r *chatRun) wire() fpupstream.Attempt {
	r.first = false
	req := r.request
	req.Stream = true
	req.PrefixLevels = nil
	req.CacheSalt = strconv.FormatUint(uint64(r.target.seed.Key()), 16)
	req.Priority = r.query.Deadline.UnixMilli()
	if r.text.Len() > 0 {
		req.ContinueFinalMessage = true
		req.Messages = append(slices.Clone(req.Messages), fpchat.Message{Role: "assistant", Content: r.text.String()})
	}
	body, err := json.Marshal(req)
	if err != nil {
		panic(errors.Wrap(err, "fpdispatch: request cannot be encoded"))
	}
	return fpupstream.Attempt{
		ID:           r.attempt,
		RequestID:    r.query.RequestID,
		Address:      r.target.candidate.Address,
		Weights:      r.target.request.Weights,
		Method:       http.MethodPost,
		Path:         chatPath,
		Header:       http.Header{"Content-Type": {"application/json"}},
		Body:         body,
		OnConnected:  r.ledger.MarkDispatched,
		DispatchGate: r.gate,
	}
}

// cancelAttempt tells placement and the engine that nobody wants the answer any more.
func (r *chatRun) cancelAttempt() {
	r.d.abandoned(r.target)
	if !r.ledger.Dispatched() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.d.client.CancelAttempt(ctx, r.target.candidate.Address, r.attempt)
}
