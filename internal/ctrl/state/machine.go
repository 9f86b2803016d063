package state

import (
	"time"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// State is the replicated state, the result of applying the log up to Applied; it holds plain data.
type State struct {
	// Applied is the index of the last applied log entry.
	Applied uint64
	// Time is the latest time that a command carried; it never decreases.
	Time time.Time
	// Document is the document in force in production.
	Document Document
	// Trials are the latest documents that were tried, oldest first.
	Trials []Trial
	// History holds the latest accepted revisions of production, oldest first.
	History []Revision
	// VMs are the platform's VMs by name; each belongs to exactly one pool.
	VMs map[string]fleet.VM
	// Ledgers are the availability budgets, by service.
	Ledgers map[string]fleet.Ledger
	// Waves are the maintenance waves, oldest first.
	Waves []fleet.Wave
	// Jobs are the jobs that have not ended, by name.
	Jobs map[string]fleet.Job
	// Failures are the latest failures of jobs, oldest first.
	Failures []fleet.JobFailure
	// Demands are the recorded demands, by pool.
	Demands map[string]fleet.Demand
	// Claims are the claims of non-idempotent requests.
	Claims Claims
	// Batch is the state of the batch work; the machine's jobs.StateMachine owns and changes it.
	Batch jobs.State
	// Requests are the results of earlier changes, with which resent changes are answered, oldest first.
	Requests []RequestResult
}

// RequestResult is a change's result, kept so that a resent change gets the same answer and is not applied again.
type RequestResult struct {
	// ID is the change's request identity.
	ID string
	// Result is the result of the first application.
	Result record.Result
}

// maxRequests bounds the results that are kept; at 4,200 changes a day they cover several days.
const maxRequests = 16384

// Machine applies commands to the state; only the goroutine that owns it may use it.
type Machine struct {
	state   State
	results map[string]record.Result
	claims  claimIndex
	batch   *jobs.StateMachine
}

// NewMachine returns a machine with an empty state.
func NewMachine() *Machine {
	m := &Machine{batch: jobs.New()}
	m.Restore(State{})
	return m
}

// State returns the state for reading; the caller must neither keep nor change it.
func (m *Machine) State() *State {
	m.state.Batch = *m.batch.State()
	return &m.state
}

// Batch returns the batch work for reading; the caller must not change it, nor keep it beyond a Restore.
func (m *Machine) Batch() *jobs.StateMachine {
	return m.batch
}

// Restore replaces the state by that of a snapshot; nil maps count as empty.
func (m *Machine) Restore(s State) {
	if s.VMs == nil {
		s.VMs = map[string]fleet.VM{}
	}
	if s.Ledgers == nil {
		s.Ledgers = map[string]fleet.Ledger{}
	}
	if s.Demands == nil {
		s.Demands = map[string]fleet.Demand{}
	}
	if s.Jobs == nil {
		s.Jobs = map[string]fleet.Job{}
	}
	m.state = s
	m.batch.Restore(s.Batch)
	m.claims = newClaimIndex(s.Claims.List)
	m.results = make(map[string]record.Result, len(s.Requests))
	for _, r := range s.Requests {
		m.results[r.ID] = r.Result
	}
}

// Apply applies the command of the log entry at index and returns its result. A command whose request identity was
// applied before only advances Applied and Time, and returns the first result.
func (m *Machine) Apply(index uint64, c record.Command) record.Result {
	m.state.Applied = index
	if c.Time.After(m.state.Time) {
		m.state.Time = c.Time
	}
	if first, ok := m.results[c.RequestID]; ok && c.RequestID != "" {
		return first
	}
	result := m.applyChange(c)
	m.keepResult(c.RequestID, result)
	return result
}

func (m *Machine) applyChange(c record.Command) record.Result {
	switch {
	case c.Document != nil:
		return m.applyDocument(c, *c.Document)
	case c.Trial != nil:
		return m.applyTrial(c, *c.Trial)
	case c.Promote != nil:
		return m.applyPromote(c, *c.Promote)
	case c.VM != nil:
		return m.applyVM(*c.VM, m.state.Time)
	case c.Budget != nil:
		return m.applyBudget(*c.Budget)
	case c.Wave != nil:
		return m.applyWave(*c.Wave, m.state.Time)
	case c.Claim != nil:
		return m.applyClaim(*c.Claim)
	case c.Batch != nil:
		m.batch.Apply(c.Batch, m.state.Time.UnixMilli())
		return record.Result{Code: record.CodeOK}
	case c.Demand != nil:
		return m.applyDemand(c.Demand.Demand)
	case c.Job != nil:
		return m.applyJob(*c.Job, m.state.Time)
	default:
		return record.Result{Code: record.CodeInvalid, Message: "the command holds no change that this version knows"}
	}
}

func (m *Machine) keepResult(id string, result record.Result) {
	if id == "" {
		return
	}
	m.results[id] = result
	m.state.Requests = append(m.state.Requests, RequestResult{ID: id, Result: result})
	if len(m.state.Requests) > maxRequests {
		delete(m.results, m.state.Requests[0].ID)
		m.state.Requests = m.state.Requests[1:]
	}
}
