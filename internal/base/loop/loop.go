package loop

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// DefaultCapacity is the count of events that wait before a poster must wait too.
const DefaultCapacity = 4096

// ErrFull says that an event was refused because too many wait.
var ErrFull = errors.New("control loop is full")

// Event is a step on the control state; it runs on the loop's goroutine and must not block.
type Event func()

// Loop runs events one at a time, in the order in which they were posted.
type Loop struct {
	events chan Event
}

// New returns a loop that holds up to capacity waiting events.
func New(capacity int) *Loop {
	return &Loop{events: make(chan Event, capacity)}
}

// Run runs events until the context ends; it is called once, by the loop's owner.
func (l *Loop) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-l.events:
			event()
		}
	}
}

// TryPost adds an event, or returns ErrFull at once where the loop is full.
func (l *Loop) TryPost(event Event) error {
	select {
	case l.events <- event:
		return nil
	default:
		return ErrFull
	}
}

// Post adds an event and waits for room until the context ends; it must not be called from an event.
func (l *Loop) Post(ctx context.Context, event Event) error {
	select {
	case l.events <- event:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "post to the control loop")
	}
}

// Call runs an event and waits until it has ended; it must not be called from an event.
// Where it fails, the event has not run and never will, so that what it would have set may be read.
func (l *Loop) Call(ctx context.Context, event Event) error {
	var taken atomic.Bool
	done := make(chan struct{})
	run := func() {
		if taken.CompareAndSwap(false, true) {
			event()
			close(done)
		}
	}
	if err := l.Post(ctx, run); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	if taken.CompareAndSwap(false, true) {
		return errors.Wrap(ctx.Err(), "wait for the control loop")
	}
	<-done
	return nil
}
