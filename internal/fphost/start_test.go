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

// TestMemoryForLongestBody checks that a host does not start whose memory has no room for the longest body.
func TestMemoryForLongestBody(t *testing.T) {
	is := is.New(t)
	s := newTestSettings(t, "127.0.0.1:1")
	s.Limits.MemoryBytes = 64 << 20
	s.Limits.MaxBodyBytes = 16 << 20
	_, err := New(s, log.NewNopLogger())
	is.True(err != nil)
	s.Limits.MemoryBytes = 256 << 20
	_, err = New(s, log.NewNopLogger())
	is.NoErr(err)
}
