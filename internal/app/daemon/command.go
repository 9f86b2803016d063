package daemon

import (
	"context"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/base/conf"
)

// Exit codes of cowslipd.
const (
	// ExitOK means that the daemon ended as asked, or that its settings are right.
	ExitOK = 0
	// ExitFailure means that a part of the daemon failed.
	ExitFailure = 1
	// ExitSettings means that the arguments or the settings are wrong; nothing was started.
	ExitSettings = 2
)

// Arguments are the flags of cowslipd.
type Arguments struct {
	Settings string `arg:"--settings,required" help:"path of the settings file (TOML)"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

// Description returns the text that heads the help.
func (Arguments) Description() string {
	return "cowslipd serves callers (role entry) and holds the replicated state (role control)."
}

// Command parses the arguments, without the program's name, runs the daemon and returns the exit code.
func Command(ctx context.Context, args []string, out io.Writer) int {
	var a Arguments
	parser, err := arg.NewParser(arg.Config{Program: "cowslipd"}, &a)
	if err != nil {
		return fail(out, err, ExitFailure)
	}
	if err := parser.Parse(args); errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(out)
		return ExitOK
	} else if err != nil {
		return fail(out, err, ExitSettings)
	}
	settings, err := conf.LoadDaemon(a.Settings)
	if err != nil {
		return fail(out, err, ExitSettings)
	}
	if a.Check {
		return ExitOK
	}
	if err := Run(ctx, settings); err != nil {
		return fail(out, err, ExitFailure)
	}
	return ExitOK
}

func fail(out io.Writer, err error, code int) int {
	if _, err := fmt.Fprintf(out, "cowslipd: %v\n", err); err != nil {
		return ExitFailure
	}
	return code
}
