package claim

import (
	"cowslipstack/internal/model/record"
)

// Step is an entry's next action for a request; the zero value is not valid.
type Step int

const (
	// StepSend sends the request, since this entry holds the claim.
	StepSend Step = iota + 1 // send
	// StepRecall fetches the first answer from the entry that holds the claim.
	StepRecall // recall
	// StepUnknown reports to the caller that the request may have run.
	StepUnknown // unknown
	// StepRefuse reports to the caller that the request was not run and never will be under this key.
	StepRefuse // refuse
	// StepDefer reports to the caller that this copy was not sent and that the key can be retried later.
	StepDefer // defer
)

// Decide returns the next step for the result of opening a claim.
func Decide(r record.Result) Step {
	switch r.Code {
	case record.CodeOK:
		return StepSend
	case record.CodeKeyTaken:
		switch r.Step {
		case record.ClaimUnknown:
			return StepUnknown
		case record.ClaimNotRun:
			// The command that opens the claim was applied after the command that releases it.
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
