package sched

// Times are in milliseconds.
const (
	// TickMs is the time between two calls of Scheduler.Tick.
	TickMs = 25
	// freshMs is how old a quorum's confirmation of the leadership may be where an answer rests on it.
	freshMs = 300
	// leaseMs is the lease of a worker: long enough for a change of leader, short enough to give up a lost worker's tasks.
	leaseMs = 4500
	// answeredMs is how long after its making an answer to a heartbeat may still be obeyed: the worker drops later ones.
	answeredMs = 1250
	// driftPercent and driftMarginMs allow for a worker's slow clock.
	driftPercent  = 3
	driftMarginMs = 50
	// commitsInFlight bounds the records that wait for a quorum at once; what comes meanwhile shares the next.
	commitsInFlight = 2
	// replyWithinMs is how long an answer to a heartbeat waits for its record; the worker drops later ones.
	replyWithinMs = 700
	// idleCallMs and busyCallMs are when workers call again that can take tasks at once, and others.
	idleCallMs = 100
	busyCallMs = 150
	// restCallMs is when workers of pools without demand call again.
	restCallMs = 250
	// drainCallMs is when workers call again that take no more tasks.
	drainCallMs = 300
	// callsPerS bounds the heartbeats a second of all workers together, those after an end excepted.
	callsPerS = 1000
	// directWorkers is the count of workers up to which they call the leader itself; more are spread over all processes,
	// which spares the leader the reading and writing of their messages.
	directWorkers = 100
	// dueEarlyMs is how long before its time a scheduled occurrence may start; 0 since clocks differ.
	dueEarlyMs = 0
	// frozenMs is how long a task's progress may stand still before it is stopped and begun elsewhere; a task that should take
	// longer may for a frozenParts-th of its estimate.
	frozenMs    = 1800
	frozenParts = 2
	// blameWindowMs is how long a worker on which tasks fail gets none, and blameFailures how many failures in a row it takes.
	blameWindowMs = 4000
	blameFailures = 3
	// strayMs is how long after a given-up attempt was last listed no other of its task is started: workers call more often.
	strayMs = 500
	// listMs is the time between readings of the platform's VM list.
	listMs = 1000
	// listAgainMs is the least time between readings, where one is needed before its time.
	listAgainMs = 50
	// poolsMs is the time between two plans of the pools.
	poolsMs = 200
	// orderRetryMs spaces orders for a VM that was busy.
	orderRetryMs = 500
	// movesAtOnce bounds the moves of one plan.
	movesAtOnce = 40
	// ordersPart is the part of the platform's rate of orders that the leader uses; a former one may still use the rest.
	ordersPart = 0.85
	// waveMarginMs is kept free at the end of a wave's time limit.
	waveMarginMs = 3000
)
