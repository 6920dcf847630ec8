// Package intact tells a broken answer from a complete one where the kernel and net/http do not.
package intact

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"apricotproxy/core"
)

// Conn is a connection on which a read fails once the connection was reset or timed out. The kernel
// reports that to one call only: if it was a write, reads return io.EOF, as if the other end had closed
// the connection. Like a net.Conn it is safe for concurrent use.
type Conn struct {
	net.Conn
	// writing is held during a write and guards lost, the failure of the connection that a write was
	// told of; nil for none.
	writing sync.Mutex
	lost    error
}

// NewConn returns a Conn that uses conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// DialWith returns the DialContext of an http.Transport whose connections are of type *Conn.
func DialWith(dialer core.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		return NewConn(conn), nil
	}
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	// EPIPE means that the other end had closed the connection before, or that the failure was reported
	// already. Deadlines and Close are no errors of the kernel.
	var failed syscall.Errno
	if errors.As(err, &failed) && failed != syscall.EPIPE {
		c.lost = err
	}
	return n, err
}

// Read reads from the connection. It returns io.EOF only if the other end closed the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if lost := c.lostInWrite(); lost != nil {
			return n, fmt.Errorf("a write failed before: %w", lost)
		}
	}
	return n, err
}

// lostInWrite returns the failure of the connection that a write was told of; nil for none. It awaits a
// write only if the connection has ended, so that the write is about to return: an endpoint that has
// closed its side may go on reading.
func (c *Conn) lostInWrite() error {
	if isEnded(c.Conn) {
		c.writing.Lock()
	} else if !c.writing.TryLock() {
		return nil
	}
	defer c.writing.Unlock()
	return c.lost
}
