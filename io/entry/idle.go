package entry

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// _idleCeiling is what net/http is told; the limit in force replaces it.
	_idleCeiling = time.Hour
	// _idleDefault applies until a configuration is known.
	_idleDefault = 15 * time.Second
)

// idleLimit closes callers' idle connections by a limit that changes while the
// process runs. net/http sets a connection's read deadline when it begins to
// idle; idleConn puts the limit in force in its place. A connection that idles
// already keeps its deadline, which is never earlier than the longest limit that
// was in force: callers may rely on the limit that they know.
type idleLimit struct{ longest atomic.Int64 }

func (l *idleLimit) set(limit time.Duration) {
	for {
		known := l.longest.Load()
		if int64(limit) <= known || l.longest.CompareAndSwap(known, int64(limit)) {
			return
		}
	}
}

func (l *idleLimit) get() time.Duration {
	if limit := time.Duration(l.longest.Load()); limit > 0 {
		return limit
	}
	return _idleDefault
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
		return nil, err // net/http looks at its kind
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
