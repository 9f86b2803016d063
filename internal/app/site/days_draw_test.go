package site

import (
	"fmt"
	"slices"
	"time"
)

const (
	// askingTime is about how long a quorum takes to answer.
	askingTime = 6 * time.Millisecond
	// unreadReads is the number of reads that come to a process shortly before it goes on.
	unreadReads = 3
)

func (d *day) drawAbsence(s *processSlot) {
	if s.process == nil || s.frozen || s.stopping {
		return
	}
	until := time.Now().Add(time.Duration(d.random.Int64N(int64(maxAbsence))))
	switch {
	case d.happens(d.kind.Freeze):
		s.freeze(until)
	case d.happens(d.kind.Kill):
		d.kill(s, false, until)
	case d.happens(d.kind.Power):
		d.kill(s, true, until)
	case d.happens(d.kind.Cut):
		other := d.anySlot()
		d.network.cut(s.address, other.address, until)
		if d.random.IntN(2) == 0 {
			d.network.cut(other.address, s.address, until)
		}
	case d.happens(d.kind.Stop):
		s.stop()
		s.wakes = until
	case d.happens(d.kind.Reset):
		s.process.machine.resetConnections()
	case d.happens(d.kind.LoseDisk) && d.mayLoseDisk(s):
		d.loseDisk(s, until)
	case d.happens(d.kind.Replace) && d.mayLoseDisk(s):
		d.loseDisk(s, until)
		d.replace(s)
	}
}

// kill ends a process until a time.
func (d *day) kill(s *processSlot, dark bool, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.kill(dark)
	s.wakes = until
}

func (d *day) loseDisk(s *processSlot, until time.Time) {
	d.kill(s, true, until)
	s.disk, s.lost, s.back = newSimulatedDisk(), true, time.Time{}
}

// replace gives a machine that is gone for good another name and address.
func (d *day) replace(s *processSlot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replaced++
	s.name = fmt.Sprintf("r%d", d.replaced)
	s.address = addressOf(len(d.slots) + d.replaced)
}

// mayLoseDisk reports whether one more disk may be lost.
func (d *day) mayLoseDisk(s *processSlot) bool {
	lost := 0
	for _, o := range d.slots {
		if o.lost {
			lost++
		}
	}
	return s.disk != nil && !s.lost && lost < d.kind.Losses
}

// noteRecovered ends the loss of disks whose processes have been back for the catch-up time, while no other process with a disk is away.
func (d *day) noteRecovered() {
	for _, s := range d.slots {
		for _, o := range d.slots {
			if s.disk != nil && o.disk != nil && (s.process == nil || s.frozen || !d.network.passes(s.address, o.address)) {
				for _, s := range d.slots {
					s.back = time.Time{}
				}
				return
			}
		}
	}
	for _, s := range d.slots {
		switch {
		case !s.lost:
		case s.back.IsZero():
			s.back = time.Now()
		case time.Since(s.back) >= catchUpTime:
			s.lost = false
		}
	}
}

// strike ends all processes at the same moment; as many as may lose their disks do at times.
func (d *day) strike(acknowledged *processSlot) {
	wipes, power := d.random.IntN(d.kind.Losses+1), d.random.IntN(3) > 0
	first := d.random.IntN(2) == 0
	for _, at := range d.random.Perm(len(d.slots)) {
		s := d.slots[at]
		until := time.Now().Add(time.Duration(d.random.Int64N(int64(maxRestart))))
		if wipes > 0 && d.mayLoseDisk(s) && (!first || s == acknowledged || wipes > 1) {
			wipes--
			d.loseDisk(s, until)
			continue
		}
		d.kill(s, power, until)
	}
}

// freezeLeader lets the leader stand still while it asks a quorum for a call that has just come.
func (d *day) freezeLeader() {
	for _, s := range d.slots {
		if s.process == nil || s.frozen || s.stopping || s.process.parts.Membership.Route().Leader != s.name {
			continue
		}
		d.readInBackground(s.process, 1)
		time.Sleep(time.Duration(d.random.Int64N(int64(askingTime))))
		s.freeze(time.Now().Add(time.Duration(d.random.Int64N(int64(maxAbsence)))))
		return
	}
}

// readInBackground lets callers read the configuration from a process.
func (d *day) readInBackground(p *process, count int) {
	for range count {
		d.background(func() { d.readConfiguration(p) })
	}
}

// split cuts the machines into two halves for a time.
func (d *day) split() {
	until := time.Now().Add(time.Duration(d.random.Int64N(int64(maxAbsence))))
	half := d.random.Perm(len(d.slots))[:len(d.slots)/2]
	for i, s := range d.slots {
		for j, o := range d.slots {
			if slices.Contains(half, i) != slices.Contains(half, j) {
				d.network.cut(s.address, o.address, until)
			}
		}
	}
}

// wakeDue lets the processes go on, or start again, whose absence is over.
func (d *day) wakeDue() {
	d.endStopped()
	for _, s := range d.slots {
		switch {
		case time.Now().Before(s.wakes):
		case s.process == nil:
			if err := s.start(); err != nil {
				d.note(s.name, time.Now(), "process", func() string { return err.Error() })
				s.wakes = time.Now().Add(maxAbsence)
			}
		case s.frozen:
			// They lie unread when the process goes on.
			d.readInBackground(s.process, unreadReads)
			time.Sleep(dayStep)
			s.thaw()
		}
	}
}

// endStopped ends the processes that are done with stopping.
func (d *day) endStopped() {
	for {
		select {
		case p := <-d.stopped:
			for _, s := range d.slots {
				if s.process == p {
					d.kill(s, false, s.wakes)
				}
			}
		default:
			return
		}
	}
}

// heal ends all absences.
func (d *day) heal() {
	d.network.heal()
	for _, s := range d.slots {
		s.wakes = time.Now()
	}
	d.wakeDue()
}
