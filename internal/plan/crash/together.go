package crash

const (
	// togetherPercent is the part of a pool's workers that crash at the same moment only for a cause that they share, in percent,
	// and minTogether how many do at least.
	togetherPercent = 40
	minTogether     = 5
)

// HaveCommonCause reports whether crashes at the same moment show nothing about the tasks that the workers ran: how many of a
// number of workers of a pool have crashed.
func HaveCommonCause(crashed, workers int) bool {
	return crashed >= minTogether && 100*crashed >= togetherPercent*workers
}
