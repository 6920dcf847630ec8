package links_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/fakes/routed"
	"apricotproxy/io/links"
)

func start(t *testing.T, handle routed.Handler) *routed.Endpoint {
	t.Helper()
	e, err := routed.Start(handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func newPool(t *testing.T) *links.Pool {
	p := links.New(links.Settings{Dialer: &net.Dialer{}, DialTimeout: time.Second, MaxIdle: 2})
	t.Cleanup(p.Close)
	return p
}

func request(id string) *links.Request {
	return &links.Request{
		Method: http.MethodPost, Target: "/a?b=%2F", HostName: "h", Header: http.Header{"Id": {id}}, Body: []byte("body " + id),
		Identify: func(res *http.Response, _ bool) links.Ownership {
			if res.Header.Get("Id") == id {
				return links.Own
			}
			return links.Foreign
		},
	}
}

func roundTrip(t *testing.T, p *links.Pool, e *routed.Endpoint, id string) (string, error) {
	t.Helper()
	answer, err := p.Do(t.Context(), core.RoutedEndpoint{ID: "e", Address: e.Address}, request(id))
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	e := start(t, func(c *routed.Call) bool { c.Answer(200, c.BodyText, "Id: "+c.Header.Get("Id")); return true })
	p := newPool(t)
	for _, id := range []string{"1", "2", "3"} {
		if body, err := roundTrip(t, p, e, id); err != nil || body != "body "+id {
			t.Fatalf("request %s: %q, %v", id, body, err)
		}
	}
	if n := e.Connections(); n != 1 {
		t.Errorf("%d connections for three requests, want 1", n)
	}
	if got := e.Calls()[0].RequestURI; got != "/a?b=%2F" {
		t.Errorf("the endpoint received target %q, want it unchanged", got)
	}
}

// Answers after which the connection must not be reused.
func TestConnectionIsNotReused(t *testing.T) {
	for name, answer := range map[string]func(c *routed.Call, id string) bool{
		"the answer has Connection: close": func(c *routed.Call, id string) bool {
			c.Answer(200, "x", "Id: "+id, "Connection: close")
			return true
		},
		"the answer has no length": func(c *routed.Call, id string) bool {
			c.Write("HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\nx")
			return false
		},
		"a stray answer follows": func(c *routed.Call, id string) bool {
			c.Answer(200, "x", "Id: "+id)
			c.Answer(200, "stray", "Id: other")
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := start(t, func(c *routed.Call) bool { return answer(c, c.Header.Get("Id")) })
			p := newPool(t)
			for _, id := range []string{"1", "2"} {
				if body, err := roundTrip(t, p, e, id); err != nil || body != "x" {
					t.Fatalf("request %s: %q, %v", id, body, err)
				}
				time.Sleep(20 * time.Millisecond)
			}
			if n := e.Connections(); n != 2 {
				t.Errorf("%d connections for two requests, want 2", n)
			}
		})
	}
}

// A late answer to an earlier request must not be taken for the answer to the next.
func TestLateAnswerIsSkipped(t *testing.T) {
	e := start(t, func(c *routed.Call) bool {
		if c.Number == 1 {
			c.Answer(200, "late", "Id: 1")
		}
		c.Answer(200, c.BodyText, "Id: "+c.Header.Get("Id"))
		return true
	})
	p := newPool(t)
	for _, id := range []string{"1", "2"} {
		if body, err := roundTrip(t, p, e, id); err != nil || body != "body "+id {
			t.Fatalf("request %s: %q, %v", id, body, err)
		}
	}
}

// A request is written once, also on a reused connection: if the endpoint closes
// the connection meanwhile, the request fails and is not retried.
func TestRequestIsWrittenOnce(t *testing.T) {
	e := start(t, func(c *routed.Call) bool {
		if c.Number == 0 {
			c.Answer(200, "x", "Id: "+c.Header.Get("Id"))
			return true
		}
		c.Reset()
		return false
	})
	p := newPool(t)
	if _, err := roundTrip(t, p, e, "1"); err != nil {
		t.Fatal(err)
	}
	_, err := roundTrip(t, p, e, "2")
	var failed *links.Error
	if !errors.As(err, &failed) || failed.Stage != links.StageSent {
		t.Errorf("error %v, want one of StageSent", err)
	}
	if n := len(e.Calls()); n != 2 {
		t.Errorf("the endpoint got %d requests, want 2", n)
	}
}

func TestRefusedDialSendsNothing(t *testing.T) {
	e := start(t, func(*routed.Call) bool { return false })
	e.Close()
	_, err := roundTrip(t, newPool(t), e, "1")
	var failed *links.Error
	if !errors.As(err, &failed) || failed.Stage != links.StageDial {
		t.Errorf("error %v, want one of StageDial", err)
	}
}

func TestTruncatedAnswerIsAnError(t *testing.T) {
	for name, write := range map[string]func(c *routed.Call){
		"with a length": func(c *routed.Call) { c.Write("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nshort") },
		"in chunks":     func(c *routed.Call) { c.BeginStream("Id: 1"); c.Chunk("piece") },
		"no answer":     func(c *routed.Call) { c.Write("nonsense\r\n\r\n") },
	} {
		e := start(t, func(c *routed.Call) bool { write(c); return false })
		if body, err := roundTrip(t, newPool(t), e, "1"); err == nil {
			t.Errorf("%s: body %q without an error", name, body)
		}
	}
}

// When the caller disconnects, the endpoint sees its connection close at once.
func TestEndOfContextClosesTheConnection(t *testing.T) {
	gone := make(chan bool, 1)
	e := start(t, func(c *routed.Call) bool { gone <- c.WaitClosed(5 * time.Second); return false })
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := newPool(t).Do(ctx, core.RoutedEndpoint{ID: "e", Address: e.Address}, request("1")); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want the context's", err)
	}
	if !<-gone {
		t.Error("the connection to the endpoint stayed open after the context ended")
	}
}

