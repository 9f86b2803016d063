package opcli

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/peer"
)

// JobCommand holds the subcommands for jobs.
type JobCommand struct {
	List    *JobListCommand   `arg:"subcommand:list" help:"list jobs with their phase and its cause"`
	Submit  *JobSubmitCommand `arg:"subcommand:submit" help:"submit a job"`
	Hold    *JobNameCommand   `arg:"subcommand:hold" help:"keep a waiting job from being started"`
	Release *JobNameCommand   `arg:"subcommand:release" help:"allow a held job to start again"`
	Cancel  *JobCancelCommand `arg:"subcommand:cancel" help:"cancel all named jobs in one change"`
}

// JobListCommand lists the jobs of one team; an empty Team stands for all teams.
type JobListCommand struct {
	Team string `arg:"--team" help:"list this team only"`
}

// JobSubmitCommand submits a job with its declared size.
type JobSubmitCommand struct {
	Name         string `arg:"positional,required" help:"the job's name"`
	Team         string `arg:"--team,required" help:"team whose quota the job uses"`
	Pool         string `arg:"--pool,required" help:"pool that the job runs in"`
	Cores        int64  `arg:"--cores" default:"1" help:"processor cores"`
	MemoryMB     int64  `arg:"--memory-mb" default:"1000" help:"memory in units of 1,000,000 bytes"`
	Accelerators int64  `arg:"--accelerators" help:"accelerators"`
	Urgent       bool   `arg:"--urgent" help:"start within two seconds"`
	Checkpoint   bool   `arg:"--checkpoint" help:"the job can be stopped and continue on another VM"`
	ChangeFlags
}

// JobNameCommand holds or releases one job.
type JobNameCommand struct {
	Name string `arg:"positional,required" help:"the job"`
	ChangeFlags
}

// JobCancelCommand cancels all named jobs in one change.
type JobCancelCommand struct {
	Names []string `arg:"positional,required" help:"the jobs"`
	ChangeFlags
}

func (j *JobCommand) run(ctx context.Context, c *cli) error {
	switch {
	case j.List != nil:
		return j.List.run(ctx, c)
	case j.Submit != nil:
		return j.Submit.run(ctx, c)
	case j.Hold != nil:
		return j.Hold.run(ctx, c, record.JobHold)
	case j.Release != nil:
		return j.Release.run(ctx, c, record.JobRelease)
	case j.Cancel != nil:
		change := &record.JobChange{Step: record.JobCancel, Names: j.Cancel.Names, Cause: "an operator cancelled it"}
		return c.changeFleet(ctx, j.Cancel.ChangeFlags, record.Command{Job: change}, "cancelled")
	default:
		return &usageError{err: errors.New("job needs a command; see cowslip job --help")}
	}
}

func (j *JobSubmitCommand) run(ctx context.Context, c *cli) error {
	job := fleet.Job{
		Name: j.Name, Team: j.Team, Pool: j.Pool, Urgent: j.Urgent, Checkpoint: j.Checkpoint,
		Declared: fleet.Size{Cores: j.Cores, MemoryMB: j.MemoryMB, Accelerators: j.Accelerators},
	}
	change := &record.JobChange{Step: record.JobSubmit, Names: []string{j.Name}, Job: job}
	return c.changeFleet(ctx, j.ChangeFlags, record.Command{Job: change}, "submitted "+j.Name)
}

func (j *JobNameCommand) run(ctx context.Context, c *cli, step record.JobStep) error {
	change := &record.JobChange{Step: step, Names: []string{j.Name}, Cause: "an operator asked for it"}
	return c.changeFleet(ctx, j.ChangeFlags, record.Command{Job: change}, step.String()+" "+j.Name)
}

func (j *JobListCommand) run(ctx context.Context, c *cli) error {
	return c.printFleet(ctx, func(w *tabwriter.Writer, state *peer.ShowResponse) {
		fmt.Fprintln(w, "JOB\tTEAM\tPOOL\tPHASE\tVM\tATTEMPT\tCORES\tIN USE\tCAUSE")
		for _, s := range state.GetJobs() {
			if j.Team != "" && j.Team != s.GetTeam() {
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", s.GetName(), s.GetTeam(), s.GetPool(), fleet.JobPhase(s.GetPhase()),
				s.GetVm(), s.GetAttempt(), s.GetDeclared().GetCores(), s.GetUsed().GetCores(), s.GetCause())
		}
	})
}
