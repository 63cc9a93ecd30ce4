package fpclaimant

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
)

// TestBegin shows what a repeat finds, by what became of the attempt before it.
func TestBegin(t *testing.T) {
	tests := map[string]struct {
		before  func(*Answers, *Entry)
		body    uint64
		begun   bool
		attempt string
	}{
		"running":            {func(*Answers, *Entry) {}, 1, false, "first"},
		"complete":           {func(a *Answers, e *Entry) { a.End(e, Result{Outcome: e.Ledger.Complete()}) }, 1, false, "first"},
		"never dispatched":   {func(a *Answers, e *Entry) { a.End(e, Result{Outcome: e.Ledger.Refuse("", 0)}) }, 1, true, "first"},
		"other body":         {func(a *Answers, e *Entry) { a.End(e, Result{Outcome: e.Ledger.Refuse("", 0)}) }, 2, false, "first"},
		"released for good":  {release, 1, true, "second"},
		"dispatched and cut": {dispatchAndCut, 1, false, "first"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := NewAnswers(10)
			e, begun := a.Begin("k", 1, "first")
			is.True(begun)
			tt.before(a, e)
			e, begun = a.Begin("k", tt.body, "second")
			is.Equal(begun, tt.begun)
			is.Equal(e.Attempt, tt.attempt)
		})
	}
}

func release(a *Answers, e *Entry) {
	a.End(e, Result{Outcome: e.Ledger.Refuse("", 0)})
	a.Seal(e)
}

func dispatchAndCut(a *Answers, e *Entry) {
	e.Ledger.MarkDispatched()
	a.End(e, Result{Outcome: e.Ledger.Refuse("", 0)})
}

// TestSeal bars only attempts that ended without being dispatched.
func TestSeal(t *testing.T) {
	is := is.New(t)
	a := NewAnswers(10)
	running, _ := a.Begin("running", 1, "r")
	is.True(!a.Seal(running))
	cut, _ := a.Begin("cut", 1, "c")
	dispatchAndCut(a, cut)
	is.True(!a.Seal(cut))
	free, _ := a.Begin("free", 1, "f")
	a.End(free, Result{Outcome: free.Ledger.Refuse("", 0)})
	is.True(a.Seal(free))
	is.True(!a.Knows("free"))
	is.True(a.Knows("cut"))
	is.True(a.Knows("running"))
}

// TestBound keeps memory bounded: ended entries beyond the size are dropped.
func TestBound(t *testing.T) {
	is := is.New(t)
	a := NewAnswers(2)
	for _, k := range []fpclaim.Key{"a", "b", "c"} {
		e, _ := a.Begin(k, 1, string(k))
		dispatchAndCut(a, e)
	}
	is.Equal(a.Find("a", "a"), nil)
	is.True(a.Find("c", "c") != nil)
}
