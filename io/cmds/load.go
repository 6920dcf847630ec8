package cmds

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"apricotproxy/core"
	"apricotproxy/io/load"
)

type loadCommand struct {
	Targets       []string      `arg:"" help:"Addresses of entry hosts, such as 10.20.1.11:8080; used in rotation."`
	Workspaces    []string      `required:"" help:"Workspaces of the requests; each request uses one at random."`
	Rate          float64       `default:"10" help:"Mean number of requests scheduled per second; slow answers do not delay them."`
	Duration      time.Duration `default:"30s" help:"How long requests are sent; the command then waits for the remaining answers."`
	AnswerTimeout time.Duration `default:"5m" help:"Longest time for one answer."`
	Silence       time.Duration `default:"15s" help:"Time without a byte after which a stream is resumed at the next target."`
	Resumes       int           `default:"3" help:"Most resumptions of one stream."`
	MaxOpen       int           `default:"20000" help:"Most requests in flight; requests above it are not sent and count as Skipped."`
	Seed          uint64        `default:"1" help:"Seed of the random schedule: the same seed sends the same requests at the same times."`

	Service      string  `help:"Service of drafts and lookups, such as drafting."`
	DraftShare   float64 `default:"0.5" help:"Share of long generations."`
	LookupShare  float64 `default:"0.5" help:"Share of short generations."`
	CallShare    float64 `default:"0" help:"Share of repeatable calls."`
	OrderShare   float64 `default:"0" help:"Share of unrepeatable calls, each with a ticket of its own."`
	DraftPrompt  string  `default:"Draft a long document." help:"Prompt of drafts."`
	LookupPrompt string  `default:"Answer in one word." help:"Prompt of lookups."`
	DraftTokens  int     `default:"4096" help:"max_tokens of drafts."`
	LookupTokens int     `default:"16" help:"max_tokens of lookups."`
	Call         string  `help:"Repeatable call, as service/call."`
	Order        string  `help:"Unrepeatable call, as service/call."`

	Authority string `help:"File with the certificate authority of the entry hosts; switches TLS on."`
	JSON      string `name:"json" help:"File to write the result to as JSON; - for the standard output."`
	Quiet     bool   `short:"q" help:"Print no progress lines."`
}

// Run sends the load, prints progress to Err and the result to Out. The exit code is
// 1 when requests were not sent or got a broken answer or none.
func (c *loadCommand) Run(ctx context.Context, console *Console) error {
	settings, err := c.settings()
	if err != nil {
		return err
	}
	if err := settings.Check(); err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	progress := func(p load.Progress) { console.logf("%s\n", p) }
	if c.Quiet {
		progress = nil
	}
	result, err := load.Run(ctx, settings, &net.Dialer{}, progress)
	if err != nil {
		return fmt.Errorf("sending the load: %w", err)
	}
	if err := c.print(console, result); err != nil {
		return err
	}
	if faulty := result.Faulty(); faulty > 0 {
		return withFaultCode(fmt.Errorf("%d requests were broken, unreached or skipped", faulty))
	}
	return nil
}

func (c *loadCommand) settings() (load.Settings, error) {
	authority, err := readAuthority(c.Authority)
	if err != nil {
		return load.Settings{}, err
	}
	call, err := parsePlainCall("--call", c.Call)
	if err != nil {
		return load.Settings{}, err
	}
	order, err := parsePlainCall("--order", c.Order)
	if err != nil {
		return load.Settings{}, err
	}
	workspaces := make([]core.WorkspaceName, len(c.Workspaces))
	for i, name := range c.Workspaces {
		workspaces[i] = core.WorkspaceName(name)
	}
	return load.Settings{
		Targets: c.Targets, TLS: authority, Workspaces: workspaces, Seed: c.Seed,
		Rate: c.Rate, Duration: c.Duration, AnswerTimeout: c.AnswerTimeout,
		Silence: c.Silence, Resumes: c.Resumes, MaxOpen: c.MaxOpen,
		DraftShare: c.DraftShare, LookupShare: c.LookupShare, CallShare: c.CallShare, OrderShare: c.OrderShare,
		Service: core.ServiceName(c.Service), DraftPrompt: c.DraftPrompt, LookupPrompt: c.LookupPrompt,
		DraftTokens: c.DraftTokens, LookupTokens: c.LookupTokens, Call: call, Order: order,
	}, nil
}

func parsePlainCall(flag, text string) (load.PlainCall, error) {
	if text == "" {
		return load.PlainCall{}, nil
	}
	service, call, ok := strings.Cut(text, "/")
	if !ok || service == "" || call == "" {
		return load.PlainCall{}, &ExitError{Code: ExitUsage, Err: fmt.Errorf("%s=%s is not service/call; write for instance %s=card-order/engrave", flag, text, flag)}
	}
	return load.PlainCall{Service: core.ServiceName(service), Call: core.CallName(call)}, nil
}

// readAuthority returns nil if no file is named.
func readAuthority(file string) (*tls.Config, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading the authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.New("reading the authority: " + file + " holds no certificate; name a PEM file")
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

func (c *loadCommand) print(console *Console, result load.Result) error {
	if c.JSON != "-" {
		if err := result.WriteTable(console.Out); err != nil {
			return fmt.Errorf("printing the table: %w", err)
		}
	}
	if c.JSON == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return fmt.Errorf("encoding the result: %w", err)
	}
	encoded = append(encoded, '\n')
	if c.JSON == "-" {
		return console.outf("%s", encoded)
	}
	if err := os.WriteFile(c.JSON, encoded, 0o644); err != nil {
		return fmt.Errorf("writing the result: %w", err)
	}
	return nil
}
