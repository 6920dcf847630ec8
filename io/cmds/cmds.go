// Package cmds implements the command line.
//
// All commands use the same exit codes:
//
//	0  done, no problem found
//	1  done, and a problem was found: a fault in the configuration, a host that is
//	   not ready, a load with requests that got no valid answer
//	2  invalid command line
//	3  not done: a file cannot be read, a host cannot be reached
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	ExitDone    = 0
	ExitFault   = 1
	ExitUsage   = 2
	ExitNotDone = 3
)

const _description = `Routes generations of unknown length to heavily loaded engines.

Exit codes: 0 done; 1 done, and a problem was found; 2 invalid command line; 3 not done.`

// commandLine lists the commands. Each is a struct with a method Run. kong passes
// the arguments that Run declares: a context.Context that ends with SIGTERM or an
// interrupt, and a *Console.
type commandLine struct {
	Serve   ServeCommand   `cmd:"" help:"Run an entry host."`
	Route   RouteCommand   `cmd:"" help:"Run an entry host that forwards HTTP requests by a table of routes."`
	Demo    DemoCommand    `cmd:"" help:"Demonstrate the whole request path on loopback: three entry hosts with a fake platform and fake back ends."`
	Fakes   FakesCommand   `cmd:"" help:"Run only the demo's fake platform and back ends, for entry hosts in other processes."`
	Config  configCommand  `cmd:"" help:"Check, show, compare and bundle configuration files."`
	Status  statusCommand  `cmd:"" help:"Print a host's status."`
	Audit   auditCommand   `cmd:"" help:"Print a host's audit trail."`
	Load    loadCommand    `cmd:"" help:"Send an open-loop load to entry hosts and measure what callers see."`
	Version versionCommand `cmd:"" help:"Print the version."`

	Experiment ExperimentCommand `cmd:"" help:"Compare routing policies on fake engines in virtual time."`
}

// Console is the output of a command: results go to Out, everything else to Err.
type Console struct {
	Out io.Writer
	Err io.Writer
}

// ExitError is an error with its own exit code. Other errors exit with ExitNotDone.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the text of the underlying error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *ExitError) Unwrap() error { return e.Err }

// withFaultCode marks an error as a problem that the command found, so that the exit
// code is ExitFault.
func withFaultCode(err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{Code: ExitFault, Err: err}
}

// Main runs the command line of the process and exits.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := Run(ctx, os.Args[1:], Console{Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}

// notifyHangup returns a channel that receives SIGHUP until stop is called. Without one, the signal
// ends the process. Hosts call it before anything else.
func notifyHangup() (hangups <-chan os.Signal, stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}

// Run runs one command line and returns its exit code.
func Run(ctx context.Context, arguments []string, console Console) int {
	var line commandLine
	code, exited := ExitDone, false
	parser, err := kong.New(&line,
		kong.Name("apricotproxy"),
		kong.Description(_description),
		kong.Writers(console.Out, console.Err),
		kong.Exit(func(status int) { code, exited = status, true }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(&console),
		kong.UsageOnError(),
		kong.Configuration(loadSettings),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		console.printError(err)
		return ExitUsage
	}
	parsed, err := parser.Parse(arguments)
	if exited { // --help
		return code
	}
	if err != nil {
		console.printError(err)
		console.logf("Run apricotproxy --help for the commands.\n")
		return ExitUsage
	}
	return console.exitCode(parsed.Run())
}

func (c *Console) exitCode(err error) int {
	if err == nil {
		return ExitDone
	}
	c.printError(err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitNotDone
}

func (c *Console) printError(err error) { c.logf("apricotproxy: %v\n", err) }

// logf writes a message to Err. A failed write is ignored, since there is nowhere left
// to report it.
func (c *Console) logf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.Err, format, arguments...)
}
