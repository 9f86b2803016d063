package sched_test

import "cowslipstack/internal/ctrl/quorum"

const (
	// absenceHelloSteps is how many steps lie between two hellos of a process, absenceCheckSteps between two checks of the members.
	absenceHelloSteps = 16
	absenceCheckSteps = 4
)

// envelope is a message between processes under way.
type envelope struct {
	from, to *absenceHost
	// deliver handles the message at the receiver.
	deliver func()
}

func (d *absenceDay) send(from, to *absenceHost, deliver func()) {
	d.network = append(d.network, envelope{from: from, to: to, deliver: deliver})
}

// sendMessage sends a message of the replicated log to the process that has its receiver by now.
func (d *absenceDay) sendMessage(from *absenceHost, m quorum.Message) {
	for _, to := range d.hosts {
		if to.id == m.To {
			d.send(from, to, func() { to.step(func() { to.replica.Step(m) }) })
		}
	}
}

// greet sends a process's hello to all others.
func (d *absenceDay) greet(h *absenceHost) {
	own := h.membership.MakeHello(h.Milliseconds())
	for _, to := range d.hosts {
		if to == h {
			continue
		}
		d.send(h, to, func() {
			to.membership.HandleHello(&own, to.Milliseconds())
			answer := to.membership.MakeHello(to.Milliseconds())
			d.send(to, h, func() { h.membership.HandleHello(&answer, h.Milliseconds()) })
		})
	}
}

// changeMembers proposes the next change of the members that the leader sees, as package site does.
func (d *absenceDay) changeMembers(h *absenceHost) {
	if leads, _ := h.Leads(); !leads || h.changing || !h.scheduler.Active() {
		return
	}
	change, ok := h.membership.NextChange(h.replica.MemberStatuses(), d.kind.Losses, h.Milliseconds())
	if !ok {
		return
	}
	h.changing = true
	err := h.propose(func(error) { h.changing = false }, func() (quorum.Position, error) { return h.replica.ProposeChange(change) })
	if err != nil {
		h.changing = false
	}
}

// noteRecovered ends the loss of disks whose processes are voters by a committed change.
func (d *absenceDay) noteRecovered() {
	leader := d.newestLeader()
	if leader == nil || leader.replica.MembersIndex() > leader.replica.Commit() {
		return
	}
	for _, m := range leader.replica.Members() {
		for _, h := range d.hosts {
			if h.id == m.ID && m.Voter {
				h.lostDisk = false
			}
		}
	}
}

// newestLeader returns the process that leads in the highest term, nil for none.
func (d *absenceDay) newestLeader() *absenceHost {
	var newest *absenceHost
	for _, h := range d.hosts {
		if leads, term := h.Leads(); leads && h.up && (newest == nil || term > newest.replica.Term()) {
			newest = h
		}
	}
	return newest
}

// mayLoseDisk reports whether one more disk may be lost: at most Losses of them until their processes are voters again.
func (d *absenceDay) mayLoseDisk(h *absenceHost) bool {
	lost := 0
	for _, o := range d.hosts {
		if o.lostDisk {
			lost++
		}
	}
	return !h.lostDisk && lost < d.kind.Losses
}
