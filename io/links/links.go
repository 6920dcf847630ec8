// Package links pools HTTP/1.1 connections to endpoints and sends one request at
// a time over each. A request is written at most once, to one connection; no layer
// below this package retries it. See docs/decisions/0041-endpoint-connections.md
// for why the transport of net/http is not used here.
package links

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/mutex"
	"apricotproxy/io/intact"
)

const (
	_readBufferBytes = 4 << 10
	// _maxInlineBytes is the longest body that is written before the answer is read.
	// A longer one is written while the answer is read, since an endpoint may answer
	// before it has read the whole body.
	_maxInlineBytes = 16 << 10
	// _maxStrayAnswers bounds the responses that are read to find a request's own
	// answer; the others are skipped.
	_maxStrayAnswers = 4
	// _maxStatus is the last status of the last class in RFC 9110. net/http parses any three
	// characters as a status that are a number.
	_maxStatus = 599
	// _maxDiscardedBytes bounds what is read of a connection only to see whether it ends.
	_maxDiscardedBytes = 64 << 10
	// _defaultIdleTimeout is how long an idle connection is kept when the endpoint
	// sends no Keep-Alive timeout.
	_defaultIdleTimeout = 4 * time.Second
)

// Stage is how far an exchange got before it failed.
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

// Error returns the stage and the cause.
func (e *Error) Error() string {
	if e.Stage == StageDial {
		return "failed before the request was sent: " + e.Err.Error()
	}
	return "failed after the request was sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Ownership tells to which request an answer belongs.
type Ownership uint8

// Ownerships.
const (
	// Foreign: the answer belongs to another request, or may do so.
	Foreign Ownership = iota
	// Own: the answer names this request.
	Own
	// Unnamed: the answer belongs to this request, but does not name it. The connection is
	// closed after it, since a copy of it could be taken for the answer to the next request.
	Unnamed
)

// IdentifyCall tells whether an answer belongs to a call of this host's own that has no
// request id: an answer with one belongs to a request that the connection carried before.
func IdentifyCall(answer *http.Response, requestIDHeader string) Ownership {
	if answer.Header.Get(requestIDHeader) != "" {
		return Foreign
	}
	return Unnamed
}

// Request is one request to an endpoint.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target   string
	HostName string
	Header   http.Header
	Body     []byte
	// Identify tells whose answer an answer is. isFirst is true for the first answer on a
	// connection that carried no request before this one.
	Identify func(answer *http.Response, isFirst bool) Ownership
	// RequireFresh excludes idle connections that the endpoint may be about to close.
	RequireFresh bool
	// MaxConnections bounds the connections to the endpoint, including idle ones:
	// when there are more, this one is closed after the request. 0 means no bound.
	MaxConnections int
	// Silence decides what happens when the endpoint sends nothing for long; nil to wait.
	Silence *Silence
}

// Answer is an endpoint's answer. Its body must be closed.
type Answer struct {
	*http.Response
	connection *connection
	// complete is set when the body was read to its end.
	complete bool
	// isUnnamed is true if the answer does not name its request.
	isUnnamed bool
	// written receives the result of writing the request.
	written <-chan error
	// stop keeps the end of the request's context from closing the connection.
	stop           func() bool
	pool           *Pool
	key            string
	maxConnections int
}

// Settings are what a Pool is built from.
type Settings struct {
	Dialer core.Dialer
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// MaxIdle bounds the idle connections to one endpoint.
	MaxIdle int
	// Answered is called with the header of each answer that belongs to its request; nil
	// for none.
	Answered func(core.RoutedEndpoint, *http.Response)
	// Dialed is called with the result of opening a connection, unless the request's own context ended
	// meanwhile; nil for none.
	Dialed func(core.RoutedEndpoint, error)
	// Unanswered is called when the connection of a request that was sent ends or times out before an
	// answer, and when no answer has come for UnansweredTime, unless that is 0; nil for none.
	Unanswered     func(core.RoutedEndpoint)
	UnansweredTime time.Duration
}

// Pool holds idle connections, by endpoint. It is safe for concurrent use.
type Pool struct {
	settings Settings
	mu       sync.Mutex
	idle     map[string][]*connection
	// inUse counts the connections in use, by endpoint.
	inUse map[string]int
	// singleUse holds the endpoints to which each request gets a new connection.
	singleUse map[string]bool
}

type connection struct {
	conn      *intact.Conn
	head      *headReader
	reader    *bufio.Reader
	idleSince time.Time
	idleUntil time.Time
	// isReused is true if the connection carried a request before the current one.
	isReused bool
}

