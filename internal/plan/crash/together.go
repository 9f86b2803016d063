package crash

const (
	// togetherShare is the part of a pool's workers, as its divisor, that crash at the same moment only for a cause that they
	// share, and minTogether how many do at least.
	togetherShare = 3
	minTogether   = 4
)

// HaveCommonCause reports whether crashes at the same moment show nothing about the tasks that the workers ran: how many of a
// number of workers of a pool have crashed.
func HaveCommonCause(crashed, workers int) bool {
	return crashed >= max(minTogether, (workers+togetherShare-1)/togetherShare)
}
