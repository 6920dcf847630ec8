// Package links keeps connections to endpoints and carries one request at a
// time over each. A request is written to one connection at most once: nothing
// below this package repeats it. See docs/decisions/0041-endpoint-connections.md
// for why net/http's own transport is not used here.
package links

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"apricotproxy/core"
)

const (
	_readBufferBytes = 4 << 10
	// _inlineBytes is what is written before the answer is read; a longer
	// request is written beside it, since an endpoint may answer early.
	_inlineBytes = 16 << 10
	// _strayAnswers bounds the answers to other requests that are skipped.
	_strayAnswers = 4
	// _idleDefault is how long an idle connection is kept when the endpoint
	// names no time.
	_idleDefault = 4 * time.Second
)

// Stage tells how far an exchange came before it failed.
type Stage uint8

// Stages.
const (
	// StageDial: no byte of the request was written.
	StageDial Stage = iota + 1
	// StageSent: the endpoint may have run the request.
	StageSent
)

// Error is a failed exchange.
type Error struct {
	Stage Stage
	Err   error
}

// Error names the stage and the cause.
func (e *Error) Error() string {
	if e.Stage == StageDial {
		return "not sent: " + e.Err.Error()
	}
	return "sent: " + e.Err.Error()
}

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is one request to an endpoint.
type Request struct {
	Method string
	// Target is the path and query, as the caller sent them.
	Target   string
	HostName string
	Header   http.Header
	Body     []byte
	// Own tells whether an answer belongs to this request.
	Own func(*http.Response) bool
	// Careful asks for a connection that is certainly not about to be closed.
	Careful bool
	// MaxConnections is how many connections to the endpoint, idle ones included,
	// may be kept; 0 for no bound.
	MaxConnections int
}

// Answer is an endpoint's answer. Its body must be closed.
type Answer struct {
	*http.Response
	link *link
	// complete is set when the body was read to its end.
	complete bool
	written  <-chan error
	stop     func() bool
	pool     *Pool
	key      string
	// most is the request's MaxConnections.
	most int
}

// Settings are what a Pool is built from.
type Settings struct {
	Dialer core.Dialer
	// DialTimeout bounds a new connection.
	DialTimeout time.Duration
	// MaxIdle bounds the idle connections of one endpoint.
	MaxIdle int
}

// Pool keeps idle connections by endpoint. It is safe for concurrent use.
type Pool struct {
	settings Settings
	mu       sync.Mutex
	idle     map[string][]*link
	// busy counts the connections in use by endpoint.
	busy map[string]int
}

type link struct {
	conn      net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	idleUntil time.Time
}

// New builds a pool. It opens no connection.
func New(settings Settings) *Pool {
	return &Pool{settings: settings, idle: make(map[string][]*link), busy: make(map[string]int)}
}

// Close closes idle connections.
func (p *Pool) Close() { p.Keep(func(string) bool { return false }) }

// Keep closes the idle connections of endpoints that are not to be kept, and
// those that have idled for too long.
func (p *Pool) Keep(keep func(key string) bool) {
	now := time.Now()
	p.mu.Lock()
	var closing []*link
	for key, links := range p.idle {
		var left []*link
		for _, l := range links {
			if keep(key) && now.Before(l.idleUntil) {
				left = append(left, l)
			} else {
				closing = append(closing, l)
			}
		}
		if len(left) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = left
		}
	}
	p.mu.Unlock()
	for _, l := range closing {
		l.close()
	}
}

// Key names an endpoint's incarnation at its address.
func Key(endpoint core.RoutedEndpoint) string { return endpoint.ID + "@" + endpoint.Address }

// Do sends a request and waits for the header of its answer. The connection is
// closed as soon as ctx ends. Errors are *Error.
func (p *Pool) Do(ctx context.Context, endpoint core.RoutedEndpoint, request *Request) (*Answer, error) {
	key := Key(endpoint)
	p.count(key, 1)
	l, err := p.link(ctx, key, endpoint.Address, request.Careful)
	if err != nil {
		p.count(key, -1)
		return nil, &Error{Stage: StageDial, Err: err}
	}
	if err := ctx.Err(); err != nil {
		p.discard(key, l)
		return nil, &Error{Stage: StageDial, Err: context.Cause(ctx)}
	}
	stop := context.AfterFunc(ctx, l.close)
	written := l.write(request)
	res, err := l.readAnswer(request)
	if err != nil {
		stop()
		p.discard(key, l)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Error{Stage: StageSent, Err: err}
	}
	return &Answer{Response: res, link: l, written: written, stop: stop, pool: p, key: key, most: request.MaxConnections}, nil
}

