package sequoiatimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the instance booted, as an offset from the Unix epoch. Unlike the monotonic clock it
// includes the time for which the instance was suspended, and unlike the wall clock it cannot be set.
func BootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had CLOCK_BOOTTIME since 2.6.39, and the call cannot fail for another reason.
		panic(err)
	}
	return time.Unix(0, ts.Nano())
}
