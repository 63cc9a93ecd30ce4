package fpquarantine

import "time"

const (
	// maxTrialTime is how long a trial keeps others from its replica and from the same parts at most: a
	// request that has run for so long without a crash proves little by running on.
	maxTrialTime = 700 * time.Millisecond
)

type (
	// Trials holds which suspected parts and requests are on trial: sent to a replica with no other suspected
	// one there, so that a crash or an answer tells which it is. The zero value has none. It is not safe for
	// concurrent use.
	Trials struct {
		// parts and replicas hold when a trial ends at the latest, by the IDs of its parts and by its replica.
		parts    map[string]time.Duration
		replicas map[string]time.Duration
	}
)

// Allowed reports whether a request with the given suspected parts may be sent: none of them is on trial.
func (t *Trials) Allowed(suspects []string, now time.Duration) bool {
	for _, id := range suspects {
		if now < t.parts[id] {
			return false
		}
	}
	return true
}

// Occupied returns the replicas at which a trial is under way.
func (t *Trials) Occupied(now time.Duration) []string {
	var out []string
	for replica, end := range t.replicas {
		if now < end {
			out = append(out, replica)
		}
	}
	return out
}

// Begin records that a request with the given suspected parts is sent to a replica.
func (t *Trials) Begin(suspects []string, replica string, now time.Duration) {
	if t.parts == nil {
		t.parts, t.replicas = make(map[string]time.Duration), make(map[string]time.Duration)
	}
	for _, m := range []map[string]time.Duration{t.parts, t.replicas} {
		for id, end := range m {
			if now >= end {
				delete(m, id)
			}
		}
	}
	for _, id := range suspects {
		t.parts[id] = now + maxTrialTime
	}
	t.replicas[replica] = now + maxTrialTime
}

// End ends a trial that was answered. One that ended otherwise goes on for its time, in which all hosts hear
// of the crash, if it was one.
func (t *Trials) End(suspects []string, replica string) {
	for _, id := range suspects {
		delete(t.parts, id)
	}
	delete(t.replicas, replica)
}
