package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// _bodyBytes is the fixture's bound for all bodies of requests.
const _bodyBytes = 256 << 10

// Long bodies of many requests at a time took more memory than the host has. Those that find no room
// are refused as not run, short ones are served.
func TestBodiesShareABound(t *testing.T) {
	const (
		callers = 16
		length  = 60_000
		fit     = _bodyBytes / length
	)
	r := newFixture(t, fine, fine)
	var refused, served atomic.Int64
	whole := make(chan struct{})
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "POST /order/ HTTP/1.1\r\nHost: h\r\nRequest-Id: long%d\r\nKey: k\r\nDeadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s",
				i, length, strings.Repeat("x", length-1))
			go func() {
				<-whole
				_, _ = io.WriteString(conn, "x")
			}()
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			switch {
			case err != nil:
				t.Error(err)
			case res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Retry-After") != "":
				refused.Add(1)
			case res.StatusCode == http.StatusOK:
				served.Add(1)
			default:
				t.Errorf("status %d", res.StatusCode)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	if n := refused.Load(); n < callers-fit {
		t.Errorf("%d long bodies were refused, want at least %d", n, callers-fit)
	}
	if a := r.send(http.MethodPost, "/order/", "short"); a.status != http.StatusOK {
		t.Errorf("status %d for a short body beside long ones, want 200", a.status)
	}
	close(whole)
	group.Wait()
	if n := int64(r.calls()) - 1; n != served.Load() || n == 0 {
		t.Errorf("endpoints got %d of the long bodies, %d were served; want as many, and some", n, served.Load())
	}
	if a := r.send(http.MethodPost, "/order/", strings.Repeat("x", length)); a.status != http.StatusOK {
		t.Errorf("status %d once the others are done, want 200", a.status)
	}
}
