// Package lead runs the leader's reconciliation loop: it copies the replicated
// state, runs the plans on the copy, submits their decisions as commands and
// brings the platform in line with the state. The identity of an operation is
// derived from the state alone, so that a new leader resends the same
// operations and learns their progress.
package lead
