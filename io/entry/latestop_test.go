package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

// slowStream sends an event each 100 ms for a time.
func slowStream(length time.Duration) routed.Handler {
	return func(c *routed.Call) bool {
		c.BeginStream("Request-Id: "+c.Header.Get("Request-Id"), "Seal: s")
		for id := range int(length / (100 * time.Millisecond)) {
			c.Chunk(routed.Event(id))
			time.Sleep(100 * time.Millisecond)
		}
		c.EndStream()
		return true
	}
}

// slowPlain answers after a time.
func slowPlain(length time.Duration) routed.Handler {
	return func(c *routed.Call) bool {
		time.Sleep(length)
		return okHandler("late")(c)
	}
}

// Requests that came late in a stop were passed on, and cut off without an answer at its end.
func TestLateRequestInAStopIsNotCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		config string
		handle routed.Handler
		// sentAfter is when the body's last byte is sent after the stop began, deadlineMs the
		// request's time from its first byte on.
		sentAfter  time.Duration
		deadlineMs string
		status     int
		calls      int
	}{
		"a stream late in the stop":          {`{"Version":1,"Prefix":"/a/","Streams":true}`, slowStream(2 * time.Second), 3100 * time.Millisecond, "39000", 503, 0},
		"a stream at the stop's begin":       {`{"Version":1,"Prefix":"/a/","Streams":true}`, slowStream(5 * time.Second), 100 * time.Millisecond, "39000", 503, 0},
		"a stream that ends in time":         {`{"Version":1,"Prefix":"/a/","Streams":true}`, slowStream(time.Second), 500 * time.Millisecond, "2000", 200, 1},
		"a plain request that takes longer":  {`{"Version":1,"Prefix":"/a/"}`, slowPlain(4 * time.Second), time.Second, "39000", 504, 1},
		"a plain request that ends in time":  {`{"Version":1,"Prefix":"/a/"}`, slowPlain(time.Second), time.Second, "39000", 200, 1},
		"a plain request when time is short": {`{"Version":1,"Prefix":"/a/"}`, slowPlain(time.Second), 3 * time.Second, "39000", 503, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1)
			s.store.Put("config", c.config)
			e := s.endpoint("e1", c.handle)
			s.eventually("the host is ready", 2*time.Second, func() bool {
				status, _ := s.get(s.ready[0], "/ready")
				return status == http.StatusOK
			})
			conn, err := net.Dial("tcp", s.front[0])
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			time.AfterFunc(max(c.sentAfter-400*time.Millisecond, 0), func() {
				_, _ = io.WriteString(conn, "POST /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nTokens: 100,400\r\nDeadline-Ms: "+c.deadlineMs+"\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n")
			})
			time.AfterFunc(c.sentAfter, func() { _, _ = io.WriteString(conn, "0\r\n\r\n") })
			s.Stop(0)
			_ = conn.SetReadDeadline(time.Now().Add(2 * _stopGrace))
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("%v, want an answer with status %d", err, c.status)
			}
			body, err := io.ReadAll(res.Body)
			if res.StatusCode != c.status || err != nil {
				t.Errorf("status %d with %q, %v; want %d", res.StatusCode, body, err, c.status)
			}
			if c.status == http.StatusServiceUnavailable && (res.Header.Get("Retry-After") == "" || !strings.Contains(string(body), "stopping")) {
				t.Errorf("refused with %v, %q; want Retry-After and the reason", res.Header, body)
			}
			if n := len(e.Calls()); n != c.calls {
				t.Errorf("%d calls, want %d", n, c.calls)
			}
			if err := <-s.Ended(0); err != nil {
				t.Error(err)
			}
		})
	}
}

// A stopping host took a stream since all streams that had ended were short, and cut it off at its end.
func TestStreamLongerThanThoseThatEndedIsNotCutOffByAStop(t *testing.T) {
	for name, c := range map[string]struct {
		sentAfter  time.Duration
		deadlineMs string
		status     int
	}{
		"within the notice":                           {time.Second, "39000", http.StatusServiceUnavailable},
		"late in the stop":                            {2700 * time.Millisecond, "39000", http.StatusServiceUnavailable},
		"with a deadline before the end of the grace": {time.Second, "2000", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1)
			s.store.Put("config", `{"Version":1,"Prefix":"/a/","Streams":true,"RunsOnce":true,"TimeoutMs":39000}`)
			lengths := map[string]time.Duration{"ended": 100 * time.Millisecond, "running": 2 * _stopGrace, "late": 3 * time.Second}
			if c.status == http.StatusOK {
				lengths["late"] = 500 * time.Millisecond
			}
			e := s.endpoint("e1", func(c *routed.Call) bool { return slowStream(lengths[c.Header.Get("Request-Id")])(c) })
			s.eventually("the host is ready", 2*time.Second, func() bool {
				status, _ := s.get(s.ready[0], "/ready")
				return status == http.StatusOK
			})
			send := func(id, deadlineMs string) net.Conn {
				conn, err := net.Dial("tcp", s.front[0])
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = conn.Close() })
				if _, err := io.WriteString(conn, "POST /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: "+id+"\r\nTokens: 100,400\r\nDeadline-Ms: "+deadlineMs+"\r\nContent-Length: 4\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				return conn
			}
			ended := send("ended", "39000")
			_, _ = io.WriteString(ended, "body")
			if res, err := http.ReadResponse(bufio.NewReader(ended), nil); err != nil || res.StatusCode != http.StatusOK {
				t.Fatalf("%v, %v; want 200", res, err)
			} else if _, err := io.ReadAll(res.Body); err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(send("running", "39000"), "body")
			time.Sleep(100 * time.Millisecond)
			late := send("late", c.deadlineMs)
			s.Stop(0)
			time.Sleep(c.sentAfter)
			_, _ = io.WriteString(late, "body")
			_ = late.SetReadDeadline(time.Now().Add(2 * _stopGrace))
			res, err := http.ReadResponse(bufio.NewReader(late), nil)
			if err != nil {
				t.Fatalf("%v, want status %d", err, c.status)
			}
			if body, err := io.ReadAll(res.Body); res.StatusCode != c.status || err != nil {
				t.Errorf("status %d with %q, %v; want %d", res.StatusCode, body, err, c.status)
			}
			taken := slices.ContainsFunc(e.Calls(), func(c *routed.Call) bool { return c.Header.Get("Request-Id") == "late" })
			if taken != (c.status == http.StatusOK) {
				t.Errorf("passed on: %v, with status %d", taken, res.StatusCode)
			}
			if err := <-s.Ended(0); err != nil {
				t.Error(err)
			}
		})
	}
}
