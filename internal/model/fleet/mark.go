package fleet

// Mark is what entries need to know of a VM to route by it.
type Mark struct {
	// VM is the VM's name.
	VM string
	// Epoch is the VM's epoch; an endpoint that announces an older one gets no new work.
	Epoch uint64
	// Phase is where the VM is in its life; 0 where it is gone.
	Phase Phase
}

// TakesWork says whether the VM's endpoints may get new requests.
func (m Mark) TakesWork() bool {
	return m.Phase == PhaseActive || m.Phase == PhaseProbation
}

// Usage is the requests that one entry has in progress on one VM.
type Usage struct {
	// VM is the VM's name.
	VM string
	// Epoch is the epoch that the entry knows.
	Epoch uint64
	// InProgress is the count of requests.
	InProgress int
}
