package lead

import (
	"context"
	"maps"
	"slices"
	"time"

	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/model/fleet"
)

// Input is the input of one planning step: a copy of the replicated state and the platform's VMs. The state machine
// never changes what it shares with an input.
type Input struct {
	// Now is the time of the step.
	Now time.Time
	// Environment is the environment document in force.
	Environment docs.Environment
	// VMs are all VMs, sorted by name.
	VMs []fleet.VM
	// Waves are the maintenance waves, oldest first.
	Waves []fleet.Wave
	// Ledgers are the availability budgets, by service.
	Ledgers map[string]fleet.Ledger
	// Demands are the recorded demands, by pool.
	Demands map[string]fleet.Demand
	// Jobs are the jobs that have not ended, sorted by name.
	Jobs []fleet.Job
	// Failures are the latest failures of jobs, oldest first.
	Failures []fleet.JobFailure
	// PlatformVMs are the VMs that the platform lists, by name; nil in an input from ReadInput.
	PlatformVMs map[string]fleet.PlatformVM
}

// stateCopy holds the parts of the replicated state that the plans read. The control loop waits while it is filled.
type stateCopy struct {
	revision uint64
	text     []byte
	input    Input
}

// copyState copies what the plans read. A shallow copy is enough: the state machine replaces the values in the maps and
// never changes them in place.
func copyState(st *state.State, c *stateCopy) {
	c.revision, c.text = st.Document.Revision, st.Document.Text
	c.input = Input{
		VMs:      make([]fleet.VM, 0, len(st.VMs)),
		Waves:    st.Waves,
		Ledgers:  maps.Clone(st.Ledgers),
		Demands:  maps.Clone(st.Demands),
		Jobs:     make([]fleet.Job, 0, len(st.Jobs)),
		Failures: slices.Clone(st.Failures),
	}
	for _, v := range st.VMs {
		c.input.VMs = append(c.input.VMs, v)
	}
	for _, j := range st.Jobs {
		c.input.Jobs = append(c.input.Jobs, j)
	}
}

// inputAt returns the copy as the input of one step, without the platform's VMs.
func (c *stateCopy) inputAt(now time.Time, e docs.Environment) Input {
	c.input.Now, c.input.Environment = now, e
	c.input.sortByName()
	return c.input
}

// ReadInput returns the input without the platform's VMs, for callers that only read. It fails if no quorum confirms
// this replica as the leader.
func ReadInput(ctx context.Context, n Node, now time.Time) (Input, error) {
	if err := n.Confirm(ctx); err != nil {
		return Input{}, err
	}
	var c stateCopy
	if err := n.View(ctx, func(st *state.State) { copyState(st, &c) }); err != nil {
		return Input{}, err
	}
	if c.revision == 0 {
		return c.inputAt(now, docs.Environment{}), nil
	}
	environment, err := docs.Parse("document in force", c.text)
	return c.inputAt(now, environment), err
}

// sortByName sorts the VMs and the jobs by name, so that a step doesn't depend on the order of a map.
func (in *Input) sortByName() {
	slices.SortFunc(in.VMs, func(a, b fleet.VM) int { return compare(a.Name, b.Name) })
	slices.SortFunc(in.Jobs, func(a, b fleet.Job) int { return compare(a.Name, b.Name) })
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
