package fpfresh

import "time"

const (
	// revokeMargin covers the time between the judgement and the request's dispatch.
	revokeMargin = 250 * time.Millisecond
)

type (
	// Proof is the latest moment at which the store is known to have held nothing
	// newer than what the host believes; times are of a clock that counts suspension.
	Proof struct {
		at    time.Duration
		known bool
	}

	// Bounds are the times within which changes must be in force.
	Bounds struct {
		// Revoke bounds the use of a key that was taken away; zero means no bound.
		Revoke time.Duration
		// Apply bounds the use of an older version of the configuration.
		Apply time.Duration
	}
)

// With returns the proof after the store answered a call that was sent at the
// given time; an earlier one changes nothing.
func (p Proof) With(sent time.Duration) Proof {
	if p.known && sent <= p.at {
		return p
	}
	return Proof{at: sent, known: true}
}

// Age returns the proof's age, and false when there is none.
func (p Proof) Age(now time.Duration) (time.Duration, bool) { return now - p.at, p.known }

// AllowsKeys reports whether a key may be accepted now.
func (p Proof) AllowsKeys(b Bounds, now time.Duration) bool {
	return b.Revoke == 0 || p.known && now-p.at < b.Revoke-revokeMargin
}

// AllowsDenial reports whether a missing route or key may be denied for good:
// an older belief may just not know it yet.
func (p Proof) AllowsDenial(b Bounds, now time.Duration) bool {
	return p.known && (b.Apply == 0 || now-p.at < b.Apply)
}
