package opcli

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/wire/peer"
)

// digestShown is how much of a digest a table shows; --json gives the whole.
const digestShown = 12

// DiffCommand compares two documents.
type DiffCommand struct {
	From string `arg:"positional" help:"revision, digest, name of a trial environment, or production; default: production"`
	To   string `arg:"positional" help:"the same; default: the latest trial"`
}

// HistoryCommand lists accepted revisions and trials.
type HistoryCommand struct {
	Limit uint32 `arg:"--limit" default:"20" help:"the most revisions to list"`
}

// ForceCommand shows which revision is in force on each entry.
type ForceCommand struct{}

func (d *DiffCommand) run(ctx context.Context, c *call) error {
	response, err := c.environment.Diff(ctx, connect.NewRequest(&peer.DiffRequest{From: d.From, To: d.To}))
	if err != nil {
		return errors.Wrap(err, "diff")
	}
	if c.arguments.JSON {
		return c.writeJSON(response.Msg)
	}
	return writeChanges(c.out, response.Msg.GetChanges())
}

func (h *HistoryCommand) run(ctx context.Context, c *call) error {
	response, err := c.environment.History(ctx, connect.NewRequest(&peer.HistoryRequest{Limit: h.Limit}))
	if err != nil {
		return errors.Wrap(err, "history")
	}
	if c.arguments.JSON {
		return c.writeJSON(response.Msg)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(w, "REVISION\tACCEPTED\tDIGEST\tREQUEST\tTEXT KEPT")
	for _, r := range response.Msg.GetRevisions() {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%t\n", r.GetRevision(), timeOf(r.GetTimeMs()), short(r.GetDigest()), r.GetRequestId(), r.GetTextKept())
	}
	fmt.Fprintln(w, "\nTRIAL\tTRIED\tDIGEST\tON REVISION")
	for _, t := range response.Msg.GetTrials() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", t.GetEnvironment(), timeOf(t.GetTimeMs()), t.GetDigest(), t.GetBaseRevision())
	}
	return errors.Wrap(w.Flush(), "write history")
}

func (*ForceCommand) run(ctx context.Context, c *call) error {
	response, err := c.environment.Force(ctx, connect.NewRequest(&peer.ForceRequest{}))
	if err != nil {
		return errors.Wrap(err, "env status")
	}
	if c.arguments.JSON {
		return c.writeJSON(response.Msg)
	}
	m := response.Msg
	w := tabwriter.NewWriter(c.out, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintf(w, "revision\t%d\ndigest\t%s\n\n", m.GetRevision(), m.GetDigest())
	fmt.Fprintln(w, "ENTRY\tREVISION\tLEASE\tRENEWED")
	for _, e := range m.GetEntries() {
		renewed := "not since this leader"
		if e.GetRenewedMs() >= 0 {
			renewed = fmt.Sprintf("%d ms ago", e.GetRenewedMs())
		}
		fmt.Fprintf(w, "%s\t%d\t%t\t%s\n", e.GetName(), e.GetRevision(), e.GetLease(), renewed)
	}
	fmt.Fprintln(w, "\nREVISION\tIN FORCE EVERYWHERE\tAFTER\tWAITING FOR")
	for _, r := range m.GetRevisions() {
		fmt.Fprintf(w, "%d\t%t\t%d ms\t%s\n", r.GetRevision(), r.GetEverywhere(), r.GetElapsedMs(), strings.Join(r.GetWaiting(), " "))
	}
	return errors.Wrap(w.Flush(), "write status")
}

func timeOf(ms int64) string {
	return time.UnixMilli(ms).UTC().Format(time.DateTime)
}

func short(digest string) string {
	return digest[:min(len(digest), digestShown)]
}
