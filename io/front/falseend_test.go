package front_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

// A stream that had begun ended as if it were complete when the next endpoint's answer had no
// event and did not show that it was the end of a stream.
func TestStreamDoesNotEndWithAnEmptyAnswer(t *testing.T) {
	for _, p := range passages() {
		for name, message := range map[string]string{
			"without a length":     _closing.message(200, _eventStream, "", "Request-Id: r1", _seal),
			"of text":              _length.message(200, "text/plain", "", "Request-Id: r1", _seal),
			"of text in chunks":    _chunks.message(200, "text/plain", "", "Request-Id: r1", _seal),
			"with status 204":      "HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\n" + _seal + "\r\n\r\n",
			"with repeated events": _closing.message(200, _eventStream, wantStream(1), "Request-Id: r1", _seal),
		} {
			if p.from > 0 && name == "with repeated events" {
				continue // TestStreamThatIsTakenUpGoesOnAfterItsLastEvent
			}
			t.Run(p.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				got := p.send(t, func(c *routed.Call) bool { c.Write(message); return false })
				checkIncomplete(t, got, p.from, p.next)
			})
		}
	}
}

// An engine that stops a run for its handover closes the stream without its end. Where the
// stream has no length, this looked like its end.
func TestStreamWithoutLengthGoesOnAfterItsHandover(t *testing.T) {
	var r *fixture
	stopped := make(chan struct{})
	handle := func(c *routed.Call) bool {
		switch {
		case c.URL.Path == "/move":
			var move struct{ Last bool }
			if err := json.Unmarshal([]byte(c.BodyText), &move); err != nil {
				t.Error(err)
			}
			if move.Last {
				close(stopped)
				time.Sleep(20 * time.Millisecond)
			}
			c.Answer(200, `{"handle":"h7","created":2}`)
			return true
		case c.Header.Get("Continue-From") != "":
			c.Write(streamHead(c) + eventChunks(2, _lastEvent) + _lastChunk)
			return true
		}
		c.Write(_closing.message(200, _eventStream, wantStream(1), echo(c), _seal))
		r.leave(c.Header.Get("Expect-Endpoint"))
		<-stopped
		return false
	}
	r = newFixture(t, handle, handle)
	service, _ := r.view.Load().Table.Service("all")
	service.Engine.Backups = false
	if got := r.send(http.MethodPost, "/draft/x", "", "Tokens: 100,400"); got.err != nil || got.body != wantStream(_lastEvent) {
		t.Errorf("stream %q, %v; want %q", got.body, got.err, wantStream(_lastEvent))
	}
}

// An endpoint closed its connection after the head of an answer without a length. The caller
// got a success with an empty body and a length.
func TestHeadAloneIsNoAnswer(t *testing.T) {
	handle := func(c *routed.Call) bool {
		c.Write(_closing.message(200, "text/plain", "", echo(c), _seal))
		return false
	}
	for _, path := range []string{"/lookup/x", "/order/x"} {
		if got := newFixture(t, handle, handle).send(http.MethodGet, path, ""); got.status != http.StatusBadGateway || got.err != nil {
			t.Errorf("%s: status %d with %q, %v; want 502", path, got.status, got.body, got.err)
		}
	}
}

// A caller that had closed its own sending side got an empty success, or a stream that ended as
// if it were complete.
func TestCallerThatClosesItsSideGetsNoFalseEnd(t *testing.T) {
	for _, path := range []string{"/draft/x", "/order/x"} {
		t.Run(path, func(t *testing.T) {
			r := newFixture(t, func(c *routed.Call) bool {
				if path == "/draft/x" {
					c.Write(streamHead(c) + eventChunks(0, 1))
				}
				c.WaitClosed(3 * time.Second)
				return false
			})
			conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(200 * time.Millisecond)
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if path == "/order/x" {
				if err == nil {
					t.Errorf("status %d with length %d, want none", res.StatusCode, res.ContentLength)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(res.Body); !errors.Is(err, io.ErrUnexpectedEOF) || string(body) != wantStream(1) {
				t.Errorf("stream %q, %v; want %q and no end", body, err, wantStream(1))
			}
		})
	}
}