// New returns an empty pool.
func New(settings Settings) *Pool {
	return &Pool{settings: settings, idle: make(map[string][]*connection), inUse: make(map[string]int), singleUse: make(map[string]bool)}
}

// Close closes idle connections.
func (p *Pool) Close() { p.EvictIdle(func(string) bool { return false }) }

// EvictIdle closes the idle connections of endpoints for which keep returns false, and
// those whose idle timeout has passed.
func (p *Pool) EvictIdle(keep func(key string) bool) {
	for _, c := range p.takeIdle(time.Now(), keep) {
		c.close()
	}
}

// takeIdle removes the idle connections that EvictIdle closes.
func (p *Pool) takeIdle(now time.Time, keep func(key string) bool) []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	var closing []*connection
	for key, connections := range p.idle {
		var kept []*connection
		for _, c := range connections {
			if keep(key) && now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				closing = append(closing, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = kept
		}
	}
	maps.DeleteFunc(p.singleUse, func(key string, _ bool) bool { return !keep(key) })
	return closing
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	idle := mutex.Get(&p.mu, func() map[string][]*connection {
		idle := p.idle
		p.idle = make(map[string][]*connection)
		return idle
	})
	for _, connections := range idle {
		for _, c := range connections {
			c.close()
		}
	}
}

// RequireNew gives each further request to an endpoint a new connection, on which no answer can
// belong to an earlier request. It returns true when this was not the case before.
func (p *Pool) RequireNew(endpoint core.RoutedEndpoint) bool {
	key := Key(endpoint)
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew := !p.singleUse[key]
	p.singleUse[key] = true
	return isNew
}

// Key returns the key under which connections to an endpoint are pooled. It covers
// the incarnation and the address.
func Key(endpoint core.RoutedEndpoint) string { return endpoint.ID + "@" + endpoint.Address }

// Do sends a request and waits for the header of its answer. The connection is
// closed as soon as ctx ends. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, endpoint core.RoutedEndpoint, request *Request) (*Answer, error) {
	key := Key(endpoint)
	p.addInUse(key, 1)
	c, err := p.acquire(ctx, key, endpoint, request.RequireFresh)
	if err != nil {
		p.addInUse(key, -1)
		return nil, &Error{Stage: StageDial, Err: err}
	}
	if err := ctx.Err(); err != nil {
		p.discard(key, c)
		return nil, &Error{Stage: StageDial, Err: context.Cause(ctx)}
	}
	stop := context.AfterFunc(ctx, c.close)
	c.head.conn.silence = request.Silence
	stopWatch := p.watchUnanswered(endpoint)
	written := c.write(request)
	res, ownership, err := c.readAnswer(request)
	stopWatch()
	if err != nil {
		stop()
		p.discard(key, c)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		} else if p.settings.Unanswered != nil {
			p.settings.Unanswered(endpoint)
		}
		return nil, &Error{Stage: StageSent, Err: err}
	}
	if p.settings.Answered != nil {
		p.settings.Answered(endpoint, res)
	}
	return &Answer{Response: res, connection: c, written: written, stop: stop, pool: p, key: key, maxConnections: request.MaxConnections, isUnnamed: ownership == Unnamed}, nil
}

// watchUnanswered reports an endpoint that sends no head of an answer for long, until it is stopped.
func (p *Pool) watchUnanswered(endpoint core.RoutedEndpoint) (stop func() bool) {
	if p.settings.Unanswered == nil || p.settings.UnansweredTime == 0 {
		return func() bool { return false }
	}
	return time.AfterFunc(p.settings.UnansweredTime, func() { p.settings.Unanswered(endpoint) }).Stop
}

func (p *Pool) addInUse(key string, change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse[key] += change
	if p.inUse[key] == 0 {
		delete(p.inUse, key)
	}
}

// discard closes a connection that was in use.
func (p *Pool) discard(key string, c *connection) {
	p.addInUse(key, -1)
	c.close()
}

