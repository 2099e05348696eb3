package steward

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns a clock that also runs while the machine is suspended, unlike the runtime's.
func sinceBoot() func() time.Duration {
	started := time.Now()
	var at unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &at) != nil {
		return func() time.Duration { return time.Since(started) }
	}
	offset := time.Duration(at.Nano())
	return func() time.Duration {
		var now unix.Timespec
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
			return time.Since(started)
		}
		return max(time.Since(started), time.Duration(now.Nano())-offset)
	}
}
