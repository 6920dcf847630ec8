// Package cutoff is a fake network between a host and an endpoint. It forwards TCP connections and can be cut in
// the ways in which a network partition shows itself to the host.
package cutoff

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Kind is what connections meet while a link is cut.
type Kind uint8

const (
	// Hang holds back what is sent on open connections until the link is restored. Attempts to
	// connect are not answered.
	Hang Kind = iota + 1
	// Reset resets open connections and refuses new ones.
	Reset
	// RefuseNew refuses new connections. Open ones work as before.
	RefuseNew
	// HangAccepted is Hang, except that new connections are accepted.
	HangAccepted
	// ResetAccepted is Reset, except that new connections are accepted before they are reset.
	ResetAccepted
	// HangNew answers no attempts to connect. Open connections work as before.
	HangNew
)

// String returns a description for test output.
func (k Kind) String() string {
	return [...]string{"none", "hang", "reset", "new ones refused", "hang after the accept", "reset after the accept", "new ones hang"}[k]
}

const (
	_backlog = 128
	// _plugTimeout is how long an attempt to connect goes unanswered before the listener's queue
	// counts as full.
	_plugTimeout = 50 * time.Millisecond
	// _resetDelay is how long a connection that is reset after it was accepted stays open unused.
	_resetDelay = 20 * time.Millisecond
	_blockBytes = 32 << 10
)

// Link is the network between one host and one endpoint. It is safe for concurrent use.
type Link struct {
	Address string // where the host connects
	target  string
	dialer  net.Dialer

	mu       sync.Mutex
	closed   bool
	cut      Kind // 0 if the link works
	listener *net.TCPListener
	conns    map[*net.TCPConn]struct{}
	// passing is closed while bytes pass.
	passing chan struct{}
	// plugs fill the listener's queue while attempts to connect are not answered.
	plugs []net.Conn
}

// Start starts a link that listens on an address and connects to target from a local IP address, by
// which an endpoint can tell hosts apart.
func Start(address, target, from string) (*Link, error) {
	l := &Link{
		Address: address, target: target, conns: make(map[*net.TCPConn]struct{}), passing: make(chan struct{}),
		dialer: net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}},
	}
	close(l.passing)
	return l, l.listen()
}

// Close closes the link's listener and connections.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.listener.Close()
	l.unplug()
	l.resetAll()
	l.pass(true)
}

// Cut cuts the link. It must not be cut already.
func (l *Link) Cut(kind Kind) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = kind
	l.pass(kind != Hang && kind != HangAccepted)
	switch kind {
	case Hang, HangNew:
		return l.plug()
	case Reset, RefuseNew:
		_ = l.listener.Close()
	}
	if kind == Reset || kind == ResetAccepted {
		l.resetAll()
	}
	return nil
}

// Restore ends the cut. What a Hang held back is sent now, as by TCP's retransmissions.
func (l *Link) Restore() error {
	l.mu.Lock()
	kind := l.cut
	l.cut = 0
	l.pass(true)
	l.mu.Unlock()
	switch kind {
	case Hang, HangNew:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.unplug()
		if err := errors.Join(l.listener.SetDeadline(time.Time{}), l.setBacklog(_backlog)); err != nil {
			return fmt.Errorf("accept again: %w", err)
		}
		go l.accept(l.listener)
	case Reset, RefuseNew:
		return l.listen()
	}
	return nil
}

// ResetOpen resets the open connections. New ones meet what they met before.
func (l *Link) ResetOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetAll()
}

// pass sets whether bytes pass. The caller holds the lock.
func (l *Link) pass(passing bool) {
	select {
	case <-l.passing:
		if !passing {
			l.passing = make(chan struct{})
		}
	default:
		if passing {
			close(l.passing)
		}
	}
}

func (l *Link) listen() error {
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = listener.(*net.TCPListener)
	go l.accept(l.listener)
	return nil
}

// plug fills the listener's queue, so that the system answers no further attempt to connect. The caller holds
// the lock.
func (l *Link) plug() error {
	if err := errors.Join(l.listener.SetDeadline(time.Now()), l.setBacklog(0)); err != nil { // a deadline ends accept
		return fmt.Errorf("fill the listener's queue: %w", err)
	}
	for {
		conn, err := net.DialTimeout("tcp", l.Address, _plugTimeout)
		if err != nil {
			return nil // the queue is full
		}
		l.plugs = append(l.plugs, conn)
	}
}

func (l *Link) unplug() {
	for _, conn := range l.plugs {
		_ = conn.Close()
	}
	l.plugs = nil
}

func (l *Link) setBacklog(n int) error {
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return fmt.Errorf("get the listener's socket: %w", err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }); err != nil {
		return fmt.Errorf("use the listener's socket: %w", err)
	}
	return os.NewSyscallError("listen", listenErr)
}

func (l *Link) accept(listener *net.TCPListener) {
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

// add adds a connection, or resets it if it may not be open now.
func (l *Link) add(conn *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed || l.cut == Reset:
		reset(conn)
		return false
	case l.cut == ResetAccepted:
		go resetOnceUsed(conn)
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *Link) remove(conn *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	_ = conn.Close()
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// resetOnceUsed resets a connection once bytes arrive, or after a moment. Reset at once, the other end's
// connect could fail already.
func resetOnceUsed(conn *net.TCPConn) {
	_ = conn.SetReadDeadline(time.Now().Add(_resetDelay))
	_, _ = conn.Read(make([]byte, 1))
	reset(conn)
}

// resetAll resets all connections. The caller holds the lock.
func (l *Link) resetAll() {
	for conn := range l.conns {
		reset(conn)
	}
}

// forward connects to the endpoint and copies both ways until both ends have closed, or one has reset the
// connection.
func (l *Link) forward(conn *net.TCPConn) {
	if !l.add(conn) {
		return
	}
	defer l.remove(conn)
	l.await()
	onward, err := l.dialer.Dial("tcp", l.target)
	if err != nil {
		reset(conn)
		return
	}
	target := onward.(*net.TCPConn)
	if !l.add(target) {
		return
	}
	defer l.remove(target)
	var group sync.WaitGroup
	group.Go(func() { l.copy(target, conn) })
	group.Go(func() { l.copy(conn, target) })
	group.Wait()
}

// await waits until bytes pass.
func (l *Link) await() {
	l.mu.Lock()
	passing := l.passing
	l.mu.Unlock()
	<-passing
}

func (l *Link) copy(to, from *net.TCPConn) {
	block := make([]byte, _blockBytes)
	for {
		n, err := from.Read(block)
		l.await()
		if _, writeErr := to.Write(block[:n]); writeErr != nil {
			reset(from)
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			reset(to)
			return
		}
	}
}
