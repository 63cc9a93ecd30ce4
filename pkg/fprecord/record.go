package fprecord

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// Placed records the upstream that a request was sent to and why.
	Placed Kind = "Placed"
	// Refused records that a request was refused.
	Refused Kind = "Refused"
	// Retried records that another attempt was made.
	Retried Kind = "Retried"
	// Resumed records that an answer was resumed on the same upstream.
	Resumed Kind = "Resumed"
	// Continued records that an answer was continued on another upstream.
	Continued Kind = "Continued"
	// Claimed records the verdict on a claim.
	Claimed Kind = "Claimed"
	// Ended records a request's outcome.
	Ended Kind = "Ended"
	// Ordered records a control order sent to an upstream.
	Ordered Kind = "Ordered"
	// Configured records that a new configuration version took effect.
	Configured Kind = "Configured"
)

type (
	// Kind is the kind of a decision.
	Kind string

	// Figure is a named number that the decision was based on.
	Figure struct {
		Name  string
		Value float64
	}

	// Record describes one decision. Decisions not tied to a request carry a
	// synthetic RequestID, such as "config-" and the version.
	Record struct {
		At        time.Time
		Host      string
		RequestID string
		Kind      Kind
		Upstream  string `json:",omitempty"`
		Reason    string
		Figures   []Figure `json:",omitempty"`
	}

	// Ring keeps the latest records; it is safe for concurrent use.
	Ring struct {
		mu      sync.Mutex
		records []Record
		next    int
		full    bool
	}
)

// NewRing returns a ring of the given size, which must be positive.
func NewRing(size int) *Ring { return &Ring{records: make([]Record, size)} }

// Add stores a record and overwrites the oldest one when the ring is full.
func (r *Ring) Add(v Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[r.next] = v
	r.next++
	if r.next == len(r.records) {
		r.next = 0
		r.full = true
	}
}

// RecordsOf returns the stored records of a request, oldest first.
func (r *Ring) RecordsOf(requestID string) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Record
	appendMatches := func(records []Record) {
		for _, v := range records {
			if v.RequestID == requestID {
				out = append(out, v)
			}
		}
	}
	if r.full {
		appendMatches(r.records[r.next:])
	}
	appendMatches(r.records[:r.next])
	return out
}

// String formats the record as one line for an operator.
func (v Record) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", v.At.UTC().Format("15:04:05.000"), v.Host, v.Kind)
	if v.Upstream != "" {
		fmt.Fprintf(&b, " at %s", v.Upstream)
	}
	if v.Reason != "" {
		fmt.Fprintf(&b, ": %s", v.Reason)
	}
	for i, f := range v.Figures {
		sep := ", "
		if i == 0 {
			sep = " ("
		}
		fmt.Fprintf(&b, "%s%s %.4g", sep, f.Name, f.Value)
	}
	if len(v.Figures) > 0 {
		b.WriteByte(')')
	}
	return b.String()
}
