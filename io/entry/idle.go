package entry

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// _maxIdleTimeout is the time-out given to net/http; idleConn replaces it by the
	// limit in force.
	_maxIdleTimeout = time.Hour
	// _defaultIdleTimeout is in force until a configuration is known.
	_defaultIdleTimeout = 15 * time.Second
)

// idleLimit closes callers' idle connections after a time limit that can change while
// the process runs. net/http sets a read deadline on a connection that becomes idle;
// idleConn replaces it by one with the limit in force. The limit is only raised, never
// lowered, and a connection that is already idle keeps its deadline. Callers can
// therefore rely on the limit that they know.
//
// longest is the longest limit configured so far, in nanoseconds.
type idleLimit struct{ longest atomic.Int64 }

func (l *idleLimit) raise(limit time.Duration) {
	for {
		old := l.longest.Load()
		if int64(limit) <= old || l.longest.CompareAndSwap(old, int64(limit)) {
			return
		}
	}
}

func (l *idleLimit) get() time.Duration {
	if limit := time.Duration(l.longest.Load()); limit > 0 {
		return limit
	}
	return _defaultIdleTimeout
}

func (l *idleLimit) connState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*idleConn); ok {
		c.idle.Store(state == http.StateIdle)
	}
}

func (l *idleLimit) wrap(listener net.Listener) net.Listener {
	return &idleListener{Listener: listener, limit: l}
}

type idleListener struct {
	net.Listener
	limit *idleLimit
}

func (l *idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err // unwrapped, since net/http checks its type
	}
	return &idleConn{Conn: conn, limit: l.limit}, nil
}

type idleConn struct {
	net.Conn
	limit *idleLimit
	idle  atomic.Bool
}

func (c *idleConn) SetReadDeadline(t time.Time) error {
	if c.idle.Load() && !t.IsZero() {
		t = time.Now().Add(c.limit.get())
	}
	return c.Conn.SetReadDeadline(t)
}
