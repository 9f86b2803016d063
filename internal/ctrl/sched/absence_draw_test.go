package sched_test

import "slices"

func (d *absenceDay) drawAbsence(h *absenceHost) {
	if !h.up || h.frozen {
		return
	}
	leads, _ := h.Leads()
	until := d.nowMs + int64(d.random.IntN(absenceMaxMs))
	switch {
	case d.happens(d.kind.Freeze), len(h.reads) > 0 && d.happens(d.kind.FreezeAsking):
		h.frozen, h.wakesMs, h.uptimeStandsStill = true, until, d.happens(d.kind.StandStill)
	case d.happens(d.kind.Kill):
		h.kill(d.random.IntN(3), until)
	case d.happens(d.kind.Cut):
		other := d.anyHost()
		d.cutMs[[2]*absenceHost{h, other}] = until
		if d.random.IntN(2) == 0 {
			d.cutMs[[2]*absenceHost{other, h}] = until
		}
	case leads && d.happens(d.kind.HandOver):
		h.step(func() { _ = h.replica.Transfer(d.anyHost().id) }) // Not to itself.
	case d.happens(d.kind.LoseDisk) && d.mayLoseDisk(h):
		h.loseDisk(until)
	case d.happens(d.kind.Replace) && d.mayLoseDisk(h):
		h.replace(until)
	}
}

// noteAcknowledged lets a strike begin that waits for an acknowledgement, once the process that gave it has done its step.
func (d *absenceDay) noteAcknowledged(h *absenceHost) {
	if d.striking && d.struck == nil {
		d.striking, d.struck = false, h
	}
}

// strike ends all processes at the same moment; as many as may lose their disks do at times, the one that has just acknowledged a change or
// those whose disks have lasted longest first.
func (d *absenceDay) strike() {
	acknowledged := d.struck
	d.struck = nil
	wipes, oldest := d.random.IntN(d.kind.Losses+1), d.random.IntN(2) == 0
	order := d.random.Perm(len(d.hosts))
	for _, at := range order {
		h := d.hosts[at]
		until := d.nowMs + int64(d.random.IntN(absenceRestartMs))
		if wipes > 0 && d.mayLoseDisk(h) && (h == acknowledged || !oldest || d.isOldestDisk(h)) {
			wipes--
			h.loseDisk(until)
			continue
		}
		h.kill(d.random.IntN(3), until)
		h.frozen = false
	}
}

// split cuts the processes into two halves for a time.
func (d *absenceDay) split() {
	until := d.nowMs + int64(d.random.IntN(absenceMaxMs))
	half := d.random.Perm(len(d.hosts))[:len(d.hosts)/2]
	for i, h := range d.hosts {
		for j, o := range d.hosts {
			if slices.Contains(half, i) != slices.Contains(half, j) {
				d.cutMs[[2]*absenceHost{h, o}] = until
			}
		}
	}
}

// isOldestDisk reports whether no process has had its disk for longer than one.
func (d *absenceDay) isOldestDisk(h *absenceHost) bool {
	for _, o := range d.hosts {
		if !o.lost && o.id < h.id {
			return false
		}
	}
	return true
}

// heal ends all absences.
func (d *absenceDay) heal() {
	clear(d.cutMs)
	for _, h := range d.hosts {
		h.wakesMs = d.nowMs
	}
	d.wakeDue()
}
