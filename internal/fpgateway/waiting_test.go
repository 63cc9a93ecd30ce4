package fpgateway

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/internal/fplog"
	"github.com/fescuepoint/fescuepoint/pkg/fpbalance"
	"github.com/fescuepoint/fescuepoint/pkg/fpcatalog"
	"github.com/fescuepoint/fescuepoint/pkg/fpquarantine"
)

// TestCrashBeganWithSilence proves a crash under attempts that wait for an answer. It guards against the time of the proof
// standing for that of the crash: hosts that report one crash at different times take it for several.
func TestCrashBeganWithSilence(t *testing.T) {
	const sent = time.Second
	is := is.New(t)
	now := sent
	g := New(Settings{}.WithDefaults(), Dependencies{Clock: func() time.Duration { return now }, Log: fplog.NewQueue(&bytes.Buffer{})})
	for i, id := range []string{"a", "a", "b"} {
		q := &request{gateway: g, sentAt: sent + time.Duration(i)*time.Millisecond, choice: fpbalance.Choice{Replica: fpbalance.Replica{ID: id}}}
		g.recordConnection(id, q.sentAt)
		g.quarantine.unbegun[q] = nil
	}
	now = 5 * time.Second
	g.silences.Crash("a", now)
	waiting, since := g.waitingAttempts("a")
	is.Equal(len(waiting), 2)
	is.Equal(since, sent)
}

// TestTrialOpensConnection checks that a request with a suspected part is sent over a new connection. It guards against a host
// that is cut off from replicas, whose kept connections are all reset as they are used.
func TestTrialOpensConnection(t *testing.T) {
	is := is.New(t)
	g := New(Settings{}.WithDefaults(), Dependencies{Clock: func() time.Duration { return time.Second }, Log: fplog.NewQueue(&bytes.Buffer{})})
	q := &request{gateway: g, route: &fpcatalog.Route{Kind: fpcatalog.Idempotent}, quarantineIDs: []string{"request-a", "part"}}
	is.NoErr(q.chooseSuspects())
	is.Equal(q.maxIdle(), maxIdleRepeatable)
	g.quarantine.suspects = map[string]fpquarantine.Suspicion{"part": {Links: 2}}
	is.NoErr(q.chooseSuspects())
	is.Equal(q.maxIdle(), time.Duration(0))
}
