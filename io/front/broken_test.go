package front_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

// framing is how an answer says where its body ends.
type framing string

const (
	_length  framing = "a length"
	_chunks  framing = "chunks"
	_closing framing = "the end of its connection"
)

var _framings = []framing{_length, _chunks, _closing}

// message returns an answer's bytes.
func (f framing) message(status int, contentType, body string, headers ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\n", status, http.StatusText(status), contentType)
	for _, h := range headers {
		head += h + "\r\n"
	}
	switch f {
	case _length:
		return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	case _chunks:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + _lastChunk
	default:
		return head + "\r\n" + body
	}
}

const (
	_lastChunk   = "0\r\n\r\n"
	_eventStream = "text/event-stream"
	// _failure is an error's text that could be taken for events.
	_failure = "upstream failed\n\nid: 2\ndata: piece 2\n\n"
	// _failureHead is the head of an answer where a part of a stream is due.
	_failureHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nboom"
	// _lastEvent is the last event of the streams of these tests.
	_lastEvent = 4
)

func chunk(text string) string {
	if text == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// eventChunks returns the events from up to and including to, each in a chunk of its own.
func eventChunks(from, to int) string {
	text := ""
	for id := from; id <= to; id++ {
		text += chunk(routed.Event(id))
	}
	return text
}

// streamHead is the head of an event stream in chunks.
func streamHead(c *routed.Call) string {
	return "HTTP/1.1 200 OK\r\n" + echo(c) + "\r\n" + _seal + "\r\nContent-Type: " + _eventStream + "\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// ending is an answer that is not the events due, to a request for a stream from event next on.
// After it, the endpoint closes the connection.
type ending struct {
	name   string
	answer func(c *routed.Call, next int) string
	// events is the number of events that it has in the right place.
	events int
}

// endings returns answers after which a stream is incomplete.
func endings() []ending {
	var list []ending
	add := func(name string, events int, answer func(c *routed.Call, next int) string) {
		list = append(list, ending{name, answer, events})
	}
	for _, f := range _framings {
		for _, status := range []int{500, 502, 503, 404} {
			add(fmt.Sprintf("status %d with %s", status, f), 0, func(c *routed.Call, _ int) string {
				return f.message(status, "text/plain", _failure, echo(c))
			})
		}
		add("status 500 without the request's id with "+string(f), 0, func(*routed.Call, int) string {
			return f.message(500, "text/plain", _failure)
		})
		add("no seal with "+string(f), 0, func(c *routed.Call, next int) string {
			return f.message(200, _eventStream, routed.Event(next)+routed.Event(next+1), echo(c))
		})
	}
	add("a content encoding", 0, func(c *routed.Call, next int) string {
		return _chunks.message(200, _eventStream, routed.Event(next), echo(c), _seal, "Content-Encoding: gzip")
	})
	add("a length that is not reached", 0, func(c *routed.Call, _ int) string {
		return "HTTP/1.1 200 OK\r\n" + echo(c) + "\r\n" + _seal + "\r\nContent-Length: 40\r\n\r\n"
	})
	add("no chunk", 0, func(c *routed.Call, _ int) string { return streamHead(c) })
	add("a head between chunks", 1, func(c *routed.Call, next int) string {
		return streamHead(c) + eventChunks(next, next) + _failureHead + eventChunks(next+1, _lastEvent) + _lastChunk
	})
	add("a head amid a chunk", 0, func(c *routed.Call, next int) string {
		return streamHead(c) + "80\r\n" + routed.Event(next)[:8] + _failureHead
	})
	add("a part of an event and the proper end", 1, func(c *routed.Call, next int) string {
		return streamHead(c) + eventChunks(next, next) + chunk(routed.Event(next + 1)[:8]) + _lastChunk
	})
	return list
}

// passage is a way in which a caller gets events from an endpoint that is not the first to
// send any.
type passage struct {
	name, path string
	headers    []string
	// from is the first event that the caller gets in this answer, next the first one due
	// from the endpoint.
	from, next int
	// handler returns the endpoints' handler; last answers the requests for the events from
	// next on.
	handler func(r **fixture, last routed.Handler) routed.Handler
	// withoutBackups is true if engines send no copies by themselves.
	withoutBackups bool
}

func passages() []passage {
	begin := func(c *routed.Call) { c.Write(streamHead(c) + eventChunks(0, 1)) }
	return []passage{
		{name: "resumed", path: "/check/x", next: 2, handler: func(_ **fixture, last routed.Handler) routed.Handler {
			return func(c *routed.Call) bool {
				if c.Header.Get("Last-Event-Id") != "" {
					return last(c)
				}
				begin(c)
				return false
			}
		}},
		{name: "taken up", path: "/check/x", headers: []string{"Last-Event-Id: 1"}, from: 2, next: 2, handler: func(_ **fixture, last routed.Handler) routed.Handler {
			return last
		}},
		{name: "from a backup", path: "/draft/x", next: 2, handler: func(_ **fixture, last routed.Handler) routed.Handler {
			return func(c *routed.Call) bool {
				if c.Header.Get("Continue-From") != "" {
					return last(c)
				}
				begin(c)
				time.Sleep(_backupReadyAfter)
				return false
			}
		}},
		{name: "from a copy made on request", path: "/draft/x", next: 2, withoutBackups: true, handler: func(r **fixture, last routed.Handler) routed.Handler {
			copied := make(chan struct{})
			return func(c *routed.Call) bool {
				switch {
				case c.URL.Path == "/move":
					c.Answer(200, `{"handle":"h7","created":2}`)
					close(copied)
					return true
				case c.Header.Get("Continue-From") != "":
					return last(c)
				}
				begin(c)
				(*r).leave(c.Header.Get("Expect-Endpoint"))
				<-copied
				time.Sleep(50 * time.Millisecond)
				return false
			}
		}},
	}
}

// send sends a request for a stream whose last endpoints behave as last does.
func (p *passage) send(t *testing.T, last routed.Handler) answer {
	t.Helper()
	var r *fixture
	handle := p.handler(&r, last)
	r = newFixture(t, handle, handle)
	if p.withoutBackups {
		service, _ := r.view.Load().Table.Service("all")
		service.Engine.Backups = false
	}
	return r.send(http.MethodPost, p.path, "", append([]string{"Tokens: 100,400"}, p.headers...)...)
}

// checkIncomplete checks that the caller got the events from up to, but not including, to and
// sees that the stream is incomplete. A failure is as good if there are no such events.
func checkIncomplete(t *testing.T, got answer, from, to int) {
	t.Helper()
	want := ""
	for id := from; id < to; id++ {
		want += routed.Event(id)
	}
	switch {
	case want == "" && got.status >= http.StatusBadRequest && got.err == nil:
	case want == "" || got.status != http.StatusOK || got.body != want:
		t.Errorf("status %d with %q, %v; want the events %d to %d", got.status, got.body, got.err, from, to-1)
	case got.err == nil:
		t.Errorf("an incomplete stream looks complete: %q", got.body)
	}
}

// However a stream goes on, its caller gets nothing but its events when the next endpoint
// answers something else.
func TestStreamThatGoesOnHasNothingButItsEvents(t *testing.T) {
	for _, p := range passages() {
		for _, e := range endings() {
			t.Run(p.name+"/"+e.name, func(t *testing.T) {
				t.Parallel()
				got := p.send(t, func(c *routed.Call) bool { c.Write(e.answer(c, p.next)); return false })
				checkIncomplete(t, got, p.from, p.next+e.events)
			})
		}
	}
}

// A stream that goes on is complete with its last event and the proper end: also if its
// endpoint repeats events, and if it broke off after the last event.
func TestStreamThatGoesOnIsCompleteAtItsEnd(t *testing.T) {
	for _, p := range passages() {
		for _, first := range []int{0, 1, 2} {
			if p.from > 0 && first < p.next {
				continue // TestStreamThatIsTakenUpGoesOnAfterItsLastEvent
			}
			t.Run(p.name+"/from event "+strconv.Itoa(first), func(t *testing.T) {
				t.Parallel()
				got := p.send(t, func(c *routed.Call) bool {
					c.Write(streamHead(c) + eventChunks(first, _lastEvent) + _lastChunk)
					return true
				})
				want := strings.TrimPrefix(wantStream(_lastEvent), wantStream(p.from-1))
				if got.status != http.StatusOK || got.err != nil || got.body != want {
					t.Errorf("status %d with %q, %v; want %q", got.status, got.body, got.err, want)
				}
			})
		}
		if p.from > 0 {
			continue
		}
		t.Run(p.name+"/after the last event", func(t *testing.T) {
			t.Parallel()
			got := p.send(t, func(c *routed.Call) bool { c.Write(streamHead(c) + _lastChunk); return true })
			if got.err != nil || got.body != wantStream(1) {
				t.Errorf("%q, %v; want %q", got.body, got.err, wantStream(1))
			}
		})
	}
}

// The first endpoint of a stream sends no events, or breaks off. The caller never gets an
// empty success.
func TestStreamThatBeginsBadly(t *testing.T) {
	for _, path := range []string{"/draft/x", "/check/x"} {
		for _, e := range endings() {
			t.Run(path+"/"+e.name, func(t *testing.T) {
				t.Parallel()
				handle := func(c *routed.Call) bool {
					next := 0
					if id, err := strconv.Atoi(c.Header.Get("Last-Event-Id")); err == nil {
						next = id + 1
					}
					c.Write(e.answer(c, next))
					return false
				}
				r := newFixture(t, handle, handle)
				got := r.send(http.MethodPost, path, "", "Tokens: 100,400")
				want := e.events
				if path == "/check/x" {
					want *= 2 // it is resumed once
				}
				checkIncomplete(t, got, 0, want)
			})
		}
	}
}

// A stream whose endpoints break off at any byte, of the head or the body, is never taken for
// complete, and neither is a plain answer.
func TestAnswerCutAtAnyByte(t *testing.T) {
	for _, f := range []framing{_length, _chunks} {
		for _, path := range []string{"/check/x", "/draft/x", "/lookup/x", "/order/x"} {
			for _, taken := range []bool{false, true} {
				if taken && path != "/check/x" {
					continue
				}
				next, headers := 0, []string{"Tokens: 100,400"}
				if taken {
					next, headers = 2, append(headers, "Last-Event-Id: 1")
				}
				body := routed.Event(next) + routed.Event(next+1)
				t.Run(fmt.Sprintf("%s with %s, taken up %v", path, f, taken), func(t *testing.T) {
					t.Parallel()
					cut := 0
					handle := func(c *routed.Call) bool {
						if c.Header.Get("Last-Event-Id") != "" && !taken {
							c.Answer(404, "")
							return true
						}
						c.Write(f.message(200, _eventStream, body, echo(c), _seal)[:cut])
						return false
					}
					r := newFixture(t, handle, handle)
					whole := len(f.message(200, _eventStream, body, "Request-Id: r1", _seal))
					for cut = 0; cut < whole; cut++ {
						got := r.send(http.MethodPost, path, "", headers...)
						isFailure := got.err == nil && got.status >= http.StatusBadRequest
						isCut := got.err != nil && got.status == http.StatusOK && got.body != "" && strings.HasPrefix(body, got.body) && strings.HasSuffix(got.body, "\n\n")
						if !isFailure && !isCut {
							t.Fatalf("cut at byte %d of %d: status %d with %q, %v", cut, whole, got.status, got.body, got.err)
						}
					}
				})
			}
		}
	}
}

// A stream without a length that is reset is incomplete.
func TestStreamWithoutLengthThatIsReset(t *testing.T) {
	for _, p := range passages() {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			got := p.send(t, func(c *routed.Call) bool {
				c.Write(_closing.message(200, _eventStream, routed.Event(p.next), echo(c), _seal))
				time.Sleep(50 * time.Millisecond)
				c.Reset()
				return false
			})
			checkIncomplete(t, got, p.from, p.next+1)
		})
	}
}

