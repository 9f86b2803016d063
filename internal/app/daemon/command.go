package daemon

import (
	"context"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/app/site"
	"cowslipstack/internal/base/conf"
	"cowslipstack/schema"
)

// Exit codes of cowslipd.
const (
	// ExitOK means that the daemon stopped on request, or that the settings are valid.
	ExitOK = 0
	// ExitFailure means that a component of the daemon failed.
	ExitFailure = 1
	// ExitSettings means that the arguments or the settings are invalid; nothing was started.
	ExitSettings = 2
)

// Arguments are the flags of cowslipd.
type Arguments struct {
	Settings      string `arg:"--settings" help:"path of the settings file (TOML)"`
	Site          string `arg:"--site" help:"path of the settings file of a process that finds the others through seeds (TOML)"`
	Check         bool   `arg:"--check" help:"check the settings and exit"`
	Reference     bool   `arg:"--reference" help:"write the reference page of the settings to stdout and exit"`
	SiteReference bool   `arg:"--site-reference" help:"write the reference page of the settings for --site to stdout and exit"`
}

// Description returns the first paragraph of the help text.
func (Arguments) Description() string {
	return "cowslipd serves callers (role entry) and holds the replicated state (role control)."
}

// Terminal holds the outputs of RunCommand and its reload requests; the daemon's log always goes to stderr.
type Terminal struct {
	// Out receives the help and the reference pages.
	Out io.Writer
	// Err receives errors, one line each.
	Err io.Writer
	// Reload delivers requests to reload the settings; it is used only with --site.
	Reload <-chan struct{}
}

// RunCommand parses the arguments, without the program's name, runs the daemon and returns its exit code. It blocks
// until the context ends or a component fails.
func RunCommand(ctx context.Context, args []string, t Terminal) int {
	var a Arguments
	parser, err := arg.NewParser(arg.Config{Program: "cowslipd"}, &a)
	if err != nil {
		return reportError(t.Err, err, ExitFailure)
	}
	if err := parser.Parse(args); errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(t.Out)
		return ExitOK
	} else if err != nil {
		return reportError(t.Err, err, ExitSettings)
	}
	if a.Reference {
		return writeReference(t, schema.Daemon)
	}
	if a.SiteReference {
		return writeReference(t, schema.Site)
	}
	if a.Site != "" {
		return runSite(ctx, a, t)
	}
	if a.Settings == "" {
		return reportError(t.Err, errors.New("--settings is required"), ExitSettings)
	}
	settings, err := conf.LoadDaemon(a.Settings)
	if err != nil {
		return reportError(t.Err, err, ExitSettings)
	}
	if a.Check {
		return ExitOK
	}
	if err := Run(ctx, settings); err != nil {
		return reportError(t.Err, err, ExitFailure)
	}
	return ExitOK
}

// writeReference writes the reference page of a schema, as in docs/SETTINGS.md and docs/SITE.md.
func writeReference(t Terminal, text string) int {
	page, err := conf.Reference(text)
	if err != nil {
		return reportError(t.Err, err, ExitFailure)
	}
	if _, err := io.WriteString(t.Out, page); err != nil {
		return reportError(t.Err, err, ExitFailure)
	}
	return ExitOK
}

// reportError writes an error as one line and returns the exit code.
func reportError(out io.Writer, err error, code int) int {
	if _, err := fmt.Fprintf(out, "cowslipd: %v\n", err); err != nil {
		return ExitFailure
	}
	return code
}

// runSite runs a process that finds the others through seeds, or only checks its settings.
func runSite(ctx context.Context, a Arguments, t Terminal) int {
	if a.Check {
		if _, err := conf.LoadSite(a.Site); err != nil {
			return reportError(t.Err, err, ExitSettings)
		}
		return ExitOK
	}
	if err := site.Run(ctx, site.Options{Path: a.Site, Out: t.Out, Reload: t.Reload}); err != nil {
		return reportError(t.Err, err, ExitFailure)
	}
	return ExitOK
}
