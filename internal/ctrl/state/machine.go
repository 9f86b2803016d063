package state

import (
	"time"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// State is all that the replicated log has built; plain data.
type State struct {
	// Applied is the index of the last applied log entry.
	Applied uint64
	// Time is the latest time that a command carried.
	Time time.Time
	// Document is the document in force in production.
	Document Document
	// Trials are the documents that were tried, oldest first.
	Trials []Trial
	// History is the latest accepted revisions of production, oldest first.
	History []Revision
	// VMs are the platform's VMs by name; each belongs to exactly one pool.
	VMs map[string]fleet.VM
	// Ledgers are the services' budgets by the service's name.
	Ledgers map[string]fleet.Ledger
	// Waves are the waves of maintenance, oldest first.
	Waves []fleet.Wave
	// Jobs are the jobs that are not done, by name.
	Jobs map[string]fleet.Job
	// Failures are the latest failures of jobs, oldest first.
	Failures []fleet.JobFailure
	// Demands are the pools' demands by the pool's name.
	Demands map[string]fleet.Demand
	// Claims are the claims of non-idempotent requests.
	Claims Claims
	// Batch is the batch work; its jobs belong to the machine's book.
	Batch jobs.State
	// Requests are the results kept for resends, oldest first.
	Requests []Request
}

// Request is the first result of a change, kept for resends.
type Request struct {
	// ID is the change's request identity.
	ID string
	// Result is what the change gave at first.
	Result record.Result
}

// requestsKept bounds the memory for resends; at 4,200 changes a day it covers several days.
const requestsKept = 16384

// Machine applies commands to the state; only its owner's goroutine may use it.
type Machine struct {
	state   State
	results map[string]record.Result
	claims  claimIndex
	batch   *jobs.Book
}

// NewMachine returns a machine on an empty state.
func NewMachine() *Machine {
	m := &Machine{batch: jobs.New()}
	m.Restore(State{})
	return m
}

// State returns the state for reading; it must not be kept or changed.
func (m *Machine) State() *State {
	m.state.Batch = *m.batch.State()
	return &m.state
}

// Book returns the batch work for reading; it must not be kept beyond a Restore, or changed.
func (m *Machine) Book() *jobs.Book {
	return m.batch
}

// Restore replaces the state by that of a snapshot.
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
	m.claims = newClaimIndex(s.Claims.Kept)
	m.results = make(map[string]record.Result, len(s.Requests))
	for _, r := range s.Requests {
		m.results[r.ID] = r.Result
	}
}

// Apply makes the change of the log entry at index and returns its result.
func (m *Machine) Apply(index uint64, c record.Command) record.Result {
	m.state.Applied = index
	if c.Time.After(m.state.Time) {
		m.state.Time = c.Time
	}
	if first, ok := m.results[c.RequestID]; ok && c.RequestID != "" {
		return first
	}
	result := m.change(c)
	m.remember(c.RequestID, result)
	return result
}

func (m *Machine) change(c record.Command) record.Result {
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

func (m *Machine) remember(id string, result record.Result) {
	if id == "" {
		return
	}
	m.results[id] = result
	m.state.Requests = append(m.state.Requests, Request{ID: id, Result: result})
	if len(m.state.Requests) > requestsKept {
		delete(m.results, m.state.Requests[0].ID)
		m.state.Requests = m.state.Requests[1:]
	}
}
