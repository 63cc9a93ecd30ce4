package fpbalance

import "time"

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
		recordedAt time.Duration
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

// intakeOf returns what a start of a replica said, which it creates if there is nothing.
func (b *Balancer) intakeOf(id string, startUnixMilli int64, now time.Duration) *intake {
	key := replicaStart{id: id, unixMilli: startUnixMilli}
	n := b.intakes[key]
	if n == nil {
		if len(b.intakes) >= maxIntakes {
			b.dropOldestIntake()
		}
		n = &intake{}
		b.intakes[key] = n
	}
	n.recordedAt = now
	return n
}

func (b *Balancer) dropOldestIntake() {
	var oldest replicaStart
	var found *intake
	for key, n := range b.intakes {
		if found == nil || n.recordedAt < found.recordedAt {
			oldest, found = key, n
		}
	}
	delete(b.intakes, oldest)
}
