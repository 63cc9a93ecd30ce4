package fpoutcome

import (
	"sync"
	"time"
)

const (
	// Complete means that the complete answer was delivered.
	Complete Kind = iota + 1
	// NotRun means that no byte of the request ever reached an upstream.
	NotRun
	// Unknown means that a non-idempotent request may have run: a retry could run it twice.
	Unknown
	// Failed means that an idempotent request was dispatched but produced no complete answer.
	Failed
)

type (
	// Kind is one of the four outcomes of a request.
	Kind int

	// Outcome is the immutable result of one request; its zero value is invalid.
	Outcome struct {
		kind       Kind
		reason     string
		retryAfter time.Duration
	}

	// Ledger tracks whether any attempt of one request may have reached an
	// upstream; its zero value is a non-idempotent request that was never dispatched.
	Ledger struct {
		mu         sync.Mutex
		dispatched bool
		idempotent bool
	}
)

// NewLedger returns the ledger of a request that has not been dispatched.
func NewLedger(idempotent bool) *Ledger {
	return &Ledger{idempotent: idempotent}
}

// MarkDispatched records that bytes may have been sent to an upstream; call it
// before the first write.
func (l *Ledger) MarkDispatched() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatched = true
}

// MarkClaimedElsewhere records that another host holds the request's claim and may have dispatched
// it.
func (l *Ledger) MarkClaimedElsewhere() {
	l.MarkDispatched()
}

// Dispatched reports whether a byte of the request may have reached an upstream.
func (l *Ledger) Dispatched() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dispatched
}

// CompleteOutcome returns the outcome of a request whose complete answer was delivered.
func (l *Ledger) CompleteOutcome() Outcome {
	return Outcome{kind: Complete}
}

// IncompleteOutcome returns the outcome of a request without a complete answer: NotRun when
// nothing was dispatched, Failed when an idempotent request was, and Unknown
// otherwise. retryAfter is a hint to the caller.
func (l *Ledger) IncompleteOutcome(reason string, retryAfter time.Duration) Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	kind := NotRun
	switch {
	case l.dispatched && l.idempotent:
		kind = Failed
	case l.dispatched:
		kind = Unknown
	}
	return Outcome{kind: kind, reason: reason, retryAfter: retryAfter}
}

// Kind returns the kind of the outcome.
func (o Outcome) Kind() Kind { return o.kind }

// Reason returns why the request did not complete, or the empty string.
func (o Outcome) Reason() string { return o.reason }

// RetryAfter returns the suggested delay before a retry, or zero.
func (o Outcome) RetryAfter() time.Duration { return o.retryAfter }

// String returns the name of the kind as used in answers and logs.
func (k Kind) String() string {
	switch k {
	case Complete:
		return "Complete"
	case NotRun:
		return "NotRun"
	case Unknown:
		return "Unknown"
	case Failed:
		return "Failed"
	default:
		return "Invalid"
	}
}
