package fleet

// Outcome is what a caller is told of its request; the zero value is not valid.
type Outcome int

const (
	// OutcomeAnswered means that the endpoint's whole answer follows.
	OutcomeAnswered Outcome = iota + 1 // answered
	// OutcomeNotRun means that no endpoint ran the request, and none will.
	OutcomeNotRun // not_run
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown // unknown
)
