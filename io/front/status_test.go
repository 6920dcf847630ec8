package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

// _noStatuses are statuses that are none.
var _noStatuses = []string{"000 None", "000", "099", "101 Switching Protocols", "600 Broken", "999", "1000", "20", "-1", "2e2", "+200", "+20"}

// withStatus answers with a status line of a test's own; id and seal are right.
func withStatus(c *routed.Call, status, contentType, body string) {
	c.Write(fmt.Sprintf("HTTP/1.1 %s\r\n%s\r\n%s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, echo(c), _seal, contentType, len(body), body))
}

// A caller got the answer of an endpoint whose status was none, or waited for one that did not come.
func TestStatusThatIsNoneReachesNobody(t *testing.T) {
	const broken = "broken"
	first := func(status string) routed.Handler {
		return func(c *routed.Call) bool { withStatus(c, status, "text/plain", broken); return true }
	}
	afterEvents := func(status string) routed.Handler {
		return func(c *routed.Call) bool {
			if c.Header.Get("Last-Event-Id") != "" {
				withStatus(c, status, "text/event-stream", routed.Event(2))
				return true
			}
			c.BeginStream(echo(c), _seal)
			events(c, 0, 1)
			return false
		}
	}
	for _, c := range []struct {
		name, path string
		handle     func(status string) routed.Handler
		headers    []string
		// begins is what the caller gets of a stream at most.
		begins string
		calls  int
	}{
		{"lookup", "/lookup/", first, nil, "", 2},
		{"order", "/order/", first, nil, "", 1},
		{"stream before its first event", "/check/", first, nil, "", 2},
		{"stream that must not run twice", "/draft/", first, nil, "", 1},
		{"stream after two events", "/check/", afterEvents, nil, wantStream(1), 2},
		{"take-up", "/check/", first, []string{"Last-Event-Id: 1", "Resumes: r0"}, "", 2},
	} {
		for _, status := range _noStatuses {
			t.Run(c.name+", "+status, func(t *testing.T) {
				t.Parallel()
				r := newFixture(t, c.handle(status), c.handle(status))
				began := time.Now()
				got := r.send(http.MethodPost, c.path, "", append([]string{"Tokens: 100,400", "Deadline-Ms: 3000"}, c.headers...)...)
				if took := time.Since(began); took > time.Second {
					t.Errorf("took %v, want less than a second", took)
				}
				switch {
				case c.begins != "" && (got.err == nil || got.body != c.begins):
					t.Errorf("status %d, %q, %v; want %q, cut", got.status, got.body, got.err, c.begins)
				case c.begins == "" && (got.err != nil || got.status != http.StatusBadGateway || strings.Contains(got.body, broken)):
					t.Errorf("status %d, %q, %v; want 502", got.status, got.body, got.err)
				}
				if n := r.calls(); n != c.calls {
					t.Errorf("%d calls, want %d", n, c.calls)
				}
			})
		}
	}
}

// An engine's answer to a move is no answer if its status is none, whatever its body says. The stream
// then goes on as if the engine had not answered.
func TestStatusThatIsNoneMovesNoRun(t *testing.T) {
	for _, status := range _noStatuses {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			handle := func(c *routed.Call) bool {
				if c.URL.Path == "/move" {
					withStatus(c, status, "application/json", `{"handle":"7"}`)
					return true
				}
				return growing(_longSilence)(c)
			}
			r := newFixture(t, handle, handle)
			got := r.send(http.MethodPost, "/draft/", "", "Tokens: 100,400", "Deadline-Ms: 5000")
			if got.err != nil || got.body != wantStream(6) {
				t.Errorf("status %d, %q, %v; want %q", got.status, got.body, got.err, wantStream(6))
			}
		})
	}
}

// A status that is none does not reach the caller through another host either.
func TestStatusThatIsNoneIsNotRelayed(t *testing.T) {
	for _, path := range []string{"/lookup/", "/order/", "/check/", "/draft/"} {
		for _, status := range _noStatuses {
			t.Run(path+", "+status, func(t *testing.T) {
				t.Parallel()
				r := newFixture(t, func(c *routed.Call) bool { withStatus(c, status, "text/plain", "broken"); return true })
				r.relayTo(r.endpoints[0].Address)
				got := r.send(http.MethodPost, path, "", "Tokens: 100,400", "Deadline-Ms: 2000")
				if got.err != nil || got.status != http.StatusBadGateway || strings.Contains(got.body, "broken") {
					t.Errorf("status %d, %q, %v; want 502", got.status, got.body, got.err)
				}
			})
		}
	}
}
