package claim

import (
	"cowslipstack/internal/model/record"
)

// Step is what an entry does next with a request; the zero value is not valid.
type Step int

const (
	// StepSend sends the request: the claim is its own.
	StepSend Step = iota + 1 // send
	// StepRecall asks the entry that holds the claim for the first answer.
	StepRecall // recall
	// StepUnknown tells the caller that the request may have run.
	StepUnknown // unknown
	// StepRefuse tells the caller that the request was not run and won't be under this key.
	StepRefuse // refuse
	// StepDefer tells the caller that this copy was not sent, and that the key can be tried again later.
	StepDefer // defer
)

// Decide returns what follows from the result of an opened claim.
func Decide(r record.Result) Step {
	switch r.Code {
	case record.CodeOK:
		return StepSend
	case record.CodeKeyTaken:
		switch r.Step {
		case record.ClaimUnknown:
			return StepUnknown
		case record.ClaimNotRun:
			// The opening came after its own release.
			return StepDefer
		default:
			return StepRecall
		}
	case record.CodeFull:
		return StepDefer
	default:
		return StepRefuse
	}
}
