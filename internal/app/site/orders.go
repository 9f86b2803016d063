package site

import (
	"context"

	"go.uber.org/zap"

	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/ctrl/sched"
)

// carrier makes the call of an order.
type carrier interface {
	Carry(ctx context.Context, o sched.Order) sched.OrderResult
}

const (
	// ordersWaiting bounds the orders that wait, and ordersAtOnce those under way.
	ordersWaiting = 256
	ordersAtOnce  = 4
)

// orders takes the leader's orders to the platform.
type orders struct {
	loop    *loop.Loop
	carrier carrier
	logger  *zap.Logger
	queue   chan sched.Order
	advice  chan sched.Order
}

func newOrders(l *loop.Loop, c carrier, logger *zap.Logger) *orders {
	return &orders{
		loop: l, carrier: c, logger: logger,
		queue: make(chan sched.Order, ordersWaiting), advice: make(chan sched.Order, ordersWaiting),
	}
}

// put queues an order; it returns false where too many wait.
func (o *orders) put(order sched.Order) bool {
	queue := o.queue
	if order.Kind == sched.OrderAdvise {
		// The advice service takes one call at a time of each process.
		queue = o.advice
	}
	select {
	case queue <- order:
		return true
	default:
		o.logger.Warn("order_refused", zap.Stringer("kind", order.Kind), zap.Int("waiting", len(queue)))
		return false
	}
}

// run carries the orders of one queue until the context ends.
func (o *orders) run(ctx context.Context, queue chan sched.Order) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case order := <-queue:
			result := o.carrier.Carry(ctx, order)
			if err := o.loop.Post(ctx, func() { order.Done(result) }); err != nil {
				return nil
			}
		}
	}
}
