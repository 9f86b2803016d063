package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SystemUptime is the machine's own uptime; its zero value is ready to use.
type SystemUptime struct{}

// Milliseconds returns the time since the machine started, with the time that it was suspended.
func (SystemUptime) Milliseconds() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without that clock the steady one is the best there is.
		return time.Since(started).Milliseconds()
	}
	return t.Nano() / int64(time.Millisecond)
}

// started is the moment from which the steady clock counts.
var started = time.Now()
