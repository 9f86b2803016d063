package sched_test

import "cowslipstack/internal/ctrl/quorum"

const (
	// absenceHelloSteps is how many steps lie between two hellos of a process, absenceCheckSteps between two checks of the members.
	absenceHelloSteps = 16
	absenceCheckSteps = 4
	// absenceCatchUpMs is how long a process without its disk counts as lost once it is back, as on the large site.
	absenceCatchUpMs = 6000
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

// noteRecovered ends the loss of disks whose processes have been back for absenceCatchUpMs while another one led and reached them. A process
// that was replaced is told from one that stands still only while no other is away.
func (d *absenceDay) noteRecovered() {
	leader := d.newestLeader()
	if leader == nil || leader.frozen || !leader.scheduler.Active() {
		return
	}
	allThere := true
	for _, h := range d.hosts {
		allThere = allThere && d.reaches(leader, h)
	}
	for _, h := range d.hosts {
		if h.lost && (allThere || !h.replaced && d.reaches(leader, h)) {
			h.backMs += absenceStepMs
			h.lost = h.backMs < absenceCatchUpMs
		}
	}
}

// reaches reports whether messages pass between two processes, both ways.
func (d *absenceDay) reaches(h, o *absenceHost) bool {
	return o.up && !o.frozen && d.nowMs >= d.cutMs[[2]*absenceHost{h, o}] && d.nowMs >= d.cutMs[[2]*absenceHost{o, h}]
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

// mayLoseDisk reports whether one more disk may be lost: at most Losses of them at a time.
func (d *absenceDay) mayLoseDisk(h *absenceHost) bool {
	lost := 0
	for _, o := range d.hosts {
		if o.lost {
			lost++
		}
	}
	return !h.lost && lost < d.kind.Losses
}