// A HEAD request and an answer whose length is 0 have no body.
func TestAnswerMayBeEmpty(t *testing.T) {
	for _, c := range []struct{ method, message string }{
		{http.MethodHead, _closing.message(200, "text/plain", "", "Request-Id: r1", _seal)},
		{http.MethodGet, _length.message(200, "text/plain", "", "Request-Id: r1", _seal)},
		{http.MethodGet, _chunks.message(200, "text/plain", "", "Request-Id: r1", _seal)},
	} {
		r := newFixture(t, func(call *routed.Call) bool { call.Write(c.message); return false })
		if got := r.send(c.method, "/order/x", ""); got.status != http.StatusOK || got.body != "" || got.err != nil {
			t.Errorf("%s: status %d with %q, %v; want 200", c.method, got.status, got.body, got.err)
		}
	}
}

// A body without a length that is reset is incomplete; one that ends is complete.
func TestBodyWithoutLength(t *testing.T) {
	for _, path := range []string{"/lookup/x", "/order/x"} {
		for reset, status := range map[bool]int{true: http.StatusBadGateway, false: http.StatusOK} {
			handle := func(c *routed.Call) bool {
				c.Write(_closing.message(200, "text/plain", "found", echo(c), _seal))
				if reset {
					c.Reset()
				}
				return false
			}
			if got := newFixture(t, handle, handle).send(http.MethodGet, path, ""); got.status != status || got.err != nil {
				t.Errorf("%s, reset %v: status %d with %q, %v; want %d", path, reset, got.status, got.body, got.err, status)
			}
		}
	}
}
