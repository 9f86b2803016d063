package admit

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cowslipstack/internal/edge/slots"
)

const (
	// busyTick is the time between looks at what is due while a report waits for its time.
	busyTick = 25 * time.Millisecond
	// idleTick is the time between looks else; it bounds the age of the table.
	idleTick = 200 * time.Millisecond
	// wakesWaiting is the most wakes that wait for one entry; beyond it they are dropped.
	wakesWaiting = 4
)

// link is the exchange with one entry; the pacer belongs to the loop.
type link struct {
	name    string
	pacer   slots.Pacer
	reports chan slots.Report
	wakes   chan struct{}
}

func newLink(name string) *link {
	return &link{name: name, reports: make(chan slots.Report, 1), wakes: make(chan struct{}, wakesWaiting)}
}

// Run keeps the table and the shares up to date until the context ends.
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
		case <-a.pending:
			timer.Stop()
		case <-timer.C():
		}
	}
}

// RunLink sends this entry's reports and wakes to one other entry until the context ends.
func (a *Admit) RunLink(ctx context.Context, name string) error {
	l := a.peers[name]
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wakes:
			if err := a.options.Homes.Wake(ctx, name, a.options.Name); err != nil {
				a.options.Logger.Debug("wake_not_sent", zap.String("entry", name), zap.Error(err))
			}
		case r := <-l.reports:
			a.exchange(ctx, l, r)
		}
	}
}

// Take answers another entry's report.
func (a *Admit) Take(ctx context.Context, r slots.Report) (slots.Answer, error) {
	var answer slots.Answer
	err := a.options.Loop.Call(ctx, func() { answer = a.take(r) })
	return answer, err
}

// Wake notes that a home wants a report.
func (a *Admit) Wake(ctx context.Context, home string) error {
	return a.options.Loop.Call(ctx, func() {
		if l, ok := a.peers[home]; ok {
			a.report(l, slots.CauseWoken)
		}
	})
}

// signalHungry tells the control loop, once, that requests wait.
func (a *Admit) signalHungry() {
	if a.hungry.Swap(true) {
		return
	}
	if err := a.options.Loop.TryPost(func() { a.hungry.Store(false); a.reportAll(slots.CauseHungry) }); err != nil {
		a.hungry.Store(false)
	}
}

// The functions below run on the control loop.

// tick does what is due and returns the time to the next look.
func (a *Admit) tick() time.Duration {
	a.Refresh()
	a.reportAll(0)
	a.serveWaiting()
	for _, l := range a.peers {
		if l.pacer.Again != 0 {
			return busyTick
		}
	}
	return idleTick
}

// serveWaiting serves those that wait for slots that came free without a release: grants that were renewed,
// and runners whose ejection has ended.
func (a *Admit) serveWaiting() {
	for _, entry := range a.table.Load().services {
		entry.service.serveWaiting()
	}
}

// look has Run look again soon, since a report waits for its time.
func (a *Admit) look() {
	select {
	case a.pending <- struct{}{}:
	default:
	}
}

func (a *Admit) reportAll(cause slots.Cause) {
	demands, sum := a.demands(a.options.Clock.Now())
	for _, home := range a.holder.Homes() {
		if l, ok := a.peers[home]; ok {
			a.reportDemands(l, cause, demands, sum)
		}
	}
}

// report makes a report where one is due, and sends it on its way.
func (a *Admit) report(l *link, cause slots.Cause) {
	demands, sum := a.demands(a.options.Clock.Now())
	a.reportDemands(l, cause, demands, sum)
}

func (a *Admit) reportDemands(l *link, cause slots.Cause, demands []slots.Demand, sum int) {
	now := a.options.Clock.Now()
	if !l.pacer.Due(now, cause, sum) {
		if cause != 0 && !l.pacer.Open {
			a.look()
		}
		return
	}
	r := a.holder.Report(l.name, demands)
	l.pacer.Reported(now, sum, !r.Full && len(r.Claims) > 0)
	if l.name == a.options.Name {
		a.accept(l, r, now, a.take(r))
		return
	}
	l.reports <- r
}

func (a *Admit) take(r slots.Report) slots.Answer {
	answer, wake := a.ledger.Take(r, a.options.Clock.Now())
	for _, name := range wake {
		if name == a.options.Name {
			a.report(a.peers[name], slots.CauseWoken)
			continue
		}
		if l, ok := a.peers[name]; ok {
			select {
			case l.wakes <- struct{}{}:
			default:
			}
		}
	}
	return answer
}

func (a *Admit) accept(l *link, r slots.Report, sent time.Time, answer slots.Answer) {
	again := l.pacer.Ended()
	if a.holder.Accept(l.name, r.Number, sent, answer) {
		again = slots.CauseFollow
	}
	a.serveWaiting()
	if again != 0 {
		l.pacer.Again = again
		a.look()
	}
}

func (a *Admit) demands(now time.Time) ([]slots.Demand, int) {
	var demands []slots.Demand
	sum := 0
	for name, entry := range a.table.Load().services {
		if count := entry.service.demand(now); count > 0 {
			demands = append(demands, slots.Demand{Service: name, Count: count})
			sum += count
		}
	}
	return demands, sum
}

// exchange sends a report and takes the answer; it runs on the link's goroutine.
func (a *Admit) exchange(ctx context.Context, l *link, r slots.Report) {
	sent := a.options.Clock.Now()
	answer, err := a.options.Homes.Report(ctx, l.name, r)
	if err != nil {
		a.options.Logger.Debug("report_not_answered", zap.String("home", l.name), zap.Error(err))
	}
	ended := func() {
		if err != nil {
			l.pacer.Ended()
			return
		}
		a.accept(l, r, sent, answer)
		if l.pacer.Again == slots.CauseFollow {
			a.report(l, slots.CauseFollow)
		}
	}
	if err := a.options.Loop.Call(ctx, ended); err != nil {
		a.options.Logger.Debug("control_loop_ended", zap.Error(err))
	}
}

// demand returns what the service asks for.
func (s *service) demand(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.offered.Demand(now, s.mean, len(s.flights), s.queue.Len())
}

// serveWaiting gives free slots to those that wait.
func (s *service) serveWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch()
}
