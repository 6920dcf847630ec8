// Package peers implements the calls between the entry hosts of one site: a pool
// of twirp clients, and the HTTP handler and server for the other side.
//
// A connection between two hosts can go silent for good while new ones work.
// Every call has a timeout. A call that times out closes its connection and the
// idle ones to the same host, so that the next call opens a new one.
package peers

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"apricotproxy/core"
	"apricotproxy/io/intact"
	"apricotproxy/io/wire"
)

// Size limits of the messages, in bytes, and time limits.
const (
	_maxSmallBytes  = 64 << 10
	_maxBundleBytes = 2 << 20
	_maxLedgerBytes = 32 << 20
	// MaxOrderBytes limits a forwarded order and its answer.
	MaxOrderBytes = 16 << 20

	_quickTimeout      = 1 * time.Second
	_bundleTimeout     = 5 * time.Second
	_ledgerTimeout     = 10 * time.Second
	_orderTimeout      = 2 * time.Minute
	_maxHeaderBytes    = 4 << 10
	_maxIdlePerHost    = 2
	_idleTimeout       = 30 * time.Second
	_readHeaderTimeout = 5 * time.Second
)

// callLimit holds the limits of one kind of call: its timeout, and the size of the
// request and of the answer.
type callLimit struct {
	Timeout time.Duration
	Bytes   int64
}

// limitOf returns the limits of a call, given the last part of its path.
func limitOf(method string) callLimit {
	switch method {
	case "FetchRevision":
		return callLimit{Timeout: _bundleTimeout, Bytes: _maxBundleBytes}
	case "HandOver", "Snapshot":
		return callLimit{Timeout: _ledgerTimeout, Bytes: _maxLedgerBytes}
	case "ForwardOrder":
		return callLimit{Timeout: _orderTimeout, Bytes: MaxOrderBytes}
	default:
		return callLimit{Timeout: _quickTimeout, Bytes: _maxSmallBytes}
	}
}

// Settings configure a Pool.
type Settings struct {
	Dialer core.Dialer
	// TLS is the TLS configuration; nil means plain TCP.
	TLS *tls.Config
}

// Pool holds one client per address. It is safe for concurrent use.
type Pool struct {
	settings Settings

	mu      sync.Mutex
	clients map[string]*client
}

// NewPool builds an empty pool.
func NewPool(settings Settings) *Pool {
	return &Pool{settings: settings, clients: make(map[string]*client)}
}

// Client returns the client for an address, such as "10.0.0.1:7443".
func (p *Pool) Client(address string) wire.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.clients[address]
	if !ok {
		known = p.newClient(address)
		p.clients[address] = known
	}
	return known.peer
}

// CloseExcept removes the clients of all addresses except the given ones, and closes
// their idle connections.
func (p *Pool) CloseExcept(addresses []string) {
	keep := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		keep[address] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.clients {
		if keep[address] {
			continue
		}
		known.transport.CloseIdleConnections()
		delete(p.clients, address)
	}
}

// Close removes all clients and closes their idle connections.
func (p *Pool) Close() { p.CloseExcept(nil) }

type client struct {
	transport *intact.Transport
	peer      wire.Peer
}

func (p *Pool) newClient(address string) *client {
	transport := intact.NewTransport(&http.Transport{
		DialContext:         intact.DialWith(p.settings.Dialer),
		TLSClientConfig:     p.settings.TLS,
		MaxIdleConnsPerHost: _maxIdlePerHost,
		IdleConnTimeout:     _idleTimeout,
		DisableCompression:  true,
	})
	scheme := "http"
	if p.settings.TLS != nil {
		scheme = "https"
	}
	doer := &limitedDoer{transport: transport}
	return &client{
		transport: transport,
		peer:      wire.NewPeerProtobufClient(scheme+"://"+address, doer),
	}
}

// limitedDoer applies the limits of callLimit to each call and its answer.
type limitedDoer struct {
	transport *intact.Transport
}

// Do implements wire.HTTPClient.
func (d *limitedDoer) Do(request *http.Request) (*http.Response, error) {
	limit := limitOf(path.Base(request.URL.Path))
	ctx, cancel := context.WithTimeout(request.Context(), limit.Timeout)
	response, err := d.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		// Idle connections to the same host may be silent for the same reason.
		d.transport.CloseIdleConnections()
		cancel()
		return nil, fmt.Errorf("call %s: %w", request.URL.Path, err)
	}
	response.Body = &limitedBody{
		Reader: io.LimitReader(response.Body, limit.Bytes),
		body:   response.Body,
		cancel: cancel,
	}
	return response, nil
}

// limitedBody cancels the call's context when it is closed.
type limitedBody struct {
	io.Reader
	body   io.Closer
	cancel context.CancelFunc
}

// Close closes the answer and cancels the call's context.
func (b *limitedBody) Close() error {
	defer b.cancel()
	if err := b.body.Close(); err != nil {
		return fmt.Errorf("close the answer: %w", err)
	}
	return nil
}

// NewHandler returns a handler that serves calls of the peer and limits the size
// of their bodies.
func NewHandler(peer wire.Peer) http.Handler {
	server := wire.NewPeerServer(peer)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limit := limitOf(path.Base(r.URL.Path))
		r.Body = http.MaxBytesReader(w, r.Body, limit.Bytes)
		server.ServeHTTP(w, r)
	})
}

// PathPrefix is the path under which the handler of NewHandler must be mounted.
const PathPrefix = "/twirp/apricotproxy.wire.Peer/"

// NewServer builds an HTTP server that limits the size of headers.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: _readHeaderTimeout,
		IdleTimeout:       2 * _idleTimeout,
		MaxHeaderBytes:    _maxHeaderBytes,
	}
}

// OldIncarnationError means that a message came from an earlier incarnation of a host.
type OldIncarnationError struct {
	Got   core.HostID
	Known core.HostID
}

// Error returns the form "host entry-1: incarnation 5 is older than 7".
func (e *OldIncarnationError) Error() string {
	return fmt.Sprintf("host %s: incarnation %d is older than %d", e.Got.Host, e.Got.Incarnation, e.Known.Incarnation)
}

// Check decides whether a message of this sender is accepted, which is the case if
// it returns nil.
type Check func(from core.HostID) error

// refusalError converts the error of a Check to the one that the sender receives.
func refusalError(err error) error {
	var old *OldIncarnationError
	if errors.As(err, &old) {
		return twirp.NewError(twirp.FailedPrecondition, old.Error())
	}
	return twirp.NewError(twirp.InvalidArgument, err.Error())
}

var errNoSender = errors.New("the message names no sender; set From to the host and its incarnation")
