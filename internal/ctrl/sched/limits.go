package sched

// milli is the number of thousandths in a unit: millicores in a core, milliseconds in a second.
const milli = 1000

// Durations are in milliseconds.
const (
	// TickMs is the interval between calls of Scheduler.Tick.
	TickMs = 25
	// formerConfirmationMs is how old the confirmation may be on which a reply of a former leader rests that runs an earlier version.
	formerConfirmationMs = 300
	// leaseMs is the lease of a worker: long enough to survive a change of leader, short enough to restart a lost
	// worker's tasks soon.
	leaseMs = 4500
	// replyValidMs is how long after it was made a heartbeat reply may still be obeyed: the worker drops later
	// ones.
	replyValidMs = 1250
	// replyWindowMs is how long after a heartbeat was sent a reply to it may be obeyed, by any worker's clock.
	replyWindowMs = 1050
	// returnMs is how long after a deregistration that names no incarnation a heartbeat may come that was sent before.
	returnMs = 1500
	// driftPercent and driftMarginMs allow for a worker's slow clock.
	driftPercent  = 3
	driftMarginMs = 50
	// maxProposalsInFlight limits the commands that wait for a quorum at once; changes that arrive meanwhile share
	// the next command.
	maxProposalsInFlight = 2
	// maxReplyDelayMs is how long a heartbeat reply may wait for its command; the worker drops later replies.
	maxReplyDelayMs = 700
	// maxQueuedMs is how long a call may wait for the control loop; the process that forwarded it gives up soon after.
	maxQueuedMs = 400
	// overloadHeartbeatMs is the heartbeat interval of workers whose heartbeat a leader that is behind didn't handle.
	overloadHeartbeatMs = 500
	// demandHeartbeatMs is the heartbeat interval of workers whose pool has ready tasks, and busyHeartbeatMs that
	// of others that run tasks.
	demandHeartbeatMs = 100
	busyHeartbeatMs   = 150
	// trialHeartbeatMs is the heartbeat interval of workers that start a suspect: long enough to show that it has outlived its
	// start.
	trialHeartbeatMs = 60
	// moreEndsHeartbeatMs is the heartbeat interval of workers that have more ends to report than a heartbeat lists.
	moreEndsHeartbeatMs = 60
	// idleHeartbeatMs is the heartbeat interval of workers that run nothing, in pools without ready tasks.
	idleHeartbeatMs = 250
	// unusableHeartbeatMs is the heartbeat interval of workers that take no new tasks.
	unusableHeartbeatMs = 300
	// maxHeartbeatsPerS limits the heartbeats per second of all workers together, except those sent when a task
	// ends.
	maxHeartbeatsPerS = 1000
	// maxDirectWorkers is the number of workers up to which they call the leader itself; more are spread over all
	// processes, which saves the leader the decoding and encoding of their messages.
	maxDirectWorkers = 100
	// earlyStartMs is how long before its due time a scheduled occurrence may start; 0 because clocks differ.
	earlyStartMs = 0
	// stalledMs is how long a task's progress may stand still before the task is stopped and restarted elsewhere; a
	// task with a long estimate may stand still for its estimate divided by stalledEstimateDivisor.
	stalledMs              = 1800
	stalledEstimateDivisor = 2
	// overdueMarginMs is how long after the requested interval a heartbeat may come before its worker counts as silent.
	overdueMarginMs = 400
	// quarantineMs is how long a worker on which tasks fail gets none, and quarantineFailures the number of
	// consecutive failures that starts it. probationMs is how long it gets one at a time after that.
	quarantineMs       = 4000
	quarantineFailures = 3
	probationMs        = 4000
	// listIntervalMs is the interval between reads of the platform's VM list.
	listIntervalMs = 1000
	// minListIntervalMs is the interval between reads when a new list is needed early.
	minListIntervalMs = 50
	// planIntervalMs is the interval between two plans of waves and pools.
	planIntervalMs = 200
	// drainingPlanIntervalMs is the interval while VMs are drained: they move soon after their last task has ended.
	drainingPlanIntervalMs = 100
	// orderRetryMs is the delay before a VM is ordered again after an order that wasn't answered as done.
	orderRetryMs = 500
	// lateOrderMs is how long after a call for a VM had no answer the provider may still carry it out.
	lateOrderMs = 1000
	// orderValidMs is how long after it was decided an order for a VM may be sent: with the time of the call it must be over
	// before a new leader orders the VM.
	orderValidMs = 900
	// maxMovesPerPlan limits the moves of one plan.
	maxMovesPerPlan = 40
	// orderRateShare is the share of the platform's order rate that the leader uses; a former leader may still use
	// the rest.
	orderRateShare = 0.85
	// waveMarginMs is kept free at the end of a wave's time limit.
	waveMarginMs = 3000
)
