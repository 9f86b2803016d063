package opcli

import (
	"context"
	"fmt"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/wire/peer"
)

// StatusCommand prints the state of the fleet.
type StatusCommand struct{}

func (c *cli) status(ctx context.Context) error {
	response, err := c.operator.Status(ctx, connect.NewRequest(&peer.StatusRequest{}))
	if err != nil {
		return errors.Wrap(err, "status")
	}
	if c.arguments.JSON {
		return c.writeJSON(response.Msg)
	}
	if err := c.writeStatus(response.Msg); err != nil {
		return err
	}
	return c.writePlanStatus(ctx)
}

// writePlanStatus writes the state that planning works on: pools and spare VMs, remaining budgets, and waves.
func (c *cli) writePlanStatus(ctx context.Context) error {
	state, err := c.fleetState(ctx)
	if err != nil {
		return err
	}
	for _, write := range []func(*tabwriter.Writer, *peer.ShowResponse){writePools, writeWaves} {
		if _, err := fmt.Fprintln(c.out); err != nil {
			return errors.Wrap(err, "write status")
		}
		if err := c.writeTable(func(w *tabwriter.Writer) { write(w, state) }); err != nil {
			return err
		}
	}
	return nil
}

func (c *cli) writeStatus(s *peer.StatusResponse) error {
	w := newTable(c.out)
	fmt.Fprintf(w, "environment\t%s\nrevision\t%d\nleader\t%s\n\n", s.GetEnvironment(), s.GetRevision(), s.GetLeader())
	fmt.Fprintln(w, "ENTRY\tREVISION\tRENEWED")
	for _, e := range s.GetEntries() {
		fmt.Fprintf(w, "%s\t%d\t%d ms ago\n", e.GetName(), e.GetRevision(), e.GetRenewedMs())
	}
	fmt.Fprintln(w, "\nSERVICE\tPOOL\tENDPOINT\tADDRESS\tVM\tSLOTS")
	for _, sv := range s.GetServices() {
		fmt.Fprintf(w, "%s\t%s\t%d endpoints\t\t\t\n", sv.GetName(), sv.GetPool(), len(sv.GetEndpoints()))
		for _, e := range sv.GetEndpoints() {
			fmt.Fprintf(w, "\t\t%s\t%s\t%s\t%d\n", e.GetName(), e.GetAddress(), e.GetVm(), e.GetSlots())
		}
	}
	return errors.Wrap(w.Flush(), "write status")
}
