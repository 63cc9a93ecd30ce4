package fpconn

import "sync/atomic"

// unreservedBytes is what each reservation may hold without taking it from the budget, so that short
// responses are read even while long ones have used the budget up.
const unreservedBytes = 64 << 10

type (
	// Budget bounds the memory of all long responses that are held at one time. It is safe for
	// concurrent use.
	Budget struct {
		limit int64
		used  atomic.Int64
	}

	// Reservation is the part of a budget that one user holds. A nil reservation has no limit.
	Reservation struct {
		budget *Budget
		held   int64
	}
)

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// NewReservation returns an empty reservation, which its user must release.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b} }

// Grow adds n bytes to the reservation and reports whether the budget allows it.
func (r *Reservation) Grow(n int64) bool {
	if r == nil {
		return true
	}
	taken := max(r.held+n-unreservedBytes, 0) - max(r.held-unreservedBytes, 0)
	if taken > 0 && r.budget.used.Add(taken) > r.budget.limit {
		r.budget.used.Add(-taken)
		return false
	}
	r.held += n
	return true
}

// Release returns all that the reservation holds to the budget.
func (r *Reservation) Release() {
	r.budget.used.Add(-max(r.held-unreservedBytes, 0))
	r.held = 0
}
