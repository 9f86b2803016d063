package pools

import (
	"cmp"
	"slices"
)

// minIdleMs is how long a pool must have had too many VMs before it gives any back, in milliseconds.
const minIdleMs = 600

// Move is the transfer of a VM to another pool.
type Move struct {
	// VM is the VM's name.
	VM string
	// From is the pool that it leaves.
	From string
	// To is the pool that it joins.
	To string
}

// Result holds the actions of a plan, and the shares that they lead to.
type Result struct {
	Shares

	// Moves are the transfers to start now.
	Moves []Move
	// Drains are the names of the VMs that get no more tasks, so that they can move later.
	Drains []string
}

// shortage is the number of VMs that a pool lacks.
type shortage struct {
	pool    string
	missing int
}

// donor is a pool that can give up VMs.
type donor struct {
	pool Pool
	// spare is the number of VMs that it can give up; vms are those that can leave, empty ones first, then those that are empty soonest.
	spare int
	vms   []VM
}

// Planner plans the moves that give each pool its share.
type Planner struct{}

// Plan returns the moves and drains that bring the pools closer to their shares, with no more than maxMoves moves.
func (Planner) Plan(all []Pool, maxMoves int) Result {
	return MoveTowards(all, Share(all), maxMoves)
}

// MoveTowards returns the moves and drains that bring the pools closer to the shares, with no more than maxMoves moves.
func MoveTowards(all []Pool, shares Shares, maxMoves int) Result {
	short, donors, standby := compare(all, shares)
	// VMs that are switched off are taken first, then those of the pool with the most to spare.
	slices.SortStableFunc(donors, func(a, b *donor) int {
		if a.pool.Standby != b.pool.Standby {
			if a.pool.Standby {
				return -1
			}
			return 1
		}
		return b.spare - a.spare
	})
	slices.SortStableFunc(short, func(a, b shortage) int { return b.missing - a.missing })
	r := Result{Shares: shares}
	for _, p := range short {
		for range p.missing {
			r.acquire(donors, p.pool, maxMoves)
		}
	}
	for _, d := range donors {
		if standby == "" || d.pool.Standby || d.pool.IdleMs < minIdleMs {
			continue
		}
		for d.spare > 0 && len(d.vms) > 0 {
			r.release(d, standby, maxMoves)
		}
	}
	return r
}

// compare returns the pools that have fewer VMs than their share, those that have more, and the name of the standby pool.
func compare(all []Pool, shares Shares) (short []shortage, donors []*donor, standby string) {
	for i, p := range all {
		if p.Standby {
			standby = p.Name
		}
		switch missing := shares.Targets[i] - len(p.VMs); {
		case missing > 0:
			short = append(short, shortage{pool: p.Name, missing: missing})
		case missing < 0:
			donors = append(donors, newDonor(p, -missing))
		}
	}
	return short, donors, standby
}

func newDonor(p Pool, spare int) *donor {
	d := &donor{pool: p, spare: spare}
	for _, v := range p.VMs {
		if !v.Fixed {
			d.vms = append(d.vms, v)
		}
	}
	slices.SortStableFunc(d.vms, func(a, b VM) int {
		if a.Empty != b.Empty {
			if a.Empty {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.BusyMs, b.BusyMs)
	})
	return d
}

// acquire sends a VM that another pool can spare to a pool that lacks one. It prefers an empty VM that is on, which
// a separate move would otherwise switch off, then one that is off, then one that has to be drained first.
func (r *Result) acquire(donors []*donor, to string, maxMoves int) {
	canGive := func(d *donor) bool { return d.spare > 0 && len(d.vms) > 0 }
	for _, matches := range []func(*donor) bool{
		func(d *donor) bool { return canGive(d) && !d.pool.Standby && d.vms[0].Empty },
		canGive,
	} {
		if i := slices.IndexFunc(donors, matches); i >= 0 {
			r.release(donors[i], to, maxMoves)
			return
		}
	}
}

// release takes the VM that is empty soonest out of a pool. The VM moves at once if it is empty, and is drained first otherwise.
func (r *Result) release(d *donor, to string, maxMoves int) {
	v := d.vms[0]
	d.vms, d.spare = d.vms[1:], d.spare-1
	switch {
	case !v.Empty:
		r.Drains = append(r.Drains, v.Name)
	case len(r.Moves) < maxMoves:
		r.Moves = append(r.Moves, Move{VM: v.Name, From: d.pool.Name, To: to})
	}
}
