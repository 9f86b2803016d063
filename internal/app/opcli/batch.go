package opcli

import (
	"context"
	"fmt"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/wire/peer"
)

// BatchCommand holds the subcommands for batch jobs on a site with a platform.
type BatchCommand struct {
	Status  *struct{}           `arg:"subcommand:status" help:"show the leader, the members, and an overview of jobs, pools and waves"`
	Job     *BatchJobCommand    `arg:"subcommand:job" help:"show the state of a job, and what each step waits for"`
	Workers *BatchListCommand   `arg:"subcommand:workers" help:"list workers, and why one takes no tasks"`
	VMs     *BatchListCommand   `arg:"subcommand:vms" help:"list VMs, and the operation planned for each"`
	Cancel  *BatchCancelCommand `arg:"subcommand:cancel" help:"cancel a job"`
	Check   *BatchCheckCommand  `arg:"subcommand:check" help:"check a configuration and compare it with the active one; nothing changes"`
}

// BatchJobCommand prints the state of a job, its steps and its running attempts.
type BatchJobCommand struct {
	Job string `arg:"positional,required" help:"the job's identity: 16 hexadecimal digits"`
}

// BatchListCommand lists the workers or the VMs of one pool; an empty Pool stands for all pools.
type BatchListCommand struct {
	Pool string `arg:"--pool" help:"this pool only"`
}

// BatchCancelCommand cancels a job.
type BatchCancelCommand struct {
	Job string `arg:"positional,required" help:"the job's identity: 16 hexadecimal digits"`
}

func (b *BatchCommand) run(ctx context.Context, c *cli) error {
	switch {
	case b.Status != nil:
		return c.inspectBatch(ctx, batch.TopicOverview, "", writeOverview)
	case b.Job != nil:
		return c.inspectBatch(ctx, batch.TopicJob, b.Job.Job, writeBatchJob)
	case b.Workers != nil:
		return c.inspectBatch(ctx, batch.TopicWorkers, "", b.Workers.writeWorkers)
	case b.VMs != nil:
		return c.inspectBatch(ctx, batch.TopicVMs, "", b.VMs.writeVMs)
	case b.Cancel != nil:
		return c.cancelBatchJob(ctx, b.Cancel.Job)
	case b.Check != nil:
		return c.checkConfiguration(ctx, b.Check.File)
	default:
		return &usageError{err: errors.New("batch needs a command; see cowslip batch --help")}
	}
}

// inspectBatch asks the leader about a topic and prints the answer, as JSON or as the table that write produces.
func (c *cli) inspectBatch(ctx context.Context, topic batch.Topic, job string, write func(*tabwriter.Writer, *peer.InspectResponse)) error {
	response, err := c.batch.Inspect(ctx, connect.NewRequest(&peer.InspectRequest{Topic: uint32(topic), Job: job}))
	if err != nil {
		return errors.Wrapf(err, "inspect %s", topic)
	}
	if c.arguments.JSON {
		return c.writeJSON(response.Msg)
	}
	return c.writeTable(func(w *tabwriter.Writer) { write(w, response.Msg) })
}

func (c *cli) cancelBatchJob(ctx context.Context, job string) error {
	response, err := c.batch.CancelJob(ctx, connect.NewRequest(&peer.CancelJobRequest{Job: job}))
	if err != nil {
		return errors.Wrap(err, "cancel")
	}
	if c.arguments.JSON {
		return c.writeJSON(response.Msg)
	}
	_, err = fmt.Fprintf(c.out, "%s %s\n", job, response.Msg.GetPhase())
	return err
}

