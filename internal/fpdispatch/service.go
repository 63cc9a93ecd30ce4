package fpdispatch

import (
	"context"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpclaimant"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

type (
	// ServiceCall is a call to a plain service.
	ServiceCall struct {
		Service     string
		Method      string
		Path        string
		ContentType string
		Body        []byte
	}
)

// Service dispatches a service call that may be repeated.
func (d *Dispatcher) Service(ctx context.Context, q Query, c ServiceCall) fpclaimant.Result {
	d.running.Add(1)
	defer d.running.Add(-1)
	r := d.callService(ctx, q, c, fpoutcome.NewLedger(true), nil, nil)
	d.ended(q, Final{Outcome: r.Outcome, Upstream: r.Upstream})
	return r
}

// callService tries replicas of a service; with a gate, only until a byte may have left.
func (d *Dispatcher) callService(ctx context.Context, q Query, c ServiceCall, ledger *fpoutcome.Ledger,
	gate func() error, usable func(fpstate.Upstream) bool,
) fpclaimant.Result {
	var avoid []string
	for tries := 1; ; tries++ {
		u, ok := d.pickService(c.Service, avoid, usable)
		if !ok {
			d.record(q, fprecord.Refused, "", "no replica of the service can be reached")
			return fpclaimant.Result{Outcome: ledger.Refuse(fproute.ErrNoReplica.Error()+" "+c.Service, retryHint)}
		}
		d.record(q, fprecord.Placed, u.Name, "least running calls",
			fprecord.Figure{Name: "running", Value: float64(u.Report.Running)})
		a, err := d.client.CallService(ctx, d.serviceAttempt(q, c, u, ledger, gate))
		if err == nil {
			return fpclaimant.Result{
				Outcome:     ledger.Complete(),
				Status:      a.Status,
				ContentType: a.ContentType,
				Body:        a.Body,
				Upstream:    u.Name,
			}
		}
		avoid = append(avoid, u.Name)
		last := tries >= maxAttempts || errors.Is(err, ErrTooLate) || ctx.Err() != nil
		if gate != nil && ledger.Dispatched() || last || !errors.Is(err, fpupstream.ErrNotRun) && !d.takeRetry() {
			return fpclaimant.Result{Outcome: ledger.Refuse(err.Error(), retryHint), Upstream: u.Name}
		}
		d.record(q, fprecord.Retried, u.Name, err.Error())
	}
}

func (d *Dispatcher) serviceAttempt(q Query, c ServiceCall, u fpstate.Upstream, ledger *fpoutcome.Ledger, gate func() error) fpupstream.Attempt {
	a := fpupstream.Attempt{
		ID:           d.attemptID(),
		RequestID:    q.RequestID,
		Address:      u.Address,
		Method:       c.Method,
		Path:         c.Path,
		Header:       http.Header{},
		Body:         c.Body,
		OnConnected:  ledger.MarkDispatched,
		DispatchGate: gate,
	}
	if c.ContentType != "" {
		a.Header.Set("Content-Type", c.ContentType)
	}
	return a
}

// pickService returns the replica of a service that runs the fewest calls, in
// this zone where there is one.
func (d *Dispatcher) pickService(service string, avoid []string, usable func(fpstate.Upstream) bool) (fpstate.Upstream, bool) {
	s := d.state.Load()
	best := -1
	list := s.Services[service]
	for i, u := range list {
		if u.Leaving || slices.Contains(avoid, u.Name) || usable != nil && !usable(u) {
			continue
		}
		if best < 0 || before(s, u, list[best]) {
			best = i
		}
	}
	if best < 0 {
		return fpstate.Upstream{}, false
	}
	return list[best], true
}

// before reports whether replica a is to be preferred to b: reachable ones
// first, then those of this zone, then those with fewer calls.
func before(s *fpstate.Snapshot, a, b fpstate.Upstream) bool {
	if a.Reachable != b.Reachable {
		return a.Reachable
	}
	zone := s.View.Zone
	if (a.AvailabilityZone == zone) != (b.AvailabilityZone == zone) {
		return a.AvailabilityZone == zone
	}
	return a.Report.Running < b.Report.Running
}
