package front_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/reach"
	"apricotproxy/fakes/routed"
	"apricotproxy/io/front"
)

// _uploadBytes is longer than what the connections of a fixture take up unread.
const _uploadBytes = 60_000

// _closingHeads are heads of answers that end with their connection.
var _closingHeads = map[string]string{
	"HTTP/1.1": "HTTP/1.1 200 OK\r\n",
	"HTTP/1.0": "HTTP/1.0 200 OK\r\n",
}

// newUnreadFixture returns a fixture whose endpoints handle calls before they read their bodies.
func newUnreadFixture(t *testing.T, handlers ...routed.Handler) *fixture {
	t.Helper()
	r := newFixture(t)
	r.startUnread(handlers...)
	return r
}

func (r *fixture) startUnread(handlers ...routed.Handler) {
	view := *r.view.Load()
	for _, handle := range handlers {
		view.Endpoints = append(view.Endpoints, r.start(routed.StartUnread, handle))
	}
	r.apply(&view)
}

// relayTo replaces the front by one of a host that reaches no endpoint and relays to the host at an address.
func (r *fixture) relayTo(address string) {
	const endpoint = "unreached"
	tracker := reach.New("self", "a", rand.New(rand.NewPCG(1, 1)))
	tracker.SetEndpoints(time.Now(), []core.EndpointKey{{ID: endpoint}})
	reached := front.NewSharedReach(tracker, func(_, _ reach.State, _ time.Duration) {})
	reached.RecordHost(reach.Host{Name: "other", DataCentre: "a", SameRegion: true, Address: address, Reaches: true})
	reached.RecordUnanswered(core.RoutedEndpoint{ID: endpoint})
	for _, probe := range reached.DueProbes() {
		reached.RecordProbe(core.RoutedEndpoint{ID: probe.Key.ID}, io.EOF)
	}
	if state := reached.State(); state != reach.CutOff {
		r.t.Fatalf("state %v, want cut off", state)
	}
	r.serve(reached)
}

// resetting sends a part of an answer that ends with its connection, and resets that while the upload is
// being written.
func resetting(head, part string) routed.Handler {
	return func(c *routed.Call) bool {
		c.Write(head + echo(c) + "\r\n" + _seal + "\r\n\r\n" + part)
		time.Sleep(3 * time.Millisecond)
		c.Reset()
		return false
	}
}

// readingOn sends an answer that ends with its connection, reads the upload and closes.
func readingOn(head, body string) routed.Handler {
	return func(c *routed.Call) bool {
		c.Write(head + echo(c) + "\r\n" + _seal + "\r\n\r\n" + body)
		n, err := io.Copy(io.Discard, c.Body)
		return err != nil || n != _uploadBytes // an open connection is no end of the answer
	}
}

// An endpoint, or a host that relays, reset its connection while the upload was still being written, after
// a part of an answer without a length. The caller got that part as a complete answer.
func TestPartOfAnswerBeforeAResetIsNotComplete(t *testing.T) {
	for _, c := range []struct {
		path, part string
		// begins is what the caller gets of a stream at most.
		begins string
	}{
		{"/lookup/x", "part", ""},
		{"/order/x", "part", ""},
		{"/draft/x", wantStream(1), wantStream(1)},
		{"/check/x", wantStream(1), wantStream(1)},
	} {
		for name, head := range _closingHeads {
			for _, relayed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, relayed %t", c.path, name, relayed), func(t *testing.T) {
					t.Parallel()
					for range 10 {
						handle := resetting(head, c.part)
						r := newUnreadFixture(t, handle, handle)
						if relayed {
							r.relayTo(r.endpoints[0].Address)
						}
						got := r.send(http.MethodPost, c.path, strings.Repeat("u", _uploadBytes), "Tokens: 100,400", "Deadline-Ms: 2000")
						switch {
						case got.err != nil && (c.begins == "" || !strings.HasPrefix(c.begins, got.body)):
							t.Fatalf("%q, %v", got.body, got.err)
						case got.err == nil && got.status != http.StatusBadGateway:
							t.Fatalf("status %d with %q; want it cut or 502", got.status, got.body)
						}
					}
				})
			}
		}
	}
}

// An endpoint that answers before it has read the upload, and reads on, is served as any other.
func TestAnswerBeforeTheEndOfTheUploadIsServed(t *testing.T) {
	for _, c := range []struct{ path, body string }{
		{"/lookup/x", "answered early"}, {"/order/x", "answered early"}, {"/draft/x", wantStream(_lastEvent)}, {"/check/x", wantStream(_lastEvent)},
	} {
		for name, head := range _closingHeads {
			for _, relayed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, relayed %t", c.path, name, relayed), func(t *testing.T) {
					t.Parallel()
					r := newUnreadFixture(t, readingOn(head, c.body))
					if relayed {
						r.relayTo(r.endpoints[0].Address)
					}
					got := r.send(http.MethodPost, c.path, strings.Repeat("u", _uploadBytes), "Tokens: 100,400")
					if got.err != nil || got.status != http.StatusOK || got.body != c.body {
						t.Errorf("status %d with %q, %v; want %q", got.status, got.body, got.err, c.body)
					}
					if n := r.calls(); n != 1 {
						t.Errorf("%d calls, want 1", n)
					}
				})
			}
		}
	}
}
