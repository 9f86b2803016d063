package pools

// sizingPercent is the demand that a pool is sized for, in percent of the actual demand.
const sizingPercent = 105

// Need returns how many VMs a pool should have where there are enough for all: none for the standby pool or if the
// capacity of a VM is unknown.
func Need(p Pool) int {
	return needFor(p, p.InTime.Add(p.Late).Total())
}

// needFor returns how many VMs a pool needs for an amount of resources.
func needFor(p Pool, amount Resources) int {
	if p.Standby || p.VM.CPUMilli <= 0 {
		return 0
	}
	return max(separateVMs(p), vmsFor(amount.CPUMilli, p.Lacking.CPUMilli, p.VM.CPUMilli), vmsFor(amount.MemoryMB, p.Lacking.MemoryMB, p.VM.MemoryMB))
}

// separateVMs returns how many VMs a pool needs for tasks that must run on separate ones.
func separateVMs(p Pool) int {
	if p.Standby || p.MinVMs == 0 {
		return 0
	}
	return p.MinVMs + p.Depleted
}

// vmsFor returns how many VMs with a capacity of each hold a demand, if some lack an amount together.
func vmsFor(demand, lacking, each int64) int {
	if each <= 0 || demand <= 0 {
		return 0
	}
	return int((demand*sizingPercent/100 + lacking + each - 1) / each)
}
