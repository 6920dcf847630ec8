package guard

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"apricotproxy/core/mutex"
)

// _writeTimeout is how long a caller may read nothing of an answer that waits for it: as long as a head or a body may take.
const _writeTimeout = 10 * time.Second

// _deadlineAge is how old a write deadline may be, so that not each write sets one.
const _deadlineAge = time.Second

// phase is how far the request of a connection is.
type phase int

const (
	_phaseHead    phase = iota // no complete head was read, or nothing
	_phaseBody                 // the head was read, but not the body
	_phaseServing              // the request was read
	_phaseIdle                 // a request was answered and nothing was read of the next one
)

func (p phase) isUnfinished() bool { return p == _phaseHead || p == _phaseBody }

// Conn is a connection that a Guard limits.
type Conn struct {
	net.Conn
	door *door

	// The following fields are guarded by the lock of the guard. since is when the phase began, or the first one of
	// the request; head is what its head uses.
	phase     phase
	since     time.Time
	head      int64
	isRemoved bool
	isSealed  bool

	// blocked is when the write in progress began, in Unix nanoseconds; 0 if none is.
	blocked atomic.Int64
	// deadlineSet is when this connection's own write deadline was set; it is used by the writer alone. isDeadlineForeign
	// is true while the handler has set one.
	deadlineSet       time.Time
	isDeadlineForeign atomic.Bool
}

// find returns the guarded connection within a connection, or nil.
func find(conn net.Conn) *Conn {
	for {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = outer.NetConn()
	}
}

// NetConn returns the connection that is limited.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// remove forgets the connection. The caller holds the lock.
func (c *Conn) remove() {
	if c.isRemoved {
		return
	}
	c.isRemoved = true
	delete(c.door.conns, c)
	c.door.guard.heads -= c.head
	c.head = 0
	if c.phase.isUnfinished() {
		c.door.unfinished--
	}
}

// Close closes the connection.
func (c *Conn) Close() error {
	mutex.Do(&c.door.guard.mu, c.remove)
	return c.Conn.Close() // unwrapped, as the others
}

// enter changes the phase. The caller holds the lock.
func (c *Conn) enter(p phase) {
	if c.isRemoved || c.phase == p {
		return
	}
	if c.phase.isUnfinished() != p.isUnfinished() {
		c.since = time.Now()
		if p.isUnfinished() {
			c.door.unfinished++
		} else {
			c.door.unfinished--
		}
	}
	if p == _phaseIdle {
		c.since = time.Now()
	}
	c.phase = p
}

// setHead sets what the head uses. The caller holds the lock.
func (c *Conn) setHead(n int64) {
	if c.isRemoved {
		return
	}
	c.door.guard.heads += n - c.head
	c.head = n
}

// setState notes a change that net/http reports.
func (c *Conn) setState(state http.ConnState) {
	c.door.guard.mu.Lock()
	defer c.door.guard.mu.Unlock()
	switch state {
	case http.StateActive:
		c.enter(_phaseBody) // the handler says whether there is a body
	case http.StateIdle:
		c.enter(_phaseIdle)
		c.setHead(0)
	case http.StateHijacked:
		c.enter(_phaseServing)
	default:
	}
}

// finishRequest notes that the request was read.
func (c *Conn) finishRequest() {
	c.door.guard.mu.Lock()
	defer c.door.guard.mu.Unlock()
	c.enter(_phaseServing)
}

// The caller holds the lock of the guard when it calls the following functions.

func (c *Conn) unfinishedSince() time.Time {
	if !c.phase.isUnfinished() {
		return time.Time{}
	}
	return c.since
}

func (c *Conn) idleSince() time.Time {
	if c.phase != _phaseIdle {
		return time.Time{}
	}
	return c.since
}

func (c *Conn) writingSince() time.Time {
	if at := c.blocked.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Read reads from the connection and counts the bytes of a head.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.countHead(p[:n])
	}
	return n, err // unwrapped, since net/http checks its type
}

func (c *Conn) countHead(text []byte) {
	if g := c.door.guard; c.addHead(text) {
		g.shrinkHeads()
	}
}

// addHead counts bytes and reports whether the heads use too much memory.
func (c *Conn) addHead(text []byte) (isFull bool) {
	g := c.door.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase == _phaseIdle {
		c.enter(_phaseHead)
	}
	if c.phase != _phaseHead {
		return false
	}
	const recordTypeHandshake = 22 // the first byte of a TLS connection, and of no request
	if c.head == 0 && text[0] == recordTypeHandshake {
		c.isSealed = true
	}
	cost := int64(len(text)) * _sealedFactor
	if !c.isSealed {
		cost = int64(len(text)*_textFactor + bytes.Count(text, []byte("\n"))*_lineBytes)
	}
	c.setHead(c.head + cost)
	return g.heads > g.headBytes-g.headBytes/_smallShare
}

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	c.isDeadlineForeign.Store(!t.IsZero())
	return c.Conn.SetDeadline(t)
}

// SetWriteDeadline sets a deadline for the following writes in place of that of the connection; the zero time returns to the
// latter.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.isDeadlineForeign.Store(!t.IsZero())
	if t.IsZero() && !c.deadlineSet.IsZero() {
		return nil // the connection's own deadline is still set, and counts only while a write is in progress
	}
	return c.Conn.SetWriteDeadline(t)
}

// Write writes to the connection. It fails when the caller reads nothing for _writeTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	now := time.Now()
	c.blocked.Store(now.UnixNano())
	defer c.blocked.Store(0)
	if c.isDeadlineForeign.Load() {
		c.deadlineSet = time.Time{}
		return c.Conn.Write(p)
	}
	progress := now
	for written := 0; ; {
		if now.Sub(c.deadlineSet) >= _deadlineAge && c.Conn.SetWriteDeadline(now.Add(_writeTimeout)) == nil {
			c.deadlineSet = now
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) || written == len(p) || c.isDeadlineForeign.Load() {
			return written, err
		}
		now = time.Now()
		if n > 0 {
			progress = now
			c.blocked.Store(now.UnixNano())
		}
		// A deadline that was set before the write began comes early.
		if now.Sub(progress) >= _writeTimeout {
			c.door.guard.report(_stalled, 1)
			return written, err
		}
		c.deadlineSet = time.Time{}
	}
}
