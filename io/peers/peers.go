// Package peers carries the calls between the entry hosts of one site: a pool
// of twirp clients and the handler that serves the other side.
//
// A connection between two hosts can go silent for good while new ones work.
// Every call has a timeout; one that passes it closes its connection and the
// idle ones to the same host, so that the next call dials anew.
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
	"apricotproxy/io/wire"
)

// Bounds of the messages, in bytes.
const (
	smallBytesAtMost  = 64 << 10
	bundleBytesAtMost = 2 << 20
	ledgerBytesAtMost = 32 << 20
	// OrderBytesAtMost bounds a forwarded order and its answer.
	OrderBytesAtMost = 16 << 20

	_quickTimeout   = 1 * time.Second
	_bundleTimeout  = 5 * time.Second
	_ledgerTimeout  = 10 * time.Second
	_orderTimeout   = 2 * time.Minute
	_headerBytes    = 4 << 10
	_idlePerHost    = 2
	_idleTerm       = 30 * time.Second
	_readHeaderTerm = 5 * time.Second
)

// callLimit is the timeout and the size bound of one kind of call.
type callLimit struct {
	Timeout time.Duration
	Bytes   int64
}

// limitOf gives the limits of a call by the last part of its path.
func limitOf(method string) callLimit {
	switch method {
	case "FetchRevision":
		return callLimit{Timeout: _bundleTimeout, Bytes: bundleBytesAtMost}
	case "HandOver", "Snapshot":
		return callLimit{Timeout: _ledgerTimeout, Bytes: ledgerBytesAtMost}
	case "ForwardOrder":
		return callLimit{Timeout: _orderTimeout, Bytes: OrderBytesAtMost}
	default:
		return callLimit{Timeout: _quickTimeout, Bytes: smallBytesAtMost}
	}
}

// Settings are what a Pool needs.
type Settings struct {
	Dialer core.Dialer
	// TLS switches TLS on; nil for plain TCP.
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

// At gives the client for an address, as "10.0.0.1:7443".
func (p *Pool) At(address string) wire.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.clients[address]
	if !ok {
		known = p.dial(address)
		p.clients[address] = known
	}
	return known.peer
}

// Keep closes the clients of all addresses but the given ones.
func (p *Pool) Keep(addresses []string) {
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

// Close closes the idle connections of all clients.
func (p *Pool) Close() { p.Keep(nil) }

type client struct {
	transport *http.Transport
	peer      wire.Peer
}

func (p *Pool) dial(address string) *client {
	transport := &http.Transport{
		DialContext:         p.settings.Dialer.DialContext,
		TLSClientConfig:     p.settings.TLS,
		MaxIdleConnsPerHost: _idlePerHost,
		IdleConnTimeout:     _idleTerm,
		DisableCompression:  true,
	}
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

// limitedDoer gives each call its timeout and bounds the answer's size.
type limitedDoer struct {
	transport *http.Transport
}

// Do implements wire.HTTPClient.
func (d *limitedDoer) Do(request *http.Request) (*http.Response, error) {
	limit := limitOf(path.Base(request.URL.Path))
	ctx, cancel := context.WithTimeout(request.Context(), limit.Timeout)
	response, err := d.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		// Idle connections to the same host may be silent by the same cause.
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

// limitedBody ends the call's context when the answer has been read.
type limitedBody struct {
	io.Reader
	body   io.Closer
	cancel context.CancelFunc
}

// Close closes the answer and ends the call.
func (b *limitedBody) Close() error {
	defer b.cancel()
	if err := b.body.Close(); err != nil {
		return fmt.Errorf("close the answer: %w", err)
	}
	return nil
}

// NewHandler serves a peer's calls with bounded bodies.
func NewHandler(peer wire.Peer) http.Handler {
	server := wire.NewPeerServer(peer)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limit := limitOf(path.Base(r.URL.Path))
		r.Body = http.MaxBytesReader(w, r.Body, limit.Bytes)
		server.ServeHTTP(w, r)
	})
}

// PathPrefix is where NewHandler expects to be mounted.
const PathPrefix = "/twirp/apricotproxy.wire.Peer/"

// NewServer builds an HTTP server for NewHandler with bounded headers.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: _readHeaderTerm,
		IdleTimeout:       2 * _idleTerm,
		MaxHeaderBytes:    _headerBytes,
	}
}

// OldIncarnationError tells that a message came from, or was meant for, an
// earlier life of a host.
type OldIncarnationError struct {
	Got   core.HostID
	Known core.HostID
}

// Error gives "host entry-1: incarnation 5 is older than 7".
func (e *OldIncarnationError) Error() string {
	return fmt.Sprintf("host %s: incarnation %d is older than %d", e.Got.Host, e.Got.Incarnation, e.Known.Incarnation)
}

// Check decides whether a message of this sender is taken. A nil error takes it.
type Check func(from core.HostID) error

// refusal turns a failed check into the error that the other side sees.
func refusal(err error) error {
	var old *OldIncarnationError
	if errors.As(err, &old) {
		return twirp.NewError(twirp.FailedPrecondition, old.Error())
	}
	return twirp.NewError(twirp.InvalidArgument, err.Error())
}

var errNoSender = errors.New("the message names no sender; set From to the host and its incarnation")
