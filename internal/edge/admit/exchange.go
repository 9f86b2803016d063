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
func (a *Admit) Run(ctx context.Context) error {
	for {
		pause := idleTick
		if err := a.options.Loop.Call(ctx, func() { pause = a.tick() }); err != nil {
			return nil
		}
		timer := a.options.Clock.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-a.tickRequested:
			timer.Stop()
		case <-timer.C():
		}
	}
}

// RunLink sends this entry's reports and wakes to one other entry until the context ends.
func (a *Admit) RunLink(ctx context.Context, name string) error {
	l := a.links[name]
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wakes:
			if err := a.options.Homes.Wake(ctx, name, a.options.Name); err != nil {
				a.options.Logger.Debug("wake_not_sent", zap.String("entry", name), zap.Error(err))
			}
		case r := <-l.reports:
			a.sendReport(ctx, l, r)
		}
	}
}

// Take handles another entry's report and returns the answer; the error is that of the control loop.
func (a *Admit) Take(ctx context.Context, r slots.Report) (slots.Answer, error) {
	var answer slots.Answer
	err := a.options.Loop.Call(ctx, func() { answer = a.handleReport(r) })
	return answer, err
}

// Wake handles a home's request to report to it soon.
func (a *Admit) Wake(ctx context.Context, home string) error {
	return a.options.Loop.Call(ctx, func() {
		if l, ok := a.links[home]; ok {
			a.reportIfDue(l, slots.CauseWoken)
		}
	})
}

// signalWaiting tells the control loop that requests wait; signals are merged until it has run.
func (a *Admit) signalWaiting() {
	if a.waitingPosted.Swap(true) {
		return
	}
	if err := a.options.Loop.TryPost(func() { a.waitingPosted.Store(false); a.reportAllIfDue(slots.CauseWaiting) }); err != nil {
		a.waitingPosted.Store(false)
	}
}

// The functions below run on the control loop.

// tick does what is due and returns the time until the next tick.
func (a *Admit) tick() time.Duration {
	a.Refresh()
	a.reportAllIfDue(0)
	a.dispatchAll()
	for _, l := range a.links {
		if l.pacer.Pending != 0 {
			return pendingTick
		}
	}
	return idleTick
}

// dispatchAll admits waiting requests to slots that became free without a release: renewed grants, and runners
// whose ejection has ended.
func (a *Admit) dispatchAll() {
	for _, row := range a.table.Load().services {
		row.service.lockAndDispatch()
	}
}

// requestTick makes Run tick again soon, because a report is pending.
func (a *Admit) requestTick() {
	select {
	case a.tickRequested <- struct{}{}:
	default:
	}
}

func (a *Admit) reportAllIfDue(cause slots.Cause) {
	demands, sum := a.collectDemands(a.options.Clock.Now())
	for _, home := range a.holder.Homes() {
		if l, ok := a.links[home]; ok {
			a.reportDemandsIfDue(l, cause, demands, sum)
		}
	}
}

// reportIfDue sends a report to the link's entry if one is due.
func (a *Admit) reportIfDue(l *link, cause slots.Cause) {
	demands, sum := a.collectDemands(a.options.Clock.Now())
	a.reportDemandsIfDue(l, cause, demands, sum)
}

func (a *Admit) reportDemandsIfDue(l *link, cause slots.Cause, demands []slots.Demand, sum int) {
	now := a.options.Clock.Now()
	if !l.pacer.Due(now, cause, sum) {
		if cause != 0 && !l.pacer.Outstanding {
			a.requestTick()
		}
		return
	}
	r := a.holder.Report(l.name, demands)
	l.pacer.ReportSent(now, sum, !r.Full && len(r.Claims) > 0)
	if l.name == a.options.Name {
		a.handleAnswer(l, r, now, a.handleReport(r))
		return
	}
	l.reports <- r
}

func (a *Admit) handleReport(r slots.Report) slots.Answer {
	answer, wake := a.ledger.HandleReport(r, a.options.Clock.Now())
	for _, name := range wake {
		if name == a.options.Name {
			a.reportIfDue(a.links[name], slots.CauseWoken)
			continue
		}
		if l, ok := a.links[name]; ok {
			select {
			case l.wakes <- struct{}{}:
			default:
			}
		}
	}
	return answer
}

func (a *Admit) handleAnswer(l *link, r slots.Report, sent time.Time, answer slots.Answer) {
	again := l.pacer.ReportEnded()
	if a.holder.HandleAnswer(l.name, r.Number, sent, answer) {
		again = slots.CauseFollowUp
	}
	a.dispatchAll()
	if again != 0 {
		l.pacer.Pending = again
		a.requestTick()
	}
}

func (a *Admit) collectDemands(now time.Time) ([]slots.Demand, int) {
	var demands []slots.Demand
	sum := 0
	for name, row := range a.table.Load().services {
		if count := row.service.demand(now); count > 0 {
			demands = append(demands, slots.Demand{Service: name, Count: count})
			sum += count
		}
	}
	return demands, sum
}

// sendReport sends a report and handles the answer; it runs on the link's goroutine.
func (a *Admit) sendReport(ctx context.Context, l *link, r slots.Report) {
	sent := a.options.Clock.Now()
	answer, err := a.options.Homes.Report(ctx, l.name, r)
	if err != nil {
		a.options.Logger.Debug("report_not_answered", zap.String("home", l.name), zap.Error(err))
	}
	ended := func() {
		if err != nil {
			l.pacer.ReportEnded()
			return
		}
		a.handleAnswer(l, r, sent, answer)
		if l.pacer.Pending == slots.CauseFollowUp {
			a.reportIfDue(l, slots.CauseFollowUp)
		}
	}
	if err := a.options.Loop.Call(ctx, ended); err != nil {
		a.options.Logger.Debug("control_loop_ended", zap.Error(err))
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
