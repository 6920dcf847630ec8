package engine

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"apricotproxy/core/conn/idle"
	"apricotproxy/core/invar"
)

var (
	errNotConfirmed     = errors.New("the placement is no longer valid")
	errAbandoned        = errors.New("the request was abandoned before its first byte was written")
	errSecondConnection = errors.New("the request was already written to another connection")
)

// gate controls whether a request may be written to a connection. The first byte
// is written only if the dispatch is confirmed at that moment, and only to one
// connection.
//
// The check is made below net/http, in the connection's Write: a hook of httptrace
// can observe that there is a connection, but cannot prevent the write that
// follows. If the gate was never opened, no byte of the request has left the host.
type gate struct {
	// confirm reports whether the request may still be dispatched; nil for always.
	confirm func() bool

	mu sync.Mutex
	// isOpen is set before the first byte is written.
	isOpen bool
	// closed is set when the request was abandoned before its first byte.
	closed bool
}

type gateKey struct{}

func withGate(ctx context.Context, g *gate) context.Context {
	return context.WithValue(ctx, gateKey{}, g)
}

func gateOf(ctx context.Context) *gate {
	g, _ := ctx.Value(gateKey{}).(*gate)
	return g
}

// open is called by a connection before the request's first byte. It returns an
// error if the request must not be written.
func (g *gate) open() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isOpen {
		return errSecondConnection
	}
	if g.closed {
		return errAbandoned
	}
	if g.confirm != nil && !g.confirm() {
		return errNotConfirmed
	}
	g.isOpen = true
	return nil
}

// written reports whether a byte of the request may have been sent.
func (g *gate) written() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isOpen
}

// close prevents the first byte from being written later. It returns false if a
// byte may have been sent already. When a request's context ends during the dial,
// RoundTrip returns while net/http may still go on to write the request. The
// request is then reported as not run, so that late write must fail.
func (g *gate) close() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = !g.isOpen
	return g.closed
}

// gatedConn is a connection to an endpoint. It opens the gate before the first
// write, and its reads and writes time out when the endpoint is silent for too
// long. Read must be called by one goroutine at a time, as net/http does.
type gatedConn struct {
	net.Conn
	gate           *gate // nil for requests that may be retried
	gateOpened     bool
	silenceTimeout time.Duration // 0 for none
	readTimeout    idle.Timeout
}

func newGatedConn(conn net.Conn, g *gate, silenceTimeout time.Duration) *gatedConn {
	c := &gatedConn{Conn: conn, gate: g, silenceTimeout: silenceTimeout}
	c.readTimeout = c.readTimeout.WithActivity(time.Now(), silenceTimeout)
	return c
}

// Write opens the gate before the first write. The write deadline limits the time
// that a write to a stalled connection takes.
func (c *gatedConn) Write(p []byte) (int, error) {
	if !c.gateOpened && c.gate != nil {
		if err := c.gate.open(); err != nil {
			return 0, err
		}
	}
	c.gateOpened = true
	if c.silenceTimeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.silenceTimeout)); err != nil {
			return 0, err
		}
	}
	if c.gate != nil {
		invar.Check(invar.OrderAtMostOnce, c.gate.written(), "a request is written without a confirmed dispatch")
	}
	return c.Conn.Write(p)
}

// Read fails with a timeout once the connection counts as silent.
func (c *gatedConn) Read(p []byte) (int, error) {
	for {
		if c.readTimeout.NeedsArming(c.silenceTimeout) {
			c.readTimeout = c.readTimeout.WithArmed()
			if err := c.SetReadDeadline(c.readTimeout.Deadline()); err != nil {
				return 0, err
			}
		}
		n, err := c.Conn.Read(p)
		now := time.Now()
		if n > 0 {
			c.readTimeout = c.readTimeout.WithActivity(now, c.silenceTimeout)
			return n, err
		}
		// A time-out that the kernel reports ends the connection, and the next read would return io.EOF.
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || c.silenceTimeout <= 0 || c.readTimeout.Silent(now) {
			return n, err
		}
		// The deadline on the connection was set before the latest byte; extend it.
		c.readTimeout = c.readTimeout.WithArmed()
		if err := c.SetReadDeadline(c.readTimeout.Deadline()); err != nil {
			return 0, err
		}
	}
}
