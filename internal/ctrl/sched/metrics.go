package sched

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipstack/internal/base/hist"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/plan/accept"
)

var (
	startsTotal        = metrics.NewCounter("cowslip_attempts_started_total")
	copiesTotal        = metrics.NewCounter("cowslip_attempts_copied_total")
	leaseExpiriesTotal = metrics.NewCounter("cowslip_worker_lapses_total")
	crashesTotal       = metrics.NewCounter("cowslip_worker_crashes_total")
	givenUpTotal       = metrics.NewCounter("cowslip_tasks_given_up_total")
	movesTotal         = metrics.NewCounter("cowslip_vm_moves_total")
	maintainedTotal    = metrics.NewCounter("cowslip_vm_maintained_total")
	callsShedTotal     = metrics.NewCounter("cowslip_calls_shed_total")
	confirmationsTotal = metrics.NewCounter("cowslip_confirmations_total")
	jobsRefusedTotal   = metrics.NewCounter("cowslip_jobs_refused_total")
	formerOrdersTotal  = metrics.NewCounter("cowslip_attempts_of_former_incarnation_total")
	// givenUpRunningTotal counts the attempts that workers list after they were given up.
	givenUpRunningTotal = metrics.NewCounter("cowslip_given_up_attempts_running_total")
	// jobsWithoutMemoryTotal counts the jobs that were refused since too many are stored, and jobMemory what the stored ones take.
	jobsWithoutMemoryTotal = metrics.NewCounter("cowslip_jobs_refused_for_memory_total")
	jobMemory              = metrics.NewGauge("cowslip_jobs_memory_bytes", nil)
	// heartbeatsWithoutMemoryTotal counts the heartbeats that were refused since too many unlisted workers report.
	heartbeatsWithoutMemoryTotal = metrics.NewCounter("cowslip_heartbeats_refused_for_memory_total")
	commandsLostTotal            = metrics.NewCounter("cowslip_records_lost_total")
	unauthorizedTotal            = metrics.NewCounter("cowslip_calls_unauthorized_total")
	// tombstonesTotal counts the cancels of unknown jobs that are remembered, tombstonesRefusedTotal those refused for want of room.
	tombstonesTotal        = metrics.NewCounter("cowslip_cancels_ahead_total")
	tombstonesRefusedTotal = metrics.NewCounter("cowslip_cancels_ahead_refused_total")
)

// countEnd counts an attempt's end by its kind.
func countEnd(k batch.EndKind) {
	metrics.GetOrCreateCounter(hist.Series("cowslip_attempts_ended_total", hist.Label{Name: "kind", Value: k.String()})).Inc()
}

// countRefusal counts a refused job by its account and the reason.
func countRefusal(account string, reason accept.Reason) {
	metrics.GetOrCreateCounter(hist.Series("cowslip_account_jobs_refused_total", hist.Label{Name: "account", Value: account},
		hist.Label{Name: "reason", Value: reason.String()})).Inc()
}

// observeFirstStart records the time from a job's acceptance to its first start, by pool.
func observeFirstStart(pool string, waitedMs int64) {
	hist.Observe("cowslip_first_start_seconds", hist.Labels{Service: pool}, time.Duration(max(0, waitedMs))*time.Millisecond)
}
