// Package memnet is a network in memory, for whole hosts in one process under
// virtual time: sockets keep a testing/synctest bubble from advancing, these
// connections do not. Links between addresses can be cut, stalled, silenced
// one way and partitioned. Writes are buffered, as HTTP needs.
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

// BufferBytes is what one direction of a connection holds before writes block.
const BufferBytes = 256 << 10

// Addr is an address of the network, as "10.0.0.1:7443".
type Addr string

// Network names the network.
func (Addr) Network() string { return "memory" }

// String gives the address.
func (a Addr) String() string { return string(a) }

// Machine is the part of the address before the port: links join machines.
func (a Addr) Machine() string {
	machine, _, _ := strings.Cut(string(a), ":")
	return machine
}

// link is a direction between two machines.
type link struct {
	from string
	to   string
}

// Network is a network in memory. It is safe for concurrent use.
type Network struct {
	latency time.Duration

	// mu guards all that follows. A pipe's lock is taken after it.
	mu        sync.Mutex
	listeners map[Addr]*listener
	conns     map[*conn]struct{}
	stalled   map[link]int
	// lives counts the isolations of each machine: a dialer of an earlier life
	// is that of a dead process.
	lives  map[string]int
	healed chan struct{}
	ports  int
}

// New builds a network whose bytes arrive after a latency.
func New(latency time.Duration) *Network {
	return &Network{
		latency:   latency,
		listeners: map[Addr]*listener{},
		conns:     map[*conn]struct{}{},
		stalled:   map[link]int{},
		lives:     map[string]int{},
		healed:    make(chan struct{}),
	}
}

// Listen opens a listener. It is a core.Listen.
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

// Dialer gives the dialer of the process that now runs on a machine.
func (n *Network) Dialer(machine string) core.Dialer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &dialer{network: n, machine: machine, life: n.lives[machine]}
}

type dialer struct {
	network *Network
	machine string
	life    int
}

// DialContext opens a connection. Through a stalled link it waits.
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

// connect gives a connection, or what to wait for while the link is stalled.
func (n *Network) connect(d *dialer, to Addr) (*conn, <-chan struct{}, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	machine := d.machine
	if d.life != n.lives[machine] {
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
	near, far := n.pair(from, to)
	select {
	case l.backlog <- far:
	default:
		return nil, nil, syscall.ECONNREFUSED
	}
	n.conns[near] = struct{}{}
	n.conns[far] = struct{}{}
	return near, nil, nil
}

func (n *Network) pair(from, to Addr) (near, far *conn) {
	forth := newPipe(n.latency)
	back := newPipe(n.latency)
	near = &conn{network: n, local: from, remote: to, in: back, out: forth}
	far = &conn{network: n, local: to, remote: from, in: forth, out: back}
	return near, far
}

func (n *Network) isStalled(from, to string) bool { return n.stalled[link{from, to}] > 0 }

// Cut resets the connections between two machines. New ones work.
func (n *Network) Cut(a, b string) {
	for _, c := range n.between(a, b) {
		c.reset()
	}
}

// Silence makes the open connections lose every byte from one machine to
// another for good. New connections work.
func (n *Network) Silence(from, to string) {
	for _, c := range n.between(from, to) {
		if c.local.Machine() == from {
			c.out.silence()
		}
	}
}

// Stall holds all bytes and dials between two machines until Heal.
func (n *Network) Stall(a, b string) {
	n.setStalled([]string{a}, []string{b}, 1)
}

// Heal ends a stall.
func (n *Network) Heal(a, b string) {
	n.setStalled([]string{a}, []string{b}, -1)
}

// Partition holds all bytes and dials between two sets of machines, and
// returns what ends it.
func (n *Network) Partition(left, right []string) (heal func()) {
	n.setStalled(left, right, 1)
	return sync.OnceFunc(func() { n.setStalled(left, right, -1) })
}

// Isolate kills a machine, and the process that ran on it can dial no more,
// should anything of it be left. Another process may start there.
func (n *Network) Isolate(machine string) {
	n.mu.Lock()
	n.lives[machine]++
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
	for _, c := range n.of(machine) {
		c.reset()
	}
}

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

func (n *Network) between(a, b string) []*conn {
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

func (n *Network) of(machine string) []*conn {
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

func (n *Network) forget(c *conn) {
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

// Close ends the listener. Connections that nobody accepted are reset.
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

// Addr gives the listener's address.
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

// wrap leaves io.EOF and nil alone, as net's connections do.
func (c *conn) wrap(op string, err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: op, Net: "memory", Source: c.local, Addr: c.remote, Err: err}
}

func (c *conn) Close() error {
	c.in.closeReader()
	c.out.closeWriter()
	c.network.forget(c)
	return nil
}

func (c *conn) reset() {
	c.in.reset()
	c.out.reset()
	c.network.forget(c)
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
