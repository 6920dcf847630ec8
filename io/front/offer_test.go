package front_test

import (
	"net/http"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

// What came of a request that was sent to a second endpoint while the first was silent.
func TestRequestIsSentElsewhereWhileASilentEndpointIsWaitedFor(t *testing.T) {
	const wait = 300 * time.Millisecond // from when the second endpoint gets the request
	answer := func(after time.Duration, status int, body string) routed.Handler {
		return func(c *routed.Call) bool {
			if c.WaitClosed(after) {
				return false
			}
			c.Answer(status, body, echo(c), _seal)
			return false
		}
	}
	goal := 200 * time.Millisecond // of /lookup/
	for _, c := range []struct {
		name, path    string
		first, second routed.Handler
		want          string
	}{
		{"the first answers first", "/lookup/", answer(goal+wait, 200, "first"), answer(3*wait, 200, "second"), "first"},
		{"the second answers first", "/lookup/", answer(goal+3*wait, 200, "first"), answer(wait, 200, "second"), "second"},
		{"the first fails", "/lookup/", answer(goal+wait/2, 500, "failed"), answer(wait, 200, "second"), "second"},
		{"the first refuses", "/lookup/", func(c *routed.Call) bool { time.Sleep(goal + wait/2); return refuse(c) }, answer(wait, 200, "second"), "second"},
		{"the first is lost", "/lookup/", func(c *routed.Call) bool { time.Sleep(goal + wait/2); c.Reset(); return false }, answer(wait, 200, "second"), "second"},
		{"the second is lost", "/lookup/", answer(goal+3*wait, 200, "first"), func(c *routed.Call) bool { c.Reset(); return false }, "the endpoint was lost; the request may have run\n"},
		{"the second does not answer", "/check/", pausing(_longSilence), silentBeforeHead, wantStream(4)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			first := make(chan struct{}, 1)
			handle := func(call *routed.Call) bool {
				select {
				case first <- struct{}{}:
					return c.first(call)
				default:
					return c.second(call)
				}
			}
			r := newFixture(t, handle, handle)
			got := r.send(http.MethodPost, c.path, "", "Tokens: 100,400", "Deadline-Ms: 5000")
			if got.err != nil || got.body != c.want {
				t.Errorf("status %d, %q, %v; want %q", got.status, got.body, got.err, c.want)
			}
			runs := 0
			for _, e := range r.endpoints {
				for _, call := range e.Calls() {
					if call.URL.Path == c.path {
						runs++
					}
				}
			}
			if runs != 2 {
				t.Errorf("%d endpoints got the request, want 2", runs)
			}
		})
	}
}

// silentBeforeHead is an engine that takes a request and sends nothing.
func silentBeforeHead(c *routed.Call) bool {
	c.WaitClosed(5 * time.Second)
	return false
}
