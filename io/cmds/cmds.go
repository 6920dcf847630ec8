// Package cmds holds the command line.
//
// Exit codes, the same for all commands:
//
//	0  done, and nothing found wrong
//	1  done, and something found wrong: a fault, a host not ready, a load with
//	   answers that were not whole
//	2  the command line is not understood
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

const _description = `Serves generations of unknown length on crowded engines.

Exit codes: 0 done; 1 done and something found wrong; 2 the command line is not understood; 3 not done.`

// commandLine lists the commands. Each is a struct with a method Run, to which
// kong gives what it asks for: a context.Context that ends with SIGTERM or an
// interrupt, and a *Console.
type commandLine struct {
	Serve   ServeCommand   `cmd:"" help:"Run an entry host."`
	Route   RouteCommand   `cmd:"" help:"Run an entry host for routed requests."`
	Demo    DemoCommand    `cmd:"" help:"Show the whole path on loopback: three entry hosts before fakes."`
	Fakes   FakesCommand   `cmd:"" help:"Run the demo's platform and back ends alone, for hosts in processes of their own."`
	Config  configCommand  `cmd:"" help:"Check, show, compare and bundle configuration files."`
	Status  statusCommand  `cmd:"" help:"Print what a host reports of itself."`
	Audit   auditCommand   `cmd:"" help:"Print a host's audit trail."`
	Load    loadCommand    `cmd:"" help:"Send an open-loop load to entry hosts and measure what callers see."`
	Version versionCommand `cmd:"" help:"Print the version."`

	Experiment ExperimentCommand `cmd:"" help:"Compare routing policies on fake engines in virtual time."`
}

// Console is where a command writes: results to Out, all else to Err.
type Console struct {
	Out io.Writer
	Err io.Writer
}

// CodeError ends a command with a code other than ExitNotDone.
type CodeError struct {
	Code int
	Err  error
}

// Error gives the message of the error within.
func (e *CodeError) Error() string { return e.Err.Error() }

// Unwrap gives the error within.
func (e *CodeError) Unwrap() error { return e.Err }

// found wraps what a command found wrong.
func found(err error) error {
	if err == nil {
		return nil
	}
	return &CodeError{Code: ExitFault, Err: err}
}

// Main runs the command line of the process and exits.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := Run(ctx, os.Args[1:], Console{Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}

// Run runs one command line and gives its exit code.
func Run(ctx context.Context, arguments []string, console Console) int {
	var line commandLine
	code, exited := ExitDone, false
	parser, err := kong.New(&line,
		kong.Name("apricotproxy"),
		kong.Description(_description),
		kong.Writers(console.Out, console.Err),
		kong.Exit(func(asked int) { code, exited = asked, true }),
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
		console.printf("Run apricotproxy --help for the commands.\n")
		return ExitUsage
	}
	return console.exitCode(parsed.Run())
}

func (c *Console) exitCode(err error) int {
	if err == nil {
		return ExitDone
	}
	c.printError(err)
	var exit *CodeError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitNotDone
}

func (c *Console) printError(err error) { c.printf("apricotproxy: %v\n", err) }

// printf writes to Err; there is nowhere left to report a failure of it.
func (c *Console) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.Err, format, arguments...)
}
