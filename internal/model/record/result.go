package record

import "fmt"

// Code is what applying a command gave; the zero value is not valid.
type Code int

const (
	// CodeOK means that the change was made.
	CodeOK Code = iota + 1 // ok
	// CodeConflict means that the change builds on a revision or epoch that another change replaced.
	CodeConflict // conflict
	// CodeInvalid means that the change can't be made on any state.
	CodeInvalid // invalid
	// CodeTaken means that a claim's key is held; the result names the holder.
	CodeTaken // taken
	// CodeExpired means that a claim's key is older than the window.
	CodeExpired // expired
	// CodeNotFound means that the change names what isn't there.
	CodeNotFound // not_found
	// CodeMismatch means that a claim's key stands for another request.
	CodeMismatch // mismatch
	// CodeFull means that no more claims are kept.
	CodeFull // full
)

// Result is what applying a command gave; it is the same on each replica.
type Result struct {
	// Code says whether the change was made.
	Code Code
	// Message tells an operator why it wasn't.
	Message string
	// Revision is the document's revision after the command.
	Revision uint64
	// Digest is the digest of the document in force.
	Digest string
	// Epoch is the VM's epoch after the command.
	Epoch uint64
	// Entry is the entry that holds the claim.
	Entry string
	// Step is the state of the claim that was found.
	Step ClaimStep
}

// Err returns the result as an error, nil where the change was made.
func (r Result) Err() error {
	if r.Code == CodeOK {
		return nil
	}
	return &ResultError{Result: r}
}

// ResultError is a command that was applied without making its change.
type ResultError struct {
	// Result is what the command gave.
	Result Result
}

// Error returns the result's code and message.
func (e *ResultError) Error() string {
	return fmt.Sprintf("%s: %s", e.Result.Code, e.Result.Message)
}
