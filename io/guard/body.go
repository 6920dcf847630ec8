package guard

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// _bodyTimeout is how long a caller may take to send a body that the handler sets no deadline for.
const _bodyTimeout = 10 * time.Second

// _readBytes is the most that is read of a body at a time.
const _readBytes = 16 << 10

// ErrNoRoom is returned by the body of a request when the bodies of all requests use too much memory.
var ErrNoRoom = errors.New("there is no room for the body")

// connKey is the key of the connection in a request's context.
type connKey struct{}

// handler tells the connection of each request when the request was read.
func handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*Conn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if c.noteHead(r) {
			w.Header().Set("Connection", "close") // others wait to be accepted
		}
		if r.Body == nil || r.Body == http.NoBody {
			c.finishRequest()
			next.ServeHTTP(w, r)
			return
		}
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(_bodyTimeout)) // a connection in a test may have none
		b := &body{ReadCloser: r.Body, conn: c, control: control}
		defer b.release()
		r.Body = b
		next.ServeHTTP(w, r)
	})
}

// noteHead sets what the head of a request uses, now that it is known. It reports whether the address has all the connections
// that it may have.
func (c *Conn) noteHead(r *http.Request) bool {
	cost := int64(len(r.RequestURI)) * _textFactor
	for name, values := range r.Header {
		for _, value := range values {
			cost += int64(len(name)+len(value))*_textFactor + _lineBytes
		}
	}
	c.door.guard.mu.Lock()
	defer c.door.guard.mu.Unlock()
	c.setHead(cost)
	return len(c.door.conns) >= c.door.maxConnections
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn    *Conn
	control *http.ResponseController
	used    int64
	isRead  bool
}

// Read reads from the body, or fails with ErrNoRoom.
func (b *body) Read(p []byte) (int, error) {
	p = p[:min(len(p), _readBytes)]
	g := b.conn.door.guard
	if !g.takeBody(b.used, int64(len(p))) {
		g.report(_bodyBytes, 1)
		return 0, ErrNoRoom
	}
	n, err := b.ReadCloser.Read(p)
	b.used += int64(n)
	g.releaseBody(int64(len(p) - n))
	if errors.Is(err, io.EOF) && !b.isRead {
		b.isRead = true
		// net/http takes a deadline that passes while it waits for the next request for the caller's end.
		_ = b.control.SetReadDeadline(time.Time{})
		b.conn.finishRequest()
	}
	return n, err // unwrapped, since handlers compare it
}

func (b *body) release() {
	b.conn.door.guard.releaseBody(b.used)
	b.used = 0
}
