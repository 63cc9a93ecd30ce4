package fpgateway

import (
	"bytes"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpclock"
	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
)

// budgetRequest returns a request to a service of two replicas, with a budget of one repeat.
func budgetRequest() *request {
	s := Settings{Retry: fplimit.RetryRule{Slack: 4, Window: 10 * time.Second}}.WithDefaults()
	g := New(s, Parts{Clock: fpclock.Boot, Log: fplog.NewQueue(&bytes.Buffer{})})
	return &request{
		gateway: g,
		state: &snapshot{hosts: 1, services: map[string][]fpbalance.Replica{"app": {
			{ID: "s1", Service: "app", Slots: 4}, {ID: "s2", Service: "app", Slots: 4},
		}}},
		route:   &fpcatalog.Route{Name: "call"},
		service: &fpcatalog.Service{Name: "app"},
		ends:    g.clock() + time.Minute,
	}
}

// TestUnsentIsFree replays a crash of many replicas: trying another after one
// that could not be reached takes nothing from the retry budget, since nothing arrived.
func TestUnsentIsFree(t *testing.T) {
	is := is.New(t)
	q := budgetRequest()
	for range 5 {
		_, err := q.choose()
		is.NoErr(err)
	}
	q.sends = 1
	for range 5 {
		_, err := q.choose()
		is.NoErr(err)
	}
	q.sends = 2
	_, err := q.choose()
	is.True(errors.Is(err, errBudget))
}

// TestBudgetLeavesNoWork checks that a repeat that is not granted is not
// counted as work at the replica it would have gone to.
func TestBudgetLeavesNoWork(t *testing.T) {
	is := is.New(t)
	q := budgetRequest()
	q.gateway.current.Store(&Settings{Retry: fplimit.RetryRule{Window: time.Second}})
	q.sends = 1
	c, err := q.choose()
	is.True(errors.Is(err, errBudget))
	is.Equal(q.gateway.balancer.OutstandingRequests(c.Replica.ID, q.gateway.clock()), 0.0)
}

// TestOldWeights replays a slow change of weights: a request is kept from
// replaced ones from when it could still wait there until they are barred.
func TestOldWeights(t *testing.T) {
	tests := map[string]struct {
		named time.Duration
		want  int64
	}{
		"time enough": {named: 8500 * time.Millisecond, want: 0},
		"it may wait": {named: 9500 * time.Millisecond, want: 2},
		"over":        {named: 13 * time.Second, want: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := budgetRequest()
			s := q.gateway.settings()
			s.OldWeights = 12 * time.Second
			q.gateway.current.Store(&s)
			now := q.gateway.clock()
			q.caller.Model, q.arrived, q.ends = "m", now, now+8*time.Second
			q.route = &fpcatalog.Route{Name: "chat", Kind: fpcatalog.Stream, Objective: 500 * time.Millisecond, MaxEventGap: 200 * time.Millisecond}
			q.state.weights = map[string][]namedWeights{"m": {{version: 2, since: now - tt.named}}}
			is.New(t).Equal(q.want().MinVersion, tt.want)
		})
	}
}
