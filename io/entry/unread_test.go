package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

// A stopping host lost the end of a long answer if its caller had already sent the next request: bytes
// that are not read when a connection is closed reset it.
func TestLongAnswerIsWholeWithTheNextRequestUnread(t *testing.T) {
	const length = 2 << 20
	s := newSite(t, 1)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
	s.endpoint("e1", func(c *routed.Call) bool {
		time.Sleep(300 * time.Millisecond)
		return okHandler(strings.Repeat("x", length))(c)
	})
	s.eventually("the host is ready", 2*time.Second, func() bool {
		status, _ := s.get(s.ready[0], "/ready")
		return status == http.StatusOK
	})
	conn, err := net.Dial("tcp", s.front[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); !ok || tcp.SetReadBuffer(16<<10) != nil { // a part of the answer waits at the host
		t.Fatal("the read buffer could not be set")
	}
	request := "POST /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
	s.Stop(0)
	time.Sleep(50 * time.Millisecond)
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if _, err := io.WriteString(conn, strings.Replace(request, "r1", "r2", 1)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v; want 200", res, err)
	}
	if body, err := io.ReadAll(res.Body); len(body) != length || err != nil {
		t.Errorf("%d bytes, %v; want %d", len(body), err, length)
	}
	if err := <-s.Ended(0); err != nil {
		t.Error(err)
	}
}
