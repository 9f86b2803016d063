package sched_test

import (
	"fmt"
	"slices"

	"cowslipstack/internal/model/batch"
)

// drawCalls makes calls at any process, whether it leads, stands still or not.
func (d *absenceDay) drawCalls() {
	h := d.anyHost()
	switch d.random.IntN(8) {
	case 0:
		d.drawOrder()
	case 1:
		d.submit(h)
	case 2:
		d.askForJob(h)
	case 3:
		d.readAccess(h)
	case 4, 5:
		d.askForQueue(h)
	default:
		d.readConfiguration(h)
	}
}

func (d *absenceDay) anyHost() *absenceHost { return d.hosts[d.random.IntN(len(d.hosts))] }

// call makes a call at a process; reply is called if it answers.
func (d *absenceDay) call(h *absenceHost, c *batch.Call, reply func(batch.Reply)) {
	if h.up {
		h.unread = append(h.unread, func() { h.scheduler.Call(c, h.Milliseconds(), reply) })
	}
}

func (d *absenceDay) submit(h *absenceHost) {
	if len(d.accepted) >= absenceMaxJobs {
		return
	}
	id := fmt.Sprintf("%016x", d.random.Uint64())
	job := batch.Job{Steps: []batch.Step{{Count: 1, Need: batch.Resources{CPUMilli: 100}, EstimateMs: 300}}}
	d.call(h, &batch.Call{Submit: &batch.Submission{Host: "h", Path: "/q/" + id, Job: job}}, func(r batch.Reply) {
		if r.Code == batch.CodeOK && !slices.Contains(d.accepted, id) {
			d.accepted = append(d.accepted, id)
		}
	})
}

func (d *absenceDay) askForJob(h *absenceHost) {
	if len(d.accepted) == 0 {
		return
	}
	id, sentMs := d.accepted[d.random.IntN(len(d.accepted))], d.nowMs
	d.call(h, &batch.Call{JobState: &batch.RequestTarget{Host: "h", Path: "/q/" + id}}, func(r batch.Reply) {
		if r.Code == batch.CodeGone {
			d.breach(h, sentMs, "doesn't know a job that was accepted before")
		}
	})
}

func (d *absenceDay) readConfiguration(h *absenceHost) {
	least, sentMs := d.model.Least(), d.nowMs
	d.reads++
	d.call(h, &batch.Call{ReadConfiguration: true}, func(r batch.Reply) {
		if r.Code == batch.CodeOK {
			d.answers++
			d.breachIf(h, sentMs, d.model.NoteRead(string(r.Text), least))
		}
	})
}

func (d *absenceDay) readAccess(h *absenceHost) {
	least, sentMs := d.model.Least(), d.nowMs
	d.reads++
	d.call(h, &batch.Call{ReadAccess: &batch.AccessRequest{}}, func(r batch.Reply) {
		if r.Code == batch.CodeOK {
			d.answers++
			d.breachIf(h, sentMs, d.model.NoteVersion(r.Access.Version, least))
		}
	})
}

// askForQueue asks for the waiting jobs of the queue that one configuration alone has.
func (d *absenceDay) askForQueue(h *absenceHost) {
	o := d.model.Recent(d.random.IntN)
	if o == nil {
		return
	}
	least, sentMs := d.model.Least(), d.nowMs
	c := &batch.Call{Pending: &batch.RequestTarget{Host: "h", Path: queuePath(o)}}
	d.call(h, c, func(r batch.Reply) {
		switch r.Code {
		case batch.CodeOK:
			d.breachIf(h, sentMs, d.model.NoteObeyed(o, least))
		case batch.CodeNotFound:
			d.breachIf(h, sentMs, d.model.NoteNotObeyed(o, least))
		default:
		}
	})
}

func (d *absenceDay) breachIf(h *absenceHost, sentMs int64, what string) {
	if what != "" {
		d.breach(h, sentMs, what)
	}
}

func (d *absenceDay) breach(h *absenceHost, sentMs int64, what string) {
	d.breaches = append(d.breaches, fmt.Sprintf("at %d ms replica %d %s the call was sent, %d ms ago", d.nowMs, h.id, what, d.nowMs-sentMs))
}