func (p *Pool) count(key string, change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy[key] += change
	if p.busy[key] == 0 {
		delete(p.busy, key)
	}
}

// discard closes a connection that was in use.
func (p *Pool) discard(key string, l *link) {
	p.count(key, -1)
	l.close()
}

// link takes an idle connection or opens one.
func (p *Pool) link(ctx context.Context, key, address string, careful bool) (*link, error) {
	now := time.Now()
	for {
		l := p.take(key)
		if l == nil {
			break
		}
		fresh := now.Before(l.idleUntil)
		if careful {
			// The endpoint's own timer may run a little ahead of ours.
			fresh = now.Before(l.idleSince.Add(l.idleUntil.Sub(l.idleSince) / 2))
		}
		if fresh && quiet(l.conn) {
			return l, nil
		}
		l.close()
	}
	dialing, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	defer cancel()
	conn, err := p.settings.Dialer.DialContext(dialing, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		if err := tcp.SetLinger(0); err != nil {
			return nil, errors.Join(fmt.Errorf("set up the connection to %s: %w", address, err), conn.Close())
		}
	}
	return &link{conn: conn, reader: bufio.NewReaderSize(conn, _readBufferBytes)}, nil
}

func (p *Pool) take(key string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := p.idle[key]
	if len(links) == 0 {
		return nil
	}
	l := links[len(links)-1]
	p.idle[key] = links[:len(links)-1]
	return l
}

// put takes back a connection that was in use and keeps it, unless there are most
// others to the endpoint already; 0 for no such bound.
func (p *Pool) put(key string, l *link, most int) {
	p.count(key, -1)
	p.mu.Lock()
	idle := len(p.idle[key])
	keep := idle < p.settings.MaxIdle && (most == 0 || idle+p.busy[key] < most)
	if keep {
		p.idle[key] = append(p.idle[key], l)
	}
	p.mu.Unlock()
	if !keep {
		l.close()
	}
}

func (l *link) close() { _ = l.conn.Close() }

// write writes the request. The channel gets the result once all is written; a
// failed write shows as a failed answer too, unless the endpoint answered early.
func (l *link) write(request *Request) <-chan error {
	written := make(chan error, 1)
	send := func() { written <- l.writeAll(request) }
	if len(request.Body) > _inlineBytes {
		go send()
	} else {
		send()
	}
	return written
}

func (l *link) writeAll(request *Request) error {
	var head strings.Builder
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.HostName + "\r\n")
	if err := request.Header.Write(&head); err != nil {
		return fmt.Errorf("write the header: %w", err)
	}
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	head.Write(request.Body)
	if _, err := io.WriteString(l.conn, head.String()); err != nil {
		return fmt.Errorf("write the request: %w", err)
	}
	return nil
}

// readAnswer reads the header of the request's own answer. A late answer to an
// earlier request may come first; its id tells.
func (l *link) readAnswer(request *Request) (*http.Response, error) {
	asked := &http.Request{Method: request.Method}
	for range _strayAnswers {
		res, err := http.ReadResponse(l.reader, asked)
		if err != nil {
			return nil, fmt.Errorf("read the answer: %w", err)
		}
		if res.StatusCode < http.StatusOK {
			if res.StatusCode == http.StatusSwitchingProtocols {
				return nil, errors.New("the endpoint switched protocols")
			}
			continue
		}
		if request.Own(res) {
			return res, nil
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, fmt.Errorf("skip an answer to another request: %w", err)
		}
	}
	return nil, errors.New("the answers belong to other requests")
}

// Read reads the body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.complete = true
	}
	return n, err
}

// Framed tells whether the answer says where it ends. One that does not ends with
// its connection, and is whole only if that was closed and not reset.
func (a *Answer) Framed() bool { return a.ContentLength >= 0 || len(a.TransferEncoding) > 0 }

// Close ends the exchange. The connection is kept when the answer was read to
// its end, the request was written whole and the endpoint allows it.
func (a *Answer) Close() {
	owned := a.stop()
	if !owned || !a.reusable() {
		a.pool.discard(a.key, a.link)
		return
	}
	now := time.Now()
	a.link.idleSince, a.link.idleUntil = now, now.Add(idleTime(a.Header))
	a.pool.put(a.key, a.link, a.most)
}

func (a *Answer) reusable() bool {
	if !a.complete || a.Response.Close || !a.Framed() || a.link.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// idleTime is how long a connection may idle: three quarters of what the
// endpoint's Keep-Alive header says, since its timer started before the answer
// arrived.
func idleTime(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		return time.Duration(n) * time.Second * 3 / 4
	}
	return _idleDefault
}
