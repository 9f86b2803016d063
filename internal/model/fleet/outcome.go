package fleet

// Outcome is the result of a request as the caller is told; the zero value is not valid.
type Outcome int

const (
	// OutcomeAnswered means that the complete answer of the endpoint follows.
	OutcomeAnswered Outcome = iota + 1 // answered
	// OutcomeNotRun means that no endpoint ran the request, and none will.
	OutcomeNotRun // not_run
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown // unknown
)
