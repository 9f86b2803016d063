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

// Situation is all that one planning step decides from; it shares nothing with the replicated state.
type Situation struct {
	// Now is the time of the step.
	Now time.Time
	// Environment is the document in force.
	Environment docs.Environment
	// VMs are all VMs, by name.
	VMs []fleet.VM
	// Waves are the waves of maintenance, oldest first.
	Waves []fleet.Wave
	// Ledgers are the services' budgets.
	Ledgers map[string]fleet.Ledger
	// Demands are the pools' demands.
	Demands map[string]fleet.Demand
	// Jobs are the jobs, by name.
	Jobs []fleet.Job
	// Failures are the latest failures of jobs.
	Failures []fleet.JobFailure
	// Machines are the VMs as the platform tells of them, by name.
	Machines map[string]fleet.Machine
}

// copied is what a step takes of the replicated state while the control loop waits.
type copied struct {
	revision uint64
	text     []byte
	s        Situation
}

// take copies what the plans read; values in the maps are replaced by the state machine, never changed in place.
func take(st *state.State, c *copied) {
	c.revision, c.text = st.Document.Revision, st.Document.Text
	c.s = Situation{
		VMs:      make([]fleet.VM, 0, len(st.VMs)),
		Waves:    st.Waves,
		Ledgers:  maps.Clone(st.Ledgers),
		Demands:  maps.Clone(st.Demands),
		Jobs:     make([]fleet.Job, 0, len(st.Jobs)),
		Failures: slices.Clone(st.Failures),
	}
	for _, v := range st.VMs {
		c.s.VMs = append(c.s.VMs, v)
	}
	for _, j := range st.Jobs {
		c.s.Jobs = append(c.s.Jobs, j)
	}
}

// situation returns what one step decides from.
func (c *copied) situation(now time.Time, e docs.Environment) Situation {
	c.s.Now, c.s.Environment = now, e
	c.s.sorted()
	return c.s
}

// Read returns the situation without the platform's VMs, confirmed by a quorum, for those who only look.
func Read(ctx context.Context, n Node, now time.Time) (Situation, error) {
	if err := n.Confirm(ctx); err != nil {
		return Situation{}, err
	}
	var c copied
	if err := n.View(ctx, func(st *state.State) { take(st, &c) }); err != nil {
		return Situation{}, err
	}
	if c.revision == 0 {
		return c.situation(now, docs.Environment{}), nil
	}
	environment, err := docs.Parse("document in force", c.text)
	return c.situation(now, environment), err
}

// sorted puts VMs and jobs in the order of their names, so that a step doesn't depend on the order of a map.
func (s *Situation) sorted() {
	slices.SortFunc(s.VMs, func(a, b fleet.VM) int { return compare(a.Name, b.Name) })
	slices.SortFunc(s.Jobs, func(a, b fleet.Job) int { return compare(a.Name, b.Name) })
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
