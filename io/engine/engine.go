// Package engine is the HTTP client of the endpoints, which are model engines and
// plain services. It implements core.EndpointClient; docs/endpoints.md describes
// the protocol.
//
// Each stream, call and order uses a new connection, which carries that one
// request. net/http retries a request on its own only if its connection was used
// before, so it never retries these; in addition, the gate of a request does not
// let it be written to a second connection. Reports, cache events and cancels may
// be retried and share connections.
package engine

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"apricotproxy/core"
	"apricotproxy/io/intact"
)

const (
	_controlBodyBytes  = 4 << 20
	_errorBodyBytes    = 4 << 10
	_headerBytes       = 32 << 10
	_streamBufferBytes = 1 << 10
	_idleConnections   = 4 // per endpoint, for reports, cache events and cancels
	_idleTimeout       = 30 * time.Second
	// _minStatus and _maxStatus bound the statuses of answers in RFC 9110; net/http handles 1xx.
	_minStatus = 200
	_maxStatus = 599
)

// Config configures a Client.
type Config struct {
	Dialer core.Dialer
	// TLS configures TLS to endpoints; nil for plain TCP.
	TLS *tls.Config
	// Limits returns the limits in force.
	Limits func() core.Limits
}

// Client is a core.EndpointClient over HTTP. It is safe for concurrent use.
type Client struct {
	config  Config
	streams *intact.Transport
	calls   *intact.Transport
	control *intact.Transport
}

var _ core.EndpointClient = (*Client)(nil)

// New returns a client. It opens no connection.
func New(config Config) *Client {
	c := &Client{config: config}
	c.streams = c.newTransport(true, func() time.Duration { return config.Limits().SilenceTimeout })
	// A plain service sends nothing while it runs a call, so silence does not mean
	// that the connection is dead. The deadline of the call limits its duration.
	c.calls = c.newTransport(true, func() time.Duration { return 0 })
	c.control = c.newTransport(false, func() time.Duration { return config.Limits().SilenceTimeout })
	return c
}

// Close closes idle connections.
func (c *Client) Close() {
	c.streams.CloseIdleConnections()
	c.calls.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

func (c *Client) newTransport(oneRequestPerConn bool, silenceTimeout func() time.Duration) *intact.Transport {
	t := &http.Transport{
		DisableKeepAlives:      oneRequestPerConn,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    _idleConnections,
		IdleConnTimeout:        _idleTimeout,
		MaxResponseHeaderBytes: _headerBytes,
		ReadBufferSize:         _streamBufferBytes,
		WriteBufferSize:        _streamBufferBytes,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := c.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newGatedConn(conn, gateOf(ctx), silenceTimeout()), nil
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := c.dialTLS(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newGatedConn(conn, gateOf(ctx), silenceTimeout()), nil
	}
	return intact.NewTransport(t)
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if limit := c.config.Limits().DialTimeout; limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, time.Now().Add(limit))
		defer cancel()
	}
	conn, err := c.config.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	if err := discardUnsentOnClose(conn); err != nil {
		return nil, errors.Join(fmt.Errorf("set up the connection to %s: %w", address, err), conn.Close())
	}
	return intact.NewConn(conn), nil
}

// discardUnsentOnClose makes the kernel discard unsent bytes when a TCP connection
// is closed. By default it keeps sending them for minutes: a request that was
// abandoned on a stalled link would start when the link recovers, while another
// request uses its slot.
func discardUnsentOnClose(conn net.Conn) error {
	if tlsConn, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = tlsConn.NetConn()
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(0)
	}
	return nil
}

// dialTLS completes the TLS handshake before the gate wraps the connection, so the
// gate sees only the bytes of the request.
func (c *Client) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tlsConfig := c.config.TLS.Clone()
	if tlsConfig.ServerName == "" {
		tlsConfig.ServerName, _, _ = net.SplitHostPort(address)
	}
	tlsConn := tls.Client(conn, tlsConfig)
	if limit := c.config.Limits().DialTimeout; limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, time.Now().Add(limit))
		defer cancel()
	}
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(fmt.Errorf("TLS handshake with %s: %w", address, err), conn.Close())
	}
	return tlsConn, nil
}

// Start starts a generation and returns its stream.
func (c *Client) Start(ctx context.Context, endpoint core.Endpoint, request core.EngineRequest) (core.EngineStream, error) {
	req, err := c.newRequest(ctx, http.MethodPost, endpoint, "/v1/completions", request.Body)
	if err != nil {
		return nil, endpointError(endpoint, core.ResultDialFailed, err)
	}
	req.Header.Set("Generation-Id", string(request.Generation))
	req.Header.Set("Workspace", string(request.Workspace))
	req.Header.Set("Priority", strconv.Itoa(request.Priority))
	req.Header.Set("Accept", "text/event-stream")
	if request.Adapter != "" {
		req.Header.Set("Adapter", string(request.Adapter))
	}
	res, err := c.sendOnce(c.streams, endpoint, req, request.Confirm)
	if err != nil {
		return nil, err
	}
	return newStream(endpoint, request.Generation, res.Body), nil
}

