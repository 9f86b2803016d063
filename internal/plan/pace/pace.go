package pace

const (
	// FullPercent is the share of a task that isn't slowed down, in percent.
	FullPercent = 100
	// highPercent and lowPercent are the tail latencies, in percent of their target, above which best-effort tasks are
	// slowed down and below which they are sped up.
	highPercent = 80
	lowPercent  = 55
	// slowDivisor divides the share if the tail latency is too high, twice if it exceeds its target.
	slowDivisor = 2
	// raisePercent is added to the share if the tail latency is low.
	raisePercent = 10
	// minPercent is the smallest share above 0; below it a slowed task gets 0 and makes no progress.
	minPercent = 10
)

// Next returns the next share of the best-effort tasks on a worker, in percent. It depends on the present share and on
// the highest tail latency on that worker, in percent of its target.
func Next(share, worstTail int) int {
	switch {
	case worstTail > FullPercent:
		share /= slowDivisor * slowDivisor
	case worstTail > highPercent:
		share /= slowDivisor
	case worstTail < lowPercent:
		return min(FullPercent, share+raisePercent)
	}
	if share < minPercent {
		return 0
	}
	return share
}
