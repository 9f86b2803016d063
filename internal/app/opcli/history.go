package opcli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/wire/peer"
)

// shortDigestLength is the number of characters of a digest in a table; --json prints the whole digest.
const shortDigestLength = 12

// DiffCommand compares two environment documents.
type DiffCommand struct {
	From string `arg:"positional" help:"revision, digest, name of a trial environment, or production; default: production"`
	To   string `arg:"positional" help:"as for FROM; default: the latest trial"`
}

// HistoryCommand lists accepted revisions and trials, the latest first.
type HistoryCommand struct {
	Limit uint32 `arg:"--limit" default:"20" help:"maximum number of revisions to list"`
}

// EnvStatusCommand prints the revision that is in force on each entry.
type EnvStatusCommand struct {
	Wait bool `arg:"--wait" help:"wait until the latest revision is in force everywhere"`
}

// envStatusPollInterval is the time between polls with --wait.
const envStatusPollInterval = 200 * time.Millisecond

func (d *DiffCommand) run(ctx context.Context, c *cli) error {
	response, err := c.environment.Diff(ctx, connect.NewRequest(&peer.DiffRequest{From: d.From, To: d.To}))
	if err != nil {
		return errors.Wrap(err, "diff")
	}
	if c.arguments.JSON {
		return c.writeJSON(response.Msg)
	}
	return writeChanges(c.out, response.Msg.GetChanges())
}

func (h *HistoryCommand) run(ctx context.Context, c *cli) error {
	response, err := c.environment.History(ctx, connect.NewRequest(&peer.HistoryRequest{Limit: h.Limit}))
	if err != nil {
		return errors.Wrap(err, "history")
	}
	if c.arguments.JSON {
		return c.writeJSON(response.Msg)
	}
	w := newTable(c.out)
	fmt.Fprintln(w, "REVISION\tACCEPTED\tDIGEST\tREQUEST\tTEXT KEPT")
	for _, r := range response.Msg.GetRevisions() {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%t\n", r.GetRevision(), formatTime(r.GetTimeMs()), shortDigest(r.GetDigest()), r.GetRequestId(), r.GetTextKept())
	}
	fmt.Fprintln(w, "\nTRIAL\tTRIED\tDIGEST\tON REVISION")
	for _, t := range response.Msg.GetTrials() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", t.GetEnvironment(), formatTime(t.GetTimeMs()), t.GetDigest(), t.GetBaseRevision())
	}
	return errors.Wrap(w.Flush(), "write history")
}

func (f *EnvStatusCommand) run(ctx context.Context, c *cli) error {
	m, err := f.awaitStatus(ctx, c)
	if err != nil {
		return errors.Wrap(err, "env status")
	}
	if c.arguments.JSON {
		return c.writeJSON(m)
	}
	return c.writeEnvStatus(m)
}

// awaitStatus returns the status; with --wait it polls until the latest revision is in force on every entry.
func (f *EnvStatusCommand) awaitStatus(ctx context.Context, c *cli) (*peer.ForceResponse, error) {
	for {
		response, err := c.environment.Force(ctx, connect.NewRequest(&peer.ForceRequest{}))
		if err != nil {
			return nil, err
		}
		revisions := response.Msg.GetRevisions()
		if !f.Wait || len(revisions) == 0 || revisions[0].GetEverywhere() {
			return response.Msg, nil
		}
		if !sleep(ctx, clock.System{}, envStatusPollInterval) {
			return nil, errors.Newf("revision %d is not in force on %v yet", revisions[0].GetRevision(), revisions[0].GetWaiting())
		}
	}
}

func (c *cli) writeEnvStatus(m *peer.ForceResponse) error {
	w := newTable(c.out)
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
		elapsed := "not measured"
		if r.GetElapsedMs() >= 0 {
			elapsed = fmt.Sprintf("%d ms", r.GetElapsedMs())
		}
		fmt.Fprintf(w, "%d\t%t\t%s\t%s\n", r.GetRevision(), r.GetEverywhere(), elapsed, strings.Join(r.GetWaiting(), " "))
	}
	return errors.Wrap(w.Flush(), "write status")
}

func formatTime(ms int64) string {
	return time.UnixMilli(ms).UTC().Format(time.DateTime)
}

func shortDigest(digest string) string {
	return digest[:min(len(digest), shortDigestLength)]
}
