package fpbalance

import (
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
)

type (
	// replicaStart identifies one start of a replica.
	replicaStart struct {
		id        string
		unixMilli int64
	}

	// obstacles are why replicas can't take a request: the shortest waits for a share of a limit and for the
	// end of a pause, [fplimit.NoShare] for none, whether a replica fails, and whether there is another cause.
	obstacles struct {
		limitWait time.Duration
		pauseLeft time.Duration
		failing   bool
		other     bool
	}
)

// RecordLeaving records that a start of a replica, in Unix milliseconds, takes no new requests, and reports
// whether that was unknown.
func (b *Balancer) RecordLeaving(id string, startUnixMilli int64, now time.Duration) bool {
	return b.intakes.RecordLeaving(replicaStart{id: id, unixMilli: startUnixMilli}, now)
}

// Leaving reports whether a start of a replica, in Unix milliseconds, has said that it takes no new requests.
func (b *Balancer) Leaving(id string, startUnixMilli int64) bool {
	return b.intakes.Leaving(replicaStart{id: id, unixMilli: startUnixMilli})
}

// RecordPause records that a start of a replica, in Unix milliseconds, wants no requests for a time from now,
// and reports whether it took some until now.
func (b *Balancer) RecordPause(id string, startUnixMilli int64, d, now time.Duration) bool {
	return b.intakes.RecordPause(replicaStart{id: id, unixMilli: startUnixMilli}, d, now)
}

// MaySend reports whether a replica neither leaves nor pauses.
func (b *Balancer) MaySend(r Replica, now time.Duration) bool {
	return b.intakes.MaySend(r.start(), now)
}

// PauseLeft returns for how long a replica wants no requests.
func (b *Balancer) PauseLeft(r Replica, now time.Duration) time.Duration {
	return b.intakes.PauseLeft(r.start(), now)
}

func (r Replica) start() replicaStart { return replicaStart{id: r.ID, unixMilli: r.StartUnixMilli} }

// obstructed reports whether a replica can't take a request, and adds the cause to o.
func (b *Balancer) obstructed(r Replica, q Request, now time.Duration, o *obstacles) bool {
	if b.intakes.Leaving(r.start()) {
		return true
	}
	if left := b.PauseLeft(r, now); left > 0 {
		o.pauseLeft = min(o.pauseLeft, left)
		return true
	}
	if r.Loading || slices.Contains(q.ExcludedReplicas, r.ID) {
		o.other = true
		return true
	}
	if !b.Reachable(r.ID, now) {
		o.failing = true
		return true
	}
	if b.full(r) {
		o.limitWait = min(o.limitWait, fplimit.ProbeInterval)
		return true
	}
	if wait := b.loadOf(r.ID).limitWait(now); wait > q.maxLimitWait() {
		o.limitWait = min(o.limitWait, wait, fplimit.ProbeInterval)
		return true
	}
	return false
}

// choice returns the choice of no replica, with the time until one is free if that is known.
func (o obstacles) choice() (Choice, error) {
	c := Choice{Score: -1, PredictedWait: min(o.limitWait, o.pauseLeft)}
	if o.failing {
		c.PredictedWait = min(c.PredictedWait, fplimit.ProbeInterval)
	}
	switch {
	case o.limitWait < fplimit.NoShare:
		return c, ErrLimited
	case o.pauseLeft < fplimit.NoShare && !o.other:
		return c, ErrPaused
	default:
		return Choice{Score: -1}, ErrNoReplica
	}
}

// RecordLimit records the limit that a replica names, in requests a second of all hosts together, and
// this host's share of it. It reports whether it is another limit than before.
func (b *Balancer) RecordLimit(id string, rate, share float64, now time.Duration) bool {
	l := b.loadOf(id)
	changed := !l.limit.named || l.limit.rate != rate
	l.limit.named, l.limit.rate, l.limit.namedAt = true, rate, now
	l.limit.pace.SetShare(share, now)
	return changed
}

// RecordNoLimit records an answer that names no limit to a request sent at a time. It reports whether
// that ends a limit: one that was named after the request was sent holds on.
func (b *Balancer) RecordNoLimit(id string, sentAt time.Duration) bool {
	l := b.loadOf(id)
	if !l.limit.named || l.limit.namedAt >= sentAt {
		return false
	}
	l.limit = namedLimit{}
	return true
}

// RecordBrittle records that the replicas of a service fall over when they have to reject many requests for want of
// room: each of the given number of hosts has an equal part of a replica's slots, and at least one.
func (b *Balancer) RecordBrittle(service string, hosts int) { b.brittle[service] = max(hosts, 1) }

// RecordSturdy records that the replicas of a service do not say that they are brittle.
func (b *Balancer) RecordSturdy(service string) { delete(b.brittle, service) }

// full reports whether this host has its part of a brittle replica's slots in use.
func (b *Balancer) full(r Replica) bool {
	hosts := b.brittle[r.Service]
	return hosts > 0 && b.loadOf(r.ID).ownRequests >= max(r.Slots/hosts, 1)
}

// LimitedReplicas returns the number of replicas that name a limit.
func (b *Balancer) LimitedReplicas() int {
	n := 0
	for _, l := range b.loads {
		if l.limit.named {
			n++
		}
	}
	return n
}
