package fpclaimant

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
)

// TestBeginOfRepeatedRequest checks which attempt a repeated request is given,
// depending on how the attempt before it ended.
func TestBeginOfRepeatedRequest(t *testing.T) {
	tests := map[string]struct {
		prepare func(*Answers, *Entry)
		body    uint64
		begun   bool
		attempt string
	}{
		"running":          {func(*Answers, *Entry) {}, 1, false, "first"},
		"complete":         {func(a *Answers, e *Entry) { a.End(e, Result{Outcome: e.Ledger.Complete()}) }, 1, false, "first"},
		"never dispatched": {func(a *Answers, e *Entry) { a.End(e, Result{Outcome: e.Ledger.Refuse("", 0)}) }, 1, true, "first"},
		"other body":       {func(a *Answers, e *Entry) { a.End(e, Result{Outcome: e.Ledger.Refuse("", 0)}) }, 2, false, "first"},
		"sealed":           {endAndSeal, 1, true, "second"},
		"dispatched":       {dispatchAndEnd, 1, false, "first"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := NewAnswers(10)
			e, begun := a.Begin("k", 1, "first")
			is.True(begun)
			tt.prepare(a, e)
			e, begun = a.Begin("k", tt.body, "second")
			is.Equal(begun, tt.begun)
			is.Equal(e.Attempt, tt.attempt)
		})
	}
}

func endAndSeal(a *Answers, e *Entry) {
	a.End(e, Result{Outcome: e.Ledger.Refuse("", 0)})
	a.Seal(e)
}

func dispatchAndEnd(a *Answers, e *Entry) {
	e.Ledger.MarkDispatched()
	a.End(e, Result{Outcome: e.Ledger.Refuse("", 0)})
}

// TestSeal checks that only attempts that ended without being dispatched can be sealed.
func TestSeal(t *testing.T) {
	is := is.New(t)
	a := NewAnswers(10)
	running, _ := a.Begin("running", 1, "r")
	is.True(!a.Seal(running))
	dispatched, _ := a.Begin("dispatched", 1, "d")
	dispatchAndEnd(a, dispatched)
	is.True(!a.Seal(dispatched))
	undispatched, _ := a.Begin("undispatched", 1, "u")
	a.End(undispatched, Result{Outcome: undispatched.Ledger.Refuse("", 0)})
	is.True(a.Seal(undispatched))
	is.True(!a.MayHaveDispatched("undispatched"))
	is.True(a.MayHaveDispatched("dispatched"))
	is.True(a.MayHaveDispatched("running"))
}

// TestEndedEntriesAreBounded checks that ended entries beyond the size are evicted,
// which bounds memory.
func TestEndedEntriesAreBounded(t *testing.T) {
	is := is.New(t)
	a := NewAnswers(2)
	for _, k := range []fpclaim.Key{"a", "b", "c"} {
		e, _ := a.Begin(k, 1, string(k))
		dispatchAndEnd(a, e)
	}
	is.Equal(a.Find("a", "a"), nil)
	is.True(a.Find("c", "c") != nil)
}
