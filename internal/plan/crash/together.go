package crash

const (
	// togetherShare is the part of a small pool's workers, as its divisor, that crash at the same moment only for a cause that they
	// share, up to manyTogether of them, and largeTogetherShare that of a large pool; minTogether is how many do at least.
	togetherShare      = 2
	largeTogetherShare = 5
	minTogether        = 5
	manyTogether       = 10
	// maxSparedStarts is for how many such crashes a task isn't blamed that may have caused them by being started, and maxSpared for
	// how many another one isn't: the cause that the workers share may be tasks of one kind.
	maxSparedStarts = 2
	maxSpared       = 1
)

// IsSpared reports whether a task isn't blamed for a crash that came together with others: after how many for which it wasn't, and
// whether the worker was about to start it.
func IsSpared(sparedBefore int, starts bool) bool {
	if starts {
		return sparedBefore < maxSparedStarts
	}
	return sparedBefore < maxSpared
}

// HaveCommonCause reports whether crashes at the same moment show little about the tasks that the workers ran: how many of a
// number of workers of a pool have crashed.
func HaveCommonCause(crashed, workers int) bool {
	if crashed < minTogether {
		return false
	}
	return togetherShare*crashed >= workers || crashed >= manyTogether && largeTogetherShare*crashed >= workers
}
