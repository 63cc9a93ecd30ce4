package fporder

import (
	"time"
)

const (
	// DefaultMaxLoading is the default limit on replicas in the fleet that load weights at once.
	DefaultMaxLoading = 2
	// LeaseTTL is the time to live of the lease that gives the right to send orders.
	LeaseTTL = 6 * time.Second
	// RenewInterval is the interval between renewals of the lease.
	RenewInterval = 1500 * time.Millisecond
	// OrderTimeout is the time from sending an order after which an upstream must not act on it.
	OrderTimeout = 2 * time.Second
	// TakeoverDelay is how long a new lease holder waits before its first order. By then the former
	// holder's orders have expired, and reports show the loads that they started.
	TakeoverDelay = OrderTimeout + 1500*time.Millisecond
	// pendingTimeout is how long a sent order counts as a load that no report shows yet.
	pendingTimeout = 4 * time.Second
)

type (
	// Replica is the state of a replica as the lease holder knows it.
	Replica struct {
		Name          string
		Zone          string
		Model         string
		Weights       string
		WantedWeights string
		Loading       bool
		Leaving       bool
		Reachable     bool
		// Outdated says that the weights may no longer be used, so that the replica serves nothing until it
		// has loaded others.
		Outdated bool
	}

	// Lease is the right to send orders, as its holder sees it. Its times come from a clock that
	// keeps running while the machine is suspended.
	Lease struct {
		FencingToken int64
		AcquiredAt   time.Duration
		ExpiresAt    time.Duration
	}

	// Planner selects the replicas to order and keeps track of orders that no report shows yet. It is
	// not safe for concurrent use.
	Planner struct {
		// MaxLoading limits the replicas that load at once; zero means DefaultMaxLoading.
		MaxLoading int
		pending    map[string]time.Duration
	}
)

// NewPlanner returns a planner without pending orders.
func NewPlanner() *Planner { return &Planner{pending: make(map[string]time.Duration)} }

// MayOrder reports whether the holder may send an order now: the orders of the former holder have
// expired, and the deadline of the new order falls within the lease.
func (l Lease) MayOrder(now time.Duration) bool {
	return l.MayOrderWithin(now, TakeoverDelay, OrderTimeout)
}

// MayOrderWithin is MayOrder for upstreams with other times: takeoverDelay is how long a new holder
// waits before its first order, and orderTimeout how long after sending an upstream may act on it.
func (l Lease) MayOrderWithin(now, takeoverDelay, orderTimeout time.Duration) bool {
	return l.FencingToken > 0 && now-l.AcquiredAt >= takeoverDelay && now+orderTimeout < l.ExpiresAt
}

// NextOrders returns the replicas to send an order to now and records these orders as pending.
// Together with the replicas that load already they are at most as many as may load at once, and a
// zone keeps a serving replica of each model unless another zone serves the model while its only
// replica loads. Outdated replicas load regardless of these limits, since nothing is lost meanwhile.
func (p *Planner) NextOrders(replicas []Replica, now time.Duration) []Replica {
	loading := p.countLoading(replicas, now)
	serving := make(map[string]int)
	declared := make(map[string]int)
	for _, r := range replicas {
		declared[r.Zone+"/"+r.Model]++
		if r.isServing() && !p.isPending(r.Name, now) {
			serving[r.Zone+"/"+r.Model]++
		}
	}
	var out []Replica
	for _, r := range replicas {
		if loading >= p.maxLoading() && !r.Outdated {
			continue
		}
		if !r.Reachable || r.Loading || r.Leaving || r.Weights == r.WantedWeights || p.isPending(r.Name, now) {
			continue
		}
		zoneModel := r.Zone + "/" + r.Model
		if !r.Outdated && serving[zoneModel] < 2 && !p.servedInOtherZone(replicas, r, declared[zoneModel], now) {
			continue
		}
		if !r.Outdated {
			serving[zoneModel]--
		}
		loading++
		p.pending[r.Name] = now
		out = append(out, r)
	}
	return out
}

// servedInOtherZone reports whether the only replica that a zone has of a model may stop serving,
// because another zone serves the model meanwhile.
func (p *Planner) servedInOtherZone(replicas []Replica, only Replica, declared int, now time.Duration) bool {
	if declared > 1 {
		return false
	}
	for _, r := range replicas {
		if r.Model == only.Model && r.Zone != only.Zone && r.isServing() && !p.isPending(r.Name, now) {
			return true
		}
	}
	return false
}

// countLoading returns the number of replicas that load weights or have a pending order, and drops
// the pending orders of replicas that report loading or the wanted weights.
func (p *Planner) countLoading(replicas []Replica, now time.Duration) int {
	n := 0
	for _, r := range replicas {
		switch {
		case r.Loading:
			delete(p.pending, r.Name)
			n++
		case r.Weights == r.WantedWeights:
			delete(p.pending, r.Name)
		case p.isPending(r.Name, now):
			n++
		}
	}
	return n
}

func (p *Planner) maxLoading() int {
	if p.MaxLoading > 0 {
		return p.MaxLoading
	}
	return DefaultMaxLoading
}

func (p *Planner) isPending(name string, now time.Duration) bool {
	at, ok := p.pending[name]
	return ok && now-at < pendingTimeout
}

func (r Replica) isServing() bool { return r.Reachable && !r.Loading && !r.Leaving && !r.Outdated }
