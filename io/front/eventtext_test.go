package front_test

import (
	"net/http"
	"strings"
	"testing"

	"apricotproxy/fakes/routed"
)

// The events before a gap were counted as delivered, but stayed in a buffer when the stream was
// cut.
func TestEventsBeforeAGapReachTheCaller(t *testing.T) {
	for _, p := range passages() {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			got := p.send(t, func(c *routed.Call) bool {
				c.Write(streamHead(c) + eventChunks(p.next, p.next) + eventChunks(p.next+2, _lastEvent+1) + _lastChunk)
				return false
			})
			checkIncomplete(t, got, p.from, p.next+1)
		})
	}
}

// A caller took a stream up after event 1 and got events 0 and 1 once more, or a stream from
// event 3 on.
func TestStreamThatIsTakenUpGoesOnAfterItsLastEvent(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  string
		rest   int
		events int // of the events 2 to 4
	}{
		{"events 0 and 1 are repeated", "", 0, 3},
		{"event 1 is repeated", "", 1, 3},
		{"event 2 is missing", "", 3, 0},
		{"an event has no id", "data: piece 2\n\n", 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			handle := func(call *routed.Call) bool {
				if call.Header.Get("Last-Event-Id") != "1" {
					call.Answer(400, "")
					return true
				}
				call.Write(streamHead(call) + chunk(c.first) + eventChunks(c.rest, _lastEvent) + _lastChunk)
				return true
			}
			got := newFixture(t, handle, handle).send(http.MethodPost, "/check/x", "", "Tokens: 100,400", "Last-Event-Id: 1")
			if c.events == 0 {
				checkIncomplete(t, got, 2, 2)
				return
			}
			if want := strings.TrimPrefix(wantStream(_lastEvent), wantStream(1)); got.err != nil || got.body != want {
				t.Errorf("status %d with %q, %v; want %q", got.status, got.body, got.err, want)
			}
		})
	}
}

// The text or head of an error was passed on as a part of the event that followed it.
func TestErrorTextIsNoPartOfAnEvent(t *testing.T) {
	for name, text := range map[string]string{
		"a head":                   _failureHead,
		"a head and a line":        _failureHead + "\n",
		"a text":                   "upstream failed\n",
		"a text like a field":      "error: upstream failed\n",
		"a text like an event":     "error: upstream failed\n\n",
		"an event's beginning":     "id: 3\ndata: pie\n",
		"a head with LF lines":     "HTTP/1.1 502 Bad Gateway\ncontent-length: 0\n",
		"a head and its empty end": "HTTP/1.1 502 Bad Gateway\ncontent-length: 0\n\n",
	} {
		for _, p := range passages() {
			t.Run(p.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				got := p.send(t, func(c *routed.Call) bool {
					c.Write(streamHead(c) + eventChunks(p.next, p.next) + chunk(text) + eventChunks(p.next+1, _lastEvent) + _lastChunk)
					return true
				})
				checkIncomplete(t, got, p.from, p.next+1)
			})
		}
	}
}

// A success with a text in place of events was passed on as a stream.
func TestTextIsNoStream(t *testing.T) {
	fresh := passage{name: "new", path: "/draft/x", handler: func(_ **fixture, last routed.Handler) routed.Handler { return last }}
	for _, p := range append(passages(), fresh) {
		for _, f := range _framings {
			t.Run(p.name+" with "+string(f), func(t *testing.T) {
				t.Parallel()
				got := p.send(t, func(c *routed.Call) bool {
					c.Write(f.message(200, "text/plain", _failure, echo(c), _seal))
					return false
				})
				checkIncomplete(t, got, p.from, p.next)
			})
		}
	}
}