// An endpoint may answer before it has read a long body.
func TestEarlyAnswerToALongBody(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadAtLeast(conn, make([]byte, 64), 64)
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
	}()
	long := request("1")
	long.Body = []byte(strings.Repeat("x", 32<<20))
	answer, err := newPool(t).Do(t.Context(), core.RoutedEndpoint{ID: "e", Address: listener.Addr().String()}, long)
	if err != nil || answer.StatusCode != http.StatusRequestEntityTooLarge {
		t.Fatalf("answer %v, error %v", answer, err)
	}
	answer.Close()
}

// A host keeps no more connections to an endpoint than MaxConnections allows.
func TestConnectionsAreBounded(t *testing.T) {
	const maxConnections, concurrent = 2, 3
	e := start(t, func(c *routed.Call) bool { c.Answer(200, "ok", "Id: "+c.Header.Get("Id")); return true })
	p := links.New(links.Settings{Dialer: &net.Dialer{}, DialTimeout: time.Second, MaxIdle: concurrent})
	t.Cleanup(p.Close)
	round := func() {
		var answers []*links.Answer
		for i := range concurrent {
			req := request(strconv.Itoa(i))
			req.MaxConnections = maxConnections
			answer, err := p.Do(t.Context(), core.RoutedEndpoint{ID: "e", Address: e.Address}, req)
			if err != nil {
				t.Fatal(err)
			}
			answers = append(answers, answer)
		}
		for _, answer := range answers {
			if _, err := io.ReadAll(answer); err != nil {
				t.Fatal(err)
			}
			answer.Close()
		}
	}
	round()
	round()
	if opened := e.Connections(); opened != concurrent+concurrent-maxConnections {
		t.Errorf("%d connections were opened, want %d: %d of the first %d are kept", opened, concurrent+concurrent-maxConnections, maxConnections, concurrent)
	}
}

// Bytes that are no answer and do not stop end the exchange, and use little memory.
func TestEndlessBytesEndTheExchange(t *testing.T) {
	const (
		sent = 64 << 20
		most = 16 << 20 // what the buffers of a loopback connection may hold, and some more
	)
	for name, text := range map[string][2]string{
		"in the status line":               {"", "x"},
		"in a header":                      {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"as headers":                       {"HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		"as interim answers":               {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"as the answer to another request": {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			flooded := make(chan int64, 1)
			e := start(t, func(c *routed.Call) bool {
				c.Write(text[0])
				flooded <- c.Flood(text[1], sent)
				return false
			})
			if _, err := roundTrip(t, newPool(t), e, "1"); err == nil {
				t.Error("the bytes were taken for an answer")
			}
			if n := <-flooded; n > most {
				t.Errorf("the endpoint sent %d bytes until its connection was closed, want at most %d", n, most)
			}
		})
	}
}

