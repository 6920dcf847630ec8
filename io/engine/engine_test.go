package engine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"apricotproxy/core"
	fakeengine "apricotproxy/fakes/engine"
	"apricotproxy/fakes/memnet"
	"apricotproxy/io/engine"
)

var _endpoint = core.Endpoint{Name: "book-1", Address: "plain:80"}

func limits() core.Limits {
	return core.Limits{SilenceTimeout: 4 * time.Second, DialTimeout: time.Second, BodyBytes: 1 << 10}
}

// runWithServer runs a test in virtual time, with a TCP server that passes each
// connection to serve.
func runWithServer(t *testing.T, serve func(conn net.Conn), test func(t *testing.T, client *engine.Client, network *memnet.Network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		listener, err := network.Listen("tcp", _endpoint.Address)
		if err != nil {
			t.Fatal(err)
		}
		var group sync.WaitGroup
		group.Go(func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				group.Go(func() {
					defer func() { _ = conn.Close() }()
					serve(conn)
				})
			}
		})
		client := engine.New(engine.Config{Dialer: network.Dialer("entry"), Limits: limits})
		test(t, client, network)
		client.Close()
		_ = listener.Close()
		network.Kill("plain")
		group.Wait()
	})
}

func resultOf(t *testing.T, err error) core.Result {
	t.Helper()
	var failed *core.EndpointError
	if !errors.As(err, &failed) {
		t.Fatalf("err = %v; want *core.EndpointError", err)
	}
	return failed.Result
}

// net/http retries a request on its own when a reused connection is closed before
// the response. Requests that must not be retried therefore use a new connection
// each and return ResultLost when it is closed.
func TestNoImplicitRetryOnClosedConnection(t *testing.T) {
	var connections, requests atomic.Int32
	answers := make(chan bool, 4)
	serve := func(conn net.Conn) {
		connections.Add(1)
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			requests.Add(1)
			if !<-answers {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\n{}")
		}
	}
	runWithServer(t, serve, func(t *testing.T, client *engine.Client, _ *memnet.Network) {
		call := func() error {
			_, err := client.Call(t.Context(), _endpoint, core.CallRequest{Call: "engrave", Key: "k", Body: []byte(`{}`)})
			return err
		}
		answers <- true
		if err := call(); err != nil {
			t.Fatal(err)
		}
		answers <- false
		if result := resultOf(t, call()); result != core.ResultLost {
			t.Errorf("result %d; want ResultLost", result)
		}
		answers <- false
		_, err := client.Start(t.Context(), _endpoint, core.EngineRequest{Generation: "g", Body: []byte(`{}`)})
		if result := resultOf(t, err); result != core.ResultLost {
			t.Errorf("result %d; want ResultLost", result)
		}
		if connections.Load() != 3 || requests.Load() != 3 {
			t.Errorf("%d connections, %d requests; want 3 and 3", connections.Load(), requests.Load())
		}
	})
}

func TestNothingIsSentWithoutConfirmation(t *testing.T) {
	var received atomic.Int64
	serve := func(conn net.Conn) {
		n, _ := io.Copy(io.Discard, conn)
		received.Add(n)
	}
	runWithServer(t, serve, func(t *testing.T, client *engine.Client, _ *memnet.Network) {
		_, err := client.Call(t.Context(), _endpoint, core.CallRequest{Call: "engrave", Confirm: func() bool { return false }})
		if result := resultOf(t, err); result != core.ResultDialFailed {
			t.Errorf("result %d; want ResultDialFailed", result)
		}
		time.Sleep(time.Second)
		if n := received.Load(); n != 0 {
			t.Errorf("%d bytes arrived; want 0", n)
		}
	})
}

