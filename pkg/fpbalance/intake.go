package fpbalance

import (
	"maps"
	"slices"
	"time"

	"github.com/fescuepoint/fescuepoint/pkg/fplimit"
)

// maxIntakes bounds the starts of replicas of which a balancer remembers what they said of new requests.
const maxIntakes = 4096

type (
	// replicaStart identifies one start of a replica.
	replicaStart struct {
		id        string
		unixMilli int64
	}

	// intake is what a replica said of the requests that it takes; it holds until the replica starts anew.
	intake struct {
		leaving    bool
		pause      fplimit.Pause
		recordedAt time.Duration
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
	n := b.intakeOf(id, startUnixMilli, now)
	if n.leaving {
		return false
	}
	n.leaving = true
	return true
}

// Leaving reports whether a start of a replica, in Unix milliseconds, has said that it takes no new requests.
func (b *Balancer) Leaving(id string, startUnixMilli int64) bool {
	n := b.intakes[replicaStart{id: id, unixMilli: startUnixMilli}]
	return n != nil && n.leaving
}

// RecordPause records that a start of a replica, in Unix milliseconds, wants no requests for a time from now,
// and reports whether it may take some until now.
func (b *Balancer) RecordPause(id string, startUnixMilli int64, d, now time.Duration) bool {
	n := b.intakeOf(id, startUnixMilli, now)
	began := n.pause.Left(now) == 0
	n.pause = n.pause.WithDelay(d, now)
	return began
}

// PauseLeft returns for how long a start of a replica, in Unix milliseconds, wants no requests.
func (b *Balancer) PauseLeft(id string, startUnixMilli int64, now time.Duration) time.Duration {
	if n := b.intakes[replicaStart{id: id, unixMilli: startUnixMilli}]; n != nil {
		return n.pause.Left(now)
	}
	return 0
}

// MaySend reports whether a replica neither leaves nor pauses.
func (b *Balancer) MaySend(r Replica, now time.Duration) bool {
	return !b.Leaving(r.ID, r.StartUnixMilli) && b.PauseLeft(r.ID, r.StartUnixMilli, now) == 0
}

// obstructed reports whether a replica can't take a request, and adds the cause to o.
func (b *Balancer) obstructed(r Replica, q Request, now time.Duration, o *obstacles) bool {
	if b.Leaving(r.ID, r.StartUnixMilli) {
		return true
	}
	if left := b.PauseLeft(r.ID, r.StartUnixMilli, now); left > 0 {
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

// intakeOf returns what a start of a replica said, which it creates if there is nothing.
func (b *Balancer) intakeOf(id string, startUnixMilli int64, now time.Duration) *intake {
	key := replicaStart{id: id, unixMilli: startUnixMilli}
	n := b.intakes[key]
	if n == nil {
		if len(b.intakes) >= maxIntakes {
			b.dropOldestIntake(now)
		}
		n = &intake{}
		b.intakes[key] = n
	}
	n.recordedAt = now
	return n
}

// dropOldestIntake drops what says nothing any longer, or else the oldest.
func (b *Balancer) dropOldestIntake(now time.Duration) {
	maps.DeleteFunc(b.intakes, func(_ replicaStart, n *intake) bool { return !n.leaving && n.pause.Left(now) == 0 })
	if len(b.intakes) < maxIntakes {
		return
	}
	var oldest replicaStart
	var found *intake
	for key, n := range b.intakes {
		if found == nil || n.recordedAt < found.recordedAt {
			oldest, found = key, n
		}
	}
	delete(b.intakes, oldest)
}
