package fpbudget

import "sync"

const (
	// Request is the class of what callers send.
	Request Class = iota
	// Peer is the class of what others than callers send.
	Peer
	// Answer is the class of what upstreams answer to callers.
	Answer
	// Control is the class of what the host itself reads: feeds and reports.
	Control
)

const (
	// smallBytes is what a reservation may hold to count as small.
	smallBytes = 64 << 10
	// lowShare is the share of the budget above which shares are taken back.
	lowShare = 0.45
)

// shares holds for each class which share of the budget may be in use after a small reservation has grown, and after a
// large one has, and which share the class itself may hold when a large one has grown. All that requests may hold leaves
// room for long answers, which replicas have worked for.
var shares = [...]struct{ small, large, own float64 }{
	Request: {small: 0.6, large: 0.45, own: 1},
	Peer:    {small: 0.65, large: 0.45, own: 1},
	Answer:  {small: 0.92, large: 0.88, own: 0.45},
	Control: {small: 1, large: 1, own: 1},
}

type (
	// Class is what a reservation is for. The classes leave room for each other: bytes that long requests can't have are
	// left to short ones, then to answers, and the last ones to the host itself.
	Class int

	// Budget bounds the bytes of all reservations. It is safe for concurrent use.
	Budget struct {
		limit int64
		mu    sync.Mutex
		used  int64
		// usedBy holds the part of used that is each class's.
		usedBy [len(shares)]int64
	}

	// Reservation is the part of a budget that one user holds. A nil reservation has no limit. It is safe for concurrent
	// use.
	Reservation struct {
		budget  *Budget
		class   Class
		held    int64
		revoked bool
	}
)

// New returns a budget of the given number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the bytes of the budget.
func (b *Budget) Limit() int64 { return b.limit }

// LongRequests returns the bytes that long requests may hold.
func (b *Budget) LongRequests() int64 { return int64(shares[Request].large * float64(b.limit)) }

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Excess returns the bytes by which n more would exceed what may be in use before shares are taken back, 0 if they don't.
func (b *Budget) Excess(n int64) int64 {
	return max(b.Used()+n-int64(lowShare*float64(b.limit)), 0)
}

// Reserve returns an empty reservation, which its user must release.
func (b *Budget) Reserve(c Class) *Reservation { return &Reservation{budget: b, class: c} }

// Grow adds n bytes to the reservation and reports whether the budget allows it.
func (r *Reservation) Grow(n int64) bool {
	if r == nil {
		return true
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.revoked || !b.allows(r.class, n, r.held+n <= smallBytes) {
		return false
	}
	b.used += n
	b.usedBy[r.class] += n
	r.held += n
	return true
}

// allows reports whether a reservation of a class may take n more bytes. The mutex must be held.
func (b *Budget) allows(c Class, n int64, small bool) bool {
	limit := func(share float64) int64 { return int64(share * float64(b.limit)) }
	if small {
		return b.used+n <= limit(shares[c].small)
	}
	return b.used+n <= limit(shares[c].large) && b.usedBy[c]+n <= limit(shares[c].own)
}

// Held returns the bytes that the reservation holds.
func (r *Reservation) Held() int64 {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.held
}

// Release returns all that the reservation holds to the budget.
func (r *Reservation) Release() { r.release(false) }

// Revoke returns all that the reservation holds to the budget, and lets it grow no more: its user is about to end.
func (r *Reservation) Revoke() { r.release(true) }

func (r *Reservation) release(revoke bool) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= r.held
	b.usedBy[r.class] -= r.held
	r.held = 0
	r.revoked = r.revoked || revoke
}
