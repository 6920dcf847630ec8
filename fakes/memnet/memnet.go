// Package memnet is an in-memory network, to run whole hosts in one process under
// virtual time: a goroutine that is blocked on a socket keeps the time of a
// testing/synctest bubble from advancing, while one that is blocked on these
// connections does not. Links between machines can be cut, stalled, silenced in
// one direction and partitioned. Writes are buffered, as HTTP needs.
package memnet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"apricotproxy/core"
)

// BufferBytes is how many bytes one direction of a connection buffers before writes
// block.
const BufferBytes = 256 << 10

// Addr is an address on the network, such as "10.0.0.1:7443".
type Addr string

// Network returns the name of the network.
func (Addr) Network() string { return "memory" }

// String returns the address.
func (a Addr) String() string { return string(a) }

// Machine returns the part of the address before the port. Links connect machines.
func (a Addr) Machine() string {
	machine, _, _ := strings.Cut(string(a), ":")
	return machine
}

// link is one direction between two machines.
type link struct {
	from string
	to   string
}

// Network is an in-memory network. It is safe for concurrent use.
type Network struct {
	latency time.Duration

	// mu guards the fields below. A goroutine that needs it and a pipe's mu locks
	// this one first.
	mu        sync.Mutex
	listeners map[Addr]*listener
	conns     map[*conn]struct{}
	stalled   map[link]int // counts the stalls in effect
	// epochs counts the isolations of each machine. A dialer from an earlier epoch
	// belongs to a process that was killed.
	epochs map[string]int
	// healed is closed at the next change of a stall.
	healed chan struct{}
	ports  int // local ports assigned so far
}

// New returns a network on which bytes arrive after the given latency.
func New(latency time.Duration) *Network {
	return &Network{
		latency:   latency,
		listeners: map[Addr]*listener{},
		conns:     map[*conn]struct{}{},
		stalled:   map[link]int{},
		epochs:    map[string]int{},
		healed:    make(chan struct{}),
	}
}

// Listen opens a listener. It has the type core.Listen.
func (n *Network) Listen(_, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	addr := Addr(address)
	if _, taken := n.listeners[addr]; taken {
		return nil, &net.OpError{Op: "listen", Net: "memory", Addr: addr, Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, addr: addr, backlog: make(chan *conn, 1024), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dialer returns a dialer for the process that now runs on a machine.
func (n *Network) Dialer(machine string) core.Dialer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &dialer{network: n, machine: machine, epoch: n.epochs[machine]}
}

type dialer struct {
	network *Network
	machine string
	epoch   int
}

// DialContext opens a connection. It waits while the link is stalled.
func (d *dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	to := Addr(address)
	for {
		c, healed, err := d.network.connect(d, to)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "memory", Addr: to, Err: err}
		}
		if c != nil {
			return c, nil
		}
		select {
		case <-healed:
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: "memory", Addr: to, Err: ctx.Err()}
		}
	}
}

// connect returns a connection or, if the link is stalled, a channel that is closed
// when a new attempt makes sense.
func (n *Network) connect(d *dialer, to Addr) (*conn, <-chan struct{}, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	machine := d.machine
	if d.epoch != n.epochs[machine] {
		return nil, nil, syscall.ENETUNREACH
	}
	if n.isStalled(machine, to.Machine()) || n.isStalled(to.Machine(), machine) {
		return nil, n.healed, nil
	}
	l, ok := n.listeners[to]
	if !ok {
		return nil, nil, syscall.ECONNREFUSED
	}
	n.ports++
	from := Addr(fmt.Sprintf("%s:%d", machine, 20_000+n.ports))
	near, far := n.newConnPair(from, to)
	select {
	case l.backlog <- far:
	default:
		return nil, nil, syscall.ECONNREFUSED
	}
	n.conns[near] = struct{}{}
	n.conns[far] = struct{}{}
	return near, nil, nil
}

// newConnPair returns the two ends of a connection: near is the dialer's.
func (n *Network) newConnPair(from, to Addr) (near, far *conn) {
	outbound := newPipe(n.latency)
	inbound := newPipe(n.latency)
	near = &conn{network: n, local: from, remote: to, in: inbound, out: outbound}
	far = &conn{network: n, local: to, remote: from, in: outbound, out: inbound}
	return near, far
}

