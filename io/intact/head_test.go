package intact_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
	"apricotproxy/io/intact"
)

// net/http takes an answer with a blank in the name of a field for a complete one, and leaves the line or
// its effect on the body out. It keeps the connection if there is no body.
func TestFieldNameThatIsNoneIsABrokenAnswer(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		length = ok + "Content-Length: 4\r\n"
		chunks = ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	)
	// FIELD stands for the line.
	for place, message := range map[string]string{
		"an answer with a length":  length + "FIELD\r\n\r\nbody",
		"an answer in chunks":      strings.Replace(chunks, "\r\n\r\n", "\r\nFIELD\r\n\r\n", 1) + "\r\n",
		"an answer without a body": "HTTP/1.1 204 OK\r\nFIELD\r\n\r\n",
		"HTTP/1.0 with a length":   "HTTP/1.0 200 OK\r\nContent-Length: 4\r\nFIELD\r\n\r\nbody",
		"a 1xx before the answer":  "HTTP/1.1 103 Early\r\nFIELD\r\n\r\n" + length + "\r\nbody",
		"a trailer":                chunks + "FIELD\r\n\r\n",
	} {
		for name, line := range routed.BrokenFields() {
			t.Run(place+", "+name, func(t *testing.T) {
				t.Parallel()
				closed := make(chan bool, 2)
				e, err := routed.Start(func(c *routed.Call) bool {
					c.Write(strings.Replace(message, "FIELD", line, 1))
					closed <- c.WaitClosed(2 * time.Second)
					return false
				})
				if err != nil {
					t.Fatal(err)
				}
				defer e.Close()
				client := &http.Client{Transport: intact.NewTransport(&http.Transport{})}
				defer client.CloseIdleConnections()
				if body, err := get(client, e.Address); err == nil {
					t.Errorf("%q is taken for the answer", body)
				}
				if !<-closed {
					t.Error("the connection is still open")
				}
			})
		}
	}
}

// A sound answer passes, and its connection is kept.
func TestAnswerWithUnusualFieldsIsComplete(t *testing.T) {
	e, err := routed.Start(func(c *routed.Call) bool {
		const field = "!#$%&'*+-.^_`|~09azAZ: a : b\r\n"
		c.Write("HTTP/1.1 103 Early\r\n" + field + "\r\nHTTP/1.1 200 OK\r\n" + field +
			"Trailer: Sum, Not Sent\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSum: 1\r\n" + field + "\r\n")
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	client := &http.Client{Transport: intact.NewTransport(&http.Transport{})}
	defer client.CloseIdleConnections()
	for range 3 {
		if body, err := get(client, e.Address); err != nil || body != "body" {
			t.Errorf("%q, %v", body, err)
		}
	}
	if n := e.Connections(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

func get(client *http.Client, address string) (string, error) {
	answer, err := client.Get("http://" + address + "/")
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	return string(body), err
}
