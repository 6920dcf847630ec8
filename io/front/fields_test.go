package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"apricotproxy/fakes/routed"
)

// withField answers with a line of a test's own in the header; the rest is right.
func withField(c *routed.Call, line, contentType, body string) {
	c.Write(_length.message(200, contentType, body, echo(c), _seal, line))
}

// A caller got the answer of an endpoint, or of a host that relays, with a blank in the name of a field:
// without that line, or with a body that was not the endpoint's.
func TestFieldNameThatIsNoneReachesNobody(t *testing.T) {
	const broken = "broken"
	whole := func(line string) routed.Handler {
		return func(c *routed.Call) bool { withField(c, line, "text/plain", broken); return true }
	}
	chunked := func(line string) routed.Handler {
		return func(c *routed.Call) bool {
			c.Write(_chunks.message(200, _eventStream, routed.Event(0), echo(c), _seal, line))
			return true
		}
	}
	trailer := func(line string) routed.Handler {
		return func(c *routed.Call) bool {
			c.Write(streamHead(c) + eventChunks(0, 1) + "0\r\n" + line + "\r\n\r\n")
			return true
		}
	}
	for _, c := range []struct {
		name, path string
		handle     func(line string) routed.Handler
		// begins is what the caller gets of a stream at most.
		begins string
		calls  int
	}{
		{"lookup", "/lookup/", whole, "", 2},
		{"order", "/order/", whole, "", 1},
		{"stream that may run again", "/check/", chunked, "", 2},
		{"stream that must not run twice", "/draft/", chunked, "", 1},
		{"stream with a trailer", "/draft/", trailer, wantStream(1), 1},
	} {
		for name, line := range routed.BrokenFields() {
			for _, relayed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, relayed %t", c.name, name, relayed), func(t *testing.T) {
					t.Parallel()
					r := newFixture(t, c.handle(line), c.handle(line))
					if relayed {
						r.relayTo(r.endpoints[0].Address)
					}
					got := r.send(http.MethodPost, c.path, "", "Tokens: 100,400", "Deadline-Ms: 2000")
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
}

// An engine's answer to a move with a blank in the name of a field is none. The stream goes on as if the
// engine had not answered.
func TestFieldNameThatIsNoneMovesNoRun(t *testing.T) {
	for name, line := range routed.BrokenFields() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			handle := func(c *routed.Call) bool {
				if c.URL.Path == "/move" {
					withField(c, line, "application/json", `{"handle":"7"}`)
					return true
				}
				if c.Header.Get("Continue-From") != "" {
					t.Error("the stream went on from a copy that no answer named")
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