func TestResultsOfATry(t *testing.T) {
	answer := func(text string) func(net.Conn) {
		return func(conn net.Conn) {
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, text)
		}
	}
	const end = "\r\nContent-Length: 0\r\n\r\n"
	for name, test := range map[string]struct {
		serve func(net.Conn)
		want  core.Result
	}{
		"429":            {answer("HTTP/1.1 429 Too Many Requests" + end), core.ResultRefused},
		"503":            {answer("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3" + end), core.ResultRefused},
		"404":            {answer("HTTP/1.1 404 Not Found" + end), core.ResultRefused},
		"500":            {answer("HTTP/1.1 500 Internal Server Error" + end), core.ResultLost},
		"502":            {answer("HTTP/1.1 502 Bad Gateway" + end), core.ResultLost},
		"redirect":       {answer("HTTP/1.1 307 Temporary Redirect\r\nLocation: http://plain:80/" + end), core.ResultLost},
		"no answer":      {answer(""), core.ResultLost},
		"answer cut":     {answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), core.ResultLost},
		"answer too big": {answer("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000)), core.ResultLost},
	} {
		t.Run(name, func(t *testing.T) {
			runWithServer(t, test.serve, func(t *testing.T, client *engine.Client, _ *memnet.Network) {
				_, err := client.Call(t.Context(), _endpoint, core.CallRequest{Call: "c", Body: []byte(`{}`)})
				if got := resultOf(t, err); got != test.want {
					t.Errorf("result %d; want %d: %v", got, test.want, err)
				}
			})
		})
	}
}

func TestFailedDialProvesThatNothingRan(t *testing.T) {
	runWithServer(t, func(net.Conn) {}, func(t *testing.T, client *engine.Client, network *memnet.Network) {
		unreachable := _endpoint
		unreachable.Address = "nowhere:80"
		_, err := client.Call(t.Context(), unreachable, core.CallRequest{Call: "c"})
		if got := resultOf(t, err); got != core.ResultDialFailed {
			t.Errorf("refused: result %d; want ResultDialFailed", got)
		}
		network.Stall("entry", "plain")
		start := time.Now()
		_, err = client.Call(t.Context(), _endpoint, core.CallRequest{Call: "c"})
		if got := resultOf(t, err); got != core.ResultDialFailed {
			t.Errorf("stalled: result %d; want ResultDialFailed", got)
		}
		if took, want := time.Since(start), limits().DialTimeout; took != want {
			t.Errorf("the dial took %v; want %v", took, want)
		}
	})
}

// A stream that goes silent after its first token fails exactly one silence timeout
// after the last byte.
func TestSilentStreamIsDetected(t *testing.T) {
	serve := func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
		for _, part := range []string{": ping\n\n", "id: g.0\ndata: {\"choices\":[{\"index\":0,\"text\":\"a\",\"finish_reason\":null}]}\n\n"} {
			time.Sleep(3 * time.Second)
			_, _ = io.WriteString(conn, part)
		}
		_, _ = io.Copy(io.Discard, conn)
	}
	runWithServer(t, serve, func(t *testing.T, client *engine.Client, _ *memnet.Network) {
		stream, err := client.Start(t.Context(), _endpoint, core.EngineRequest{Generation: "g", Body: []byte(`{}`)})
		if err != nil {
			t.Fatal(err)
		}
		token, err := stream.Next()
		if err != nil || token.Text != "a" {
			t.Fatalf("Next = %+v, %v", token, err)
		}
		start := time.Now()
		_, err = stream.Next()
		if got := resultOf(t, err); got != core.ResultLost {
			t.Errorf("result %d; want ResultLost", got)
		}
		if took, want := time.Since(start), limits().SilenceTimeout; took != want {
			t.Errorf("the silence was detected after %v; want %v", took, want)
		}
		_ = stream.Close()
	})
}

func TestReportsCacheEventsAndOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		listener, err := network.Listen("tcp", "engine:80")
		if err != nil {
			t.Fatal(err)
		}
		fake := fakeengine.New(fakeengine.Config{Seed: 1, StartWarm: true, ChecksFencing: true})
		server := &http.Server{Handler: fake, ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listener) }()
		client := engine.New(engine.Config{Dialer: network.Dialer("entry"), Limits: limits})
		endpoint := core.Endpoint{Name: "draft-1", Address: "engine:80"}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		report, err := client.Report(ctx, endpoint)
		if err != nil || report.Endpoint != "draft-1" || report.Phase != core.PhaseWarm || report.AskedAt.IsZero() {
			t.Errorf("Report = %+v, %v", report, err)
		}
		if _, err := client.CacheEvents(ctx, endpoint, 0); err != nil {
			t.Error(err)
		}
		if err := client.Order(ctx, endpoint, core.EngineOrder{Fence: 5, Role: "Short"}); err != nil {
			t.Error(err)
		}
		if got := resultOf(t, client.Order(ctx, endpoint, core.EngineOrder{Fence: 4, Role: "Long"})); got != core.ResultRefused {
			t.Errorf("outdated fencing number: result %d; want ResultRefused", got)
		}
		client.Close()
		_ = server.Close()
		time.Sleep(time.Minute)
	})
}
