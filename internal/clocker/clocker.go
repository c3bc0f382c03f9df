// Package clocker reads the clock used to measure leases.
//
// The monotonic clock of Go's time package stops while the machine is suspended, and
// the wall clock may jump. A lease needs a clock that does neither: Linux's
// CLOCK_BOOTTIME.
package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the reading of the clock when the process started.
var start = read()

// SinceStart returns the time since the process started, including time during
// which the machine was suspended.
func SinceStart() time.Duration {
	return read() - start
}

// read returns the time since the machine booted. It panics if the system has no
// boot clock.
func read() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clocker: no boot clock: " + err.Error()) // all supported kernels have one
	}
	return time.Duration(ts.Nano())
}
