package fpoutcome

import (
	"sync"
	"time"
)

const (
	// Complete means that the whole answer was delivered.
	Complete Kind = iota + 1
	// NotRun means that no byte of the request ever reached an upstream.
	NotRun
	// Unknown means that the request may have run and must not be repeated blindly.
	Unknown
	// Failed means that an idempotent request was tried and gave no whole answer.
	Failed
)

type (
	// Kind names one of the four results of a request.
	Kind int

	// Outcome is the immutable result of one request; its zero value is invalid.
	Outcome struct {
		kind       Kind
		reason     string
		retryAfter time.Duration
	}

	// Ledger remembers whether any attempt of one request may have reached an
	// upstream; its zero value is a request that was never dispatched.
	Ledger struct {
		mu         sync.Mutex
		dispatched bool
		idempotent bool
	}
)

// NewLedger returns the ledger of a request that was not dispatched yet.
func NewLedger(idempotent bool) *Ledger {
	return &Ledger{idempotent: idempotent}
}

// MarkDispatched records that a byte may leave for an upstream; call it before the first write.
func (l *Ledger) MarkDispatched() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatched = true
}

// MarkElsewhere records that another host holds the request's claim and may have dispatched it.
func (l *Ledger) MarkElsewhere() {
	l.MarkDispatched()
}

// Dispatched reports whether a byte of the request may have reached an upstream.
func (l *Ledger) Dispatched() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dispatched
}

// Complete returns the outcome of a request whose whole answer was delivered.
func (l *Ledger) Complete() Outcome {
	return Outcome{kind: Complete}
}

// Refuse returns NotRun when nothing was dispatched, Failed when an idempotent
// request was, and Unknown otherwise; retryAfter is a hint to the caller.
func (l *Ledger) Refuse(reason string, retryAfter time.Duration) Outcome {
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

// Kind returns which of the four results this is.
func (o Outcome) Kind() Kind { return o.kind }

// Reason returns why the request did not complete, or the empty string.
func (o Outcome) Reason() string { return o.reason }

// RetryAfter returns the time after which a repeat is worth trying, or zero.
func (o Outcome) RetryAfter() time.Duration { return o.retryAfter }

// String returns the name of the kind as it stands in answers and logs.
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
