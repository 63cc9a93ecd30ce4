package fpclock

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

type (
	// Clock returns the time since a fixed moment, including time spent suspended.
	Clock func() time.Duration
)

// SinceBoot returns the time since the machine started, including time spent suspended.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(errors.Wrap(err, "fpclock: read CLOCK_BOOTTIME"))
	}
	return time.Duration(t.Nano())
}

// Sleep waits for d; it returns false if the context ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
