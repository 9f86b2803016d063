package opcli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/conf"
	"cowslipstack/internal/wire/certs"
	"cowslipstack/internal/wire/dial"
	"cowslipstack/internal/wire/peer"
)

// Exit codes of the command line.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that the command failed; nothing was changed unless the error says so.
	ExitFailure = 1
	// ExitUsage means that the arguments or an input file were invalid; nothing was changed.
	ExitUsage = 2
	// ExitConflict means that another change was made first.
	ExitConflict = 3
	// ExitWarnings means that a check found no errors, only warnings.
	ExitWarnings = 4
)

// Arguments holds the global flags and the subcommands of cowslip; at most one subcommand is set.
type Arguments struct {
	Env       *EnvCommand       `arg:"subcommand:env" help:"try, promote and compare environment documents"`
	Status    *StatusCommand    `arg:"subcommand:status" help:"show the state of the fleet"`
	Watch     *WatchCommand     `arg:"subcommand:watch" help:"show the state of the fleet each time that it changes"`
	VM        *VMCommand        `arg:"subcommand:vm" help:"list, drain, move and return VMs"`
	Pool      *PoolCommand      `arg:"subcommand:pool" help:"list pools with their demand and budgets"`
	Wave      *WaveCommand      `arg:"subcommand:wave" help:"start, hold, resume and cancel waves of maintenance"`
	Job       *JobCommand       `arg:"subcommand:job" help:"list, submit, hold, release and cancel jobs"`
	Batch     *BatchCommand     `arg:"subcommand:batch" help:"show and cancel batch work on a site with a platform"`
	Explain   *ExplainCommand   `arg:"subcommand:explain" help:"show the inputs and the rule of a decision"`
	Replica   *ReplicaCommand   `arg:"subcommand:replica" help:"show, replace and remove replicas of the control role, and transfer the leadership"`
	State     *StateCommand     `arg:"subcommand:state" help:"show or check a data folder that no process uses"`
	Version   *VersionCommand   `arg:"subcommand:version" help:"show the version of this build"`
	Reference *ReferenceCommand `arg:"subcommand:reference" help:"write the reference page of the environment document"`
	Address   string            `arg:"--address,env:COWSLIP_ADDRESS" default:"127.0.0.1:7004" help:"operators' address of any process"`
	JSON      bool              `arg:"--json" help:"write JSON"`
	Timeout   time.Duration     `arg:"--timeout" default:"10s" help:"time limit of the command"`

	Authority   string `arg:"--authority,env:COWSLIP_AUTHORITY" help:"file of the certificate authority that signs the processes' certificates; with --certificate and --key, calls use TLS"`
	Certificate string `arg:"--certificate,env:COWSLIP_CERTIFICATE" help:"file of the operator's certificate"`
	Key         string `arg:"--key,env:COWSLIP_KEY" help:"file of the operator's private key"`
}

// Description returns the first paragraph of the help text.
func (Arguments) Description() string {
	return "cowslip is the operators' command line of cowslipstack."
}

// Terminal holds the output streams of a command.
type Terminal struct {
	// Out receives results.
	Out io.Writer
	// Err receives errors, one line each.
	Err io.Writer
}

// cli holds the arguments, the API clients and the output of one invocation.
type cli struct {
	arguments   Arguments
	operator    peer.OperatorClient
	environment peer.EnvironmentClient
	fleet       peer.FleetClient
	members     peer.MembersClient
	batch       peer.BatchClient
	out         io.Writer
}

// Run parses the arguments, which exclude the program name, runs the command and returns the exit code.
func Run(ctx context.Context, args []string, t Terminal) int {
	var a Arguments
	parser, err := arg.NewParser(arg.Config{Program: "cowslip", Out: t.Out}, &a)
	if err != nil {
		return fail(t, err)
	}
	if err := parser.Parse(args); errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(t.Out)
		return ExitOK
	} else if err != nil {
		return fail(t, &usageError{err: err})
	}
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	client, err := a.httpClient()
	if err != nil {
		return fail(t, &usageError{err: err})
	}
	retry := connect.WithInterceptors(retryUnavailable(clock.System{}))
	c := &cli{
		arguments:   a,
		operator:    peer.NewOperatorClient(client, "http://"+a.Address, retry),
		environment: peer.NewEnvironmentClient(client, "http://"+a.Address, retry),
		fleet:       peer.NewFleetClient(client, "http://"+a.Address, retry),
		members:     peer.NewMembersClient(client, "http://"+a.Address, retry),
		batch:       peer.NewBatchClient(client, "http://"+a.Address, retry),
		out:         t.Out,
	}
	if err := c.run(ctx); err != nil {
		return fail(t, err)
	}
	return ExitOK
}

// httpClient returns the HTTP client for API calls; it uses TLS if the certificate files are given.
func (a Arguments) httpClient() (*http.Client, error) {
	files := certs.Files{Authority: a.Authority, Certificate: a.Certificate, Key: a.Key}
	if !files.Enabled() {
		return dial.NewClient(nil), nil
	}
	source, err := certs.Load(files, clock.System{})
	if err != nil {
		return nil, err
	}
	return dial.NewClient(source), nil
}

func (c *cli) run(ctx context.Context) error {
	switch {
	case c.arguments.Env != nil:
		return c.arguments.Env.run(ctx, c)
	case c.arguments.Status != nil:
		return c.status(ctx)
	case c.arguments.Watch != nil:
		return c.arguments.Watch.run(ctx, c)
	case c.arguments.VM != nil:
		return c.arguments.VM.run(ctx, c)
	case c.arguments.Pool != nil:
		return c.arguments.Pool.run(ctx, c)
	case c.arguments.Wave != nil:
		return c.arguments.Wave.run(ctx, c)
	case c.arguments.Job != nil:
		return c.arguments.Job.run(ctx, c)
	case c.arguments.Batch != nil:
		return c.arguments.Batch.run(ctx, c)
	case c.arguments.Explain != nil:
		return c.arguments.Explain.run(ctx, c)
	case c.arguments.Replica != nil:
		return c.arguments.Replica.run(ctx, c)
	case c.arguments.State != nil:
		return c.arguments.State.run(c)
	case c.arguments.Version != nil:
		return c.version()
	case c.arguments.Reference != nil:
		return c.reference()
	default:
		return &usageError{err: errors.New("a command is needed; see cowslip --help")}
	}
}

// usageError reports invalid arguments; it makes the exit code ExitUsage.
type usageError struct{ err error }

// Error returns the text of the wrapped error.
func (e *usageError) Error() string { return e.err.Error() }

func fail(t Terminal, err error) int {
	fmt.Fprintf(t.Err, "cowslip: %v\n", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *usageError
	var input *conf.InputError
	var found *findingsError
	if errors.As(err, &found) {
		return found.exitCode()
	}
	if errors.As(err, &usage) || errors.As(err, &input) {
		return ExitUsage
	}
	switch connect.CodeOf(err) {
	case connect.CodeAborted:
		return ExitConflict
	case connect.CodeInvalidArgument:
		return ExitUsage
	default:
		return ExitFailure
	}
}
