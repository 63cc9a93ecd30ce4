package fpclaimant

import (
	"context"
	"sync"

	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
)

const (
	// Running is an attempt that may still be dispatched or is under way.
	Running State = iota + 1
	// Kept is an attempt whose result is kept.
	Kept
	// NeverDispatched is an attempt that ended before any byte left.
	NeverDispatched
	// Forgotten is an attempt that its host knows nothing of, or whose answer is lost.
	Forgotten
	// Unreachable is an attempt whose host gives no answer.
	Unreachable
)

type (
	// State is what a host knows of an attempt.
	State int

	// Result is what an attempt came to: an answer, or an outcome that is none.
	Result struct {
		Outcome     fpoutcome.Outcome
		Status      int
		ContentType string
		Body        []byte
		Upstream    string
	}

	// Entry is one non-idempotent request at this host.
	Entry struct {
		Key     fpclaim.Key
		Body    uint64
		Attempt string
		Ledger  *fpoutcome.Ledger
		done    chan struct{}
		result  Result
		sealed  bool
	}

	// Answers keeps the entries of non-idempotent requests, the oldest ended
	// ones dropped beyond its size; it is safe for concurrent use.
	Answers struct {
		mu      sync.Mutex
		size    int
		entries map[fpclaim.Key]*Entry
		ended   []*Entry
	}
)

// NewAnswers returns a table that keeps size ended entries.
func NewAnswers(size int) *Answers {
	return &Answers{size: size, entries: make(map[fpclaim.Key]*Entry)}
}

// Begin returns the entry of a request and whether it was begun by this call.
// A former attempt that was never dispatched is begun again under its ID, so
// that a claim of it that landed late serves the new one.
func (a *Answers) Begin(key fpclaim.Key, body uint64, attempt string) (*Entry, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e, ok := a.entries[key]; ok {
		if e.Body != body || e.state() != NeverDispatched {
			return e, false
		}
		if !e.sealed {
			attempt = e.Attempt
		}
	}
	e := &Entry{
		Key:     key,
		Body:    body,
		Attempt: attempt,
		Ledger:  fpoutcome.NewLedger(false),
		done:    make(chan struct{}),
	}
	a.entries[key] = e
	return e, true
}

// End keeps an entry's result and wakes those who joined it.
func (a *Answers) End(e *Entry, r Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e.result = r
	close(e.done)
	a.ended = append(a.ended, e)
	for len(a.ended) > a.size {
		old := a.ended[0]
		a.ended = a.ended[1:]
		if a.entries[old.Key] == old {
			delete(a.entries, old.Key)
		}
	}
}

// Knows reports whether the request may have been dispatched by this host, or may yet be.
func (a *Answers) Knows(key fpclaim.Key) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.entries[key]
	return ok && e.state() != NeverDispatched
}

// Find returns the entry of an attempt, or nil.
func (a *Answers) Find(key fpclaim.Key, attempt string) *Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.entries[key]
	if !ok || e.Attempt != attempt {
		return nil
	}
	return e
}

// Seal bars an attempt that was never dispatched and has ended from being
// begun again, so that its claim can be released; it reports whether it did.
func (a *Answers) Seal(e *Entry) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.entries[e.Key] != e || e.state() != NeverDispatched {
		return false
	}
	e.sealed = true
	return true
}

// Wait returns the entry's state once it has ended, or Running when the context ends first.
func (e *Entry) Wait(ctx context.Context) (State, Result) {
	select {
	case <-e.done:
		return e.state(), e.result
	case <-ctx.Done():
		return Running, Result{}
	}
}

func (e *Entry) state() State {
	select {
	case <-e.done:
	default:
		return Running
	}
	if e.Ledger.Dispatched() || e.result.Outcome.Kind() == fpoutcome.Complete {
		return Kept
	}
	return NeverDispatched
}
