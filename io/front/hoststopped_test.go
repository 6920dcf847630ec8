package front_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

// begin returns the head of a stream and its first events; it never writes the end.
func (f framing) begin(c *routed.Call, last int) string {
	head := "HTTP/1.1 200 OK\r\n" + echo(c) + "\r\n" + _seal + "\r\nContent-Type: " + _eventStream + "\r\n"
	switch f {
	case _length:
		return head + "Content-Length: " + strconv.Itoa(len(wantStream(_lastEvent))) + "\r\n\r\n" + wantStream(last)
	case _chunks:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + eventChunks(0, last)
	default:
		return head + "\r\n" + wantStream(last)
	}
}

// stopAnswers are answers to a request to stop a run. They return false to close the connection.
var stopAnswers = map[string]routed.Handler{
	"none, closed": func(*routed.Call) bool { return false },
	"none, reset":  func(c *routed.Call) bool { c.Reset(); return false },
	"half a head":  func(c *routed.Call) bool { c.Write("HTTP/1.1 200 OK\r\nContent-Le"); return false },
	"half a body": func(c *routed.Call) bool {
		c.Write("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"handle\":")
		return false
	},
	"no answer in time":          func(c *routed.Call) bool { c.WaitClosed(2 * time.Second); return false },
	"late with a handle":         func(c *routed.Call) bool { time.Sleep(300 * time.Millisecond); return stopsRun(c) },
	"late with 500":              func(c *routed.Call) bool { time.Sleep(300 * time.Millisecond); c.Answer(500, ""); return true },
	"200 with a handle":          stopsRun,
	"200 without a handle":       func(c *routed.Call) bool { c.Answer(200, `{"created":2}`); return true },
	"200 that cannot be decoded": func(c *routed.Call) bool { c.Answer(200, `{"handle"`); return true },
	"400":                        func(c *routed.Call) bool { c.Answer(400, ""); return true },
	"409":                        declines,
	"421":                        func(c *routed.Call) bool { c.Answer(421, ""); return true },
	"429":                        func(c *routed.Call) bool { c.Answer(429, "", "Not-Run: 1"); return true },
	"500":                        func(c *routed.Call) bool { c.Answer(500, ""); return true },
	"500 with a handle":          func(c *routed.Call) bool { c.Answer(500, `{"handle":"h9"}`); return true },
	"503 with a handle":          stopsRunWithoutCopy,
	"503 without a handle":       func(c *routed.Call) bool { c.Answer(503, ""); return true },
}

// stoppingEngine is a fake engine that stops a run when it is asked to, and closes the run's stream
// without its end.
type stoppingEngine struct {
	framing framing
	answer  routed.Handler
	// closeDelay is how long after the answer the stream is closed; a negative one is before it.
	closeDelay time.Duration
	// begun is called when the first events of the run that is stopped were sent.
	begun func(c *routed.Call)

	once    sync.Once
	stopped chan struct{}
}

func (s *stoppingEngine) handle(c *routed.Call) bool {
	switch {
	case c.URL.Path == "/move":
		var move struct{ Last bool }
		if err := json.Unmarshal([]byte(c.BodyText), &move); err != nil || !move.Last {
			c.Answer(http.StatusOK, `{"handle":"h7","created":2}`)
			return true
		}
		if s.closeDelay < 0 {
			s.once.Do(func() { close(s.stopped) })
			time.Sleep(-s.closeDelay)
		}
		keep := s.answer(c)
		time.AfterFunc(max(s.closeDelay, 0), func() { s.once.Do(func() { close(s.stopped) }) })
		return keep
	case strings.HasPrefix(c.URL.Path, "/handle/"):
		c.Answer(http.StatusOK, "")
		return true
	case c.Header.Get("Last-Event-Id") != "":
		last, _ := strconv.Atoi(c.Header.Get("Last-Event-Id"))
		c.Write(streamHead(c) + eventChunks(last+1, _lastEvent) + _lastChunk)
		return true
	}
	c.Write(s.framing.begin(c, 1))
	s.begun(c)
	<-s.stopped
	return false
}

