package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SystemUptime is the uptime of the operating system; its zero value is ready to use.
type SystemUptime struct{}

// Milliseconds returns the time since the machine started, including the time that it was suspended.
func (SystemUptime) Milliseconds() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without CLOCK_BOOTTIME, fall back to the monotonic clock, which stops while the machine is suspended.
		return time.Since(processStart).Milliseconds()
	}
	return t.Nano() / int64(time.Millisecond)
}

// processStart is the moment from which the fallback counts.
var processStart = time.Now()
