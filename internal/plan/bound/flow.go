package bound

// day is the work that is placed so far in the slots of the day.
type day struct {
	// first and last are each job's first and last slot.
	first, last []int
	// left is the work of each job that isn't placed, in core-milliseconds.
	left []int64
	// free is the capacity of each slot that isn't used, in core-milliseconds.
	free []int64
	// placed holds the work of jobs in each slot, in core-milliseconds.
	placed [][]part
	// closed are the slots that are full of work that can only move among such slots; no path through them finds free capacity.
	closed []bool
	// search is the search for a path in progress.
	search search
}

// part is the work of a job in a slot.
type part struct {
	job    int
	amount int64
}

// search is a breadth-first search for free capacity. The slots that it reaches form an interval.
type search struct {
	low, high int
	// queue are the slots that were reached, except closed ones.
	queue []int
	// parent is the slot from which a slot was reached, -1 for the slots of the job to be placed, and mover the job whose work
	// moves from the parent to it.
	parent, mover []int
	// round is the search in which a job's slots were last reached, and rounds the number of searches.
	round  []int
	rounds int
}

func newDay(jobs []Job, capacity []Capacity, slotMs int64) *day {
	startMs, endMs := jobs[0].SubmittedMs, jobs[0].SubmittedMs
	for i := range jobs {
		startMs = min(startMs, jobs[i].SubmittedMs)
		endMs = max(endMs, jobs[i].SubmittedMs+jobs[i].SLOMs)
	}
	slots := int((endMs-startMs)/slotMs) + 1
	d := &day{
		first: make([]int, len(jobs)), last: make([]int, len(jobs)), left: make([]int64, len(jobs)),
		free: slotCapacities(capacity, startMs, slotMs, slots), placed: make([][]part, slots), closed: make([]bool, slots),
		search: search{parent: make([]int, slots), mover: make([]int, slots), round: make([]int, len(jobs))},
	}
	for i := range jobs {
		j := &jobs[i]
		d.left[i] = j.WorkMs
		d.first[i] = int((j.SubmittedMs - startMs) / slotMs)
		// An SLO at the start of a slot leaves no time in that slot.
		d.last[i] = max(d.first[i], int((j.SubmittedMs+j.SLOMs-startMs-1)/slotMs))
	}
	return d
}

// place places as much of a job's work as is feasible beside the work that is placed, and returns how much that is.
func (d *day) place(job int) int64 {
	work := d.left[job]
	for s := d.first[job]; s <= d.last[job] && d.left[job] > 0; s++ {
		if amount := min(d.free[s], d.left[job]); amount > 0 {
			d.free[s] -= amount
			d.add(s, job, amount)
			d.left[job] -= amount
		}
	}
	for d.left[job] > 0 {
		target := d.findFree(job)
		if target < 0 {
			for _, s := range d.search.queue {
				d.closed[s] = true
			}
			break
		}
		d.augment(job, target)
	}
	return work - d.left[job]
}

// findFree returns a slot with free capacity that a job's work can reach if work that is placed moves, and -1 for none.
func (d *day) findFree(job int) int {
	f := &d.search
	f.rounds++
	f.queue = f.queue[:0]
	f.low, f.high = d.first[job], d.first[job]-1
	f.round[job] = f.rounds
	d.reach(job, -1)
	for n := 0; n < len(f.queue); n++ {
		s := f.queue[n]
		if d.free[s] > 0 {
			return s
		}
		for _, p := range d.placed[s] {
			if f.round[p.job] != f.rounds {
				f.round[p.job] = f.rounds
				d.reach(p.job, s)
			}
		}
	}
	return -1
}

// reach adds a job's slots that weren't reached yet to the search; its work moves there from a slot.
func (d *day) reach(job, from int) {
	f := &d.search
	for f.low > d.first[job] {
		f.low--
		d.enqueue(f.low, job, from)
	}
	for f.high < d.last[job] {
		f.high++
		d.enqueue(f.high, job, from)
	}
}

func (d *day) enqueue(s, job, from int) {
	if d.closed[s] {
		return
	}
	f := &d.search
	f.parent[s], f.mover[s] = from, job
	f.queue = append(f.queue, s)
}

// augment places work of a job along the path that the search found to a slot with free capacity.
func (d *day) augment(job, target int) {
	f := &d.search
	amount := min(d.left[job], d.free[target])
	for s := target; f.parent[s] >= 0; s = f.parent[s] {
		amount = min(amount, d.amountOf(f.parent[s], f.mover[s]))
	}
	d.free[target] -= amount
	for s := target; s >= 0; s = f.parent[s] {
		d.add(s, f.mover[s], amount)
		if f.parent[s] >= 0 {
			d.add(f.parent[s], f.mover[s], -amount)
		}
	}
	d.left[job] -= amount
}

// amountOf returns the work of a job in a slot.
func (d *day) amountOf(s, job int) int64 {
	for _, p := range d.placed[s] {
		if p.job == job {
			return p.amount
		}
	}
	return 0
}

// add adds to the work of a job in a slot, and drops the job from the slot once no work of it is left there.
func (d *day) add(s, job int, amount int64) {
	parts := d.placed[s]
	for i := range parts {
		if parts[i].job != job {
			continue
		}
		if parts[i].amount += amount; parts[i].amount == 0 {
			parts[i] = parts[len(parts)-1]
			d.placed[s] = parts[:len(parts)-1]
		}
		return
	}
	d.placed[s] = append(parts, part{job: job, amount: amount})
}
