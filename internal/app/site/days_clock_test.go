package site

import (
	"sync"
	"time"

	"cowslipstack/internal/base/clock"
)

// machineClock is the clock of a machine: while it stands still no timer fires, and a ticker's missed ticks aren't made up for.
type machineClock struct{ machine *machine }

// Now returns the time.
func (c machineClock) Now() time.Time { return time.Now() }

// NewTimer returns a timer that fires once.
func (c machineClock) NewTimer(d time.Duration) clock.Timer {
	inner := time.NewTimer(d)
	return c.forward(inner.C, func() { inner.Stop() })
}

// NewTicker returns a ticker.
func (c machineClock) NewTicker(d time.Duration) clock.Timer {
	inner := time.NewTicker(d)
	return c.forward(inner.C, inner.Stop)
}

func (c machineClock) forward(inner <-chan time.Time, stop func()) *machineTimer {
	t := &machineTimer{c: make(chan time.Time, 1), stopped: make(chan struct{}), stop: stop}
	go func() {
		for {
			select {
			case <-t.stopped:
				return
			case at := <-inner:
				c.machine.waitThawed()
				select {
				case t.c <- at:
				default:
				}
			}
		}
	}()
	return t
}

// machineTimer is a timer or ticker of a machine.
type machineTimer struct {
	c       chan time.Time
	stop    func()
	once    sync.Once
	stopped chan struct{}
}

// C returns the channel on which the timer sends the time.
func (t *machineTimer) C() <-chan time.Time { return t.c }

// Stop ends the timer.
func (t *machineTimer) Stop() {
	t.once.Do(func() {
		t.stop()
		close(t.stopped)
	})
}
