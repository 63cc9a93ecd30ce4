package fpdispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpchat"
	"github.com/fescuepoint/fescuepoint/internal/fpstate"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	// maxPlaced bounds the placements kept for the zone's other hosts.
	maxPlaced = 1024
)

type (
	// target is a chat request's prompt under one weights version, placed.
	target struct {
		request   fproute.Request
		seed      fpprefix.Seed
		candidate fproute.Candidate
		decision  fproute.Decision
	}
)

// versions returns the weights versions that the model's replicas serve.
func versions(v *fproute.View, model string) []string {
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

// placeChat returns the best target over the weights versions in service, or
// only over the given one when part of an answer came from it.
func (d *Dispatcher) placeChat(q Query, req fpchat.Request, m fpconfig.Model, pinned string, avoid []string) (target, error) {
	s := d.state.Load()
	adapter, _ := m.AdapterVersion(req.Adapter)
	candidates := []string{pinned}
	if pinned == "" {
		candidates = versions(&s.View, m.Name)
	}
	best := target{candidate: fproute.Candidate{Score: math.Inf(1)}}
	result := errors.Wrapf(fproute.ErrNoReplica, "model %s", m.Name)
	for _, w := range candidates {
		t := target{seed: fpprefix.Seed{Team: q.Team, Model: m.Name, Weights: w, Adapter: adapter}}
		t.request = fproute.Request{
			ID:      q.RequestID,
			Team:    q.Team,
			Class:   q.Class,
			Model:   m.Name,
			Weights: w,
			Prompt:  req.Prompt(t.seed),
			Exclude: avoid,
		}
		decision, err := d.place(s, t.request)
		if err != nil {
			if best.decision.Ranked == nil {
				result = err
			}
			continue
		}
		if c := decision.Ranked[0]; c.Score < best.candidate.Score {
			t.decision = decision
			t.candidate = c
			best = t
			result = nil
		}
	}
	return best, result
}

func (d *Dispatcher) place(s *fpstate.Snapshot, r fproute.Request) (fproute.Decision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.Place(&s.View, r, time.Now())
}

func (d *Dispatcher) dispatched(t target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.router.RecordDispatch(t.request, t.candidate, now)
	if len(d.placed) < maxPlaced {
		d.placed = append(d.placed, fproute.NewPlacement(t.request, t.candidate))
		d.placedAt = append(d.placedAt, now)
	}
}

func (d *Dispatcher) firstToken(t target, cached int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.RecordFirstToken(t.request, t.candidate, cached, time.Now())
}

func (d *Dispatcher) abandoned(t target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.RecordAbandoned(t.request, t.candidate)
}

func (d *Dispatcher) failed(t target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.RecordFailure(t.request, t.candidate, time.Now())
}

// recordPlaced records the decision with the figures of the first two candidates.
func (d *Dispatcher) recordPlaced(q Query, t target) {
	c := t.candidate
	figures := []fprecord.Figure{
		{Name: "prompt tokens", Value: float64(t.request.Prompt.Tokens)},
		{Name: "predicted hit", Value: c.HitTokens},
		{Name: "queue seconds", Value: c.QueueSeconds},
		{Name: "round trip", Value: c.RoundTrip},
		{Name: "score", Value: c.Score},
		{Name: "replicas", Value: float64(t.decision.EligibleCount)},
		{Name: "homes", Value: float64(t.decision.HomeCount)},
	}
	reason := t.decision.Reason
	if len(t.decision.Ranked) > 1 {
		o := t.decision.Ranked[1]
		reason += fmt.Sprintf("; next best %s", o.Replica)
		figures = append(figures,
			fprecord.Figure{Name: "its score", Value: o.Score},
			fprecord.Figure{Name: "its hit", Value: o.HitTokens},
			fprecord.Figure{Name: "its queue", Value: o.QueueSeconds})
	}
	d.record(q, fprecord.Placed, c.Replica, reason, figures...)
	d.metrics.Series(q.Team, q.Class.String()).Queue.Update(c.QueueSeconds)
}