func (n *Network) isStalled(from, to string) bool { return n.stalled[link{from, to}] > 0 }

// Cut resets the connections between two machines. New connections work.
func (n *Network) Cut(a, b string) {
	for _, c := range n.connsBetween(a, b) {
		c.reset()
	}
}

// Silence makes the open connections lose all bytes that one machine sends to
// another, permanently and in that direction only. New connections work.
func (n *Network) Silence(from, to string) {
	for _, c := range n.connsBetween(from, to) {
		if c.local.Machine() == from {
			c.out.silence()
		}
	}
}

// Stall holds back all bytes and dials between two machines until Heal is called.
func (n *Network) Stall(a, b string) {
	n.setStalled([]string{a}, []string{b}, 1)
}

// Heal ends a stall.
func (n *Network) Heal(a, b string) {
	n.setStalled([]string{a}, []string{b}, -1)
}

// Partition holds back all bytes and dials between two sets of machines, and
// returns a function that ends the partition.
func (n *Network) Partition(left, right []string) (heal func()) {
	n.setStalled(left, right, 1)
	return sync.OnceFunc(func() { n.setStalled(left, right, -1) })
}

// Isolate kills a machine and makes later dials of the process that ran on it fail,
// in case some of its goroutines still run. Another process may start there.
func (n *Network) Isolate(machine string) {
	n.mu.Lock()
	n.epochs[machine]++
	n.mu.Unlock()
	n.Kill(machine)
}

// Kill closes the listeners of a machine and resets its connections.
func (n *Network) Kill(machine string) {
	n.mu.Lock()
	var dead []*listener
	for addr, l := range n.listeners {
		if addr.Machine() == machine {
			dead = append(dead, l)
		}
	}
	n.mu.Unlock()
	for _, l := range dead {
		_ = l.Close() // never fails
	}
	for _, c := range n.connsOf(machine) {
		c.reset()
	}
}

// setStalled adds change to the number of stalls between two sets of machines.
func (n *Network) setStalled(left, right []string, change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range left {
		for _, b := range right {
			n.stalled[link{a, b}] += change
			n.stalled[link{b, a}] += change
		}
	}
	for c := range n.conns {
		c.out.setStalled(n.isStalled(c.local.Machine(), c.remote.Machine()))
	}
	close(n.healed)
	n.healed = make(chan struct{})
}

// connsBetween returns both ends of all connections between two machines.
func (n *Network) connsBetween(a, b string) []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*conn
	for c := range n.conns {
		local, remote := c.local.Machine(), c.remote.Machine()
		if local == a && remote == b || local == b && remote == a {
			found = append(found, c)
		}
	}
	return found
}

// connsOf returns the machine's own ends of its connections.
func (n *Network) connsOf(machine string) []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*conn
	for c := range n.conns {
		if c.local.Machine() == machine {
			found = append(found, c)
		}
	}
	return found
}

func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

type listener struct {
	network *Network
	addr    Addr
	backlog chan *conn
	closed  chan struct{}
	once    sync.Once
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "memory", Addr: l.addr, Err: net.ErrClosed}
	}
}

// Close stops the listener and resets the connections that were not accepted.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr)
		l.network.mu.Unlock()
		close(l.closed)
		for {
			select {
			case c := <-l.backlog:
				c.reset()
			default:
				return
			}
		}
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return l.addr }

// conn is one end of a connection.
type conn struct {
	network *Network
	local   Addr
	remote  Addr
	in      *pipe
	out     *pipe
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.in.read(b)
	return n, c.wrap("read", err)
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.out.write(b)
	return n, c.wrap("write", err)
}

// wrap returns err as a net.OpError, except that nil and io.EOF stay as they are, as
// with connections of package net.
func (c *conn) wrap(op string, err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: op, Net: "memory", Source: c.local, Addr: c.remote, Err: err}
}

func (c *conn) Close() error {
	c.in.closeReader()
	c.out.closeWriter()
	c.network.removeConn(c)
	return nil
}

func (c *conn) reset() {
	c.in.reset()
	c.out.reset()
	c.network.removeConn(c)
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}
