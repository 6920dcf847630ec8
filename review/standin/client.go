package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	_hostName = "ficu95.example"
	_key      = "xd9dnn2ctnfzs989anu6"
)

var _issued atomic.Int64

// attempt is one client attempt and what came of it.
type attempt struct {
	id     string
	entry  *entry
	status int
	body   string
	// whole is true if the answer came to its end.
	whole  bool
	err    error
	sentAt time.Time
}

// request is what a client asks.
type request struct {
	method, path, body string
	deadline           time.Duration
	// prompt lists the parts of the prompt; empty for a call to a plain service.
	prompt  string
	tokens  int
	headers map[string]string
	// pace is the time in which the body is sent; 0 for at once.
	pace time.Duration
}

// newID returns the id of an attempt.
func newID() string {
	return fmt.Sprintf("%016x", _issued.Add(1)<<20|time.Now().UnixNano()&0xfffff)
}

// head returns the head of a request.
func (s *site) head(id string, r *request) []byte {
	h := s.headers
	var head bytes.Buffer
	_, _ = fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n", r.method, r.path, _hostName, h.RequestID, id, h.Deadline, r.deadline.Milliseconds(), h.Key, _key)
	if r.prompt != "" {
		_, _ = fmt.Fprintf(&head, "%s: m\r\n%s: %d,%d\r\n%s: %s\r\n", h.Model, h.Tokens, r.tokens, 100, h.Parts, r.prompt)
	}
	for name, value := range r.headers {
		_, _ = fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	_, _ = fmt.Fprintf(&head, "Content-Length: %s\r\n\r\n", strconv.Itoa(len(r.body)))
	return head.Bytes()
}

// send makes one attempt on a connection of its own.
func (s *site) send(to *entry, r *request) *attempt {
	a := &attempt{id: newID(), entry: to, sentAt: time.Now()}
	defer func() { s.note("attempt %s at %s: %s", a.id, to.name, a.outcome()) }()
	conn, err := net.DialTimeout("tcp", to.ip+":8740", time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	if a.err = r.write(conn, s.head(a.id, r)); a.err != nil {
		return a
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		return a
	}
	a.status = answer.StatusCode
	text, err := io.ReadAll(answer.Body)
	a.body, a.err, a.whole = string(text), err, err == nil
	return a
}

// write sends the head and the body.
func (r *request) write(conn net.Conn, head []byte) error {
	if r.pace == 0 {
		_, err := conn.Write(append(head, r.body...))
		return err
	}
	if _, err := conn.Write(head); err != nil {
		return err
	}
	const parts = 50
	for n := range parts {
		if _, err := io.WriteString(conn, r.body[len(r.body)*n/parts:len(r.body)*(n+1)/parts]); err != nil {
			return err
		}
		time.Sleep(r.pace / parts)
	}
	return nil
}

func (a *attempt) outcome() string {
	text := a.body
	if len(text) > 60 {
		text = text[:60] + "..."
	}
	return fmt.Sprintf("status %d, %d bytes, whole %t, %v: %q", a.status, len(a.body), a.whole, a.err, text)
}

// versions lists the versions of the workers that wrote the events of a stream, in their order.
func versions(body string) []string {
	var found []string
	for line := range strings.Lines(body) {
		text, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		version, _, _ := strings.Cut(text, " ")
		if len(found) == 0 || found[len(found)-1] != version {
			found = append(found, version)
		}
	}
	return found
}
