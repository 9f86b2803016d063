package opcli

import (
	"context"
	"fmt"
	"os"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"cowslipstack/internal/model/docs"
	"cowslipstack/internal/wire/peer"
)

// EnvCommand holds the subcommands for environment documents.
type EnvCommand struct {
	Try     *TryCommand       `arg:"subcommand:try" help:"check a document, show its effects and record the trial"`
	Promote *PromoteCommand   `arg:"subcommand:promote" help:"put a tried document into production unchanged"`
	Diff    *DiffCommand      `arg:"subcommand:diff" help:"compare two documents"`
	History *HistoryCommand   `arg:"subcommand:history" help:"list accepted revisions and trials, the latest first"`
	Status  *EnvStatusCommand `arg:"subcommand:status" help:"show which revision is in force on each entry"`
	Apply   *ApplyCommand     `arg:"subcommand:apply" help:"put a document into production without a trial, such as the first one"`
}

// ApplyCommand puts a document into production without a trial.
type ApplyCommand struct {
	File    string  `arg:"positional,required" help:"path of the document (TOML)"`
	Base    *uint64 `arg:"--base" help:"revision that the change is based on; default: the one in force"`
	Request string  `arg:"--request" help:"request identity; a repeated request with the same identity gets the first result"`
}

func (e *EnvCommand) run(ctx context.Context, c *cli) error {
	switch {
	case e.Try != nil:
		return e.Try.run(ctx, c)
	case e.Promote != nil:
		return e.Promote.run(ctx, c)
	case e.Diff != nil:
		return e.Diff.run(ctx, c)
	case e.History != nil:
		return e.History.run(ctx, c)
	case e.Status != nil:
		return e.Status.run(ctx, c)
	case e.Apply != nil:
		return e.Apply.run(ctx, c)
	default:
		return &usageError{err: errors.New("env needs a command; see cowslip env --help")}
	}
}

// readDocument returns the text of a valid environment document.
func readDocument(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &usageError{err: err}
	}
	_, err = docs.Parse(file, text)
	return text, err
}

// requestID returns the given request identity, or a new one.
func requestID(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}

func (a *ApplyCommand) run(ctx context.Context, c *cli) error {
	text, err := readDocument(a.File)
	if err != nil {
		return err
	}
	base, err := a.baseRevision(ctx, c)
	if err != nil {
		return err
	}
	response, err := c.operator.Apply(ctx, connect.NewRequest(&peer.ApplyRequest{
		RequestId: requestID(a.Request), BaseRevision: base, Document: text,
	}))
	if err != nil {
		return errors.Wrap(err, "apply")
	}
	if c.arguments.JSON {
		return c.writeJSON(response.Msg)
	}
	_, err = fmt.Fprintf(c.out, "revision %d accepted, digest %s\n", response.Msg.GetRevision(), response.Msg.GetDigest())
	return err
}

func (a *ApplyCommand) baseRevision(ctx context.Context, c *cli) (uint64, error) {
	if a.Base != nil {
		return *a.Base, nil
	}
	response, err := c.operator.Status(ctx, connect.NewRequest(&peer.StatusRequest{}))
	if err != nil {
		return 0, errors.Wrap(err, "read the revision in force")
	}
	return response.Msg.GetRevision(), nil
}
