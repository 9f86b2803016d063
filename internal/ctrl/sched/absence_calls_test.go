package sched_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cowslipstack/internal/model/batch"
)

// drawCalls makes calls at any process, whether it leads, stands still or not.
func (d *absenceDay) drawCalls() {
	h := d.hosts[d.random.IntN(len(d.hosts))]
	switch d.random.IntN(6) {
	case 0:
		d.configure(h)
	case 1:
		d.submit(h)
	case 2:
		d.askForJob(h)
	case 3:
		d.readAccess(h)
	default:
		d.readConfiguration(h)
	}
}

// call makes a call at a process; reply is called if it answers.
func (d *absenceDay) call(h *absenceHost, c *batch.Call, reply func(batch.Reply)) {
	if h.up {
		h.unread = append(h.unread, func() { h.scheduler.Call(c, h.Milliseconds(), reply) })
	}
}

func (d *absenceDay) configure(h *absenceHost) {
	d.sentVersion++
	c := &batch.Configuration{
		Version: d.sentVersion, Text: []byte(strconv.FormatUint(d.sentVersion, 10)),
		Queues: []batch.Queue{{Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, SlackFactor: 2, TargetLatencyMs: 3000, TimeoutMs: 3000}},
		Pools:  []batch.Pool{{Name: "p", AdmissionCheck: true}},
	}
	d.call(h, &batch.Call{Configure: c}, func(r batch.Reply) {
		if r.Code == batch.CodeOK {
			d.acknowledgedVersion = max(d.acknowledgedVersion, c.Version)
		}
	})
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
	d.expectVersion(h, &batch.Call{ReadConfiguration: true}, func(r batch.Reply) uint64 {
		version, _ := strconv.ParseUint(strings.TrimSpace(string(r.Text)), 10, 64) // 0 is older than any.
		return version
	})
}

func (d *absenceDay) readAccess(h *absenceHost) {
	d.expectVersion(h, &batch.Call{ReadAccess: &batch.AccessRequest{}}, func(r batch.Reply) uint64 { return r.Access.Version })
}

// expectVersion makes a call whose answer holds the version that was acknowledged when it was sent, or a higher one.
func (d *absenceDay) expectVersion(h *absenceHost, c *batch.Call, versionOf func(batch.Reply) uint64) {
	least, sentMs := d.acknowledgedVersion, d.nowMs
	d.reads++
	d.call(h, c, func(r batch.Reply) {
		if r.Code != batch.CodeOK {
			return
		}
		d.answers++
		if version := versionOf(r); version < least {
			d.breach(h, sentMs, fmt.Sprintf("gives version %d, though version %d was acknowledged before", version, least))
		}
	})
}

func (d *absenceDay) breach(h *absenceHost, sentMs int64, what string) {
	d.breaches = append(d.breaches, fmt.Sprintf("at %d ms replica %d %s the call was sent, %d ms ago", d.nowMs, h.id, what, d.nowMs-sentMs))
}
