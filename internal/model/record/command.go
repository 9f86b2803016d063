package record

import (
	"time"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/model/fleet"
)

// Command is one change of the replicated state; exactly one of the fields after Time is set.
type Command struct {
	// RequestID is the idempotency key of the command; a resend with the same one gets the first result.
	RequestID string
	// Time is when the proposer created the command; the state machine has no other clock.
	Time time.Time
	// Document puts an environment document into force.
	Document *DocumentChange
	// Trial records the trial of a document.
	Trial *TrialChange
	// Promote puts a document into production after its trial.
	Promote *PromoteChange
	// Claim opens or settles a claim.
	Claim *ClaimChange
	// VM changes the state of a VM.
	VM *VMChange
	// Budget counts or reserves the bad time of a service.
	Budget *BudgetChange
	// Wave starts a maintenance wave or changes its phase.
	Wave *WaveChange
	// Job adds, removes or changes jobs.
	Job *JobChange
	// Demand records the load that a pool's services put on it.
	Demand *DemandChange
	// Batch changes the state of batch work.
	Batch *batch.Change
}

// DocumentChange puts an environment document into force.
type DocumentChange struct {
	// Environment is the name of the environment.
	Environment string
	// BaseRevision is the revision that the document replaces; the change is refused if another one is in force.
	BaseRevision uint64
	// Text is the document as TOML.
	Text []byte
	// Digest must equal the digest of Text, as it was tried; empty for no check.
	Digest string
}

// TrialChange records the trial of a document.
type TrialChange struct {
	// Environment is the name of the trial environment.
	Environment string
	// BaseRevision is the revision of production that the trial was based on.
	BaseRevision uint64
	// Text is the document as TOML.
	Text []byte
}

// PromoteChange puts exactly the document that was tried into production.
type PromoteChange struct {
	// BaseRevision is the revision of production that the document replaces; the change is refused if another is in force.
	BaseRevision uint64
	// Digest identifies the document that was tried.
	Digest string
	// UseTrialBase takes the trial's base revision in place of BaseRevision, which is ignored.
	UseTrialBase bool
}

// ClaimStep is the state into which a change puts a claim; the zero value is not valid.
type ClaimStep int

const (
	// ClaimOpen claims a key for one attempt of one entry.
	ClaimOpen ClaimStep = iota + 1 // open
	// ClaimAnswered records that the entry has a complete answer.
	ClaimAnswered // answered
	// ClaimNotRun frees a key, since no byte of its request was sent.
	ClaimNotRun // not_run
	// ClaimUnknown records that the request may have run, but that the entry has no complete answer.
	ClaimUnknown // unknown
)

// ClaimChange opens or settles the claim on the key of a non-idempotent request.
type ClaimChange struct {
	// Key is the caller's idempotency key, qualified by service and team.
	Key string
	// Entry is the name of the entry that sends the request.
	Entry string
	// Attempt identifies one attempt of the entry to send the request.
	Attempt string
	// Issued is when the caller created the key.
	Issued time.Time
	// Step is the state into which the change puts the claim.
	Step ClaimStep
	// Digest is that of the request; a key must not be used for another one.
	Digest string
}

// VMStep is the kind of a change to a VM; the zero value is not valid.
type VMStep int

const (
	// VMJoin adds a VM to a pool, or back to one after a stop.
	VMJoin VMStep = iota + 1 // join
	// VMDrain stops new work on a VM.
	VMDrain // drain
	// VMStop records that the platform may stop the VM.
	VMStop // stop
	// VMMove assigns a stopped VM to another pool under a new epoch.
	VMMove // move
	// VMReturn puts a VM back on probation after a stop.
	VMReturn // return
	// VMActivate ends a probation, or cancels a drain.
	VMActivate // activate
	// VMFail records the loss of a VM.
	VMFail // fail
)

// VMChange changes the state of one VM.
type VMChange struct {
	// Step is the kind of the change.
	Step VMStep
	// VM is the name of the VM.
	VM string
	// Epoch is the epoch of the VM that the change is based on; 0 for a VM that is not known yet.
	Epoch uint64
	// Version is the version of the VM that the change is based on; 0 for any.
	Version uint64
	// Pool is the pool to join or move to; for a drain, the pool that the VM moves to afterwards.
	Pool string
	// Work is the name of what the change is part of: a wave, a move or an operator's drain.
	Work string
	// Domain is the VM's position in the failure domains, for a join.
	Domain fleet.Domain
	// Size is the total resources of the VM, for a join.
	Size fleet.Size
	// Cause is the reason for the change, in words for an operator.
	Cause string
}
