package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"apricotproxy/core/mutex"
)

const (
	// _maxIdleTimeout is the time-out given to net/http; idleConn replaces it by the
	// limit in force.
	_maxIdleTimeout = time.Hour
	// _defaultIdleTimeout is in force until a configuration is known.
	_defaultIdleTimeout = 15 * time.Second
	// _firstRequestGrace is how long a stopping host waits for the first bytes on a connection
	// that it has accepted: callers give up a connection that takes longer to establish.
	_firstRequestGrace = time.Second
	// _drainInterval is how often a stopping host looks for connections to close.
	_drainInterval = 20 * time.Millisecond
)

// _past is a deadline that has passed.
var _past = time.Unix(1, 0)

// idleLimit closes callers' idle connections after a time limit that can change while
// the process runs. net/http sets a read deadline on a connection that becomes idle;
// idleConn replaces it by one with the limit in force. The limit is only raised, never
// lowered, and a connection that is already idle keeps its deadline. Callers can
// therefore rely on the limit that they know.
//
// When the host stops, idle connections are closed by their read deadlines too: a request of which
// a byte was read is read on and answered. The Shutdown of net/http reads it and closes the
// connection without an answer.
type idleLimit struct {
	// longest is the longest limit configured so far, in nanoseconds.
	longest  atomic.Int64
	stopping atomic.Bool

	mu   sync.Mutex
	open map[*idleConn]struct{}
}

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
	c, ok := conn.(*idleConn)
	if !ok {
		return
	}
	c.setState(state)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		if l.open == nil {
			l.open = make(map[*idleConn]struct{})
		}
		l.open[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(l.open, c)
	default:
	}
}

// drain waits until all connections have been closed: those that wait for a request at once, the
// others after their answers. It returns false if ctx ends first. The listener must be closed.
func (l *idleLimit) drain(ctx context.Context) bool {
	l.stopping.Store(true)
	firstRequestDeadline := time.Now().Add(_firstRequestGrace)
	for !l.expire(time.Now().After(firstRequestDeadline)) {
		sleep(ctx, _drainInterval)
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}

// expire ends the wait of the connections that wait for a request, with includeNew also for their
// first one. It returns true if no connection is open.
func (l *idleLimit) expire(includeNew bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.expire(includeNew)
	}
	return len(l.open) == 0
}

func (l *idleLimit) wrap(listener net.Listener) net.Listener {
	return &idleListener{Listener: listener, limit: l}
}

type idleListener struct {
	net.Listener
	limit    *idleLimit
	once     sync.Once
	closeErr error
}

func (l *idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err // unwrapped, since net/http checks its type
	}
	return &idleConn{Conn: conn, limit: l.limit}, nil
}

// Close closes the listener once.
func (l *idleListener) Close() error {
	l.once.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

type idleConn struct {
	net.Conn
	limit *idleLimit

	mu    sync.Mutex
	state http.ConnState
	// hasRead is true once a byte of the next request was read.
	hasRead bool
}

// NetConn returns the connection whose idle time is limited.
func (c *idleConn) NetConn() net.Conn { return c.Conn }

func (c *idleConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	if state == http.StateIdle {
		c.hasRead = false
	}
}

// Read reads from the connection.
func (c *idleConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		mutex.Do(&c.mu, func() { c.hasRead = true })
	}
	return n, err // unwrapped, since net/http checks its type
}

// SetReadDeadline sets the deadline, or that of the limit if the connection is idle.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == http.StateIdle && !c.hasRead && !t.IsZero() {
		t = time.Now().Add(c.limit.get())
		if c.limit.stopping.Load() {
			t = _past
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// expire ends the wait for a request of which nothing was read.
func (c *idleConn) expire(includeNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasRead && (c.state == http.StateIdle || includeNew && c.state == http.StateNew) {
		_ = c.Conn.SetReadDeadline(_past)
	}
}