func writeOverview(w *tabwriter.Writer, r *peer.InspectResponse) {
	o := r.GetOverview()
	fmt.Fprintf(w, "leader\t%s, term %d, for %d ms, confirmed %d ms ago\n", o.GetLeader(), o.GetTerm(), o.GetLedMs(), o.GetConfirmedMs())
	fmt.Fprintf(w, "configuration\t%d with %d queues\n", o.GetVersion(), o.GetQueues())
	fmt.Fprintf(w, "jobs\t%d queued, %d running, %d ended of late\n\n", o.GetQueued(), o.GetRunning(), o.GetEnded())
	fmt.Fprintln(w, "MEMBER\tROLE\tHEARD\tCAUGHT UP")
	for _, m := range o.GetMembers() {
		fmt.Fprintf(w, "%s\t%s\t%t\t%t\n", m.GetName(), m.GetRole(), m.GetHeard(), m.GetCaughtUp())
	}
	fmt.Fprintln(w, "\nPOOL\tSTANDBY\tVMS\tWORKERS\tRUNNING\tREADY")
	for _, p := range o.GetPools() {
		fmt.Fprintf(w, "%s\t%t\t%d\t%d\t%d\t%d\n", p.GetName(), p.GetStandby(), p.GetVms(), p.GetWorkers(), p.GetRunning(), p.GetReady())
	}
	fmt.Fprintln(w, "\nWAVE\tBEGUN\tOF\tAT ONCE\tTIME LEFT")
	for _, v := range o.GetWaves() {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d ms\n", v.GetId(), v.GetBegun(), v.GetVms(), v.GetAtOnce(), v.GetLeftMs())
	}
}

func writeBatchJob(w *tabwriter.Writer, r *peer.InspectResponse) {
	j := r.GetJob()
	fmt.Fprintf(w, "job\t%s in pool %s, %s\n", j.GetId(), j.GetPool(), batch.Phase(j.GetPhase()))
	fmt.Fprintf(w, "taken\t%d ms ago, slack %d ms\n\n", j.GetAgeMs(), j.GetSlackMs())
	fmt.Fprintln(w, "OCCURRENCE\tSTEP\tTASKS\tDONE\tRUNNING\tORDERED\tFAILURES\tWAITS")
	for _, s := range j.GetSteps() {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", s.GetOccurrence(), s.GetStep(), s.GetTasks(), s.GetDone(), s.GetRunning(),
			s.GetOrdered(), s.GetFailures(), s.GetWaits())
	}
	fmt.Fprintln(w, "\nOCCURRENCE\tSTEP\tINDEX\tATTEMPT\tWORKER\tPERCENT")
	for _, a := range j.GetRuns() {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%s\t%d\n", a.GetTask().GetOccurrence(), a.GetTask().GetStep(), a.GetTask().GetIndex(),
			a.GetAttempt(), a.GetWorker(), a.GetPercent())
	}
}

// writeWorkers prints the workers of the selected pool.
func (b *BatchListCommand) writeWorkers(w *tabwriter.Writer, r *peer.InspectResponse) {
	fmt.Fprintln(w, "WORKER\tPOOL\tVM\tSTATE\tRUNNING\tFREE MILLI\tFREE MB\tHEARD\tLEASE\tPACE")
	for _, k := range r.GetWorkers() {
		if b.Pool == "" || b.Pool == k.GetPool() {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d ms ago\t%d ms\t%d%%\n", k.GetId(), k.GetPool(), k.GetVm(), k.GetState(),
				k.GetRunning(), k.GetCpuMilli(), k.GetMemoryMb(), k.GetHeardMs(), k.GetLeaseMs(), k.GetShare())
		}
	}
}

// writeVMs prints the VMs of the selected pool.
func (b *BatchListCommand) writeVMs(w *tabwriter.Writer, r *peer.InspectResponse) {
	fmt.Fprintln(w, "VM\tPOOL\tSTATE\tWORKER\tPLAN\tLISTED")
	for _, v := range r.GetVms() {
		if b.Pool == "" || b.Pool == v.GetPool() {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d ms ago\n", v.GetName(), v.GetPool(), v.GetState(), v.GetWorker(), v.GetPlan(), v.GetListedMs())
		}
	}
}
