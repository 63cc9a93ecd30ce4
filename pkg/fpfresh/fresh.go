package fpfresh

import "time"

const (
	// revokeMargin covers the time between the check of a key and the request's dispatch.
	revokeMargin = 250 * time.Millisecond
)

type (
	// Proof is the latest time at which the store is known to have had nothing newer than the
	// host's copy of the configuration; times are of a clock that counts suspension.
	Proof struct {
		sentAt time.Duration
		known  bool
	}

	// Bounds are the freshness bounds: the times within which changes must take effect.
	Bounds struct {
		// Revoke bounds the use of a revoked key; zero means no bound.
		Revoke time.Duration
		// Apply bounds the use of a replaced version of the configuration; zero means no bound.
		Apply time.Duration
	}
)

// WithAnswer returns the proof after the store answered a call that was sent at the given time; it
// is unchanged when a call sent later was answered before.
func (p Proof) WithAnswer(sent time.Duration) Proof {
	if p.known && sent <= p.sentAt {
		return p
	}
	return Proof{sentAt: sent, known: true}
}

// Age returns the proof's age, and false when the store never answered.
func (p Proof) Age(now time.Duration) (time.Duration, bool) { return now - p.sentAt, p.known }

// AllowsKeys reports whether the proof is recent enough to accept a key now.
func (p Proof) AllowsKeys(b Bounds, now time.Duration) bool {
	return b.Revoke == 0 || p.known && now-p.sentAt < b.Revoke-revokeMargin
}

// AllowsDenial reports whether the proof is recent enough to deny an unknown route or key for
// good: a stale copy may not have it yet.
func (p Proof) AllowsDenial(b Bounds, now time.Duration) bool {
	return p.known && (b.Apply == 0 || now-p.sentAt < b.Apply)
}