// A connection that carried an answer without an id is closed: a copy of that answer could be
// taken for the next one. An answer to another request is no answer to a call without an id.
func TestAnswersWithoutID(t *testing.T) {
	const header = "Id"
	call := &links.Request{
		Method: http.MethodGet, Target: "/report", HostName: "h", Header: http.Header{},
		Identify: func(answer *http.Response, _ bool) links.Ownership { return links.IdentifyCall(answer, header) },
	}
	e := start(t, func(c *routed.Call) bool {
		if c.OnConnection > 0 {
			c.Answer(200, "late", header+": earlier")
		}
		c.Answer(200, "report")
		return true
	})
	p := newPool(t)
	for range 2 {
		answer, err := p.Do(t.Context(), core.RoutedEndpoint{ID: "e", Address: e.Address}, call)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(answer); err != nil || string(body) != "report" {
			t.Errorf("got %q, %v", body, err)
		}
		answer.Close()
	}
	if n := e.Connections(); n != 2 {
		t.Errorf("%d connections for two calls whose answers have no id, want 2", n)
	}
}

// RequireNew lets no request use a connection that carried another one.
func TestRequireNew(t *testing.T) {
	e := start(t, func(c *routed.Call) bool { c.Answer(200, c.BodyText, "Id: "+c.Header.Get("Id")); return true })
	p := newPool(t)
	endpoint := core.RoutedEndpoint{ID: "e", Address: e.Address}
	for n, id := range []string{"1", "2", "3"} {
		if n == 1 && (!p.RequireNew(endpoint) || p.RequireNew(endpoint)) {
			t.Error("RequireNew does not tell the first call apart")
		}
		if body, err := roundTrip(t, p, e, id); err != nil || body != "body "+id {
			t.Fatalf("request %s: %q, %v", id, body, err)
		}
	}
	if n := e.Connections(); n != 3 {
		t.Errorf("%d connections, want a new one for each request", n)
	}
}

// The pool tells the result of each dial and that a request got no answer, but not what ended because
// its caller left. CloseIdle has the next request open a connection.
func TestDialsAndLostRequestsAreReported(t *testing.T) {
	var dials []error
	unanswered := 0
	p := links.New(links.Settings{
		Dialer: &net.Dialer{}, DialTimeout: time.Second, MaxIdle: 2,
		Dialed:     func(_ core.RoutedEndpoint, err error) { dials = append(dials, err) },
		Unanswered: func(core.RoutedEndpoint) { unanswered++ },
	})
	t.Cleanup(p.Close)
	e := start(t, func(c *routed.Call) bool {
		if c.Header.Get("Id") == "lost" {
			return false
		}
		c.Answer(200, "done", "Id: "+c.Header.Get("Id"))
		return true
	})
	for _, id := range []string{"1", "2"} {
		if _, err := roundTrip(t, p, e, id); err != nil {
			t.Fatal(err)
		}
		p.CloseIdle()
	}
	if _, err := roundTrip(t, p, e, "lost"); err == nil || unanswered != 1 {
		t.Errorf("error %v, %d requests reported as unanswered, want 1", err, unanswered)
	}
	endpoint := core.RoutedEndpoint{ID: "e", Address: e.Address}
	if err := p.Probe(t.Context(), endpoint); err != nil {
		t.Error(err)
	}
	e.Close()
	left, leave := context.WithCancel(t.Context())
	leave()
	if p.Probe(left, endpoint) == nil || p.Probe(t.Context(), endpoint) == nil {
		t.Error("connected to an endpoint that has ended")
	}
	if len(dials) != 5 || dials[3] != nil || dials[4] == nil {
		t.Errorf("reported dials %v, want four that succeeded and one that failed", dials)
	}
}
