// Package clock reads a clock that never jumps and that counts the time for which
// the machine was suspended, unlike the wall clock and the monotonic one.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the wall time at which the process started. It makes readings look like
// ordinary times in logs; they are only comparable within the process.
var start, startSinceBoot = time.Now().Round(0), timeSinceBoot()

// Now returns the current time.
func Now() time.Time { return start.Add(timeSinceBoot() - startSinceBoot) }

// timeSinceBoot returns the time since the machine booted.
func timeSinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every supported kernel.
		panic(err)
	}
	return time.Duration(t.Nano())
}
