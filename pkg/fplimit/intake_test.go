package fplimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestIntakesAreBounded checks that what says nothing any longer is forgotten first, and then the oldest.
func TestIntakesAreBounded(t *testing.T) {
	is := is.New(t)
	var s Intakes[int]
	s.RecordPause(-1, time.Second, 0)
	s.RecordPause(-2, time.Hour, 0)
	for i := range MaxIntakes - 2 {
		s.RecordLeaving(i, time.Duration(i+1))
	}
	is.Equal(len(s.entries), MaxIntakes)
	s.RecordLeaving(MaxIntakes, time.Minute)
	is.Equal(len(s.entries), MaxIntakes)
	is.True(s.PauseLeft(-2, time.Minute) > 0) // the pause that was over made room
	s.RecordLeaving(MaxIntakes+1, time.Minute)
	is.Equal(len(s.entries), MaxIntakes)
	is.Equal(s.PauseLeft(-2, time.Minute), time.Duration(0))
	is.True(s.Leaving(0))
	s.RecordLeaving(MaxIntakes+2, time.Minute)
	is.True(!s.Leaving(0))
	is.True(s.Leaving(1))
	is.True(!s.MaySend(MaxIntakes+2, time.Minute))
}
