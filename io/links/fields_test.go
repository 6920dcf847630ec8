package links_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/fakes/routed"
	"apricotproxy/io/links"
)

// An answer with a blank in the name of a field reached the caller, without that line. With a blank after
// Content-Length or Transfer-Encoding its body was not the endpoint's.
func TestFieldNameThatIsNoneIsABrokenAnswer(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\nId: 1\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n"
		chunks  = "4\r\nbody\r\n0\r\n"
	)
	// FIELD stands for the line.
	for place, message := range map[string]string{
		"an answer with a length":            ok + "FIELD\r\nContent-Length: 4\r\n\r\nbody",
		"an answer in chunks":                chunked + "FIELD\r\n\r\n" + chunks + "\r\n",
		"an answer that ends":                ok + "FIELD\r\n\r\nbody",
		"HTTP/1.0":                           "HTTP/1.0 200 OK\r\nId: 1\r\nFIELD\r\n\r\nbody",
		"HTTP/1.0 with a length":             "HTTP/1.0 200 OK\r\nFIELD\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
		"an answer without a body":           "HTTP/1.1 204 OK\r\nId: 1\r\nFIELD\r\n\r\n",
		"a refusal":                          "HTTP/1.1 503 No\r\nId: 1\r\nNot-Run: 1\r\nFIELD\r\nContent-Length: 0\r\n\r\n",
		"a 1xx before the answer":            "HTTP/1.1 103 Early\r\nFIELD\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nbody",
		"an answer to another request":       "HTTP/1.1 200 OK\r\nId: 2\r\nFIELD\r\nContent-Length: 4\r\n\r\nbody" + ok + "Content-Length: 4\r\n\r\nbody",
		"a trailer":                          chunked + "\r\n" + chunks + "FIELD\r\n\r\n",
		"a trailer that is announced":        chunked + "Trailer: Sum, Broken Name, Broken \r\n\r\n" + chunks + "FIELD\r\n\r\n",
		"a trailer of another request's one": "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "FIELD\r\n\r\n" + ok + "Content-Length: 4\r\n\r\nbody",
	} {
		for name, line := range routed.BrokenFields() {
			t.Run(place+", "+name, func(t *testing.T) {
				t.Parallel()
				closed := make(chan bool, 1)
				e := start(t, func(c *routed.Call) bool {
					c.Write(strings.Replace(message, "FIELD", line, 1))
					closed <- c.WaitClosed(2 * time.Second)
					return false
				})
				if body, err := roundTrip(t, newPool(t), e, "1"); err == nil {
					t.Errorf("%q is taken for the answer", body)
				}
				if !<-closed {
					t.Error("the connection is still open")
				}
			})
		}
	}
}

// Names of fields may hold any character of a token, and values any text.
func TestAnswerWithUnusualFieldsIsComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n!#$%&'*+-.^_`|~09azAZ: a : b\r\nEmpty:\r\nFolded: a\r\n b: c\r\nTransfer-Encoding: chunked\r\n"
	for _, trailer := range []string{"", "Sum: 1\r\n", "!#$%&'*+-.^_`|~09azAZ: a : b\r\n"} {
		e := start(t, func(c *routed.Call) bool {
			c.Write(head + "Trailer: Sum, Not Sent\r\n\r\n4\r\nbody\r\n0\r\n" + trailer + "\r\n")
			return true
		})
		p := newPool(t)
		for range 2 {
			answer, err := p.Do(t.Context(), core.RoutedEndpoint{ID: "e", Address: e.Address}, &links.Request{
				Method: http.MethodGet, Target: "/", HostName: "h", Header: http.Header{},
				Identify: func(*http.Response, bool) links.Ownership { return links.Own },
			})
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(answer); err != nil || string(body) != "body" {
				t.Errorf("%q, %v", body, err)
			}
			answer.Close()
		}
		if n := e.Connections(); n != 1 {
			t.Errorf("%d connections, want 1", n)
		}
	}
}
