package sequoiatimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the instance started, as a time after the Unix epoch. Unlike the monotonic clock it
// goes on while the instance is suspended, and unlike the time of day nobody sets it.
func BootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39, and the call has no other way to fail.
		panic(err)
	}
	return time.Unix(0, ts.Nano())
}
