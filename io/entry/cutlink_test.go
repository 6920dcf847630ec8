package entry_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"apricotproxy/io/entry"
)

// cut is how a host's connections to endpoints fail.
type cut int32

const (
	// _reaching: they work.
	_reaching cut = iota
	// _hanging: nothing arrives in either direction.
	_hanging
	// _resetting: new ones are refused and open ones are reset.
	_resetting
	// _refusingNew: new ones are refused, open ones work.
	_refusingNew
)

// _hangPoll is how often a connection that hangs is checked for its deadline or its end.
const _hangPoll = 2 * time.Millisecond

// cutDialer opens connections that can be cut. Those to addresses that isEndpoint does not name
// always work.
type cutDialer struct {
	dialer     *entry.Dialer
	isEndpoint func(address string) bool
	cut        atomic.Int32
	// redirected holds the addresses at which others are reached, by these.
	redirected sync.Map
	// written counts the writes to endpoints that got through.
	written atomic.Int64

	mu    sync.Mutex
	conns []*cutConn
}

func (d *cutDialer) state() cut { return cut(d.cut.Load()) }

// setCut changes how connections fail.
func (d *cutDialer) setCut(state cut) {
	d.cut.Store(int32(state))
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		if state == _resetting {
			c.broken.Store(true)
			_ = c.TCPConn.Close()
		}
	}
}

// DialContext opens a connection.
func (d *cutDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if other, ok := d.redirected.Load(address); ok {
		address = fmt.Sprint(other)
	}
	if !d.isEndpoint(address) {
		return d.dialer.DialContext(ctx, network, address)
	}
	switch d.state() {
	case _hanging:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	case _resetting, _refusingNew:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	conn, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, fmt.Errorf("the connection to %s is a %T", address, conn)
	}
	c := &cutConn{TCPConn: tcp, dialer: d}
	d.mu.Lock()
	d.conns = append(d.conns, c)
	d.mu.Unlock()
	return c, nil
}

type cutConn struct {
	*net.TCPConn
	dialer *cutDialer
	// broken is true once bytes were lost, closed once this end closed the connection.
	broken, closed atomic.Bool
	deadline       atomic.Pointer[time.Time]
}

// Read reads what arrives. Bytes that arrive while the connection hangs are held back.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	for c.dialer.state() == _hanging {
		deadline := c.deadline.Load()
		switch {
		case c.closed.Load():
			return 0, net.ErrClosed
		case deadline != nil && !deadline.IsZero() && time.Now().After(*deadline):
			c.broken.Store(true)
			return 0, os.ErrDeadlineExceeded
		}
		time.Sleep(_hangPoll)
	}
	if c.broken.Load() {
		return 0, syscall.ECONNRESET
	}
	return n, err
}

// Write writes, or loses the bytes while the connection hangs.
func (c *cutConn) Write(p []byte) (int, error) {
	switch {
	case c.dialer.state() == _hanging:
		c.broken.Store(true)
		return len(p), nil
	case c.broken.Load():
		return 0, syscall.ECONNRESET
	}
	c.dialer.written.Add(1)
	return c.TCPConn.Write(p)
}

func (c *cutConn) SetReadDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return c.TCPConn.SetReadDeadline(t)
}

func (c *cutConn) Close() error {
	c.closed.Store(true)
	return c.TCPConn.Close()
}
