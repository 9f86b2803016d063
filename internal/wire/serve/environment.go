package serve

import (
	"context"

	"connectrpc.com/connect"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/record"
)

// Environment serves operators' calls about environment documents, on the leader.
type Environment struct {
	// Node gives access to the replicated state.
	Node Node
	// Keeper knows which revision is in force on each entry.
	Keeper LeaseKeeper
	// Clock provides the time of commands and of lease ages.
	Clock clock.Clock
	// LeaseDurationMS is the longest duration of a lease, in milliseconds.
	LeaseDurationMS int64
}

// fleetState is the part of the replicated state that a document is previewed against.
type fleetState struct {
	document state.Document
	// vms is the number of VMs by pool.
	vms map[string]int
}

// readState returns the state that documents are previewed against, after a quorum has confirmed that this replica
// leads. The functions in reads see the same state.
func (s *Environment) readState(ctx context.Context, reads ...func(*state.State)) (fleetState, error) {
	if err := s.Node.Confirm(ctx); err != nil {
		return fleetState{}, controlError(err)
	}
	fs := fleetState{vms: map[string]int{}}
	read := func(st *state.State) {
		fs.document = st.Document
		for _, vm := range st.VMs {
			fs.vms[vm.Pool]++
		}
		for _, fn := range reads {
			fn(st)
		}
	}
	if err := s.Node.View(ctx, read); err != nil {
		return fleetState{}, controlError(err)
	}
	return fs, nil
}

func (s *Environment) submit(ctx context.Context, c record.Command) (record.Result, error) {
	c.Time = s.Clock.Now()
	result, err := s.Node.Submit(ctx, c)
	if err != nil {
		return result, controlError(err)
	}
	if err := result.Err(); err != nil {
		return result, connect.NewError(resultCode(result.Code), err)
	}
	return result, nil
}
