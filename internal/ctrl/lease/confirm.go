package lease

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
	"cowslipstack/internal/base/clock"
)

const (
	// confirmInterval is the pause between two confirmations.
	confirmInterval = 400 * time.Millisecond
	// confirmTimeout bounds one confirmation, so that a leader without a quorum answers in time.
	confirmTimeout = 500 * time.Millisecond
)

// Quorum confirms that this replica leads.
type Quorum interface {
	// Confirm returns once a quorum has confirmed this replica as the leader since Confirm was called.
	Confirm(context.Context) error
}

// confirmer lets concurrent calls share one confirmation. A call is only
// answered by a confirmation that began after it. It is safe for concurrent use.
type confirmer struct {
	quorum Quorum
	clock  clock.Clock
	wake   chan struct{}
	mu     sync.Mutex
	next   *confirmation
	// calls counts the calls, so that each can check that its confirmation began after it.
	calls uint64
}

// confirmation is one confirmation, which one or more calls wait for.
type confirmation struct {
	done chan struct{}
	err  error
	// calls is the number of calls that were made before the confirmation began.
	calls uint64
}

func newConfirmer(q Quorum, c clock.Clock) *confirmer {
	return &confirmer{quorum: q, clock: c, wake: make(chan struct{}, 1)}
}

// confirm waits for a confirmation that begins after the call.
func (c *confirmer) confirm(ctx context.Context) error {
	waited, call := c.enqueue()
	select {
	case <-waited.done:
		check.That(waited.calls >= call, "lease_granted_after_confirmation",
			zap.Uint64("call", call), zap.Uint64("confirmed", waited.calls))
		return waited.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for a quorum's confirmation")
	}
}

// enqueue returns the next confirmation to begin and the number of the call.
func (c *confirmer) enqueue() (*confirmation, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.next == nil {
		c.next = &confirmation{done: make(chan struct{})}
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	return c.next, c.calls
}

// run runs the confirmations that calls wait for, until the context ends.
func (c *confirmer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
			c.confirmOnce(ctx)
			clock.Sleep(ctx, c.clock, confirmInterval)
		}
	}
}

func (c *confirmer) confirmOnce(ctx context.Context) {
	c.mu.Lock()
	waited := c.next
	c.next = nil
	waited.calls = c.calls
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	waited.err = c.quorum.Confirm(ctx)
	close(waited.done)
}