// A host asks a leaving engine to stop a run and to copy the last part of its memory. A stream without
// framing was complete for the caller when the engine closed it without its end, and had answered
// anything but that it stopped the run.
func TestStreamThatItsHostStoppedIsNotComplete(t *testing.T) {
	for _, f := range _framings {
		for name, answer := range stopAnswers {
			for _, delay := range []time.Duration{-20 * time.Millisecond, 0, 30 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s/%s/%v", f, name, delay), func(t *testing.T) {
					t.Parallel()
					var r *fixture
					s := &stoppingEngine{framing: f, answer: answer, closeDelay: delay, stopped: make(chan struct{})}
					s.begun = func(c *routed.Call) { r.leave(c.Header.Get("Expect-Endpoint")) }
					r = newFixture(t, s.handle, s.handle)
					service, _ := r.view.Load().Table.Service("all")
					service.Engine.Backups = false
					if got := r.send(http.MethodPost, "/draft/x", "", "Tokens: 100,400"); got.err != nil || got.body != wantStream(_lastEvent) {
						t.Errorf("stream %q, %v; want %q", got.body, got.err, wantStream(_lastEvent))
					}
				})
			}
		}
	}
}

// The same for a silent engine that is asked to stop a run, so that the stream can go on elsewhere.
func TestStreamOfSilentEngineThatItsHostStoppedIsNotComplete(t *testing.T) {
	for _, path := range []string{"/draft/x", "/check/x"} {
		for name, answer := range stopAnswers {
			t.Run(path+"/"+name, func(t *testing.T) {
				t.Parallel()
				s := &stoppingEngine{framing: _closing, answer: answer, closeDelay: 30 * time.Millisecond, begun: func(*routed.Call) {}, stopped: make(chan struct{})}
				r := newFixture(t, s.handle, s.handle)
				got := r.send(http.MethodPost, path, "", "Tokens: 100,400", "Deadline-Ms: 3000")
				if got.err == nil && got.body != wantStream(_lastEvent) {
					t.Errorf("stream %q ended as complete; want %q", got.body, wantStream(_lastEvent))
				}
			})
		}
	}
}

// An endpoint stops work at the deadline that it was handed. A stream without framing that it closed
// just before the host's own timer was complete for the caller.
func TestStreamThatEndsAtItsDeadlineIsNotComplete(t *testing.T) {
	for _, f := range _framings {
		for _, path := range []string{"/draft/x", "/check/x"} {
			t.Run(path+"/"+string(f), func(t *testing.T) {
				t.Parallel()
				r := newFixture(t, func(c *routed.Call) bool {
					arrived := time.Now()
					ms, err := strconv.Atoi(c.Header.Get("Deadline-Ms"))
					if err != nil {
						t.Error(err)
					}
					c.Write(f.begin(c, 1))
					time.Sleep(time.Until(arrived.Add(time.Duration(ms-2) * time.Millisecond)))
					return false
				})
				if got := r.send(http.MethodPost, path, "", "Tokens: 100,400", "Deadline-Ms: 400"); got.err == nil {
					t.Errorf("stream %q ended as complete", got.body)
				}
			})
		}
	}
}

// An engine that has announced its leaving ends amid its streams. Those without framing were
// complete for their callers.
func TestStreamThatEndsWithItsLeavingEndpointIsNotComplete(t *testing.T) {
	for _, f := range _framings {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			var r *fixture
			handle := func(c *routed.Call) bool {
				c.Write(f.begin(c, 1))
				id := c.Header.Get("Expect-Endpoint")
				r.leave(id)
				time.Sleep(700 * time.Millisecond)
				for i, e := range r.endpoints {
					if id == fmt.Sprint("e", i) {
						e.Close()
					}
				}
				return false
			}
			r = newFixture(t, handle)
			if got := r.send(http.MethodPost, "/draft/x", "", "Tokens: 100,400"); got.err == nil {
				t.Errorf("stream %q ended as complete", got.body)
			}
		})
	}
}

// A stream without framing that ends by itself is complete, also at a leaving engine that says that it
// has no such run any more when it is asked to stop it.
func TestStreamWithoutFramingThatEndsByItselfIsComplete(t *testing.T) {
	for _, delay := range []time.Duration{-20 * time.Millisecond, 0, 30 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			var r *fixture
			s := &stoppingEngine{framing: _closing, answer: knowsNoRun, closeDelay: delay, stopped: make(chan struct{})}
			s.begun = func(c *routed.Call) {
				r.leave(c.Header.Get("Expect-Endpoint"))
				c.Write(strings.TrimPrefix(wantStream(_lastEvent), wantStream(1)))
			}
			r = newFixture(t, s.handle, s.handle)
			service, _ := r.view.Load().Table.Service("all")
			service.Engine.Backups = false
			got := r.send(http.MethodPost, "/draft/x", "", "Tokens: 100,400")
			if got.err != nil || got.body != wantStream(_lastEvent) {
				t.Errorf("stream %q, %v; want %q", got.body, got.err, wantStream(_lastEvent))
			}
		})
	}
}
