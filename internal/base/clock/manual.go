package clock

import (
	"sync"
	"time"
)

// Manual is a clock that changes only on Advance; it is safe for concurrent use.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	timers []*manualTimer
}

// NewManual returns a clock that shows start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Now returns the time that the clock shows.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// NewTimer returns a timer that fires once, when the clock has advanced by d.
func (m *Manual) NewTimer(d time.Duration) Timer {
	return m.add(d, 0)
}

// NewTicker returns a ticker that fires each time the clock has advanced by d. Missed ticks are not made up for.
func (m *Manual) NewTicker(d time.Duration) Timer {
	return m.add(d, d)
}

// Advance advances the clock by d and fires the timers that are due. A negative d simulates a clock that jumps back.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for _, t := range m.timers {
		t.fire(m.now)
	}
}

func (m *Manual) add(d, period time.Duration) *manualTimer {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTimer{clock: m, due: m.now.Add(d), period: period, ch: make(chan time.Time, 1)}
	m.timers = append(m.timers, t)
	t.fire(m.now)
	return t
}

type manualTimer struct {
	clock  *Manual
	due    time.Time
	period time.Duration
	ended  bool
	ch     chan time.Time
}

func (t *manualTimer) C() <-chan time.Time { return t.ch }

func (t *manualTimer) Stop() {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	t.ended = true
}

// fire sends the time if the timer is due; the caller holds the clock's lock.
func (t *manualTimer) fire(now time.Time) {
	if t.ended || now.Before(t.due) {
		return
	}
	select {
	case t.ch <- now:
	default:
	}
	if t.period == 0 {
		t.ended = true
		return
	}
	for !now.Before(t.due) {
		t.due = t.due.Add(t.period)
	}
}
