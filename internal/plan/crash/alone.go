package crash

const (
	// crashesToRunAlone is how many workers have to crash while they start or run a task before it runs alone.
	crashesToRunAlone = 3
	// crashesAloneToGiveUp is how many workers have to crash so before a task is given up, the last one while it ran alone.
	crashesAloneToGiveUp = 4
	// crashesAloneToGiveUpDoubtful is the same where the last worker also crashes without the task or fell silent with others
	// of its rack, where something else hadn't run for long, and for a task that lasts.
	crashesAloneToGiveUpDoubtful = 5
	// crashesToDoubtAlone is how many other recent crashes that no task explains make a worker doubtful for a task alone.
	crashesToDoubtAlone = 1
	// heldShare is the part of a pool's workers, as its divisor, that tasks that run alone may keep from others that wait, and
	// idleHeldShare where no others wait; minHeld is what they may keep of a small pool.
	heldShare     = 4
	idleHeldShare = 2
	minHeld       = 2
)

// RunsAlone reports whether a task runs next where nothing else can be the cause of a crash, after a number of workers have
// crashed while they started or ran it.
func RunsAlone(crashes int) bool {
	return crashes >= crashesToRunAlone
}

// MaxHeld returns how many workers of a pool may be kept for tasks that run alone, while others wait or not: never all of them, but
// for a pool of one.
func MaxHeld(workers int, othersWait bool) int {
	share := idleHeldShare
	if othersWait {
		share = heldShare
	}
	return max(1, min(workers-1, max(minHeld, workers/share)))
}

// Alone is the crash of a worker that ran a task alone: all else on it had run for a while when the task started.
type Alone struct {
	// Crashes is how many workers have crashed before while they started or ran the task.
	Crashes int
	// LongRunning is set for a task that lasts: its job would go on for long.
	LongRunning bool
	// UnexplainedCrashes is how often the machine crashed lately before this with no task given up for it.
	UnexplainedCrashes int
	// RackSilent is set if other workers of its rack fell silent at about the same time.
	RackSilent bool
	// OthersRecent is set if something else on it hadn't run for long.
	OthersRecent bool
	// Together is set if so many workers crashed at the same moment that they may share a cause: that gives up no task that lasts.
	Together bool
}

// GiveUpAlone reports whether the task is given up.
func GiveUpAlone(in Alone) bool {
	if in.Together && in.LongRunning {
		return false
	}
	needed := crashesAloneToGiveUp
	if in.LongRunning || in.RackSilent || in.OthersRecent || in.UnexplainedCrashes >= crashesToDoubtAlone {
		needed = crashesAloneToGiveUpDoubtful
	}
	return in.Crashes+1 >= needed
}
