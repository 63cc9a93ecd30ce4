package fpclaimant

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
)

// TestBeginAttemptOfRepeatedRequest checks which attempt a repeated request is given,
// depending on how the attempt before it ended.
func TestBeginAttemptOfRepeatedRequest(t *testing.T) {
	tests := map[string]struct {
		prepare func(*AttemptTable, *Entry)
		body    uint64
		begun   bool
		attempt string
	}{
		"running":          {func(*AttemptTable, *Entry) {}, 1, false, "first"},
		"complete":         {func(a *AttemptTable, e *Entry) { a.EndAttempt(e, Result{Outcome: e.Ledger.CompleteOutcome()}) }, 1, false, "first"},
		"never dispatched": {func(a *AttemptTable, e *Entry) { a.EndAttempt(e, Result{Outcome: e.Ledger.IncompleteOutcome("", 0)}) }, 1, true, "first"},
		"other body":       {func(a *AttemptTable, e *Entry) { a.EndAttempt(e, Result{Outcome: e.Ledger.IncompleteOutcome("", 0)}) }, 2, false, "first"},
		"sealed":           {endAndSeal, 1, true, "second"},
		"dispatched":       {dispatchAndEnd, 1, false, "first"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := NewAttemptTable(10, 1<<20)
			e, begun := a.BeginAttempt("k", 1, "first")
			is.True(begun)
			tt.prepare(a, e)
			e, begun = a.BeginAttempt("k", tt.body, "second")
			is.Equal(begun, tt.begun)
			is.Equal(e.Attempt, tt.attempt)
		})
	}
}

func endAndSeal(a *AttemptTable, e *Entry) {
	a.EndAttempt(e, Result{Outcome: e.Ledger.IncompleteOutcome("", 0)})
	a.Seal(e)
}

func dispatchAndEnd(a *AttemptTable, e *Entry) {
	e.Ledger.MarkDispatched()
	a.EndAttempt(e, Result{Outcome: e.Ledger.IncompleteOutcome("", 0)})
}

// TestSeal checks that only attempts that ended without being dispatched can be sealed.
func TestSeal(t *testing.T) {
	is := is.New(t)
	a := NewAttemptTable(10, 1<<20)
	running, _ := a.BeginAttempt("running", 1, "r")
	is.True(!a.Seal(running))
	dispatched, _ := a.BeginAttempt("dispatched", 1, "d")
	dispatchAndEnd(a, dispatched)
	is.True(!a.Seal(dispatched))
	undispatched, _ := a.BeginAttempt("undispatched", 1, "u")
	a.EndAttempt(undispatched, Result{Outcome: undispatched.Ledger.IncompleteOutcome("", 0)})
	is.True(a.Seal(undispatched))
	is.True(!a.MayHaveDispatched("undispatched"))
	is.True(a.MayHaveDispatched("dispatched"))
	is.True(a.MayHaveDispatched("running"))
}

// TestKeptAnswersAreBounded checks that the oldest answers are evicted beyond the bytes that all may take, and that those
// are missed as forgotten ones.
func TestKeptAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	a := NewAttemptTable(100, 1000)
	for _, k := range []fpclaim.Key{"a", "b", "c"} {
		e, _ := a.BeginAttempt(k, 1, string(k))
		e.Ledger.MarkDispatched()
		a.EndAttempt(e, Result{Body: make([]byte, 400)})
	}
	is.Equal(a.Find("a", "a"), nil)
	is.True(a.Find("b", "b") != nil)
	is.True(a.Find("c", "c") != nil)
	is.True(a.HasForgotten(time.Minute))
}

// TestEndedEntriesAreBounded checks that ended entries beyond the size are evicted,
// which bounds memory.
func TestEndedEntriesAreBounded(t *testing.T) {
	is := is.New(t)
	a := NewAttemptTable(2, 1<<20)
	for _, k := range []fpclaim.Key{"a", "b", "c"} {
		e, _ := a.BeginAttempt(k, 1, string(k))
		dispatchAndEnd(a, e)
	}
	is.Equal(a.Find("a", "a"), nil)
	is.True(a.Find("c", "c") != nil)
}
