package sched_test

import (
	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/model/batch"
)

const (
	// orderAttempts is how often an operator sends a change that gets no clear answer.
	orderAttempts = 6
	// orderPatience is how many steps an operator waits for an answer before the change is sent again elsewhere.
	orderPatience = 40
)

// absenceOrder is an order and how far the operator has come with it.
type absenceOrder struct {
	*tests.Order
	// attempts is how often it was sent, answered whether the last attempt got a clear answer, and waited how many steps it has waited for
	// one.
	attempts, waited int
	answered         bool
}

// queuePath returns the path of the queue that one order alone has.
func queuePath(o *tests.Order) string { return "/" + o.Name + "/" }

func (o *absenceOrder) call() *batch.Call {
	queue := batch.Queue{Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, SlackFactor: 2, TargetLatencyMs: 3000, TimeoutMs: 3000}
	own := queue
	own.Prefix = queuePath(o.Order)
	if o.Invalid {
		own.Pool = "unknown"
	}
	return &batch.Call{Configure: &batch.Configuration{
		Version: o.Version, Text: []byte(o.Text), Queues: []batch.Queue{queue, own}, Pools: []batch.Pool{{Name: "p", AdmissionCheck: true}},
	}}
}

// newOrder returns an order that wasn't sent before.
func (d *absenceDay) newOrder(version uint64, invalid bool) *absenceOrder {
	o := &absenceOrder{Order: d.model.Add(version, invalid, func(o *tests.Order) string { return o.Name })}
	d.orders = append(d.orders, o)
	return o
}

// drawOrder sends a change; in days with crossing changes also two under one version, one that was sent before, one of a lower version,
// and invalid ones.
func (d *absenceDay) drawOrder() {
	kind := 0
	if d.kind.Crossing {
		kind = d.random.IntN(7)
	}
	next := d.model.Highest() + 1 + uint64(d.random.IntN(3))
	switch kind {
	case 3:
		d.sendOrder(d.newOrder(next, false))
		d.sendOrder(d.newOrder(next, false))
	case 4:
		if len(d.orders) > 0 {
			o := d.orders[len(d.orders)-1-min(d.random.IntN(len(d.orders)), d.random.IntN(8))]
			o.attempts = 0
			d.sendOrder(o)
		}
	case 5:
		d.sendOrder(d.newOrder(next, false))
		d.sendOrder(d.newOrder(d.lowerVersion(next), false))
	case 6:
		d.sendOrder(d.newOrder([]uint64{next, d.lowerVersion(next)}[d.random.IntN(2)], true))
	default:
		d.sendOrder(d.newOrder(next, false))
	}
}

// lowerVersion returns a version below another one, which may have been sent before.
func (d *absenceDay) lowerVersion(of uint64) uint64 {
	return max(1, of-min(of-1, 1+uint64(d.random.IntN(4))))
}

// sendOrder sends a change to any process.
func (d *absenceDay) sendOrder(o *absenceOrder) {
	h, sentMs := d.anyHost(), d.nowMs
	o.attempts++
	o.answered, o.waited = false, 0
	attempt := o.attempts
	d.call(h, o.call(), func(r batch.Reply) {
		switch r.Code {
		case batch.CodeNotRun, batch.CodeUnknown, batch.CodeOverloaded:
			return
		default:
		}
		if d.random.IntN(4) == 0 && d.kind.Crossing {
			return // The answer is lost on its way.
		}
		o.answered = o.answered || attempt == o.attempts
		d.breachIf(h, sentMs, d.model.NoteAnswer(o.Order, r.Code == batch.CodeOK))
		d.noteAcknowledged(h)
	})
}

// resendOrders sends the changes that had no clear answer for some time again, to any process.
func (d *absenceDay) resendOrders() {
	for _, o := range d.orders {
		if o.answered || o.attempts >= orderAttempts {
			continue
		}
		if o.waited++; o.waited > orderPatience {
			d.sendOrder(o)
		}
	}
}
