package fakes

import (
	"context"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/logs"
	"cowslipstack/internal/edge/discov"
)

// Exit codes of cowslipfake.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Arguments are the subcommands of cowslipfake.
type Arguments struct {
	Endpoint *EndpointCommand `arg:"subcommand:endpoint" help:"run a fake endpoint"`
	Platform *PlatformCommand `arg:"subcommand:platform" help:"run a fake platform, with an endpoint on each VM of a pool with a service"`
}

// EndpointCommand holds the flags of the subcommand that runs one fake endpoint.
type EndpointCommand struct {
	Service    string   `arg:"--service,required" help:"service to run"`
	Name       string   `arg:"--name,required" help:"the endpoint's own name"`
	VM         string   `arg:"--vm" default:"vm-1" help:"VM that the endpoint runs on"`
	DataCentre string   `arg:"--data-centre" default:"dc-a" help:"data centre of the VM"`
	Rack       string   `arg:"--rack" default:"rack-1" help:"rack of the VM"`
	Slots      int      `arg:"--slots" default:"8" help:"maximum number of requests in progress"`
	Listen     string   `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	Mode       string   `arg:"--mode" default:"answer" help:"answer, die_before, die_after, die_answering, cut, too_long, unbounded, crossed, decline, late or hold"`
	Entries    []string `arg:"--entry,separate,required" help:"announcement address of an entry"`
}

// Run parses the arguments, which exclude the program name, runs the fake until the context ends and returns the
// exit code.
func Run(ctx context.Context, args []string, out io.Writer) int {
	var a Arguments
	parser, err := arg.NewParser(arg.Config{Program: "cowslipfake"}, &a)
	if err != nil {
		return fail(out, err, exitFailure)
	}
	if err := parser.Parse(args); errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(out)
		return exitOK
	} else if err != nil {
		return fail(out, err, exitUsage)
	}
	var run func(context.Context) error
	switch {
	case a.Endpoint != nil:
		run = a.Endpoint.run
	case a.Platform != nil:
		run = a.Platform.run
	default:
		return fail(out, errors.New("a command is needed; see cowslipfake --help"), exitUsage)
	}
	if err := run(ctx); err != nil {
		return fail(out, err, exitFailure)
	}
	return exitOK
}

func (c *EndpointCommand) run(ctx context.Context) error {
	mode, ok := ParseMode(c.Mode)
	if !ok {
		return errors.Newf("--mode is %q; see cowslipfake endpoint --help", c.Mode)
	}
	logger, err := logs.New(logs.Options{})
	if err != nil {
		return err
	}
	return NewEndpoint(EndpointOptions{
		Announcement: discov.Announcement{
			Service: c.Service, Endpoint: c.Name, VM: c.VM, Slots: c.Slots, DataCentre: c.DataCentre, Rack: c.Rack,
		},
		Mode: mode, Listen: c.Listen, Entries: c.Entries, Clock: clock.System{}, Logger: logger,
	}).Run(ctx)
}

func fail(out io.Writer, err error, code int) int {
	if _, err := fmt.Fprintf(out, "cowslipfake: %v\n", err); err != nil {
		return exitFailure
	}
	return code
}
