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

// VMCommand holds the subcommands for VMs.
type VMCommand struct {
	List   *VMListCommand   `arg:"subcommand:list" help:"list VMs with their pool and phase"`
	Drain  *VMDrainCommand  `arg:"subcommand:drain" help:"take a VM out of service without cutting a request"`
	Return *VMReturnCommand `arg:"subcommand:return" help:"return a drained VM to service"`
	Move   *VMMoveCommand   `arg:"subcommand:move" help:"drain a VM and give it to another pool"`
}

// VMListCommand lists the VMs of one pool; an empty Pool stands for all pools.
type VMListCommand struct {
	Pool string `arg:"--pool" help:"list this pool only"`
}

// VMDrainCommand drains a VM; with Reboot it also reboots the VM and returns it to service.
type VMDrainCommand struct {
	Name    string `arg:"positional,required" help:"the VM"`
	Reboot  bool   `arg:"--reboot" help:"reboot the VM and return it to service"`
	Cause   string `arg:"--cause" default:"an operator asked for it" help:"reason, shown to other operators"`
	Version uint64 `arg:"--version" help:"version of the VM that the change is based on; default: the present one"`
	ChangeFlags
}

// VMReturnCommand returns a drained VM to service.
type VMReturnCommand struct {
	Name string `arg:"positional,required" help:"the VM"`
	ChangeFlags
}

// VMMoveCommand drains a VM and moves it to another pool.
type VMMoveCommand struct {
	Name string `arg:"positional,required" help:"the VM"`
	Pool string `arg:"positional,required" help:"the pool that gets it"`
	ChangeFlags
}

func (v *VMCommand) run(ctx context.Context, c *cli) error {
	switch {
	case v.List != nil:
		return v.List.run(ctx, c)
	case v.Drain != nil:
		work := fleet.WorkOperatorDrain
		if v.Drain.Reboot {
			work = fleet.WorkOperatorReboot
		}
		return c.changeFleet(ctx, v.Drain.ChangeFlags, record.Command{VM: &record.VMChange{
			Step: record.VMDrain, VM: v.Drain.Name, Version: v.Drain.Version, Work: work, Cause: v.Drain.Cause,
		}}, "draining "+v.Drain.Name)
	case v.Return != nil:
		return c.changeFleet(ctx, v.Return.ChangeFlags, record.Command{VM: &record.VMChange{
			Step: record.VMReturn, VM: v.Return.Name, Cause: "an operator returned it",
		}}, "returning "+v.Return.Name)
	case v.Move != nil:
		return c.changeFleet(ctx, v.Move.ChangeFlags, record.Command{VM: &record.VMChange{
			Step: record.VMDrain, VM: v.Move.Name, Pool: v.Move.Pool, Work: "operator-move", Cause: "an operator moves it",
		}}, "draining "+v.Move.Name+" for pool "+v.Move.Pool)
	default:
		return &usageError{err: errors.New("vm needs a command; see cowslip vm --help")}
	}
}

func (v *VMListCommand) run(ctx context.Context, c *cli) error {
	return c.printFleet(ctx, func(w *tabwriter.Writer, state *peer.ShowResponse) {
		fmt.Fprintln(w, "VM\tPOOL\tPHASE\tTARGET\tWORK\tEPOCH\tVERSION\tDATA CENTRE\tRACK\tCAUSE")
		for _, m := range state.GetVms() {
			if v.Pool != "" && v.Pool != m.GetPool() {
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", m.GetName(), m.GetPool(), fleet.Phase(m.GetPhase()), m.GetTarget(),
				m.GetWork(), m.GetEpoch(), m.GetVersion(), m.GetDataCentre(), m.GetRack(), m.GetCause())
		}
	})
}

// PoolCommand holds the subcommands for pools.
type PoolCommand struct {
	List *struct{} `arg:"subcommand:list" help:"list pools with their demand and budgets"`
}

func (p *PoolCommand) run(ctx context.Context, c *cli) error {
	return c.printFleet(ctx, writePools)
}

// writePools prints the pools with their demand, and the budgets of the services on them.
func writePools(w *tabwriter.Writer, state *peer.ShowResponse) {
	fmt.Fprintln(w, "POOL\tSPARE\tSIZE\tACTIVE\tNEED\tMEAN\tPEAK")
	for _, s := range state.GetPools() {
		fmt.Fprintf(w, "%s\t%t\t%d\t%d\t%d\t%.2f\t%.2f\n", s.GetName(), s.GetSpare(), s.GetSize(), s.GetActive(),
			s.GetNeed(), float64(s.GetMeanMilli())/milliPerUnit, float64(s.GetPeakMilli())/milliPerUnit)
	}
	fmt.Fprintln(w, "\nSERVICE\tPOOL\tALLOWED\tSEEN\tRESERVED\tLEFT")
	for _, b := range state.GetBudgets() {
		fmt.Fprintf(w, "%s\t%s\t%d s\t%d s\t%d s\t%d s\n", b.GetService(), b.GetPool(), b.GetAllowedMs()/milliPerUnit,
			b.GetSeenMs()/milliPerUnit, b.GetReservedMs()/milliPerUnit, b.GetLeftMs()/milliPerUnit)
	}
}

// milliPerUnit converts milliseconds to seconds and thousandths of a VM to VMs.
const milliPerUnit = 1000
