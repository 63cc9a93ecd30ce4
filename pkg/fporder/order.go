package fporder

import (
	"time"
)

const (
	// MaxLoading is the number of replicas that may load weights at once over the fleet.
	MaxLoading = 2
	// LeaseTTL is the time to live of the lease on giving orders.
	LeaseTTL = 6 * time.Second
	// RenewEvery is the pace of renewals.
	RenewEvery = 1500 * time.Millisecond
	// Deadline is the time after which an upstream must not act on an order.
	Deadline = 2 * time.Second
	// Settle is how long a new holder waits before its first order: what the
	// former holder sent has expired, and reports show what it started.
	Settle = Deadline + 1500*time.Millisecond
	// pendingFor is how long an order counts as loading before a report shows it.
	pendingFor = 4 * time.Second
)

type (
	// Replica is what the holder knows of a replica.
	Replica struct {
		Name      string
		Zone      string
		Model     string
		Weights   string
		Wanted    string
		Loading   bool
		Leaving   bool
		Reachable bool
	}

	// Lease is the right to give orders, as its holder sees it; times are of a
	// clock that counts suspension.
	Lease struct {
		Fencing  int64
		Acquired time.Duration
		Until    time.Duration
	}

	// Planner remembers orders that reports don't show yet. It is not safe for concurrent use.
	Planner struct {
		// AtOnce is the number of replicas that may load at once; zero means MaxLoading.
		AtOnce  int
		pending map[string]time.Duration
	}
)

// NewPlanner returns a planner that has given no order.
func NewPlanner() *Planner { return &Planner{pending: make(map[string]time.Duration)} }

// MayOrder reports whether the holder may send an order now: it has waited out
// its predecessor, and the order's deadline falls within the lease.
func (l Lease) MayOrder(now time.Duration) bool { return l.MayOrderWithin(now, Settle, Deadline) }

// MayOrderWithin is MayOrder for upstreams with other times: settle is how long a
// new holder waits, deadline how long its order may be under way.
func (l Lease) MayOrderWithin(now, settle, deadline time.Duration) bool {
	return l.Fencing > 0 && now-l.Acquired >= settle && now+deadline < l.Until
}

// Next returns the replicas to order to their wanted weights now, at most as
// many as may load at once together with those that load already.
func (p *Planner) Next(replicas []Replica, now time.Duration) []Replica {
	loading := p.loading(replicas, now)
	serving := make(map[string]int)
	declared := make(map[string]int)
	for _, r := range replicas {
		declared[r.Zone+"/"+r.Model]++
		if r.serves() && !p.isPending(r.Name, now) {
			serving[r.Zone+"/"+r.Model]++
		}
	}
	var out []Replica
	for _, r := range replicas {
		if loading >= p.atOnce() {
			break
		}
		if !r.Reachable || r.Loading || r.Leaving || r.Weights == r.Wanted || p.isPending(r.Name, now) {
			continue
		}
		service := r.Zone + "/" + r.Model
		if serving[service] < 2 && !p.elsewhere(replicas, r, declared[service], now) {
			continue
		}
		serving[service]--
		loading++
		p.pending[r.Name] = now
		out = append(out, r)
	}
	return out
}

// elsewhere reports whether the zone's only replica of a model may be taken
// because another zone serves the model meanwhile.
func (p *Planner) elsewhere(replicas []Replica, only Replica, declared int, now time.Duration) bool {
	if declared > 1 {
		return false
	}
	for _, r := range replicas {
		if r.Model == only.Model && r.Zone != only.Zone && r.serves() && !p.isPending(r.Name, now) {
			return true
		}
	}
	return false
}

func (p *Planner) loading(replicas []Replica, now time.Duration) int {
	n := 0
	for _, r := range replicas {
		switch {
		case r.Loading:
			delete(p.pending, r.Name)
			n++
		case r.Weights == r.Wanted:
			delete(p.pending, r.Name)
		case p.isPending(r.Name, now):
			n++
		}
	}
	return n
}

func (p *Planner) atOnce() int {
	if p.AtOnce > 0 {
		return p.AtOnce
	}
	return MaxLoading
}

func (p *Planner) isPending(name string, now time.Duration) bool {
	at, ok := p.pending[name]
	return ok && now-at < pendingFor
}

func (r Replica) serves() bool { return r.Reachable && !r.Loading && !r.Leaving }
