package fpclock

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

type (
	// Clock returns the time since some fixed moment, suspension included.
	Clock func() time.Duration
)

// Boot returns the time since the machine started, suspension included.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(errors.Wrap(err, "fpclock: no clock that counts suspension"))
	}
	return time.Duration(t.Nano())
}
