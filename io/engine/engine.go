// Package engine speaks to endpoints by HTTP: model engines and plain services,
// as docs/endpoints.md describes. It implements core.EndpointClient.
//
// Streams, calls and orders each get a fresh connection, which carries one
// request. net/http repeats a request on its own only when the connection was
// used before, so it never repeats these; the gate on the connection refuses a
// second write all the same. Reports, cache events and cancels may be repeated
// at will and share connections.
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
	"strconv"
	"time"

	"apricotproxy/core"
)

const (
	_controlBodyBytes  = 4 << 20
	_refusalBodyBytes  = 4 << 10
	_headerBytes       = 32 << 10
	_streamBufferBytes = 1 << 10
	_idleConnections   = 4 // per endpoint, for reports, cache events and cancels
	_idleTimeout       = 30 * time.Second
)

// Config is what a Client is built from.
type Config struct {
	Dialer core.Dialer
	// TLS switches TLS towards endpoints on; nil for plain TCP.
	TLS *tls.Config
	// Limits gives the bounds in force.
	Limits func() core.Limits
}

// Client is a core.EndpointClient over HTTP. It is safe for concurrent use.
type Client struct {
	config  Config
	streams *http.Transport
	calls   *http.Transport
	control *http.Transport
}

var _ core.EndpointClient = (*Client)(nil)

// New builds a client. It opens no connection.
func New(config Config) *Client {
	c := &Client{config: config}
	c.streams = c.transport(true, func() time.Duration { return config.Limits().SilenceTimeout })
	// A plain service sends nothing while it works, so that silence says
	// nothing; the deadline of the call bounds it.
	c.calls = c.transport(true, func() time.Duration { return 0 })
	c.control = c.transport(false, func() time.Duration { return config.Limits().SilenceTimeout })
	return c
}

// Close closes idle connections.
func (c *Client) Close() {
	c.streams.CloseIdleConnections()
	c.calls.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

func (c *Client) transport(fresh bool, silence func() time.Duration) *http.Transport {
	t := &http.Transport{
		DisableKeepAlives:      fresh,
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
		return newLink(conn, gateOf(ctx), silence()), nil
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := c.dialTLS(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newLink(conn, gateOf(ctx), silence()), nil
	}
	return t
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
	if err := dropUnsent(conn); err != nil {
		return nil, errors.Join(fmt.Errorf("set up the connection to %s: %w", address, err), conn.Close())
	}
	return conn, nil
}

// dropUnsent has the system drop unsent bytes when a TCP connection is closed. It
// would go on sending them for minutes otherwise: a request that was given up on
// a stalled link would start when the link recovers, with its slot in use by
// another one.
func dropUnsent(conn net.Conn) error {
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secured.NetConn()
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(0)
	}
	return nil
}

// The handshake is done here, so that the gate sits above it and counts the
// request's own bytes only.
func (c *Client) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	settings := c.config.TLS.Clone()
	if settings.ServerName == "" {
		settings.ServerName, _, _ = net.SplitHostPort(address)
	}
	secured := tls.Client(conn, settings)
	if limit := c.config.Limits().DialTimeout; limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, time.Now().Add(limit))
		defer cancel()
	}
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(fmt.Errorf("TLS handshake with %s: %w", address, err), conn.Close())
	}
	return secured, nil
}

// Start starts a generation and returns its stream.
func (c *Client) Start(ctx context.Context, endpoint core.Endpoint, request core.EngineRequest) (core.EngineStream, error) {
	req, err := c.request(ctx, http.MethodPost, endpoint, "/v1/completions", request.Body)
	if err != nil {
		return nil, failed(endpoint, core.ResultDialFailed, err)
	}
	req.Header.Set("Generation-Id", string(request.Generation))
	req.Header.Set("Workspace", string(request.Workspace))
	req.Header.Set("Priority", strconv.Itoa(request.Priority))
	req.Header.Set("Accept", "text/event-stream")
	if request.Adapter != "" {
		req.Header.Set("Adapter", string(request.Adapter))
	}
	res, err := c.once(c.streams, endpoint, req, request.Confirm)
	if err != nil {
		return nil, err
	}
	return newStream(endpoint, request.Generation, res.Body), nil
}

// Resume continues a generation at the token with index from.
func (c *Client) Resume(ctx context.Context, endpoint core.Endpoint, generation core.GenerationID, from int) (core.EngineStream, error) {
	req, err := c.request(ctx, http.MethodGet, endpoint, generationPath(generation), nil)
	if err != nil {
		return nil, failed(endpoint, core.ResultDialFailed, err)
	}
	req.Header.Set("Accept", "text/event-stream")
	if from > 0 {
		req.Header.Set("Last-Event-ID", string(generation)+"."+strconv.Itoa(from-1))
	}
	res, err := c.once(c.streams, endpoint, req, nil)
	if err != nil {
		return nil, err
	}
	return newStream(endpoint, generation, res.Body), nil
}

// Cancel ends a generation. It may be repeated.
func (c *Client) Cancel(ctx context.Context, endpoint core.Endpoint, generation core.GenerationID) error {
	_, err := c.exchange(ctx, http.MethodDelete, endpoint, generationPath(generation), nil)
	return err
}

