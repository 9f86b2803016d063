package bound

import (
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	plan "cowslipstack/internal/plan/bound"
)

// Exit codes of cowslipbound.
const (
	// ExitOK means that the report was written.
	ExitOK = 0
	// ExitFailure means that the log can't be read or lacks what the bound needs.
	ExitFailure = 1
	// ExitUsage means that the arguments were invalid.
	ExitUsage = 2
)

// minSlotMs and maxSlotMs limit the length of a slot: shorter slots take long to compute, and longer ones make the bound too
// loose, since a job's first and last slot count as a whole.
const (
	minSlotMs = 10
	maxSlotMs = 1000
)

// Arguments are the flags of cowslipbound.
type Arguments struct {
	Logs   []string `arg:"positional" help:"files with the JSON lines that all processes logged on the day; standard input without any"`
	SlotMs int64    `arg:"--slot-ms" default:"200" help:"length of a time slot in milliseconds"`
	JSON   bool     `arg:"--json" help:"write JSON"`
}

// Description returns the first paragraph of the help text.
func (Arguments) Description() string {
	return "cowslipbound compares what the system did on a day with what a planner that knows the whole day would earn at most."
}

// Streams are the streams of a command.
type Streams struct {
	// In is read if no file is named.
	In io.Reader
	// Out receives the report.
	Out io.Writer
	// Err receives errors, one line each.
	Err io.Writer
}

// Run runs the command with arguments that exclude the program name, and returns the exit code.
func Run(args []string, streams Streams) int {
	var a Arguments
	parser, err := arg.NewParser(arg.Config{Program: "cowslipbound"}, &a)
	if err != nil {
		return fail(streams.Err, err, ExitFailure)
	}
	if err := parser.Parse(args); errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(streams.Out)
		return ExitOK
	} else if err != nil {
		return fail(streams.Err, err, ExitUsage)
	}
	if a.SlotMs < minSlotMs || a.SlotMs > maxSlotMs {
		return fail(streams.Err, errors.Newf("--slot-ms is %d; %d to %d are allowed", a.SlotMs, minSlotMs, maxSlotMs), ExitUsage)
	}
	if err := a.run(streams); err != nil {
		return fail(streams.Err, err, ExitFailure)
	}
	return ExitOK
}

func (a *Arguments) run(streams Streams) error {
	r := newReader()
	if len(a.Logs) == 0 {
		if err := r.read(streams.In); err != nil {
			return errors.Wrap(err, "standard input")
		}
	}
	for _, name := range a.Logs {
		if err := r.readFile(name); err != nil {
			return err
		}
	}
	d := r.day()
	if len(d.capacity) == 0 {
		return errors.New("the log has no fleet_capacity, so the bound can't be computed")
	}
	report := plan.Compare(d.jobs, plan.Serve(d.jobs, d.capacity, a.SlotMs))
	if a.JSON {
		return writeJSON(streams.Out, d, a.SlotMs, report)
	}
	return writeText(streams.Out, d, a.SlotMs, report)
}

func (r *reader) readFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.WithStack(err)
	}
	err = errors.Wrapf(r.read(f), "%s", name)
	return errors.CombineErrors(err, f.Close())
}

func fail(out io.Writer, err error, code int) int {
	if _, err := fmt.Fprintf(out, "cowslipbound: %v\n", err); err != nil {
		return ExitFailure
	}
	return code
}
