// Package narrow is a fake network link of limited bandwidth. All connections that a host
// accepts share the link, as they share its network card.
package narrow

import (
	"fmt"
	"net"
	"sync"
	"time"

	"apricotproxy/core"
)

// _packetBytes is how many bytes the link sends at once.
const _packetBytes = 8 << 10

// Link is a link that many connections share. It is safe for concurrent use.
type Link struct {
	bytesPerSecond int

	mu sync.Mutex
	// idleAt is when the link has sent all bytes that were written so far.
	idleAt time.Time
}

// New returns a link that sends so many bytes a second.
func New(bytesPerSecond int) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// Listen wraps a function that opens listeners, so that what is written to accepted
// connections is sent over the link.
func (l *Link) Listen(listen core.Listen) core.Listen {
	return func(network, address string) (net.Listener, error) {
		listener, err := listen(network, address)
		if err != nil {
			return nil, fmt.Errorf("listen behind a narrow link: %w", err)
		}
		return &narrowListener{Listener: listener, link: l}, nil
	}
}

// send waits until the link has sent n bytes more.
func (l *Link) send(n int) {
	l.mu.Lock()
	if now := time.Now(); l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
	sentAt := l.idleAt
	l.mu.Unlock()
	time.Sleep(time.Until(sentAt))
}

type narrowListener struct {
	net.Listener
	link *Link
}

// Accept accepts a connection whose writes use the link.
func (l *narrowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &narrowConn{Conn: conn, link: l.link}, nil
}

type narrowConn struct {
	net.Conn
	link *Link
}

// Write writes p in packets, each after the link has sent it.
func (c *narrowConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		packet := p[written:min(written+_packetBytes, len(p))]
		c.link.send(len(packet))
		n, err := c.Conn.Write(packet)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
