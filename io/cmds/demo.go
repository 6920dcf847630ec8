package cmds

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/fakes/site"
	"apricotproxy/io/host"
)

const (
	_demoHosts     = 3
	_demoTimeout   = 30 * time.Second
	_demoWorkspace = "ceremonies"
)

// DemoCommand demonstrates the whole request path in one process.
type DemoCommand struct {
	Keep bool `help:"Go on serving after the requests, until interrupted."`
}

// Run starts a fake platform, four fake engines, a fake plain service and three
// entry hosts on loopback, and sends a lookup, a draft, an order and a routed request.
func (c *DemoCommand) Run(ctx context.Context, console *Console) (err error) {
	fakes, err := site.Start(_demoHosts)
	if err != nil {
		return fmt.Errorf("start the demo's site: %w", err)
	}
	defer func() { err = errors.Join(err, fakes.Close()) }()
	d := &demo{console: console, fakes: fakes}
	hosts, stop, err := d.startHosts(ctx)
	if err != nil {
		return fmt.Errorf("start the demo's hosts: %w", err)
	}
	defer func() { err = errors.Join(err, stop()) }()
	limited, cancel := context.WithTimeout(ctx, _demoTimeout)
	defer cancel()
	if err := awaitStart(limited, hosts); err != nil {
		return err
	}
	if err := d.sendRequests(limited); err != nil {
		return withFaultCode(err)
	}
	if c.Keep {
		d.printf("Callers are served at %s. Interrupt to stop.\n", fakes.Hosts[0].Caller)
		<-ctx.Done()
	}
	return nil
}

// demo is one run of the demo.
type demo struct {
	console *Console
	fakes   *site.Site
}

func (d *demo) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.console.Out, format, arguments...)
}

// startHosts starts the entry hosts. The returned function shuts them down gracefully
// and waits for them.
func (d *demo) startHosts(ctx context.Context) (hosts []*host.Host, stop func() error, err error) {
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var group sync.WaitGroup
	results := make(chan error, len(d.fakes.Hosts))
	stop = func() error {
		cancel()
		group.Wait()
		close(results)
		var joined error
		for err := range results {
			joined = errors.Join(joined, err)
		}
		return joined
	}
	for i, ports := range d.fakes.Hosts {
		h, err := host.New(host.Settings{
			Site:          site.Name,
			Self:          core.HostID{Host: site.HostName(i), Incarnation: core.Incarnation(time.Now().UnixNano())},
			CallerAddress: ports.Caller,
			PeerAddress:   ports.Peer,
			Platform:      d.fakes.PlatformAddress,
			ReadFile:      os.ReadFile,
			Dialer:        &net.Dialer{},
			Listen:        listenTCP,
			Logger:        logr.Discard(),
		})
		if err != nil {
			return nil, nil, errors.Join(fmt.Errorf("host %d: %w", i+1, err), stop())
		}
		group.Go(func() { results <- h.Run(serving) })
		hosts = append(hosts, h)
	}
	return hosts, stop, nil
}

func awaitStart(ctx context.Context, hosts []*host.Host) error {
	for _, h := range hosts {
		select {
		case <-h.Started():
		case <-ctx.Done():
			return fmt.Errorf("wait for the hosts to receive the configuration: %w", ctx.Err())
		}
	}
	return nil
}

