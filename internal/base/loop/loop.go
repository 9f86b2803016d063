package loop

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// DefaultCapacity is the usual number of events that a loop queues before Post blocks and TryPost fails.
const DefaultCapacity = 4096

// ErrFull means that an event was refused because the queue of the loop is full.
var ErrFull = errors.New("control loop is full")

// Event reads or changes the control state. It runs on the loop's goroutine and must not block.
type Event func()

// Loop runs events one at a time, in the order in which they were posted. Its methods are safe for concurrent use.
type Loop struct {
	events chan Event
}

// New returns a loop that queues up to capacity events.
func New(capacity int) *Loop {
	return &Loop{events: make(chan Event, capacity)}
}

// Run runs events until the context ends; the owner of the loop calls it once. Events still queued by then never run.
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

// TryPost queues an event, or returns ErrFull at once if the queue is full.
func (l *Loop) TryPost(event Event) error {
	select {
	case l.events <- event:
		return nil
	default:
		return ErrFull
	}
}

// Post queues an event and waits for room until the context ends. It must not be called from an event.
func (l *Loop) Post(ctx context.Context, event Event) error {
	select {
	case l.events <- event:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "post to the control loop")
	}
}

// Call queues an event and waits until it has run. It must not be called from an event.
// If Call fails, the event has not run and never will, so the caller may read what the event would have written.
func (l *Loop) Call(ctx context.Context, event Event) error {
	var claimed atomic.Bool
	done := make(chan struct{})
	run := func() {
		if claimed.CompareAndSwap(false, true) {
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
	if claimed.CompareAndSwap(false, true) {
		return errors.Wrap(ctx.Err(), "wait for the control loop")
	}
	<-done
	return nil
}
