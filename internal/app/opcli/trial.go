package opcli

import (
	"context"
	"fmt"
	"io"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/wire/peer"
)

// TryCommand checks a document, prints a preview of its effects and records the trial.
type TryCommand struct {
	File        string  `arg:"positional,required" help:"path of the document (TOML)"`
	Environment string  `arg:"--environment" default:"trial" help:"name of the trial environment"`
	Base        *uint64 `arg:"--base" help:"production revision that the document is based on; default: the one in force"`
	Request     string  `arg:"--request" help:"request identity; a repeated request with the same identity gets the first result"`
	DryRun      bool    `arg:"--dry-run" help:"check the document without recording a trial"`
}

// PromoteCommand puts a tried document into production.
type PromoteCommand struct {
	Digest  string  `arg:"positional,required" help:"digest that try printed"`
	Base    *uint64 `arg:"--base" help:"revision that the change is based on; default: the one that the document was tried on"`
	Request string  `arg:"--request" help:"request identity; a repeated request with the same identity gets the first result"`
	DryRun  bool    `arg:"--dry-run" help:"show the effect of the change, and change nothing"`
}

func (t *TryCommand) run(ctx context.Context, c *cli) error {
	text, err := readDocument(t.File)
	if err != nil {
		return err
	}
	response, err := c.environment.Try(ctx, connect.NewRequest(&peer.TryRequest{
		RequestId: requestID(t.Request), Environment: t.Environment, BaseRevision: t.Base, Document: text, DryRun: t.DryRun,
	}))
	if err != nil {
		return errors.Wrap(err, "try")
	}
	if c.arguments.JSON {
		return c.writeJSON(response.Msg)
	}
	m := response.Msg
	if err := writePreview(c.out, m.GetPreview()); err != nil {
		return err
	}
	if t.DryRun {
		_, err = fmt.Fprintf(c.out, "checked on revision %d, nothing recorded; digest %s\n", m.GetBaseRevision(), m.GetDigest())
	} else {
		_, err = fmt.Fprintf(c.out, "tried on revision %d; to put it into production: cowslip env promote %s\n", m.GetBaseRevision(), m.GetDigest())
	}
	return err
}

func (p *PromoteCommand) run(ctx context.Context, c *cli) error {
	response, err := c.environment.Promote(ctx, connect.NewRequest(&peer.PromoteRequest{
		RequestId: requestID(p.Request), Digest: p.Digest, BaseRevision: p.Base, DryRun: p.DryRun,
	}))
	if err != nil {
		return errors.Wrap(err, "promote")
	}
	m := response.Msg
	switch {
	case c.arguments.JSON:
		return c.writeJSON(m)
	case p.DryRun:
		if err := writePreview(c.out, m.GetPreview()); err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.out, "would become revision %d; nothing was changed\n", m.GetRevision()+1)
	default:
		_, err = fmt.Fprintf(c.out, "revision %d accepted, digest %s\n", m.GetRevision(), m.GetDigest())
	}
	return err
}

func writePreview(out io.Writer, p *peer.Preview) error {
	if err := writeChanges(out, p.GetChanges()); err != nil {
		return err
	}
	w := newTable(out)
	if len(p.GetPools()) > 0 {
		fmt.Fprintln(w, "POOL\tVMS\tWANTED")
	}
	for _, pool := range p.GetPools() {
		fmt.Fprintf(w, "%s\t%d\t%d\n", pool.GetPool(), pool.GetHave(), pool.GetWant())
	}
	if len(p.GetBudgets()) > 0 {
		fmt.Fprintln(w, "SERVICE\tBUDGET\tWINDOW")
	}
	for _, b := range p.GetBudgets() {
		fmt.Fprintf(w, "%s\t%d s\t%d days\n", b.GetService(), b.GetAllowedS(), b.GetWindowDays())
	}
	fmt.Fprintf(w, "VMs to move: %d, lacking: %d\n", p.GetMoves(), p.GetLacking())
	return errors.Wrap(w.Flush(), "write preview")
}

func writeChanges(out io.Writer, changes []*peer.ItemChange) error {
	w := newTable(out)
	if len(changes) == 0 {
		fmt.Fprintln(w, "no differences")
	}
	for _, change := range changes {
		fmt.Fprintf(w, "%s\t%s\t%s\n", change.GetKind(), change.GetTable(), change.GetName())
		for _, f := range change.GetFields() {
			fmt.Fprintf(w, "\t  %s\t%s -> %s\n", f.GetField(), f.GetFrom(), f.GetTo())
		}
	}
	return errors.Wrap(w.Flush(), "write changes")
}
