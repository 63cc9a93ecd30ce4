package fphost

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// TestClockSetBackAfterStart checks that a host without a configuration asks the platform for it once its
// start delay is over, also when the time of day was set back after its start.
func TestClockSetBackAfterStart(t *testing.T) {
	is := is.New(t)
	h, err := New(newTestSettings(t, "127.0.0.1:1"), log.NewNopLogger())
	is.NoErr(err)
	// The time of day of the start is an hour ahead of the present one.
	h.incarnation += uint64(time.Hour)
	is.True(h.shouldWatchPlatform())
	h.startDelay = time.Hour
	is.True(!h.shouldWatchPlatform())
}
