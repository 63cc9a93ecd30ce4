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

// newBudgetRequest returns a request to a service of two replicas, with a retry budget of one
// retry.
func newBudgetRequest() *request {
	s := Settings{RetryBudget: fplimit.RetryRule{Slack: 4, Window: 10 * time.Second}}.WithDefaults()
	g := New(s, Dependencies{Clock: fpclock.SinceBoot, Log: fplog.NewQueue(&bytes.Buffer{})})
	return &request{
		gateway: g,
		snapshot: &snapshot{hostCount: 1, replicasByService: map[string][]fpbalance.Replica{"app": {
			{ID: "s1", Service: "app", Slots: 4}, {ID: "s2", Service: "app", Slots: 4},
		}}},
		route:    &fpcatalog.Route{Name: "call"},
		service:  &fpcatalog.Service{Name: "app"},
		deadline: g.clock() + time.Minute,
	}
}

// TestUnsentAttemptCostsNoBudget guards against spending the retry budget on replicas that could
// not be reached when many crash at once: nothing arrived there, so that the next attempt is
// free.
func TestUnsentAttemptCostsNoBudget(t *testing.T) {
	is := is.New(t)
	q := newBudgetRequest()
	for range 5 {
		_, err := q.chooseReplica()
		is.NoErr(err)
	}
	q.sends = 1
	for range 5 {
		_, err := q.chooseReplica()
		is.NoErr(err)
	}
	q.sends = 2
	_, err := q.chooseReplica()
	is.True(errors.Is(err, errRetryBudget))
}

// TestDeniedRetryCountsNoWork checks that a retry that the budget denies is not counted as work
// at the replica it was meant for.
func TestDeniedRetryCountsNoWork(t *testing.T) {
	is := is.New(t)
	q := newBudgetRequest()
	q.gateway.activeSettings.Store(&Settings{RetryBudget: fplimit.RetryRule{Window: time.Second}})
	q.sends = 1
	c, err := q.chooseReplica()
	is.True(errors.Is(err, errRetryBudget))
	is.Equal(q.gateway.balancer.OutstandingRequests(c.Replica.ID, q.gateway.clock()), 0.0)
}

// TestOldestAllowedWeights checks the use of replaced weights during a slow rollout: a request
// must not go to a replica where it could wait until they may no longer be used.
func TestOldestAllowedWeights(t *testing.T) {
	tests := map[string]struct {
		publishedAgo time.Duration
		want         int64
	}{
		"limit after the wait":  {publishedAgo: 8500 * time.Millisecond, want: 0},
		"limit during the wait": {publishedAgo: 9500 * time.Millisecond, want: 2},
		"limit over":            {publishedAgo: 13 * time.Second, want: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := newBudgetRequest()
			s := q.gateway.settings()
			s.OldWeightsLimit = 12 * time.Second
			q.gateway.activeSettings.Store(&s)
			now := q.gateway.clock()
			q.caller.Model, q.arrivedAt, q.deadline = "m", now, now+8*time.Second
			q.route = &fpcatalog.Route{Name: "chat", Kind: fpcatalog.Stream, Objective: 500 * time.Millisecond, MaxEventGap: 200 * time.Millisecond}
			q.snapshot.publishedWeights = map[string][]publishedVersion{"m": {{version: 2, publishedAt: now - tt.publishedAgo}}}
			is.New(t).Equal(q.balancerRequest().MinVersion, tt.want)
		})
	}
}
