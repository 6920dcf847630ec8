package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// A request that was read whole while its host stopped got no answer, if its connection had been
// accepted before and had carried no request, or part of one.
func TestRequestReadByStoppingHostIsAnswered(t *testing.T) {
	for deadline, want := range map[string]int{
		"Deadline-Ms: 500\r\n": http.StatusOK, // before the end of the grace
		"":                     http.StatusServiceUnavailable,
	} {
		t.Run(strconv.Itoa(want), func(t *testing.T) {
			t.Parallel()
			testReadByStoppingHost(t, "POST /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"+deadline+"Content-Length: 0\r\n\r\n", want)
		})
	}
}

func testReadByStoppingHost(t *testing.T, request string, want int) {
	// listenerCloses is the time from the stop until the host accepts no more connections.
	const listenerCloses = 2500 * time.Millisecond
	s := newSite(t, 1)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
	s.endpoint("e1", okHandler("one"))
	s.eventually("the host serves", 2*time.Second, s.allServe("/a/", "one"))
	conns := make(map[string]net.Conn)
	for _, sent := range []string{"", request[:20]} {
		conn, err := net.Dial("tcp", s.front[0])
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		conns[sent] = conn
	}
	time.AfterFunc(listenerCloses-100*time.Millisecond, func() { _, _ = io.WriteString(conns[request[:20]], request[:20]) })
	s.Stop(0)
	time.Sleep(listenerCloses + 200*time.Millisecond)
	for sent, conn := range conns {
		if _, err := io.WriteString(conn, request[len(sent):]); err != nil {
			t.Error(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("after %q: %v, want an answer", sent, err)
			continue
		}
		if res.StatusCode != want || !res.Close {
			t.Errorf("after %q: status %d, closes %v; want %d, true", sent, res.StatusCode, res.Close, want)
		}
		_ = res.Body.Close()
	}
	select {
	case err := <-s.Ended(0):
		if err != nil {
			t.Error(err)
		}
	case <-time.After(_stopGrace):
		t.Error("the host did not end")
	}
}

// A stopping host closes kept connections that wait for a request, and those that never sent one.
func TestStoppingHostClosesIdleConnections(t *testing.T) {
	s := newSite(t, 1)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
	s.endpoint("e1", okHandler("one"))
	s.eventually("the host serves", 2*time.Second, s.allServe("/a/", "one"))
	for _, first := range []string{"", "POST /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n"} {
		conn, err := net.Dial("tcp", s.front[0])
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, first); err != nil {
			t.Fatal(err)
		}
	}
	s.eventually("the first request is answered", time.Second, s.allServe("/a/", "one"))
	began := time.Now()
	s.Stop(0)
	if err := <-s.Ended(0); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > _stopGrace-500*time.Millisecond+200*time.Millisecond {
		t.Errorf("the stop took %v", took)
	}
}
