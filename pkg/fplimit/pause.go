package fplimit

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// pauseSpread is the part of a pause over which the return of callers is spread.
const pauseSpread = 0.25

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

// ParseDelay returns the time that a text gives as a positive number of seconds, which may have a fraction, and 0
// for any other text.
func ParseDelay(text string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	switch {
	case err != nil || math.IsInf(s, 0) || math.IsNaN(s) || s <= 0:
		return 0
	case s >= time.Duration(math.MaxInt64).Seconds():
		return math.MaxInt64
	default:
		return time.Duration(s * float64(time.Second))
	}
}

// ReturnAfter returns the time after which a caller may come back for whom all replicas pause, the first for as
// long as left. Draw, from 0 to 1, spreads the callers over a part of it.
func ReturnAfter(left time.Duration, draw float64) time.Duration {
	return left + min(time.Duration(draw*pauseSpread*float64(left)), math.MaxInt64-left)
}