// Resume reads a generation again from the token with index from.
func (c *Client) Resume(ctx context.Context, endpoint core.Endpoint, generation core.GenerationID, from int) (core.EngineStream, error) {
	req, err := c.newRequest(ctx, http.MethodGet, endpoint, generationPath(generation), nil)
	if err != nil {
		return nil, endpointError(endpoint, core.ResultDialFailed, err)
	}
	req.Header.Set("Accept", "text/event-stream")
	if from > 0 {
		req.Header.Set("Last-Event-ID", string(generation)+"."+strconv.Itoa(from-1))
	}
	res, err := c.sendOnce(c.streams, endpoint, req, nil)
	if err != nil {
		return nil, err
	}
	return newStream(endpoint, generation, res.Body), nil
}

// Cancel cancels a generation. It may be retried.
func (c *Client) Cancel(ctx context.Context, endpoint core.Endpoint, generation core.GenerationID) error {
	_, err := c.exchange(ctx, http.MethodDelete, endpoint, generationPath(generation), nil)
	return err
}

// Call runs one call of a plain service. The request is written to a single
// connection and is not retried.
func (c *Client) Call(ctx context.Context, endpoint core.Endpoint, request core.CallRequest) ([]byte, error) {
	req, err := c.newRequest(ctx, http.MethodPost, endpoint, "/v1/calls/"+url.PathEscape(string(request.Call)), request.Body)
	if err != nil {
		return nil, endpointError(endpoint, core.ResultDialFailed, err)
	}
	req.Header.Set("Workspace", string(request.Workspace))
	if request.Key != "" {
		req.Header.Set("Idempotency-Key", request.Key)
	}
	res, err := c.sendOnce(c.calls, endpoint, req, request.Confirm)
	if err != nil {
		return nil, err
	}
	answer, err := readAll(res.Body, c.config.Limits().BodyBytes)
	if err != nil {
		return nil, endpointError(endpoint, core.ResultLost, fmt.Errorf("read the answer: %w", err))
	}
	// An answer without a length ends with its connection, and so does one that failed after
	// its header, or whose endpoint ended.
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		if len(answer) == 0 {
			return nil, endpointError(endpoint, core.ResultLost, errors.New("the connection was closed after the answer's header"))
		}
		if err := c.checkListening(ctx, endpoint); err != nil {
			return nil, endpointError(endpoint, core.ResultLost, fmt.Errorf("the connection was closed amid the answer, or after it: %w", err))
		}
	}
	return answer, nil
}

// _listenerDelay is how long an endpoint that ends may take from the end of its connections to that of
// its listener: the end of a process, and a round trip.
const _listenerDelay = 50 * time.Millisecond