// Call runs one call of a plain service on one connection.
func (c *Client) Call(ctx context.Context, endpoint core.Endpoint, request core.CallRequest) ([]byte, error) {
	req, err := c.request(ctx, http.MethodPost, endpoint, "/v1/calls/"+url.PathEscape(string(request.Call)), request.Body)
	if err != nil {
		return nil, failed(endpoint, core.ResultDialFailed, err)
	}
	req.Header.Set("Workspace", string(request.Workspace))
	if request.Key != "" {
		req.Header.Set("Idempotency-Key", request.Key)
	}
	res, err := c.once(c.calls, endpoint, req, request.Confirm)
	if err != nil {
		return nil, err
	}
	answer, err := readAll(res.Body, c.config.Limits().BodyBytes)
	if err != nil {
		return nil, failed(endpoint, core.ResultLost, fmt.Errorf("read the answer: %w", err))
	}
	return answer, nil
}

// Report asks for the endpoint's load.
func (c *Client) Report(ctx context.Context, endpoint core.Endpoint) (core.Report, error) {
	asked := time.Now()
	body, err := c.exchange(ctx, http.MethodGet, endpoint, "/v1/report", nil)
	if err != nil {
		return core.Report{}, err
	}
	report, err := parseReport(body)
	if err != nil {
		return core.Report{}, failed(endpoint, core.ResultLost, fmt.Errorf("parse the report: %w", err))
	}
	report.Endpoint = endpoint.Name
	report.AskedAt = asked
	return report, nil
}

// CacheEvents asks for the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, endpoint core.Endpoint, after uint64) ([]core.CacheEvent, error) {
	path := "/v1/cache-events?After=" + strconv.FormatUint(after, 10)
	body, err := c.exchange(ctx, http.MethodGet, endpoint, path, nil)
	if err != nil {
		return nil, err
	}
	events, err := parseCacheEvents(endpoint.Name, body)
	if err != nil {
		return nil, failed(endpoint, core.ResultLost, fmt.Errorf("parse the cache events: %w", err))
	}
	return events, nil
}

// Order gives an engine an order, on one connection.
func (c *Client) Order(ctx context.Context, endpoint core.Endpoint, order core.EngineOrder) error {
	body, err := json.Marshal(order)
	if err != nil {
		return failed(endpoint, core.ResultDialFailed, fmt.Errorf("encode the order: %w", err))
	}
	req, err := c.request(ctx, http.MethodPost, endpoint, "/v1/engine-orders", body)
	if err != nil {
		return failed(endpoint, core.ResultDialFailed, err)
	}
	res, err := c.once(c.calls, endpoint, req, nil)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// request builds a request without GetBody, so that net/http cannot send the
// body a second time.
func (c *Client) request(ctx context.Context, method string, endpoint core.Endpoint, path string, body []byte) (*http.Request, error) {
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
	// Left out: of a report's bytes most are headers, and 25 endpoints send one a
	// second each.
	req.Header.Set("User-Agent", "")
	req.GetBody = nil
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// once sends a request on one fresh connection and judges the answer's status.
func (c *Client) once(transport *http.Transport, endpoint core.Endpoint, req *http.Request, confirm func() bool) (*http.Response, error) {
	g := &gate{confirm: confirm}
	res, err := transport.RoundTrip(req.WithContext(withGate(req.Context(), g)))
	if err != nil {
		result := core.ResultLost
		if g.seal() {
			result = core.ResultDialFailed
		}
		return nil, failed(endpoint, result, fmt.Errorf("%s %s: %w", req.Method, req.URL.Path, err))
	}
	if isSuccess(res.StatusCode) {
		return res, nil
	}
	return nil, refused(endpoint, res)
}

// exchange sends a request that may be repeated and reads the whole answer.
func (c *Client) exchange(ctx context.Context, method string, endpoint core.Endpoint, path string, body []byte) ([]byte, error) {
	req, err := c.request(ctx, method, endpoint, path, body)
	if err != nil {
		return nil, failed(endpoint, core.ResultDialFailed, err)
	}
	res, err := c.control.RoundTrip(req)
	if err != nil {
		return nil, failed(endpoint, core.ResultLost, fmt.Errorf("%s %s: %w", method, path, err))
	}
	if !isSuccess(res.StatusCode) {
		return nil, refused(endpoint, res)
	}
	answer, err := readAll(res.Body, _controlBodyBytes)
	if err != nil {
		return nil, failed(endpoint, core.ResultLost, fmt.Errorf("read the answer: %w", err))
	}
	return answer, nil
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

func failed(endpoint core.Endpoint, result core.Result, err error) *core.EndpointError {
	return &core.EndpointError{Endpoint: endpoint.Name, Result: result, Err: err}
}

// refused judges an answer that is no success. 429, 503 and 4xx say that
// nothing ran; any other status leaves that open.
func refused(endpoint core.Endpoint, res *http.Response) *core.EndpointError {
	text, _ := readAll(res.Body, _refusalBodyBytes)
	e := failed(endpoint, core.ResultLost, fmt.Errorf("status %d: %s", res.StatusCode, bytes.TrimSpace(text)))
	e.Status = res.StatusCode
	e.RetryAt = retryAt(time.Now(), res.Header.Get("Retry-After"))
	if res.StatusCode == http.StatusServiceUnavailable || res.StatusCode >= 400 && res.StatusCode < 500 {
		e.Result = core.ResultRefused
	}
	return e
}

// retryAt reads the header's form in seconds; endpoints use no other.
func retryAt(now time.Time, header string) time.Time {
	seconds, err := strconv.Atoi(header)
	if err != nil || seconds < 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(seconds) * time.Second)
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
