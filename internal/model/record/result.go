package record

import "fmt"

// Code is the outcome of applying a command; the zero value is not valid.
type Code int

const (
	// CodeOK means that the change was made.
	CodeOK Code = iota + 1 // ok
	// CodeConflict means that the change is based on a revision, epoch or state that another change has replaced.
	CodeConflict // conflict
	// CodeInvalid means that the change is refused because of its content, whatever the state.
	CodeInvalid // invalid
	// CodeKeyTaken means that another attempt holds the key of the claim; the result names its entry.
	CodeKeyTaken // taken
	// CodeExpired means that the key of the claim is older than the time for which claims are kept.
	CodeExpired // expired
	// CodeNotFound means that the change names something that does not exist.
	CodeNotFound // not_found
	// CodeMismatch means that the key of the claim was used for another request before.
	CodeMismatch // mismatch
	// CodeFull means that no room is left for another claim.
	CodeFull // full
)

// Result is the outcome of applying a command; it is the same on each replica.
type Result struct {
	// Code is CodeOK if the change was made; the other fields depend on the command.
	Code Code
	// Message explains the outcome to an operator; it may be empty.
	Message string
	// Revision is the revision of the document in force after the command.
	Revision uint64
	// Digest is that of the tried document after a trial, otherwise that of the document in force.
	Digest string
	// Epoch is the epoch of the VM after the command.
	Epoch uint64
	// Entry is the name of the entry that holds the claim.
	Entry string
	// Step is the state of the claim after the command.
	Step ClaimStep
}

// Err returns the result as a *ResultError, or nil if the change was made.
func (r Result) Err() error {
	if r.Code == CodeOK {
		return nil
	}
	return &ResultError{Result: r}
}

// ResultError reports that a command was applied without making its change.
type ResultError struct {
	// Result is the outcome of the command.
	Result Result
}

// Error returns "code: message".
func (e *ResultError) Error() string {
	return fmt.Sprintf("%s: %s", e.Result.Code, e.Result.Message)
}