// checkListening returns an error if no connection to the endpoint can be opened, or if the endpoint
// closes it at once.
func (c *Client) checkListening(ctx context.Context, endpoint core.Endpoint) error {
	conn, err := c.dial(ctx, "tcp", endpoint.Address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(_listenerDelay)); err != nil {
		return fmt.Errorf("set the read deadline: %w", err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("the endpoint closed a new connection: %w", err)
	}
	return nil
}

// Report fetches the endpoint's report of its state and load.
func (c *Client) Report(ctx context.Context, endpoint core.Endpoint) (core.Report, error) {
	askedAt := time.Now()
	body, err := c.exchange(ctx, http.MethodGet, endpoint, "/v1/report", nil)
	if err != nil {
		return core.Report{}, err
	}
	report, err := parseReport(body)
	if err != nil {
		return core.Report{}, endpointError(endpoint, core.ResultLost, fmt.Errorf("parse the report: %w", err))
	}
	report.Endpoint = endpoint.Name
	report.AskedAt = askedAt
	return report, nil
}

// CacheEvents fetches the cache events after the given sequence number.
func (c *Client) CacheEvents(ctx context.Context, endpoint core.Endpoint, after uint64) ([]core.CacheEvent, error) {
	path := "/v1/cache-events?After=" + strconv.FormatUint(after, 10)
	body, err := c.exchange(ctx, http.MethodGet, endpoint, path, nil)
	if err != nil {
		return nil, err
	}
	events, err := parseCacheEvents(endpoint.Name, body)
	if err != nil {
		return nil, endpointError(endpoint, core.ResultLost, fmt.Errorf("parse the cache events: %w", err))
	}
	return events, nil
}

// Order sends an order to an engine. The request is written to a single connection
// and is not retried.
func (c *Client) Order(ctx context.Context, endpoint core.Endpoint, order core.EngineOrder) error {
	body, err := json.Marshal(order)
	if err != nil {
		return endpointError(endpoint, core.ResultDialFailed, fmt.Errorf("encode the order: %w", err))
	}
	req, err := c.newRequest(ctx, http.MethodPost, endpoint, "/v1/engine-orders", body)
	if err != nil {
		return endpointError(endpoint, core.ResultDialFailed, err)
	}
	res, err := c.sendOnce(c.calls, endpoint, req, nil)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// newRequest builds a request without GetBody, so that net/http cannot send the
// body a second time.
func (c *Client) newRequest(ctx context.Context, method string, endpoint core.Endpoint, path string, body []byte) (*http.Request, error) {
	scheme := "http"
	if c.config.TLS != nil {
		scheme = "https"
	}
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+"://"+endpoint.Address+path, reader)
	if err != nil {
		return nil, fmt.Errorf("build the request: %w", err)
	}
	// An empty value omits the header. Most bytes of a report exchange are headers,
	// and 25 endpoints are asked for a report once a second each.
	req.Header.Set("User-Agent", "")
	req.GetBody = nil
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// sendOnce sends a request on a new connection, without retries, and returns an
// error unless the status of the response is 2xx. The error has ResultDialFailed
// only if no byte of the request was sent.
func (c *Client) sendOnce(transport *intact.Transport, endpoint core.Endpoint, req *http.Request, confirm func() bool) (*http.Response, error) {
	g := &gate{confirm: confirm}
	res, err := transport.RoundTrip(req.WithContext(withGate(req.Context(), g)))
	if err != nil {
		result := core.ResultLost
		if g.close() {
			result = core.ResultDialFailed
		}
		return nil, endpointError(endpoint, result, fmt.Errorf("%s %s: %w", req.Method, req.URL.Path, err))
	}
	if isSuccess(res.StatusCode) {
		return res, nil
	}
	return nil, statusError(endpoint, res)
}

// exchange sends a request that may be retried and reads the whole response.
func (c *Client) exchange(ctx context.Context, method string, endpoint core.Endpoint, path string, body []byte) ([]byte, error) {
	req, err := c.newRequest(ctx, method, endpoint, path, body)
	if err != nil {
		return nil, endpointError(endpoint, core.ResultDialFailed, err)
	}
	res, err := c.control.RoundTrip(req)
	if err != nil {
		return nil, endpointError(endpoint, core.ResultLost, fmt.Errorf("%s %s: %w", method, path, err))
	}
	if !isSuccess(res.StatusCode) {
		return nil, statusError(endpoint, res)
	}
	answer, err := readAll(res.Body, _controlBodyBytes)
	if err != nil {
		return nil, endpointError(endpoint, core.ResultLost, fmt.Errorf("read the answer: %w", err))
	}
	return answer, nil
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

func endpointError(endpoint core.Endpoint, result core.Result, err error) *core.EndpointError {
	return &core.EndpointError{Endpoint: endpoint.Name, Result: result, Err: err}
}

// statusError returns the error for a response whose status is not 2xx. A status
// of 503 or 4xx, such as 429, proves that the request did not run; after any other
// it may have run. After one that is none, the connection is closed.
func statusError(endpoint core.Endpoint, res *http.Response) *core.EndpointError {
	if res.StatusCode < _minStatus || res.StatusCode > _maxStatus {
		err := fmt.Errorf("%d is no status", res.StatusCode)
		return endpointError(endpoint, core.ResultLost, errors.Join(err, res.Body.Close()))
	}
	text, _ := readAll(res.Body, _errorBodyBytes)
	e := endpointError(endpoint, core.ResultLost, fmt.Errorf("status %d: %s", res.StatusCode, bytes.TrimSpace(text)))
	e.Status = res.StatusCode
	e.RetryAt = parseRetryAfter(time.Now(), res.Header.Get("Retry-After"))
	if res.StatusCode == http.StatusServiceUnavailable || res.StatusCode >= 400 && res.StatusCode < 500 {
		e.Result = core.ResultRefused
	}
	return e
}

// parseRetryAfter parses a Retry-After header in seconds, the only form that
// endpoints use. It returns zero if there is none.
func parseRetryAfter(now time.Time, header string) time.Time {
	seconds, err := strconv.Atoi(header)
	if err != nil || seconds < 0 {
		return time.Time{}
	}
	return now.Add(core.Seconds(float64(seconds)))
}

func readAll(body io.ReadCloser, limit int64) (data []byte, err error) {
	defer func() { err = errors.Join(err, body.Close()) }()
	if limit <= 0 {
		limit = _controlBodyBytes
	}
	data, err = io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("longer than %d bytes", limit)
	}
	return data, nil
}

func generationPath(generation core.GenerationID) string {
	return "/v1/completions/" + url.PathEscape(string(generation))
}
