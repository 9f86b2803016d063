package site

import (
	"context"

	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/loop"
	"cowslipstack/internal/ctrl/sched"
)

// orderExecutor sends an order to the platform.
type orderExecutor interface {
	Execute(ctx context.Context, o sched.Order) sched.OrderResult
}

const (
	// maxQueuedOrders bounds each queue, and maxConcurrentOrders the orders in progress; advice has a goroutine of its own.
	maxQueuedOrders     = 256
	maxConcurrentOrders = 4
)

// orderQueues queues the leader's orders to the platform and executes them outside the control loop.
type orderQueues struct {
	loop        *loop.Loop
	executor    orderExecutor
	uptime      clock.Uptime
	logger      *zap.Logger
	queue       chan sched.Order
	adviceQueue chan sched.Order
}

func newOrderQueues(l *loop.Loop, e orderExecutor, u clock.Uptime, logger *zap.Logger) *orderQueues {
	return &orderQueues{
		loop: l, executor: e, uptime: u, logger: logger,
		queue: make(chan sched.Order, maxQueuedOrders), adviceQueue: make(chan sched.Order, maxQueuedOrders),
	}
}

// enqueue queues an order; it returns false if the queue is full.
func (o *orderQueues) enqueue(order sched.Order) bool {
	queue := o.queue
	if order.Kind == sched.OrderAdvise {
		// The advice service accepts one call at a time from each process.
		queue = o.adviceQueue
	}
	select {
	case queue <- order:
		return true
	default:
		o.logger.Warn("order_refused", zap.Stringer("kind", order.Kind), zap.Int("waiting", len(queue)))
		return false
	}
}

// run executes the orders of one queue until the context ends. Each order's Done is called on the control loop.
func (o *orderQueues) run(ctx context.Context, queue chan sched.Order) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case order := <-queue:
			result := o.execute(ctx, order)
			if err := o.loop.Post(ctx, func() { order.Done(result) }); err != nil {
				return nil
			}
		}
	}
}

// execute sends an order, unless it has waited too long: this process may have been suspended, or lead no more.
func (o *orderQueues) execute(ctx context.Context, order sched.Order) sched.OrderResult {
	if late := o.uptime.Milliseconds() - order.NotAfterMs; order.NotAfterMs > 0 && late > 0 {
		o.logger.Info("order_expired", zap.Stringer("kind", order.Kind), zap.String("vm", order.VM), zap.Int64("late_ms", late),
			zap.Uint64("term", order.Term))
		return sched.OrderResult{Code: sched.OrderExpired, Detail: "the order was not sent in time"}
	}
	return o.executor.Execute(ctx, order)
}
