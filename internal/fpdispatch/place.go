package fpdispatch

import (
	"fmt"
	"math"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/internal/fpupstream"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// maxPendingPlacements bounds the placements waiting to be sent to the zone's other hosts.
	maxPendingPlacements = 1024
)

type (
	// target is the replica chosen for a chat request, with the prompt as hashed for its weights
	// version.
	target struct {
		request   fproute.Request
		seed      fpprefix.Seed
		candidate fproute.Candidate
		decision  fproute.Decision
		// pauseLeft is the time until a replica takes requests again, if all pause.
		pauseLeft time.Duration
	}
)

// weightsVersions returns the weights versions that the model's replicas serve.
func weightsVersions(v *fproute.View, model string) []string {
	var out []string
next:
	for i := range v.Replicas {
		r := &v.Replicas[i]
		if r.Model != model {
			continue
		}
		for _, w := range out {
			if w == r.Weights {
				continue next
			}
		}
		out = append(out, r.Weights)
	}
	return out
}

// placeChat returns the target with the best score over all weights versions in service, or over
// the weights and the software version that generated a part of the answer.
func (d *Dispatcher) placeChat(q AdmittedRequest, req fpchat.Request, m fpconfig.Model, begun origin, excluded []string) (target, error) {
	s := d.state.Load()
	adapter, _ := m.AdapterVersion(req.Adapter)
	excluded = d.excludeClosed(&s.View, m.Name, excluded)
	weights := []string{begun.weights}
	if !begun.begun {
		weights = weightsVersions(&s.View, m.Name)
	}
	best := target{candidate: fproute.Candidate{Score: math.Inf(1)}}
	placeErr := errors.Wrapf(fproute.ErrNoReplica, "model %s", m.Name)
	for _, w := range weights {
		t := target{seed: fpprefix.Seed{Team: q.Team, Model: m.Name, Weights: w, Adapter: adapter}}
		t.request = fproute.Request{
			ID:               q.RequestID,
			Team:             q.Team,
			Class:            q.Class,
			Model:            m.Name,
			Weights:          w,
			Prompt:           req.Prompt(t.seed),
			Continued:        begun.begun,
			SoftwareVersion:  begun.softwareVersion,
			ExcludedReplicas: excluded,
		}
		decision, err := d.placeRequest(s, t.request)
		if err != nil {
			if best.decision.Ranked == nil {
				placeErr = err
			}
			continue
		}
		if c := decision.Ranked[0]; c.Score < best.candidate.Score {
			t.decision = decision
			t.candidate = c
			best = t
			placeErr = nil
		}
	}
	if errors.Is(placeErr, fproute.ErrNoReplica) {
		best.pauseLeft = d.pauseLeftForModel(&s.View, m.Name)
		switch {
		case best.pauseLeft > 0:
			placeErr = errPaused
		case begun.begun:
			placeErr = errors.Wrapf(placeErr, "the answer began at software version %q", begun.softwareVersion)
		}
	}
	return best, placeErr
}

func (d *Dispatcher) placeRequest(s *fpstate.Snapshot, r fproute.Request) (fproute.Decision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.Place(&s.View, r, time.Now())
}

func (d *Dispatcher) recordDispatch(t target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.router.RecordDispatch(t.request, t.candidate, now)
	if len(d.pendingPlacements) < maxPendingPlacements {
		d.pendingPlacements = append(d.pendingPlacements, fproute.NewPlacement(t.request, t.candidate))
		d.placementTimes = append(d.placementTimes, now)
	}
}

func (d *Dispatcher) recordFirstToken(t target, cached int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.RecordFirstToken(t.request, t.candidate, cached, time.Now())
}

func (d *Dispatcher) recordAbandoned(t target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.RecordAbandoned(t.request, t.candidate)
}

func (d *Dispatcher) recordFailure(t target, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if errors.Is(err, fpupstream.ErrNoConnection) {
		d.router.RecordNoConnection(t.request, t.candidate, errors.Is(err, syscall.ECONNREFUSED), time.Now())
		return
	}
	d.router.RecordFailure(t.request, t.candidate, time.Now())
}

// RecordReachable tells placement that a replica answered a call of this host.
func (d *Dispatcher) RecordReachable(replica string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.RecordReachable(replica)
}

// recordPlacement records the placement decision with the figures of the two best candidates.
func (d *Dispatcher) recordPlacement(q AdmittedRequest, t target) {
	c := t.candidate
	figures := []fprecord.Figure{
		{Name: "prompt tokens", Value: float64(t.request.Prompt.Tokens)},
		{Name: "predicted hit", Value: c.HitTokens},
		{Name: "queue seconds", Value: c.QueueSeconds},
		{Name: "round trip", Value: c.RoundTripSeconds},
		{Name: "score", Value: c.Score},
		{Name: "replicas", Value: float64(t.decision.EligibleCount)},
		{Name: "homes", Value: float64(t.decision.OwnerCount)},
	}
	reason := t.decision.Reason
	if len(t.decision.Ranked) > 1 {
		next := t.decision.Ranked[1]
		reason += fmt.Sprintf("; next best %s", next.Replica)
		figures = append(figures,
			fprecord.Figure{Name: "its score", Value: next.Score},
			fprecord.Figure{Name: "its hit", Value: next.HitTokens},
			fprecord.Figure{Name: "its queue", Value: next.QueueSeconds})
	}
	d.addRecord(q, fprecord.Placed, c.Replica, reason, figures...)
	d.metrics.Series(q.Team, q.Class.String()).PredictedQueue.Update(c.QueueSeconds)
}
