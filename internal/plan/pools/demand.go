package pools

// upcomingPercent is the part of the work that opens soon which counts as demand.
const upcomingPercent = 50

// Demand is the amount of resources that the unfinished tasks of some jobs need.
type Demand struct {
	// Running is the amount that running tasks hold.
	Running Resources
	// Waiting is the amount that waiting tasks would hold.
	Waiting Resources
	// Upcoming is the amount that the tasks of steps that open soon would hold.
	Upcoming Resources
}

// Add returns the sum of two demands.
func (d Demand) Add(o Demand) Demand {
	return Demand{Running: d.Running.Add(o.Running), Waiting: d.Waiting.Add(o.Waiting), Upcoming: d.Upcoming.Add(o.Upcoming)}
}

// part returns one of n equal parts of a demand.
func (d Demand) part(n int64) Demand {
	divide := func(r Resources) Resources { return Resources{CPUMilli: r.CPUMilli / n, MemoryMB: r.MemoryMB / n} }
	return Demand{Running: divide(d.Running), Waiting: divide(d.Waiting), Upcoming: divide(d.Upcoming)}
}

// Total returns the amount that a pool is sized for.
func (d Demand) Total() Resources {
	upcoming := Resources{CPUMilli: d.Upcoming.CPUMilli * upcomingPercent / 100, MemoryMB: d.Upcoming.MemoryMB * upcomingPercent / 100}
	return d.Running.Add(d.Waiting).Add(upcoming)
}

// Resources is an amount of resources that tasks hold or VMs have.
type Resources struct {
	// CPUMilli is processor time, in thousandths of a core.
	CPUMilli int64
	// MemoryMB is memory, in megabytes.
	MemoryMB int64
}

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPUMilli: r.CPUMilli + o.CPUMilli, MemoryMB: r.MemoryMB + o.MemoryMB}
}
