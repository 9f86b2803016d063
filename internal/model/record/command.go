package record

import (
	"time"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/model/fleet"
)

// Command is one change of the replicated state; exactly one of its changes is set.
type Command struct {
	// RequestID names the change; a resend under the same one gets the first result.
	RequestID string
	// Time is when the proposer made the command; the state machine has no other clock.
	Time time.Time
	// Document puts an environment document into force.
	Document *DocumentChange
	// Trial records that a document was tried.
	Trial *TrialChange
	// Promote puts a document that was tried into production.
	Promote *PromoteChange
	// Claim opens or settles a claim.
	Claim *ClaimChange
	// VM moves a VM through its life.
	VM *VMChange
	// Budget counts or reserves a service's bad time.
	Budget *BudgetChange
	// Wave moves a wave through its life.
	Wave *WaveChange
	// Job moves a job through its life.
	Job *JobChange
	// Demand records what a pool's services ask of it.
	Demand *DemandChange
	// Batch changes the batch work.
	Batch *batch.Change
}

// DocumentChange puts an environment document into force.
type DocumentChange struct {
	// Environment is the environment's name.
	Environment string
	// BaseRevision is the revision that the change builds on.
	BaseRevision uint64
	// Text is the document as TOML.
	Text []byte
	// Digest is what the text must have been tried under; empty for any.
	Digest string
}

// TrialChange records that a document was tried.
type TrialChange struct {
	// Environment is the name of the trial environment.
	Environment string
	// BaseRevision is the revision of production that the document was tried on.
	BaseRevision uint64
	// Text is the document as TOML.
	Text []byte
}

// PromoteChange puts exactly what was tried into production.
type PromoteChange struct {
	// BaseRevision is the revision of production that the change builds on.
	BaseRevision uint64
	// Digest names the document that was tried.
	Digest string
	// AsTried builds on the revision that the document was tried on; BaseRevision is unused.
	AsTried bool
}

// ClaimStep is what a change does to a claim; the zero value is not valid.
type ClaimStep int

const (
	// ClaimOpen takes a key for one attempt of one entry.
	ClaimOpen ClaimStep = iota + 1 // open
	// ClaimAnswered records that the entry holds a whole answer.
	ClaimAnswered // answered
	// ClaimNotRun frees a key of which no byte was sent.
	ClaimNotRun // not_run
	// ClaimUnknown records that the request may have run without a whole answer.
	ClaimUnknown // unknown
)

// ClaimChange opens or settles the claim of a non-idempotent request.
type ClaimChange struct {
	// Key is the caller's idempotency key with its service and team.
	Key string
	// Entry is the entry that sends the request.
	Entry string
	// Attempt is the identity of the sending.
	Attempt string
	// Issued is when the caller made the key.
	Issued time.Time
	// Step is what the change does.
	Step ClaimStep
	// Digest is the digest of the request that the key stands for.
	Digest string
}

// VMStep is what a change does to a VM; the zero value is not valid.
type VMStep int

const (
	// VMJoin adds a VM to a pool, or back to one after a stop.
	VMJoin VMStep = iota + 1 // join
	// VMDrain stops new work on a VM.
	VMDrain // drain
	// VMStop records that the platform may stop the VM.
	VMStop // stop
	// VMMove gives a stopped VM to another pool under a new epoch.
	VMMove // move
	// VMReturn puts a VM back on probation after a stop.
	VMReturn // return
	// VMActivate ends a probation, or cancels a drain.
	VMActivate // activate
	// VMFail records the loss of a VM.
	VMFail // fail
)

// VMChange moves one VM through its life.
type VMChange struct {
	// Step is what the change does.
	Step VMStep
	// VM is the VM's name.
	VM string
	// Epoch is the epoch that the change builds on; 0 for a VM that is not known yet.
	Epoch uint64
	// Version is the VM's version that the change builds on; 0 for any.
	Version uint64
	// Pool is the pool to join or move to; on a drain, where the VM goes after it.
	Pool string
	// Work names what the change is part of: a wave, a move or an operator's drain.
	Work string
	// Domain is where the VM stands, for a join.
	Domain fleet.Domain
	// Size is what the VM has, for a join.
	Size fleet.Size
	// Cause tells an operator why.
	Cause string
}
