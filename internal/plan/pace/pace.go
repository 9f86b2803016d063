package pace

const (
	// Full is the share of a task that isn't slowed, in percent.
	Full = 100
	// highPercent and lowPercent are the tail against its target above which fills slow down, and below which they speed up.
	highPercent = 80
	lowPercent  = 55
	// cutDivisor divides the share where the tail is too high.
	cutDivisor = 2
	// raisePercent is added to the share where the tail is low.
	raisePercent = 10
	// floorPercent is the share below which a slowed task stands still.
	floorPercent = 10
)

// Next returns the next share of the tasks that fill on a worker, in percent, from the present one and the highest tail
// against its target on that worker, in percent.
func Next(share, worst int) int {
	switch {
	case worst > Full:
		share /= cutDivisor * cutDivisor
	case worst > highPercent:
		share /= cutDivisor
	case worst < lowPercent:
		return min(Full, share+raisePercent)
	}
	if share < floorPercent {
		return 0
	}
	return share
}
