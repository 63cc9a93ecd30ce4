package fpgateway

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fpconn"
	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
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
