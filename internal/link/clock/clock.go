// Package clock reads a clock that never jumps, unlike the wall clock, and that advances
// while the machine is suspended, unlike the monotonic clock.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the wall-clock time at which the process started, and startSinceBoot is the time
// since boot at that moment. Times of this clock are based on start only to be readable in
// logs; times of different processes cannot be compared.
var start, startSinceBoot = time.Now().Round(0), timeSinceBoot()

// Now returns the current time of this clock.
func Now() time.Time { return start.Add(timeSinceBoot() - startSinceBoot) }

// ProcessStart returns when this process started, in the time of this clock. As it is the wall-clock
// time at that moment, it can be compared with other wall-clock times of the machine.
func ProcessStart() time.Time { return start }

// timeSinceBoot returns the time since the machine booted, including suspended time.
func timeSinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// CLOCK_BOOTTIME exists in every supported kernel.
		panic(err)
	}
	return time.Duration(t.Nano())
}
