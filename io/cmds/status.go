package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"apricotproxy/io/host"
)

type statusCommand struct {
	Address string `default:"127.0.0.1:9090" help:"Address of the host's HTTP API for operators."`
	JSON    bool   `name:"json" help:"Print the host's JSON as received."`
}

// hostStatus formats the answer of /statusz as text.
type hostStatus struct {
	host.Status
}

// Run prints a host's status. The exit code is 1 when the host is not ready.
func (c *statusCommand) Run(ctx context.Context, console *Console) error {
	ctx, cancel := context.WithTimeout(ctx, _requestTimeout)
	defer cancel()
	answer, err := getOK(ctx, "http://"+c.Address+"/statusz")
	if err != nil {
		return err
	}
	defer closeBody(answer)
	text, err := io.ReadAll(io.LimitReader(answer.Body, _maxStatusBytes))
	if err != nil {
		return fmt.Errorf("reading /statusz: %w", err)
	}
	if err := c.print(console, text); err != nil {
		return err
	}
	return c.ready(ctx)
}

func (c *statusCommand) print(console *Console, text []byte) error {
	if c.JSON {
		return console.outf("%s", text)
	}
	var status hostStatus
	if err := json.Unmarshal(text, &status.Status); err != nil {
		return fmt.Errorf("reading /statusz: %w", err)
	}
	return console.outf("%s", status.summary())
}

// ready returns an error with the reason if the host is not ready.
func (c *statusCommand) ready(ctx context.Context) error {
	answer, err := sendGet(ctx, "http://"+c.Address+"/readyz")
	if err != nil {
		return err
	}
	defer closeBody(answer)
	if answer.StatusCode == http.StatusOK {
		return nil
	}
	var health struct{ Reason string }
	if err := json.NewDecoder(io.LimitReader(answer.Body, _maxStatusBytes)).Decode(&health); err != nil {
		return fmt.Errorf("reading /readyz: %w", err)
	}
	return withFaultCode(fmt.Errorf("the host is not ready: %s", health.Reason))
}

func (s hostStatus) summary() string {
	out := &strings.Builder{}
	fmt.Fprintf(out, "site %s, host %s, revision %d, %s\n", s.Site, s.Host, s.Revision, s.state())
	fmt.Fprintf(out, "requests: %d in hand, %d waiting, %d running; %d order tickets\n", s.InHand, s.Waiting, s.Running, s.Tickets)
	fmt.Fprintf(out, "data centres: %s\n", s.dataCentres())
	fmt.Fprintf(out, "other hosts: %s\n", s.peers())
	for _, expiry := range s.Certificates {
		fmt.Fprintf(out, "certificate of %s ends %s\n", expiry.Role, expiry.NotAfter.UTC().Format("2006-01-02 15:04Z"))
	}
	s.writeEndpoints(out)
	return out.String()
}

func (s hostStatus) state() string {
	switch {
	case s.Stopping:
		return "stopping"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func (s hostStatus) dataCentres() string {
	texts := make([]string, 0, len(s.DataCentres))
	for _, dataCentre := range s.DataCentres {
		text := string(dataCentre.Name)
		if !dataCentre.InService {
			text += " (out of service)"
		}
		texts = append(texts, text)
	}
	return orNone(texts)
}

// peers returns the number of alive hosts, and the names and states of the others.
func (s hostStatus) peers() string {
	alive := 0
	var others []string
	for _, peer := range s.Hosts {
		switch {
		case peer.Draining:
			others = append(others, string(peer.Name)+" (stopping)")
		case peer.Standing == "Alive":
			alive++
		default:
			others = append(others, fmt.Sprintf("%s (%s)", peer.Name, strings.ToLower(peer.Standing)))
		}
	}
	return orNone(append([]string{fmt.Sprintf("%d alive", alive)}, others...))
}

func orNone(texts []string) string {
	if len(texts) == 0 {
		return "none"
	}
	return strings.Join(texts, ", ")
}

func (s hostStatus) writeEndpoints(out *strings.Builder) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	// Writes to a strings.Builder never fail.
	_, _ = fmt.Fprintln(table, "Endpoint\tPhase\tOwned\tInUse\tLent\tBorrowed\tFreeTokens\tReported")
	for _, e := range s.Endpoints {
		reported := "never"
		if !e.ReportedAt.IsZero() {
			reported = e.ReportedAt.UTC().Format("15:04:05.000Z")
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", e.Name, e.Phase, e.OwnedSlots, e.InUse, e.Lent, e.Borrowed, e.FreeTokens, reported)
	}
	_ = table.Flush()
}
