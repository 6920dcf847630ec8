package cmds

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"apricotproxy/core/procs/audit"
	"apricotproxy/io/opers"
)

// Limits of a request to a host's HTTP API for operators.
const (
	_requestTimeout    = 10 * time.Second
	_maxStatusBytes    = 64 << 20
	_maxAuditLineBytes = 1 << 20
)

// errNoData cancels a request whose host stopped sending.
var errNoData = errors.New("the host stopped sending")

// sendGet sends a GET.
func sendGet(ctx context.Context, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("requesting %s: %w", url, err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("the host does not answer; check --address: %w", err)
	}
	return answer, nil
}

// getOK sends a GET whose answer must be 200.
func getOK(ctx context.Context, url string) (*http.Response, error) {
	answer, err := sendGet(ctx, url)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		closeBody(answer)
		return nil, fmt.Errorf("requesting %s: status %s", url, answer.Status)
	}
	return answer, nil
}

func closeBody(answer *http.Response) { _ = answer.Body.Close() }

type auditCommand struct {
	Address string `default:"127.0.0.1:9090" help:"Address of the host's HTTP API for operators."`
	After   uint64 `help:"Print only events with a higher sequence number."`
	Follow  bool   `short:"f" help:"Go on printing new events."`
	JSON    bool   `name:"json" help:"Print one JSON object per line."`
}

// Run prints the audit trail.
func (c *auditCommand) Run(ctx context.Context, console *Console) error {
	url := fmt.Sprintf("http://%s/auditz?After=%d", c.Address, c.After)
	limit := _requestTimeout
	if c.Follow {
		url += "&Follow=yes"
		limit = opers.AuditSilenceTimeout
	}
	// The timer stops the reading when the host or the link fails silently. With
	// Follow, each line restarts it.
	bounded, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(limit, func() { cancel(errNoData) })
	defer timer.Stop()
	answer, err := getOK(bounded, url)
	if err != nil {
		return err
	}
	defer closeBody(answer)
	err = c.printAll(console, answer.Body, func() {
		if c.Follow {
			timer.Reset(limit)
		}
	})
	switch {
	case c.Follow && ctx.Err() != nil:
		return nil // stopped by an interrupt, as the operator asked
	case errors.Is(context.Cause(bounded), errNoData):
		return fmt.Errorf("%w; continue with --after %d", errNoData, c.After)
	case c.Follow && err == nil:
		return fmt.Errorf("the host ended the stream; continue with --after %d", c.After)
	default:
		return err
	}
}

// printAll prints each event and stores its sequence number in c.After.
func (c *auditCommand) printAll(console *Console, body io.Reader, onLine func()) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, _maxAuditLineBytes)
	for lines.Scan() {
		onLine()
		if len(lines.Bytes()) == 0 {
			continue // empty lines are sent while there are no events
		}
		var entry audit.Entry
		if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
			return fmt.Errorf("reading an audit event: %w", err)
		}
		if entry.Sequence > c.After+1 {
			console.logf("apricotproxy: events %d to %d are no longer held\n", c.After+1, entry.Sequence-1)
		}
		c.After = entry.Sequence
		if err := c.print(console, lines.Text(), entry); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("reading the audit trail: %w", err)
	}
	return nil
}

func (c *auditCommand) print(console *Console, line string, entry audit.Entry) error {
	if c.JSON {
		return console.outf("%s\n", line)
	}
	return console.outf("%s\n", entry)
}
