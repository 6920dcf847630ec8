// Package routed is a fake endpoint for routed requests. It answers HTTP/1.1 over
// real connections with the bytes that a test gives, so that answers can break
// the protocol.
package routed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Call is one request that the endpoint received.
type Call struct {
	*http.Request
	BodyText string // the request's body; empty if the endpoint was started by StartUnread
	conn     net.Conn
	// Number is the index of the call among the endpoint's calls, from 0.
	Number int
	// OnConnection is the index of the call among those on its connection, from 0.
	OnConnection int
}

// Handler answers a call by writing to its connection. It returns false to close
// the connection.
type Handler func(c *Call) bool

// Endpoint is one fake endpoint. It is safe for concurrent use.
type Endpoint struct {
	Address string

	listener net.Listener
	// leavesUnread is true if calls are handled before their bodies are read.
	leavesUnread bool
	mu           sync.Mutex
	calls        []*Call
	conns        []net.Conn
}

// Start listens on a loopback port.
func Start(handle Handler) (*Endpoint, error) { return StartAt("127.0.0.1:0", handle) }

// StartAt is Start with an address to listen on, where an endpoint that was closed can start again.
func StartAt(address string, handle Handler) (*Endpoint, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	e := &Endpoint{Address: listener.Addr().String(), listener: listener}
	go e.accept(handle)
	return e, nil
}

// _unreadBufferBytes is the receive buffer of connections whose requests are not read at once, so
// that a short body already waits for its endpoint to read it.
const _unreadBufferBytes = 4 << 10

// StartUnread is Start for an endpoint that handles a call once its header is read.
func StartUnread(handle Handler) (*Endpoint, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var setErr error
		err := conn.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, _unreadBufferBytes)
		})
		return errors.Join(err, setErr)
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	e := &Endpoint{Address: listener.Addr().String(), listener: listener, leavesUnread: true}
	go e.accept(handle)
	return e, nil
}

// Close stops listening and closes all connections.
func (e *Endpoint) Close() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, conn := range e.conns {
		_ = conn.Close()
	}
}

// CloseListener stops listening. Open connections stay.
func (e *Endpoint) CloseListener() { _ = e.listener.Close() }

// Calls returns the calls so far.
func (e *Endpoint) Calls() []*Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*Call(nil), e.calls...)
}

// Connections returns the number of connections accepted so far.
func (e *Endpoint) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

func (e *Endpoint) accept(handle Handler) {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns = append(e.conns, conn)
		e.mu.Unlock()
		go e.serve(conn, handle)
	}
}

func (e *Endpoint) serve(conn net.Conn, handle Handler) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		request.RemoteAddr = conn.RemoteAddr().String()
		call := &Call{Request: request, conn: conn, OnConnection: n}
		if !e.leavesUnread {
			if err := call.readBody(); err != nil {
				return
			}
		}
		e.mu.Lock()
		call.Number = len(e.calls)
		e.calls = append(e.calls, call)
		e.mu.Unlock()
		if !handle(call) {
			return
		}
	}
}

func (c *Call) readBody() error {
	body, err := io.ReadAll(c.Body)
	c.BodyText = string(body)
	return err
}

// LocalAddress returns the address of the endpoint that received the call.
func (c *Call) LocalAddress() string { return c.conn.LocalAddr().String() }

// Write sends raw bytes.
func (c *Call) Write(text string) { _, _ = io.WriteString(c.conn, text) }

// _floodBufferBytes is the send buffer of a flooded connection, so that little is sent that
// is not read.
const _floodBufferBytes = 64 << 10

// Flood sends a text again and again until the other end closes the connection, or until
// most bytes were sent. It returns their number.
func (c *Call) Flood(text string, most int64) int64 {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(_floodBufferBytes)
	}
	block := []byte(strings.Repeat(text, 1+4096/len(text)))
	sent := int64(0)
	for sent < most {
		n, err := c.conn.Write(block)
		sent += int64(n)
		if err != nil {
			break
		}
	}
	return sent
}

// FloodLines sends lines without end until the other end closes the connection, or until most bytes
// were sent. It returns their number.
func (c *Call) FloodLines(line func(n int) string, most int64) int64 {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(_floodBufferBytes)
	}
	sent := int64(0)
	for n := 0; sent < most; {
		var block strings.Builder
		for block.Len() < 4096 {
			block.WriteString(line(n))
			n++
		}
		written, err := io.WriteString(c.conn, block.String())
		sent += int64(written)
		if err != nil {
			break
		}
	}
	return sent
}

// Reset closes the connection with a TCP reset.
func (c *Call) Reset() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.Close()
}

// CloseWrite ends what the endpoint sends on the connection, from which it may still read.
func (c *Call) CloseWrite() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// WaitClosed waits until the other end closes the connection and reports whether it did
// so within the limit.
func (c *Call) WaitClosed(limit time.Duration) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	_, err := c.conn.Read(make([]byte, 1))
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}

// Answer sends a complete answer with a Content-Length and the given headers, each
// of the form "Name: value".
func (c *Call) Answer(status int, body string, headers ...string) {
	lines := slices.Concat(headers, []string{"Content-Length: " + strconv.Itoa(len(body))})
	c.Write(fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\n\r\n%s", status, http.StatusText(status), strings.Join(lines, "\r\n"), body))
}

// BeginStream sends the status line and headers of an event stream.
func (c *Call) BeginStream(headers ...string) {
	lines := slices.Concat(headers, []string{"Content-Type: text/event-stream", "Transfer-Encoding: chunked"})
	c.Write("HTTP/1.1 200 OK\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n")
}

// Chunk sends one chunk of a stream.
func (c *Call) Chunk(text string) { c.Write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }

// EndStream sends the last, empty chunk of a stream.
func (c *Call) EndStream() { c.Write("0\r\n\r\n") }

// Event returns the text of an event with the given id.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }
