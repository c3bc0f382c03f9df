// Package clocker reads the clock that leases are measured on.
//
// The monotonic clock of Go's time package stands still while a machine is
// suspended, and the time of day may jump. A lease needs a clock that does
// neither.
package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is what Boot returned when the process started.
var start = read()

// Boot returns the time since the process started, suspension included.
func Boot() time.Duration {
	return read() - start
}

func read() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clocker: no boot clock: " + err.Error()) // every supported kernel has it
	}
	return time.Duration(ts.Nano())
}
