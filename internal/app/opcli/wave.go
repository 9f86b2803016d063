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

// WaveCommand holds the subcommands for maintenance waves.
type WaveCommand struct {
	Start  *WaveStartCommand `arg:"subcommand:start" help:"start a wave over all VMs, a pool or a data centre"`
	Hold   *WaveStepCommand  `arg:"subcommand:hold" help:"take no further VM out of service; VMs that began to drain return to service"`
	Resume *WaveStepCommand  `arg:"subcommand:resume" help:"continue a wave that was held or has stopped itself"`
	Cancel *WaveStepCommand  `arg:"subcommand:cancel" help:"end a wave early"`
	Status *struct{}         `arg:"subcommand:status" help:"show the waves, the latest last"`
}

// WaveStartCommand starts a wave over all VMs, a pool or a data centre.
type WaveStartCommand struct {
	Name       string `arg:"positional,required" help:"the wave's name"`
	Urgent     bool   `arg:"--urgent" help:"run before the regular wave, and spend availability budget if a pool has no VM to spare"`
	Pool       string `arg:"--pool" help:"this pool only"`
	DataCentre string `arg:"--data-centre" help:"this data centre only"`
	ChangeFlags
}

// WaveStepCommand holds, resumes or cancels a wave. An empty Name stands for the open wave, or for the urgent one if
// several are open.
type WaveStepCommand struct {
	Name string `arg:"positional" help:"the wave; default: the one that goes first"`
	ChangeFlags
}

func (v *WaveCommand) run(ctx context.Context, c *cli) error {
	switch {
	case v.Start != nil:
		return c.changeFleet(ctx, v.Start.ChangeFlags, record.Command{Wave: &record.WaveChange{
			Step: record.WaveStart, Wave: v.Start.Name, Urgent: v.Start.Urgent, Pool: v.Start.Pool,
			DataCentre: v.Start.DataCentre, Cause: "an operator started it",
		}}, "started "+v.Start.Name)
	case v.Hold != nil:
		return v.Hold.run(ctx, c, record.WaveHold)
	case v.Resume != nil:
		return v.Resume.run(ctx, c, record.WaveResume)
	case v.Cancel != nil:
		return v.Cancel.run(ctx, c, record.WaveCancel)
	case v.Status != nil:
		return c.printFleet(ctx, writeWaves)
	default:
		return &usageError{err: errors.New("wave needs a command; see cowslip wave --help")}
	}
}

func (v *WaveStepCommand) run(ctx context.Context, c *cli, step record.WaveStep) error {
	return c.changeFleet(ctx, v.ChangeFlags, record.Command{Wave: &record.WaveChange{
		Step: step, Wave: v.Name, Cause: "an operator asked for it",
	}}, step.String()+" "+v.Name)
}

// writeWaves prints the waves with their phase and progress.
func writeWaves(w *tabwriter.Writer, state *peer.ShowResponse) {
	fmt.Fprintln(w, "WAVE\tURGENT\tPHASE\tRETURNED\tPROVEN\tFAILED\tCAUSE")
	for _, v := range state.GetWaves() {
		fmt.Fprintf(w, "%s\t%t\t%s\t%d\t%d\t%d\t%s\n", v.GetName(), v.GetUrgent(), fleet.WavePhase(v.GetPhase()),
			v.GetReturned(), v.GetProven(), v.GetFailed(), v.GetCause())
	}
}
