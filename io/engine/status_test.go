package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/fakes/memnet"
	"apricotproxy/io/engine"
)

// _calls are the calls of a client, by name.
var _calls = map[string]func(ctx context.Context, client *engine.Client) error{
	"call": func(ctx context.Context, client *engine.Client) error {
		_, err := client.Call(ctx, _endpoint, core.CallRequest{Call: "c", Body: []byte(`{}`)})
		return err
	},
	"start": func(ctx context.Context, client *engine.Client) error {
		_, err := client.Start(ctx, _endpoint, core.EngineRequest{Generation: "g", Body: []byte(`{}`)})
		return err
	},
	"resume": func(ctx context.Context, client *engine.Client) error {
		_, err := client.Resume(ctx, _endpoint, "g", 3)
		return err
	},
	"order": func(ctx context.Context, client *engine.Client) error {
		return client.Order(ctx, _endpoint, core.EngineOrder{})
	},
	"report": func(ctx context.Context, client *engine.Client) error {
		_, err := client.Report(ctx, _endpoint)
		return err
	},
	"cancel": func(ctx context.Context, client *engine.Client) error { return client.Cancel(ctx, _endpoint, "g") },
}

// A status that is none told that a request was lost, but its connection was kept for the next request.
func TestStatusThatIsNoneIsALostAnswer(t *testing.T) {
	const body = "{}"
	for _, status := range []string{"000 None", "000", "099", "101 Switching Protocols", "600 Broken", "999", "1000", "20", "-1", "2e2", "+200", "+20"} {
		for name, call := range _calls {
			t.Run(name+", "+status, func(t *testing.T) {
				var connections, requests atomic.Int32
				serve := func(conn net.Conn) {
					connections.Add(1)
					reader := bufio.NewReader(conn)
					for {
						request, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						requests.Add(1)
						_, _ = io.Copy(io.Discard, request.Body)
						_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
					}
				}
				runWithServer(t, serve, func(t *testing.T, client *engine.Client, _ *memnet.Network) {
					for range 2 {
						began := time.Now()
						if err := call(t.Context(), client); !isLost(err) {
							t.Errorf("%v, want ResultLost", err)
						}
						if took := time.Since(began); took > time.Second {
							t.Errorf("took %v, want less than a second", took)
						}
					}
				})
				if c, r := connections.Load(), requests.Load(); c != 2 || r != 2 {
					t.Errorf("%d requests on %d connections, want 2 on 2", r, c)
				}
			})
		}
	}
}
