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
	// confirmEvery is the least time between the starts of two confirmations.
	confirmEvery = 400 * time.Millisecond
	// confirmTimeout bounds one confirmation, so that a leader without a quorum answers in time.
	confirmTimeout = 500 * time.Millisecond
)

// Quorum confirms that this replica leads.
type Quorum interface {
	// Confirm returns once a quorum has confirmed this replica as the leader since Confirm was called.
	Confirm(context.Context) error
}

// confirmer lets calls that come in close together share one confirmation; each
// is answered by one that began after it came in. It is safe for concurrent use.
type confirmer struct {
	quorum Quorum
	clock  clock.Clock
	wake   chan struct{}
	mu     sync.Mutex
	next   *confirmation
	// calls counts calls, so that each can tell whether its confirmation began after it.
	calls uint64
}

// confirmation is one confirmation that calls wait for.
type confirmation struct {
	done chan struct{}
	err  error
	// calls is the count of calls when the confirmation began.
	calls uint64
}

func newConfirmer(q Quorum, c clock.Clock) *confirmer {
	return &confirmer{quorum: q, clock: c, wake: make(chan struct{}, 1)}
}

// confirm waits for a confirmation that begins after the call.
func (c *confirmer) confirm(ctx context.Context) error {
	waited, call := c.join()
	select {
	case <-waited.done:
		check.That(waited.calls >= call, "lease_granted_after_confirmation",
			zap.Uint64("call", call), zap.Uint64("confirmed", waited.calls))
		return waited.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for a quorum's confirmation")
	}
}

func (c *confirmer) join() (*confirmation, uint64) {
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

// run confirms for the calls that wait until the context ends.
func (c *confirmer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
			c.once(ctx)
			c.pause(ctx)
		}
	}
}

func (c *confirmer) once(ctx context.Context) {
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

func (c *confirmer) pause(ctx context.Context) {
	timer := c.clock.NewTimer(confirmEvery)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C():
	}
}
