package engine_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"apricotproxy/fakes/memnet"
	"apricotproxy/fakes/routed"
	"apricotproxy/io/engine"
)

// An answer with a blank in the name of a field was taken for one, and its connection was kept for the next
// request.
func TestFieldNameThatIsNoneIsALostAnswer(t *testing.T) {
	for place, message := range map[string]string{ // FIELD stands for the line
		"the header":   "HTTP/1.1 200 OK\r\nFIELD\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.0":     "HTTP/1.0 200 OK\r\nContent-Length: 2\r\nFIELD\r\n\r\n{}",
		"a refusal":    "HTTP/1.1 503 No\r\nFIELD\r\nContent-Length: 0\r\n\r\n",
		"a 1xx before": "HTTP/1.1 103 Early\r\nFIELD\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	} {
		for line, field := range routed.BrokenFields() {
			for name, call := range _calls {
				t.Run(name+", "+place+", "+line, func(t *testing.T) {
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
							_, _ = io.WriteString(conn, strings.Replace(message, "FIELD", field, 1))
						}
					}
					runWithServer(t, serve, func(t *testing.T, client *engine.Client, _ *memnet.Network) {
						for range 2 {
							if err := call(t.Context(), client); !isLost(err) {
								t.Errorf("%v, want ResultLost", err)
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
}
