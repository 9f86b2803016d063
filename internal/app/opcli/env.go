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

// EnvCommand works on environment documents.
type EnvCommand struct {
	Apply *ApplyCommand `arg:"subcommand:apply" help:"put a document into force"`
}

// ApplyCommand puts a document into force.
type ApplyCommand struct {
	File    string  `arg:"positional,required" help:"path of the document (TOML)"`
	Base    *uint64 `arg:"--base" help:"revision that the change builds on; default: the one in force"`
	Request string  `arg:"--request" help:"request identity; a resend under the same one gets the first result"`
}

func (e *EnvCommand) run(ctx context.Context, c *call) error {
	if e.Apply == nil {
		return &usageError{err: errors.New("env needs a command; see cowslip env --help")}
	}
	return e.Apply.run(ctx, c)
}

func (a *ApplyCommand) run(ctx context.Context, c *call) error {
	text, err := os.ReadFile(a.File)
	if err != nil {
		return &usageError{err: err}
	}
	if _, err := docs.Parse(a.File, text); err != nil {
		return err
	}
	base, err := a.base(ctx, c)
	if err != nil {
		return err
	}
	request := a.Request
	if request == "" {
		request = uuid.NewString()
	}
	response, err := c.client.Apply(ctx, connect.NewRequest(&peer.ApplyRequest{
		RequestId: request, BaseRevision: base, Document: text,
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

func (a *ApplyCommand) base(ctx context.Context, c *call) (uint64, error) {
	if a.Base != nil {
		return *a.Base, nil
	}
	response, err := c.client.Status(ctx, connect.NewRequest(&peer.StatusRequest{}))
	if err != nil {
		return 0, errors.Wrap(err, "read the revision in force")
	}
	return response.Msg.GetRevision(), nil
}
