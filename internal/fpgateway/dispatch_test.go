package fpgateway

import (
	"bytes"
	"math"
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

// TestTimeToBegin checks how long a request may still begin on weights that newer ones replace.
func TestTimeToBegin(t *testing.T) {
	const limit = 12 * time.Second
	now := time.Hour
	p := publications{versions: map[string][]publishedVersion{"m": {
		{version: 2, publishedAt: now - 9500*time.Millisecond}, {version: 4, publishedAt: now - time.Second},
	}}}
	tests := map[string]struct {
		model   string
		version int64
		limit   time.Duration
		want    time.Duration
	}{
		"replaced twice":         {model: "m", version: 1, limit: limit, want: 2500 * time.Millisecond},
		"replaced by the newest": {model: "m", version: 2, limit: limit, want: 11 * time.Second},
		"newest":                 {model: "m", version: 4, limit: limit, want: math.MaxInt64},
		"another model":          {model: "n", version: 1, limit: limit, want: math.MaxInt64},
		"no limit":               {model: "m", version: 1, want: math.MaxInt64},
		"limit over":             {model: "m", version: 1, limit: 9 * time.Second, want: -500 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(p.timeToBegin(tt.model, tt.version, tt.limit, now), tt.want) })
	}
}
