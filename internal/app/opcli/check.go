package opcli

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"unicode"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/wire/peer"
)

// BatchCheckCommand checks a configuration.
type BatchCheckCommand struct {
	File string `arg:"positional,required" help:"path of the configuration (JSON)"`
}

// findingsError reports that a check found errors or warnings; it determines the exit code.
type findingsError struct {
	errors, warnings int64
}

// Error returns the counts of errors and warnings.
func (e *findingsError) Error() string {
	return fmt.Sprintf("the configuration has errors: %d, warnings: %d", e.errors, e.warnings)
}

func (e *findingsError) exitCode() int {
	if e.errors > 0 {
		return ExitUsage
	}
	return ExitWarnings
}

// checkConfiguration has a process check a file, and prints what was found.
func (c *cli) checkConfiguration(ctx context.Context, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return &usageError{err: err}
	}
	response, err := c.batch.CheckConfiguration(ctx, connect.NewRequest(&peer.CheckConfigurationRequest{Text: text}))
	if err != nil {
		return errors.Wrap(err, "check")
	}
	if c.arguments.JSON {
		err = c.writeJSON(response.Msg)
	} else {
		err = c.writeTable(func(w *tabwriter.Writer) { writeFindings(w, response.Msg) })
	}
	if err != nil {
		return err
	}
	if response.Msg.GetErrors()+response.Msg.GetWarnings() > 0 {
		return &findingsError{errors: response.Msg.GetErrors(), warnings: response.Msg.GetWarnings()}
	}
	return nil
}

func writeFindings(w *tabwriter.Writer, r *peer.CheckConfigurationResponse) {
	switch version, active := r.GetVersion(), r.GetActiveVersion(); {
	case active > 0:
		fmt.Fprintf(w, "version\t%d, active is %d\n", version, active)
	case version > 0:
		fmt.Fprintf(w, "version\t%d, none is active\n", version)
	}
	fmt.Fprintf(w, "found\t%d errors, %d warnings, %d notes\n", r.GetErrors(), r.GetWarnings(), r.GetNotes())
	if len(r.GetFindings()) > 0 {
		fmt.Fprintln(w, "\nSEVERITY\tPLACE\tFINDING")
	}
	for _, f := range r.GetFindings() {
		fmt.Fprintf(w, "%s\t%s\t%s\n", f.GetSeverity(), placeOf(f), printable(f.GetText()))
	}
	if n := r.GetOmitted(); n > 0 {
		fmt.Fprintf(w, "\n%d more are not shown\n", n)
	}
}

// placeOf describes which part of the configuration a finding concerns.
func placeOf(f *peer.ConfigurationFinding) string {
	place := f.GetSubject()
	if f.GetName() != "" {
		place += " " + f.GetName()
	}
	if f.GetLine() > 0 {
		place += fmt.Sprintf(", line %d, column %d", f.GetLine(), f.GetColumn())
	}
	return printable(place)
}

// printable replaces the control characters of a text, which names in the file may contain, so that they don't reach the terminal.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return unicode.ReplacementChar
	}, text)
}
