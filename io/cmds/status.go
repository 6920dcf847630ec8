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
	Address string `default:"127.0.0.1:9090" help:"Address of the host's operators' surface."`
	JSON    bool   `name:"json" help:"Print the host's JSON as it comes."`
}

// hostStatus is /statusz as a page.
type hostStatus struct {
	host.Status
}

// Run prints a page about a host, and exits with 1 when it is not ready.
func (c *statusCommand) Run(ctx context.Context, console *Console) error {
	ctx, cancel := context.WithTimeout(ctx, _remoteTimeout)
	defer cancel()
	answer, err := get(ctx, "http://"+c.Address+"/statusz")
	if err != nil {
		return err
	}
	defer closeBody(answer)
	text, err := io.ReadAll(io.LimitReader(answer.Body, _statusBytes))
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
	return console.outf("%s", status.page())
}

// ready gives the reason why the host is not ready, if it is not.
func (c *statusCommand) ready(ctx context.Context) error {
	answer, err := request(ctx, "http://"+c.Address+"/readyz")
	if err != nil {
		return err
	}
	defer closeBody(answer)
	if answer.StatusCode == http.StatusOK {
		return nil
	}
	var health struct{ Reason string }
	if err := json.NewDecoder(io.LimitReader(answer.Body, _statusBytes)).Decode(&health); err != nil {
		return fmt.Errorf("reading /readyz: %w", err)
	}
	return found(fmt.Errorf("the host is not ready: %s", health.Reason))
}

func (s hostStatus) page() string {
	page := &strings.Builder{}
	fmt.Fprintf(page, "site %s, host %s, revision %d, %s\n", s.Site, s.Host, s.Revision, s.state())
	fmt.Fprintf(page, "requests: %d in hand, %d waiting, %d running; %d order tickets\n", s.InHand, s.Waiting, s.Running, s.Tickets)
	fmt.Fprintf(page, "data centres: %s\n", s.dataCentres())
	fmt.Fprintf(page, "other hosts: %s\n", s.peers())
	for _, expiry := range s.Certificates {
		fmt.Fprintf(page, "certificate of %s ends %s\n", expiry.Role, expiry.NotAfter.UTC().Format("2006-01-02 15:04Z"))
	}
	s.writeEndpoints(page)
	return page.String()
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

// peers counts the hosts that are well and names the others.
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

func (s hostStatus) writeEndpoints(page *strings.Builder) {
	table := tabwriter.NewWriter(page, 0, 0, 2, ' ', 0)
	// A strings.Builder takes every write.
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
