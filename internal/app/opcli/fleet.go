package opcli

import (
	"context"
	"fmt"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/codec"
	"cowslipstack/internal/wire/peer"
)

// ChangeFlags holds the flags that all commands which change the fleet have.
type ChangeFlags struct {
	DryRun  bool   `arg:"--dry-run" help:"show the effect of the change, and change nothing"`
	Force   bool   `arg:"--force" help:"make the change even if a pool would be left with too few VMs"`
	Request string `arg:"--request" help:"request identity; a repeated request with the same identity gets the first result"`
}

// changeFleet makes an operator's change of the fleet and prints the server's message, or defaultMessage if there is
// none. Without --request it generates a request identity.
func (c *cli) changeFleet(ctx context.Context, f ChangeFlags, command record.Command, defaultMessage string) error {
	command.RequestID = requestID(f.Request)
	response, err := c.fleet.Change(ctx, connect.NewRequest(&peer.ChangeRequest{
		Command: codec.CommandToWire(command), DryRun: f.DryRun, Force: f.Force,
	}))
	if err != nil {
		return errors.Wrap(err, "change")
	}
	if c.arguments.JSON {
		return c.writeJSON(response.Msg)
	}
	message := response.Msg.GetMessage()
	if message == "" {
		message = defaultMessage
	}
	_, err = fmt.Fprintln(c.out, message)
	return err
}

// fleetState returns the state that planning works on.
func (c *cli) fleetState(ctx context.Context) (*peer.ShowResponse, error) {
	response, err := c.fleet.Show(ctx, connect.NewRequest(&peer.ShowRequest{}))
	if err != nil {
		return nil, errors.Wrap(err, "show")
	}
	return response.Msg, nil
}

// printFleet prints the state that planning works on, as JSON or as the table that write produces.
func (c *cli) printFleet(ctx context.Context, write func(*tabwriter.Writer, *peer.ShowResponse)) error {
	state, err := c.fleetState(ctx)
	if err != nil {
		return err
	}
	if c.arguments.JSON {
		return c.writeJSON(state)
	}
	return c.writeTable(func(w *tabwriter.Writer) { write(w, state) })
}

// ExplainCommand prints the inputs and the rule of a decision.
type ExplainCommand struct {
	Kind string `arg:"positional,required" help:"vm, job, wave or spare"`
	Name string `arg:"positional" help:"name of the VM, job or wave; omit it for spare"`
}

func (e *ExplainCommand) run(ctx context.Context, c *cli) error {
	response, err := c.fleet.Explain(ctx, connect.NewRequest(&peer.ExplainRequest{Kind: e.Kind, Name: e.Name}))
	if err != nil {
		return errors.Wrap(err, "explain")
	}
	if c.arguments.JSON {
		return c.writeJSON(response.Msg)
	}
	return c.writeTable(func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "decision\t%s\ninputs\t%s\nrule\t%s\nwhat would change it\t%s\n",
			response.Msg.GetSubject(), response.Msg.GetInputs(), response.Msg.GetRule(), response.Msg.GetChange())
	})
}