// sendRequests sends the lookup, the draft, the order and the routed request.
func (d *demo) sendRequests(ctx context.Context) error {
	d.printf("Three entry hosts, four engines and one plain service run on loopback.\n\n")
	steps := []func(context.Context) error{d.lookup, d.draft, d.order, d.routedStream}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// lookup requests a short answer that is not streamed.
func (d *demo) lookup(ctx context.Context) error {
	d.printf("A short lookup, whole, at host 1:\n")
	answer, err := d.post(ctx, 0, "/v1/completions",
		`{"model":"card-writer","prompt":"Check the spelling: Wojciechowski","max_tokens":8}`)
	if err != nil {
		return fmt.Errorf("look up: %w", err)
	}
	var body struct {
		Choices []struct{ Text string }
		Usage   struct {
			Tokens int `json:"completion_tokens"`
		}
	}
	if err := json.Unmarshal(answer, &body); err != nil || len(body.Choices) == 0 {
		return fmt.Errorf("look up: the answer %q is not a completion", answer)
	}
	d.printf("  %s\n  Outcome Done, %d tokens\n\n", shorten(body.Choices[0].Text), body.Usage.Tokens)
	return nil
}

// draft requests a long streamed answer.
func (d *demo) draft(ctx context.Context) error {
	d.printf("A long draft, streamed, at host 2:\n")
	response, err := d.send(ctx, 1, "/v1/completions",
		`{"model":"card-writer","prompt":"Draft the card set for the guest roll","max_tokens":200,"stream":true}`)
	if err != nil {
		return fmt.Errorf("draft: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	count, err := readStream(response.Body)
	if err != nil {
		return fmt.Errorf("draft: %w", err)
	}
	d.printf("  Outcome Done, %d tokens, each once and in order\n\n", count)
	return nil
}

// order gets a ticket from one host, sends the order to both other hosts and checks
// that it ran once.
func (d *demo) order(ctx context.Context) error {
	d.printf("An order that may not be repeated, ticket from host 3, sent to hosts 1 and 2:\n")
	answer, err := d.post(ctx, 2, "/v1/tickets", `{"Count":1}`)
	if err != nil {
		return fmt.Errorf("get a ticket: %w", err)
	}
	var tickets struct{ Tickets []string }
	if err := json.Unmarshal(answer, &tickets); err != nil || len(tickets.Tickets) != 1 {
		return fmt.Errorf("get a ticket: the answer %q has no ticket", answer)
	}
	body := fmt.Sprintf(`{"Ticket":%q,"Service":"card-order","Call":"engrave","Body":{"Name":"Wojciechowski"}}`, tickets.Tickets[0])
	for i := range 2 {
		answer, err := d.post(ctx, i, "/v1/orders", body)
		if err != nil {
			return fmt.Errorf("order at host %d: %w", i+1, err)
		}
		d.printf("  host %d: Outcome Done, %s\n", i+1, shorten(string(answer)))
	}
	runs := len(d.fakes.Plain.Runs())
	d.printf("  The service ran it %d time(s).\n", runs)
	if runs != 1 {
		return fmt.Errorf("the order ran %d times, expected once", runs)
	}
	return nil
}

// post sends a body to an entry host and returns the body of the answer.
func (d *demo) post(ctx context.Context, index int, path, body string) ([]byte, error) {
	response, err := d.send(ctx, index, path, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read the answer: %w", err)
	}
	return answer, nil
}

// send sends a body to an entry host and returns an error unless the status is 200.
func (d *demo) send(ctx context.Context, index int, path, body string) (*http.Response, error) {
	url := "http://" + d.fakes.Hosts[index].Caller + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return nil, fmt.Errorf("make the request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Workspace", _demoWorkspace)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send the request: %w", err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	answer, _ := io.ReadAll(response.Body)
	return nil, errors.Join(fmt.Errorf("status %d: %s", response.StatusCode, answer), response.Body.Close())
}

// readStream returns the number of tokens in a stream. It checks that the event
// indices count up from 0 and that the stream ends with the final event.
func readStream(body io.Reader) (int, error) {
	lines := bufio.NewScanner(body)
	next, final := 0, -1
	for lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			index := id[strings.LastIndexByte(id, '.')+1:]
			if index != fmt.Sprint(next) {
				return next, fmt.Errorf("got event %q, expected index %d", id, next)
			}
			next++
		}
		if strings.Contains(line, `"completion_tokens"`) {
			final = next - 1
		}
	}
	if err := lines.Err(); err != nil {
		return next, fmt.Errorf("read the stream: %w", err)
	}
	if final < 0 || final != next-1 {
		return next, fmt.Errorf("the stream ended after %d events without a final one", next)
	}
	return final, nil
}

// shorten returns the text on one line, truncated if it is long.
func shorten(text string) string {
	const maxBytes = 72
	text = strings.Join(strings.Fields(text), " ")
	if len(text) <= maxBytes {
		return text
	}
	return text[:maxBytes] + "..."
}
