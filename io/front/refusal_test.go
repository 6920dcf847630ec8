package front_test

import (
	"net/http"
	"sync"
	"testing"

	"apricotproxy/fakes/routed"
)

// _anonymousRefusal is a refusal that does not say which request it is for.
const _anonymousRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

// A faulty endpoint writes a refusal of an earlier request once more when the next request on
// the connection runs already. The running request must not count as refused: it would run a
// second time on another endpoint.
func TestRefusalWrittenAgainIsNotBelieved(t *testing.T) {
	for _, route := range []string{"/lookup/", "/order/", "/draft/", "/check/"} {
		for _, first := range []string{"refused", "answered"} {
			t.Run(route[1:len(route)-1]+" after one that was "+first, func(t *testing.T) {
				var mu sync.Mutex
				runs := make(map[string]int)
				serve := func(c *routed.Call) bool {
					id := c.Header.Get("Request-Id")
					mu.Lock()
					refuses := first == "refused" && c.OnConnection == 0 && id == "r1"
					if !refuses {
						runs[id]++
					}
					mu.Unlock()
					switch {
					case refuses:
						c.Write(_anonymousRefusal)
						return true
					case c.OnConnection > 0:
						c.Write(_anonymousRefusal)
					}
					if route == "/lookup/" || route == "/order/" {
						c.Answer(http.StatusOK, "done", echo(c), _seal)
						return true
					}
					c.BeginStream(echo(c), _seal)
					c.Chunk(routed.Event(0))
					c.EndStream()
					return true
				}
				r := newFixture(t, serve, serve)
				r.send(http.MethodPost, route, "", "Request-Id: r1")
				for range 4 {
					r.send(http.MethodPost, route, "", "Request-Id: r2")
				}
				for _, id := range []string{"r3", "r4", "r5"} {
					if got := r.send(http.MethodPost, route, "", "Request-Id: "+id); got.status != http.StatusOK || got.err != nil {
						t.Errorf("request %s: status %d, %v", id, got.status, got.err)
					}
					if runs[id] != 1 {
						t.Errorf("request %s ran %d times", id, runs[id])
					}
				}
			})
		}
	}
}