// acquire returns an idle connection or opens a new one.
func (p *Pool) acquire(ctx context.Context, key string, endpoint core.RoutedEndpoint, requireFresh bool) (*connection, error) {
	now := time.Now()
	for {
		c := p.popIdle(key)
		if c == nil {
			break
		}
		fresh := now.Before(c.idleUntil)
		if requireFresh {
			// The endpoint's idle timer may run a little ahead of ours, so only the
			// first half of the idle time counts.
			fresh = now.Before(c.idleSince.Add(c.idleUntil.Sub(c.idleSince) / 2))
		}
		if fresh && isClean(c.conn.NetConn()) {
			return c, nil
		}
		c.close()
	}
	return p.dial(ctx, endpoint)
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, endpoint core.RoutedEndpoint) (*connection, error) {
	address := endpoint.Address
	dialCtx, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	defer cancel()
	conn, err := p.settings.Dialer.DialContext(dialCtx, "tcp", address)
	if p.settings.Dialed != nil && (err == nil || ctx.Err() == nil) {
		p.settings.Dialed(endpoint, err)
	}
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		if err := tcp.SetLinger(0); err != nil {
			return nil, errors.Join(fmt.Errorf("set SO_LINGER on the connection to %s: %w", address, err), conn.Close())
		}
	}
	intactConn := intact.NewConn(conn)
	head := &headReader{conn: silentReader{conn: intactConn}}
	return &connection{conn: intactConn, head: head, reader: bufio.NewReaderSize(head, _readBufferBytes)}, nil
}

// Connect opens a connection to an endpoint and keeps it for the next request. It shows that the
// endpoint can be reached, which idle connections do not.
func (p *Pool) Connect(ctx context.Context, endpoint core.RoutedEndpoint) error {
	key := Key(endpoint)
	c, err := p.dial(ctx, endpoint)
	if err != nil {
		return err
	}
	p.keep(key, c)
	return nil
}

// keep keeps a connection that has carried no request for the next one.
func (p *Pool) keep(key string, c *connection) {
	now := time.Now()
	c.idleSince, c.idleUntil = now, now.Add(_defaultIdleTimeout)
	p.addInUse(key, 1)
	p.release(key, c, 0)
}

// Listens opens a connection to an endpoint and returns an error if that fails, or if the endpoint closes it within
// a time: one that ends closes its connections and its listener one after the other. The connection is
// kept for the next request.
func (p *Pool) Listens(ctx context.Context, endpoint core.RoutedEndpoint, within time.Duration) error {
	c, err := p.dial(ctx, endpoint)
	if err != nil {
		return err
	}
	if err := c.staysOpen(within); err != nil {
		c.close()
		return fmt.Errorf("connection to %s: %w", endpoint.Address, err)
	}
	p.keep(Key(endpoint), c)
	return nil
}

// staysOpen returns an error if the other end closes an unused connection, or sends anything on it,
// within a time.
func (c *connection) staysOpen(within time.Duration) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return fmt.Errorf("set the read deadline: %w", err)
	}
	n, err := c.conn.Read(make([]byte, 1))
	if n > 0 {
		return errors.New("bytes that no request asked for")
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("read: %w", err)
	}
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return fmt.Errorf("clear the read deadline: %w", err)
	}
	return nil
}

// Probe opens a connection to an endpoint and closes it.
func (p *Pool) Probe(ctx context.Context, endpoint core.RoutedEndpoint) error {
	c, err := p.dial(ctx, endpoint)
	if err != nil {
		return err
	}
	c.close()
	return nil
}

// ProbeAnswer sends a request over a new connection and returns an error if no byte comes back within the time that opening
// a connection may take. What resets or holds back connections may accept them first.
func (p *Pool) ProbeAnswer(ctx context.Context, endpoint core.RoutedEndpoint, request *Request) error {
	c, err := p.dial(ctx, endpoint)
	if err != nil {
		return err
	}
	defer c.close()
	ctx, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, c.close)()
	if err := c.writeAll(request); err != nil {
		return err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return fmt.Errorf("read the answer of %s: %w", endpoint.Address, err)
	}
	return nil
}

// Refuses reports whether nothing listens at an address any more: its host refuses
// connections. An endpoint that was just lost there has ended.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	defer cancel()
	conn, err := p.settings.Dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (p *Pool) popIdle(key string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := p.idle[key]
	if len(connections) == 0 || p.singleUse[key] {
		return nil
	}
	c := connections[len(connections)-1]
	p.idle[key] = connections[:len(connections)-1]
	return c
}

// release returns a connection that was in use to the pool. It closes the connection
// if the endpoint already has MaxIdle idle ones or maxConnections others in all; 0
// means no such bound.
func (p *Pool) release(key string, c *connection, maxConnections int) {
	p.addInUse(key, -1)
	if !p.addIdle(key, c, maxConnections) {
		c.close()
	}
}

// addIdle adds an idle connection unless there are too many. It returns false then.
func (p *Pool) addIdle(key string, c *connection, maxConnections int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := len(p.idle[key])
	if idle >= p.settings.MaxIdle || p.singleUse[key] || maxConnections != 0 && idle+p.inUse[key] >= maxConnections {
		return false
	}
	p.idle[key] = append(p.idle[key], c)
	return true
}

