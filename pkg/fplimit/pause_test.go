package fplimit

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLongestPauseHolds checks what is left of pauses that overlap or are too long for a clock.
func TestLongestPauseHolds(t *testing.T) {
	type ask struct{ at, delay time.Duration }
	tests := map[string]struct {
		asks []ask
		at   time.Duration
		left time.Duration
	}{
		"none":                     {at: time.Second},
		"one":                      {asks: []ask{{at: 1, delay: 10}}, at: 3, left: 8},
		"over at its end":          {asks: []ask{{at: 1, delay: 10}}, at: 11},
		"a shorter one in a pause": {asks: []ask{{at: 1, delay: 10}, {at: 2, delay: 3}}, at: 6, left: 5},
		"a longer one in a pause":  {asks: []ask{{at: 1, delay: 10}, {at: 2, delay: 20}}, at: 6, left: 16},
		"without end":              {asks: []ask{{at: 5, delay: math.MaxInt64}}, at: 6, left: math.MaxInt64 - 6},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p Pause
			for _, a := range tt.asks {
				p = p.WithDelay(a.delay, a.at)
			}
			is.Equal(p.Left(tt.at), tt.left)
		})
	}
}

// TestReturnAfterPause checks that callers come back after the pause, spread over a part of it.
func TestReturnAfterPause(t *testing.T) {
	is := is.New(t)
	is.Equal(ReturnAfter(8*time.Second, 0), 8*time.Second)
	is.Equal(ReturnAfter(8*time.Second, 0.5), 9*time.Second)
	is.Equal(ReturnAfter(math.MaxInt64, 0.5), time.Duration(math.MaxInt64))
}
