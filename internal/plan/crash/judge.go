package crash

const (
	// crashesToGiveUp is how many workers have to crash under a task before it is given up, the last one while it started
	// nothing else.
	crashesToGiveUp = 2
	// crashesToGiveUpDoubtful is the same where the last worker also crashes without the task, where the task wasn't alone,
	// and for a member of a gang or a task that lasts.
	crashesToGiveUpDoubtful = 3
	// crashesToDoubt is how many recent crashes that no task explains make a worker one that crashes whatever it runs.
	crashesToDoubt = 2
)

// Start is a task that a worker was ordered to start and that it hadn't reported since when it crashed.
type Start struct {
	// Crashes is how many workers have crashed under it before.
	Crashes int
	// LongRunning is set for a task that lasts: its job would go on for long.
	LongRunning bool
	// Gang is set for a member of a gang: it may wait for the others long after the order.
	Gang bool
}

// Input is the crash of a worker.
type Input struct {
	// Starts are what the worker was about to start; attempts that it had reported as running aren't among them.
	Starts []Start
	// UnexplainedCrashes is how often the machine crashed lately with no task given up for it.
	UnexplainedCrashes int
	// Together is set if so many workers crashed at the same moment that they may share a cause: that gives up no task that lasts.
	Together bool
}

// GiveUp reports for each start of a crash whether it is given up. All of them are suspects from now on.
func GiveUp(in Input) []bool {
	verdicts := make([]bool, len(in.Starts))
	for i, start := range in.Starts {
		needed := crashesToGiveUp
		if len(in.Starts) > 1 || start.LongRunning || start.Gang || in.UnexplainedCrashes >= crashesToDoubt {
			needed = crashesToGiveUpDoubtful
		}
		goesOn := in.Together && start.LongRunning
		verdicts[i] = start.Crashes+1 >= needed && !goesOn
	}
	return verdicts
}