func (c *connection) close() { _ = c.conn.Close() }

// write writes the request. The channel receives the result once everything is
// written. A failed write also makes reading the answer fail, unless the endpoint
// answered early.
func (c *connection) write(request *Request) <-chan error {
	written := make(chan error, 1)
	send := func() { written <- c.writeAll(request) }
	if len(request.Body) > _maxInlineBytes {
		go send()
	} else {
		send()
	}
	return written
}

func (c *connection) writeAll(request *Request) error {
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
	if _, err := io.WriteString(c.conn, head.String()); err != nil {
		return fmt.Errorf("write the request: %w", err)
	}
	return nil
}

// readAnswer reads the header of the request's own answer. A late answer to an
// earlier request may come first; its request id tells it apart.
func (c *connection) readAnswer(request *Request) (*http.Response, Ownership, error) {
	httpRequest := &http.Request{Method: request.Method}
	c.head.begin()
	defer c.head.end()
	isFirst := !c.isReused
	for range _maxStrayAnswers {
		c.head.beginHead()
		res, err := http.ReadResponse(c.reader, httpRequest)
		c.head.endHead()
		if err != nil {
			return nil, Foreign, fmt.Errorf("read the answer: %w", err)
		}
		if res.StatusCode < http.StatusContinue || res.StatusCode > _maxStatus {
			return nil, Foreign, fmt.Errorf("read the answer: %d is no status", res.StatusCode)
		}
		if err := intact.CheckNames(res.Header); err != nil {
			return nil, Foreign, fmt.Errorf("read the answer: %w", err)
		}
		if res.StatusCode < http.StatusOK {
			if res.StatusCode == http.StatusSwitchingProtocols {
				return nil, Foreign, errors.New("the endpoint switched protocols")
			}
			continue
		}
		if ownership := request.Identify(res, isFirst); ownership != Foreign {
			return res, ownership, nil
		}
		isFirst = false
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, Foreign, fmt.Errorf("skip the answer to another request: %w", err)
		}
		if err := intact.CheckTrailer(res); err != nil {
			return nil, Foreign, fmt.Errorf("skip the answer to another request: %w", err)
		}
	}
	return nil, Foreign, errors.New("too many answers to other requests on the connection")
}

// Watch decides from now on what happens when the endpoint sends nothing for long.
func (a *Answer) Watch(silence *Silence) { a.connection.head.conn.silence = silence }

// Read reads from the body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if errors.Is(err, io.EOF) {
		if broken := intact.CheckTrailer(a.Response); broken != nil {
			return n, fmt.Errorf("read the answer's trailer: %w", broken)
		}
		a.complete = true
	}
	return n, err
}

// Framed reports whether the answer tells where it ends: it has a length, is sent in chunks, or
// answers HEAD and has no body. Otherwise it ends when the connection closes, and it is complete
// only if the connection was closed and not reset.
func (a *Answer) Framed() bool {
	return a.ContentLength >= 0 || len(a.TransferEncoding) > 0 || a.Request.Method == http.MethodHead
}

// EndsWithin reports whether the endpoint has closed the connection or does so within a limit. What
// it sends until then is discarded.
func (a *Answer) EndsWithin(limit time.Duration) bool {
	c := &a.connection.head.conn
	if c.ended {
		return true
	}
	c.silence = nil
	if err := c.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return false
	}
	_, err := io.CopyN(io.Discard, c.conn, _maxDiscardedBytes)
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// Close ends the exchange. The connection is kept if the answer was read to its
// end, the request was written completely and the endpoint allows it.
func (a *Answer) Close() {
	stopped := a.stop()
	if !stopped || !a.reusable() || a.connection.head.conn.end() != nil {
		a.pool.discard(a.key, a.connection)
		return
	}
	a.connection.isReused = true
	now := time.Now()
	a.connection.idleSince, a.connection.idleUntil = now, now.Add(idleTimeout(a.Header))
	a.pool.release(a.key, a.connection, a.maxConnections)
}

func (a *Answer) reusable() bool {
	if !a.complete || a.isUnnamed || a.Response.Close || !a.Framed() || a.connection.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// idleTimeout returns how long a connection may stay idle: three quarters of the
// timeout in the endpoint's Keep-Alive header, since the endpoint's timer started
// before the answer arrived.
func idleTimeout(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		return core.Seconds(float64(n)) * 3 / 4
	}
	return _defaultIdleTimeout
}
