package batch

// Resources is an amount of resources: what a worker offers or what a task needs.
type Resources struct {
	// CPUMilli is processor time in thousandths of a core.
	CPUMilli int64
	// MemoryMB is memory in megabytes.
	MemoryMB int64
	// Accelerators is a number of whole accelerators.
	Accelerators int64
}

// Covers reports whether need fits into c in every dimension.
func (c Resources) Covers(need Resources) bool {
	return need.CPUMilli <= c.CPUMilli && need.MemoryMB <= c.MemoryMB && need.Accelerators <= c.Accelerators
}

// InRange reports whether each amount is one that a VM can have or a task can need.
func (c Resources) InRange() bool {
	return min(c.CPUMilli, c.MemoryMB, c.Accelerators) >= 0 && max(c.CPUMilli, c.MemoryMB, c.Accelerators) <= maxAmount
}

// Min returns the smaller amount of c and other in each dimension.
func (c Resources) Min(other Resources) Resources {
	return Resources{
		CPUMilli: min(c.CPUMilli, other.CPUMilli), MemoryMB: min(c.MemoryMB, other.MemoryMB),
		Accelerators: min(c.Accelerators, other.Accelerators),
	}
}

// Max returns the larger amount of c and other in each dimension.
func (c Resources) Max(other Resources) Resources {
	return Resources{
		CPUMilli: max(c.CPUMilli, other.CPUMilli), MemoryMB: max(c.MemoryMB, other.MemoryMB),
		Accelerators: max(c.Accelerators, other.Accelerators),
	}
}

// Add returns c plus other.
func (c Resources) Add(other Resources) Resources {
	return Resources{
		CPUMilli: c.CPUMilli + other.CPUMilli, MemoryMB: c.MemoryMB + other.MemoryMB, Accelerators: c.Accelerators + other.Accelerators,
	}
}

// Times returns n times c.
func (c Resources) Times(n int) Resources {
	return Resources{CPUMilli: c.CPUMilli * int64(n), MemoryMB: c.MemoryMB * int64(n), Accelerators: c.Accelerators * int64(n)}
}

// Sub returns c minus need; dimensions may become negative.
func (c Resources) Sub(need Resources) Resources {
	return Resources{
		CPUMilli: c.CPUMilli - need.CPUMilli, MemoryMB: c.MemoryMB - need.MemoryMB,
		Accelerators: c.Accelerators - need.Accelerators,
	}
}
