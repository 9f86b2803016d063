package eject

// quarantineDivisor divides the workers of a pool to give how many may be in quarantine at once, rounded up: where attempts fail
// on more, the tasks are to blame.
const quarantineDivisor = 2

// Outcome is what becomes of a worker; the zero value is invalid.
type Outcome int

const (
	// Quarantine means that the worker gets no tasks for a while, and is on probation after that.
	Quarantine Outcome = iota + 1 // quarantined
	// Probation means that the worker gets one task at a time until one is done.
	Probation // on_probation
)

// Pool is the pool of the worker that is judged, as of now.
type Pool struct {
	// Heard is how many workers of the pool are heard and stay, the one that is judged among them.
	Heard int
	// Quarantined is how many of these are in quarantine.
	Quarantined int
	// OneJob is set if all failures that the worker is judged for are of one job.
	OneJob bool
}

// Judge returns what becomes of one more worker of a pool. Where tasks of several jobs failed there, the worker is to blame.
func Judge(pool Pool) Outcome {
	if !pool.OneJob || pool.Quarantined < mayQuarantine(pool.Heard) {
		return Quarantine
	}
	return Probation
}

// mayQuarantine returns how many of a number of workers may be in quarantine at once.
func mayQuarantine(workers int) int {
	return (workers + quarantineDivisor - 1) / quarantineDivisor
}
