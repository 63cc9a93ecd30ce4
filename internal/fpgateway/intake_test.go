package fpgateway

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
)

// TestStrayAnswerDoesNotMarkLeaving checks that only a replica's own answer to the request marks it, and only
// the start that the request was sent to.
func TestStrayAnswerDoesNotMarkLeaving(t *testing.T) {
	tests := map[string]struct {
		reply         Reply
		newConnection bool
		marked        bool
	}{
		"own answer":                        {reply: Reply{ID: "id", Leaving: true}, marked: true},
		"own answer that names the replica": {reply: Reply{ID: "id", Replica: "r1", Leaving: true}, marked: true},
		"no ID on a new connection":         {reply: Reply{Leaving: true}, newConnection: true, marked: true},
		"no ID on a kept connection":        {reply: Reply{Leaving: true}},
		"another request's ID":              {reply: Reply{ID: "other", Leaving: true}, newConnection: true},
		"another replica":                   {reply: Reply{ID: "id", Replica: "r2", Leaving: true, NotRun: true}},
		"stays":                             {reply: Reply{ID: "id"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := New(Settings{}.WithDefaults(), Dependencies{Clock: func() time.Duration { return time.Hour }, Log: fplog.NewQueue(&bytes.Buffer{})})
			q := &request{gateway: g, caller: CallerHeader{ID: "id"}}
			c := fpbalance.Choice{Replica: fpbalance.Replica{ID: "r1", StartUnixMilli: 1}}
			q.recordIntake(c, &fpconn.Response{NewConnection: tt.newConnection}, tt.reply)
			is.Equal(g.leaving("r1", 1), tt.marked)
			is.Equal(g.leaving("r1", 2), false)
			g.forgetReplica("r1")
			is.Equal(g.leaving("r1", 1), tt.marked)
		})
	}
}

// TestReturnIsSpread checks that callers that all replicas keep waiting come back at different times after the
// first pause has ended.
func TestReturnIsSpread(t *testing.T) {
	is := is.New(t)
	g := New(Settings{}.WithDefaults(), Dependencies{Clock: func() time.Duration { return time.Hour }, Log: fplog.NewQueue(&bytes.Buffer{})})
	q := &request{gateway: g, route: &fpcatalog.Route{}}
	const left = 8 * time.Second
	seen := make(map[time.Duration]bool)
	for range 100 {
		d := q.retryAfterChoice(fpbalance.Choice{PredictedWait: left}, fpbalance.ErrPaused)
		is.True(d >= left && d <= left+left/4)
		seen[d] = true
	}
	is.True(len(seen) > 50)
	is.Equal(q.retryAfterChoice(fpbalance.Choice{PredictedWait: math.MaxInt64}, fpbalance.ErrPaused), time.Duration(math.MaxInt64))
	is.Equal(q.retryAfterChoice(fpbalance.Choice{PredictedWait: time.Millisecond}, fpbalance.ErrPaused), minRetryAfter)
}

// TestRequestIsHeldBackAfterItsChoice checks that a request is not sent to a replica that has asked for a pause
// since it was chosen.
func TestRequestIsHeldBackAfterItsChoice(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	g := New(Settings{}.WithDefaults(), Dependencies{Clock: func() time.Duration { return now }, Log: fplog.NewQueue(&bytes.Buffer{})})
	q := &request{gateway: g, caller: CallerHeader{ID: "id"}}
	c := fpbalance.Choice{Replica: fpbalance.Replica{ID: "r1", StartUnixMilli: 1}}
	is.True(!q.dropChoice(c))
	is.NoErr(g.checkIntake(c.Replica))
	q.recordIntake(c, &fpconn.Response{}, Reply{ID: "other", Pause: time.Second}) // a stray answer
	is.True(!q.dropChoice(c))
	q.recordIntake(c, &fpconn.Response{}, Reply{ID: "id", Pause: time.Second})
	is.True(q.dropChoice(c))
	is.True(g.checkIntake(c.Replica) != nil)
	now += time.Second
	is.True(!q.dropChoice(c))
	is.NoErr(g.checkIntake(c.Replica))
}
