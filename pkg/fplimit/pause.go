package fplimit

import (
	"math"
	"time"
)

type (
	// Pause is the time for which a replica wants no requests from this host; the zero value is none.
	Pause struct {
		until time.Duration
	}
)

// WithDelay returns the pause after the replica has asked for no requests for a time from now; the longest of
// several holds.
func (p Pause) WithDelay(d, now time.Duration) Pause {
	p.until = max(p.until, now+min(d, math.MaxInt64-now))
	return p
}

// Left returns how long the pause lasts from now, 0 if it is over.
func (p Pause) Left(now time.Duration) time.Duration { return max(p.until-now, 0) }
