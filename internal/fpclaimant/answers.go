package fpclaimant

import (
	"context"
	"sync"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fpclaim"
	"github.com/fescuepoint/fescuepoint/pkg/fpoutcome"
)

const (
	// Running is an attempt that may still be dispatched or is in progress.
	Running State = iota + 1
	// Kept is an attempt that was dispatched or completed and whose result is stored.
	Kept
	// NeverDispatched is an attempt that ended before a byte was sent to an upstream.
	NeverDispatched
	// ResultUnknown is an attempt that its host has no record of, or whose answer is lost.
	ResultUnknown
	// Unreachable is an attempt whose host does not respond, or whose claim could
	// not be released.
	Unreachable
)

type (
	// State is the state of an attempt as reported by its host.
	State int

	// Result is the result of an attempt: its outcome and, if there is one, its answer.
	Result struct {
		Outcome     fpoutcome.Outcome
		Status      int
		ContentType string
		Body        []byte
		Upstream    string
	}

	// Entry is one attempt of a non-idempotent request at this host.
	Entry struct {
		Key     fpclaim.Key
		Body    uint64
		Attempt string
		Ledger  *fpoutcome.Ledger
		done    chan struct{}
		result  Result
		endedAt time.Time
		sealed  bool
	}

	// AttemptTable stores the latest entry of each non-idempotent request and evicts
	// the oldest ended entries beyond its size; it is safe for concurrent use.
	AttemptTable struct {
		mu       sync.Mutex
		maxEnded int
		maxBytes int
		entries  map[fpclaim.Key]*Entry
		ended    []*Entry
		// endedBytes is the size of the answers of the ended entries.
		endedBytes int
		// forgottenAt is the latest end of a dispatched attempt that was evicted.
		forgottenAt time.Time
	}
)

// NewAttemptTable returns a table that stores at most size ended entries, with answers of the given bytes in all.
func NewAttemptTable(size, bytes int) *AttemptTable {
	return &AttemptTable{maxEnded: size, maxBytes: bytes, entries: make(map[fpclaim.Key]*Entry)}
}

// BeginAttempt returns the entry of a request and whether this call began it. If an
// earlier attempt was never dispatched, its ID is used again unless the attempt
// is sealed, so that a claim of it that is written late applies to the new attempt.
func (a *AttemptTable) BeginAttempt(key fpclaim.Key, body uint64, attempt string) (*Entry, bool) {
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

// EndAttempt stores an entry's result and unblocks the callers of Wait.
func (a *AttemptTable) EndAttempt(e *Entry, r Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e.result, e.endedAt = r, time.Now()
	close(e.done)
	a.ended = append(a.ended, e)
	a.endedBytes += len(r.Body)
	for len(a.ended) > a.maxEnded || a.endedBytes > a.maxBytes {
		oldest := a.ended[0]
		a.ended = a.ended[1:]
		a.endedBytes -= len(oldest.result.Body)
		if a.entries[oldest.Key] == oldest {
			delete(a.entries, oldest.Key)
			if oldest.state() != NeverDispatched {
				a.forgottenAt = oldest.endedAt
			}
		}
	}
}

// MayHaveDispatched reports whether this host may have dispatched the request, or
// may still do so.
func (a *AttemptTable) MayHaveDispatched(key fpclaim.Key) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.entries[key]
	return ok && e.state() != NeverDispatched
}

// HasForgotten reports whether an attempt that may have been dispatched, and that ended at most d ago,
// was evicted.
func (a *AttemptTable) HasForgotten(d time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.forgottenAt.IsZero() && time.Since(a.forgottenAt) <= d
}

// Find returns the entry of an attempt, or nil.
func (a *AttemptTable) Find(key fpclaim.Key, attempt string) *Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.entries[key]
	if !ok || e.Attempt != attempt {
		return nil
	}
	return e
}

// Seal prevents BeginAttempt from using the attempt's ID again, so that its claim
// can be released. It reports false, and changes nothing, unless the attempt is its
// request's latest and ended without being dispatched.
func (a *AttemptTable) Seal(e *Entry) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.entries[e.Key] != e || e.state() != NeverDispatched {
		return false
	}
	e.sealed = true
	return true
}

// Wait returns the entry's state and result once it has ended, or Running when
// the context ends first.
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
