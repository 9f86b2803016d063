package fleet

// VMRoutingState is the part of a VM's state that entries need to route requests.
type VMRoutingState struct {
	// VM is the name of the VM.
	VM string
	// Epoch is the epoch of the VM; an endpoint that announces an older one gets no new requests.
	Epoch uint64
	// Phase is the stage of the VM's life cycle; 0 if the VM is gone.
	Phase Phase
}

// AcceptsRequests reports whether the endpoints of the VM may get new requests.
func (m VMRoutingState) AcceptsRequests() bool {
	return m.Phase == PhaseActive || m.Phase == PhaseProbation
}

// VMUsage is the number of requests that one entry has in progress on one VM.
type VMUsage struct {
	// VM is the name of the VM.
	VM string
	// Epoch is the epoch of the VM as the entry knows it.
	Epoch uint64
	// InProgress counts the requests; 0 or more.
	InProgress int
}
