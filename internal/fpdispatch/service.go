package fpdispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclaimant"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fpquarantine"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
)

type (
	// ServiceCall is a caller's request to a plain service.
	ServiceCall struct {
		Service     string
		Method      string
		Path        string
		ContentType string
		Body        []byte
	}
)

// DispatchService dispatches an idempotent service call.
func (d *Dispatcher) DispatchService(ctx context.Context, q AdmittedRequest, c ServiceCall) fpclaimant.Result {
	d.runningRequests.Add(1)
	defer d.runningRequests.Add(-1)
	r := d.callService(ctx, q, c, fpoutcome.NewLedger(true), nil, nil)
	d.recordOutcome(q, RequestResult{Outcome: r.Outcome, Upstream: r.Upstream})
	return r
}

// callService tries the replicas of a service in turn; with a dispatch gate, it stops as soon as a
// byte may have been sent.
func (d *Dispatcher) callService(ctx context.Context, q AdmittedRequest, c ServiceCall, ledger *fpoutcome.Ledger,
	dispatchGate func() error, eligible func(fpstate.Upstream) bool,
) fpclaimant.Result {
	var excluded []string
	crashes := 0
	parts := []fpquarantine.Part{requestPart(q.Team, c.Service, c.Method, c.Path, string(c.Body))}
	for attempts := 1; ; attempts++ {
		if part, remaining := d.quarantinedPart(parts); part != "" {
			reason := describeQuarantined(part) + " crashes upstreams"
			d.addRecord(q, fprecord.Refused, "", reason)
			return fpclaimant.Result{Outcome: ledger.IncompleteOutcome(reason, remaining)}
		}
		suspects, occupied, err := d.suspectsAmong(parts)
		if err != nil {
			d.addRecord(q, fprecord.Refused, "", err.Error())
			return fpclaimant.Result{Outcome: ledger.IncompleteOutcome(err.Error(), trialRetryAfter)}
		}
		u, ok := d.selectReplica(c.Service, slices.Concat(excluded, occupied), eligible)
		if ok && !d.beginTrial(suspects, u.Name) || !ok && len(occupied) > 0 {
			d.addRecord(q, fprecord.Refused, "", errOnTrial.Error())
			return fpclaimant.Result{Outcome: ledger.IncompleteOutcome(errOnTrial.Error(), trialRetryAfter)}
		}
		if !ok {
			return fpclaimant.Result{Outcome: d.refuseUnplaced(q, c.Service, ledger, eligible)}
		}
		d.addRecord(q, fprecord.Placed, u.Name, "least running calls",
			fprecord.Figure{Name: "running", Value: float64(u.Report.Running)})
		sentAt := time.Now()
		a, err := d.client.CallService(ctx, d.newServiceAttempt(q, c, u, ledger, dispatchGate))
		if err == nil {
			d.recordWholeAnswer(parts, sentAt)
			d.endTrial(suspects, u.Name)
			return fpclaimant.Result{
				Outcome:     ledger.CompleteOutcome(),
				Status:      a.Status,
				ContentType: a.ContentType,
				Body:        a.Body,
				Upstream:    u.Name,
			}
		}
		if errors.Is(err, fpupstream.ErrAttemptUnknown) && errors.Is(err, fpupstream.ErrInterrupted) {
			crashes++
			d.recordCrash(u.Name, parts, sentAt, len(suspects) > 0)
		}
		if errors.Is(err, fpupstream.ErrNotRun) {
			d.endTrial(suspects, u.Name)
		}
		excluded = append(excluded, u.Name)
		last := attempts >= maxAttempts || crashes >= maxCrashesPerRequest || errors.Is(err, ErrDeadlinePassed) || ctx.Err() != nil
		if dispatchGate != nil && ledger.Dispatched() || last || !errors.Is(err, fpupstream.ErrNotRun) && !d.takeRetryToken() {
			return fpclaimant.Result{Outcome: ledger.IncompleteOutcome(err.Error(), defaultRetryAfter), Upstream: u.Name}
		}
		d.addRecord(q, fprecord.Retried, u.Name, err.Error())
	}
}

func (d *Dispatcher) newServiceAttempt(q AdmittedRequest, c ServiceCall, u fpstate.Upstream, ledger *fpoutcome.Ledger, dispatchGate func() error) fpupstream.Attempt {
	a := fpupstream.Attempt{
		ID:           d.newAttemptID(),
		RequestID:    q.RequestID,
		Address:      u.Address,
		Method:       c.Method,
		Path:         c.Path,
		Header:       http.Header{},
		Body:         c.Body,
		Memory:       q.AnswerMemory,
		OnConnected:  ledger.MarkDispatched,
		DispatchGate: d.gateFor(startOf(u), dispatchGate),
		OnIntake:     d.recordIntake(startOf(u)),
	}
	if c.ContentType != "" {
		a.Header.Set("Content-Type", c.ContentType)
	}
	return a
}

// selectReplica returns the preferred eligible replica of a service.
func (d *Dispatcher) selectReplica(service string, excluded []string, eligible func(fpstate.Upstream) bool) (fpstate.Upstream, bool) {
	s := d.state.Load()
	best := -1
	replicas := s.Services[service]
	for i, u := range replicas {
		if u.Leaving || slices.Contains(excluded, u.Name) || !d.maySend(startOf(u)) || eligible != nil && !eligible(u) {
			continue
		}
		if best < 0 || isPreferred(s, u, replicas[best]) {
			best = i
		}
	}
	if best < 0 {
		return fpstate.Upstream{}, false
	}
	return replicas[best], true
}

// isPreferred reports whether replica a is preferred to b: reachable ones first, then those of this
// zone, then those that run fewer calls.
func isPreferred(s *fpstate.Snapshot, a, b fpstate.Upstream) bool {
	if a.Reachable != b.Reachable {
		return a.Reachable
	}
	zone := s.View.Zone
	if (a.AvailabilityZone == zone) != (b.AvailabilityZone == zone) {
		return a.AvailabilityZone == zone
	}
	return a.Report.Running < b.Report.Running
}
