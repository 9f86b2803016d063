package admit

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/edge/slots"
)

const (
	// pendingTick is the interval between ticks while a report is pending.
	pendingTick = 25 * time.Millisecond
	// idleTick is the interval between ticks otherwise; it bounds the age of the table.
	idleTick = 200 * time.Millisecond
	// maxPendingWakes is the most wakes queued for one entry; further ones are dropped.
	maxPendingWakes = 4
)

// link is the exchange of slot messages with one entry; the control loop owns the pacer.
type link struct {
	name    string
	pacer   slots.Pacer
	reports chan slots.Report
	wakes   chan struct{}
}

func newLink(name string) *link {
	return &link{name: name, reports: make(chan slots.Report, 1), wakes: make(chan struct{}, maxPendingWakes)}
}

// Run refreshes the table and the shares until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		pause := idleTick
		if err := c.options.Loop.Call(ctx, func() { pause = c.tick() }); err != nil {
			return nil
		}
		timer := c.options.Clock.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-c.tickRequested:
			timer.Stop()
		case <-timer.C():
		}
	}
}

// RunLink sends this entry's reports and wakes to one other entry until the context ends.
func (c *Controller) RunLink(ctx context.Context, name string) error {
	l := c.links[name]
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wakes:
			if err := c.options.Peers.Wake(ctx, name, c.options.Name); err != nil {
				c.options.Logger.Debug("wake_not_sent", zap.String("entry", name), zap.Error(err))
			}
		case r := <-l.reports:
			c.sendReport(ctx, l, r)
		}
	}
}

// HandleReport handles another entry's report and returns the answer; the error is that of the control loop.
func (c *Controller) HandleReport(ctx context.Context, r slots.Report) (slots.Answer, error) {
	var answer slots.Answer
	err := c.options.Loop.Call(ctx, func() { answer = c.applyReport(r) })
	return answer, err
}

// Wake handles a home's request to report to it soon.
func (c *Controller) Wake(ctx context.Context, home string) error {
	return c.options.Loop.Call(ctx, func() {
		if l, ok := c.links[home]; ok {
			c.reportIfDue(l, slots.CauseWoken)
		}
	})
}

// signalWaiting tells the control loop that requests wait; signals are merged until it has run.
func (c *Controller) signalWaiting() {
	if c.waitingPosted.Swap(true) {
		return
	}
	if err := c.options.Loop.TryPost(func() { c.waitingPosted.Store(false); c.reportAllIfDue(slots.CauseWaiting) }); err != nil {
		c.waitingPosted.Store(false)
	}
}

// The functions below run on the control loop.

// tick does what is due and returns the time until the next tick.
func (c *Controller) tick() time.Duration {
	c.Refresh()
	c.reportAllIfDue(0)
	c.dispatchAll()
	for _, l := range c.links {
		if l.pacer.Pending != 0 {
			return pendingTick
		}
	}
	return idleTick
}

// dispatchAll admits waiting requests to slots that became free without a release: renewed grants, and runners
// whose ejection has ended.
func (c *Controller) dispatchAll() {
	for _, row := range c.table.Load().services {
		row.service.lockAndDispatch()
	}
}

// requestTick makes Run tick again soon, because a report is pending.
func (c *Controller) requestTick() {
	select {
	case c.tickRequested <- struct{}{}:
	default:
	}
}

func (c *Controller) reportAllIfDue(cause slots.Cause) {
	demands, sum := c.collectDemands(c.options.Clock.Now())
	for _, home := range c.holder.Homes() {
		if l, ok := c.links[home]; ok {
			c.reportDemandsIfDue(l, cause, demands, sum)
		}
	}
}

// reportIfDue sends a report to the link's entry if one is due.
func (c *Controller) reportIfDue(l *link, cause slots.Cause) {
	demands, sum := c.collectDemands(c.options.Clock.Now())
	c.reportDemandsIfDue(l, cause, demands, sum)
}

func (c *Controller) reportDemandsIfDue(l *link, cause slots.Cause, demands []slots.Demand, sum int) {
	now := c.options.Clock.Now()
	if !l.pacer.Due(now, cause, sum) {
		if cause != 0 && !l.pacer.Outstanding {
			c.requestTick()
		}
		return
	}
	r := c.holder.Report(l.name, demands)
	l.pacer.ReportSent(now, sum, !r.Full && len(r.Claims) > 0)
	if l.name == c.options.Name {
		c.handleAnswer(l, r, now, c.applyReport(r))
		return
	}
	l.reports <- r
}

func (c *Controller) applyReport(r slots.Report) slots.Answer {
	answer, wake := c.ledger.HandleReport(r, c.options.Clock.Now())
	for _, name := range wake {
		if name == c.options.Name {
			c.reportIfDue(c.links[name], slots.CauseWoken)
			continue
		}
		if l, ok := c.links[name]; ok {
			select {
			case l.wakes <- struct{}{}:
			default:
			}
		}
	}
	return answer
}

func (c *Controller) handleAnswer(l *link, r slots.Report, sent time.Time, answer slots.Answer) {
	again := l.pacer.ReportEnded()
	if c.holder.HandleAnswer(l.name, r.Number, sent, answer) {
		again = slots.CauseFollowUp
	}
	c.dispatchAll()
	if again != 0 {
		l.pacer.Pending = again
		c.requestTick()
	}
}

func (c *Controller) collectDemands(now time.Time) ([]slots.Demand, int) {
	var demands []slots.Demand
	sum := 0
	for name, row := range c.table.Load().services {
		if count := row.service.demand(now); count > 0 {
			demands = append(demands, slots.Demand{Service: name, Count: count})
			sum += count
		}
	}
	return demands, sum
}

// sendReport sends a report and handles the answer; it runs on the link's goroutine.
func (c *Controller) sendReport(ctx context.Context, l *link, r slots.Report) {
	sent := c.options.Clock.Now()
	answer, err := c.options.Peers.Report(ctx, l.name, r)
	if err != nil {
		c.options.Logger.Debug("report_not_answered", zap.String("home", l.name), zap.Error(err))
	}
	ended := func() {
		if err != nil {
			l.pacer.ReportEnded()
			return
		}
		c.handleAnswer(l, r, sent, answer)
		if l.pacer.Pending == slots.CauseFollowUp {
			c.reportIfDue(l, slots.CauseFollowUp)
		}
	}
	if err := c.options.Loop.Call(ctx, ended); err != nil {
		c.options.Logger.Debug("control_loop_ended", zap.Error(err))
	}
}

// demand returns the service's demand for slots.
func (s *service) demand(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.offeredLoad.Demand(now, s.meanTime, len(s.attempts), s.queue.Len())
}

// lockAndDispatch is dispatch for callers that don't hold mu.
func (s *service) lockAndDispatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch()
}
