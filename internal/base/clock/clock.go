package clock

import "time"

// Clock tells the time and creates timers.
type Clock interface {
	// Now returns the current time, with a monotonic reading if the clock has one.
	Now() time.Time
	// NewTimer returns a timer that fires once, after d.
	NewTimer(d time.Duration) Timer
	// NewTicker returns a ticker that fires every d; d must be above zero.
	NewTicker(d time.Duration) Timer
}

// Timer is a running timer or ticker.
type Timer interface {
	// C returns the channel on which the timer sends the time when it fires.
	C() <-chan time.Time
	// Stop ends the timer; it may leave one time unread on the channel.
	Stop()
}

// System is the clock of the operating system; its zero value is ready to use.
type System struct{}

// Now returns the time of the operating system.
func (System) Now() time.Time { return time.Now() }

// NewTimer returns a timer of the system clock.
func (System) NewTimer(d time.Duration) Timer {
	return systemTimer{timer: time.NewTimer(d)}
}

// NewTicker returns a ticker of the system clock.
func (System) NewTicker(d time.Duration) Timer {
	return systemTicker{ticker: time.NewTicker(d)}
}

type systemTimer struct{ timer *time.Timer }

func (t systemTimer) C() <-chan time.Time { return t.timer.C }

func (t systemTimer) Stop() { t.timer.Stop() }

type systemTicker struct{ ticker *time.Ticker }

func (t systemTicker) C() <-chan time.Time { return t.ticker.C }

func (t systemTicker) Stop() { t.ticker.Stop() }

// Uptime is the time base of leases. It never jumps, and continues while the machine is suspended.
type Uptime interface {
	// Milliseconds returns the time since an arbitrary fixed moment.
	Milliseconds() int64
}
