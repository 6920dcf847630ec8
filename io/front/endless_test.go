package front_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"apricotproxy/fakes/routed"
)

// smallBuffers is a dialer whose connections buffer little, so that an endpoint can send
// hardly more than is read.
type smallBuffers struct{ net.Dialer }

// dialHooks holds, by address, a func(context.Context) error that is called before a connection is
// opened. An error fails the dial.
var dialHooks sync.Map

// DialContext connects and limits the buffers.
func (d *smallBuffers) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if hook, ok := dialHooks.Load(address); ok {
		if err := hook.(func(context.Context) error)(ctx); err != nil {
			return nil, err
		}
	}
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if tcp, ok := conn.(*net.TCPConn); ok {
		err = errors.Join(tcp.SetReadBuffer(64<<10), tcp.SetWriteBuffer(16<<10))
		if path, ok := lossyPaths.Load(address); ok {
			return path.(*lossyPath).add(tcp), err
		}
	}
	return conn, err
}

// _bufferBytes is the fixture's bound for answers that are read before they are relayed.
const _bufferBytes = 4 << 20

// Bodies that do not stop use little memory, however many requests get one at a time, and
// leave room for answers of the usual length.
func TestEndlessBodiesShareABound(t *testing.T) {
	const (
		requests = 16
		sent     = 64 << 20
		most     = _bufferBytes + requests*(1<<20)
	)
	var total atomic.Int64
	flood := func(c *routed.Call) bool {
		if c.URL.Path == "/order/short" {
			c.Answer(200, strings.Repeat("x", 10_000), "Request-Id: "+c.Header.Get("Request-Id"), "Seal: s")
			return true
		}
		c.Write("HTTP/1.1 200 OK\r\nRequest-Id: " + c.Header.Get("Request-Id") + "\r\nSeal: s\r\n\r\n")
		total.Add(c.Flood("x", sent))
		return false
	}
	r := newFixture(t, flood, flood)
	var group sync.WaitGroup
	for range requests {
		group.Go(func() {
			if a := r.send(http.MethodPost, "/order/", "body"); a.err == nil && a.status == http.StatusOK {
				t.Error("an endless body was taken for an answer")
			}
		})
	}
	for range 20 {
		if a := r.send(http.MethodPost, "/order/short", "body"); a.status != http.StatusOK {
			t.Errorf("status %d beside endless bodies, want 200", a.status)
		}
	}
	group.Wait()
	if n := total.Load(); n > most {
		t.Errorf("%d bytes of endless bodies were read, want at most %d", n, int64(most))
	}
}

// A lookup that got an endless body is answered by another endpoint.
func TestLookupIsRetriedAfterEndlessBody(t *testing.T) {
	first := make(chan struct{}, 1)
	handle := func(c *routed.Call) bool {
		select {
		case first <- struct{}{}:
			c.Write("HTTP/1.1 200 OK\r\n" + echo(c) + "\r\n" + _seal + "\r\n\r\n")
			c.Flood("x", 4*_bufferBytes)
			return false
		default:
			c.Answer(200, strings.Repeat("x", 100_000), echo(c), _seal)
			return true
		}
	}
	r := newFixture(t, handle, handle)
	if a := r.send(http.MethodGet, "/lookup/", ""); a.status != http.StatusOK || len(a.body) != 100_000 {
		t.Errorf("status %d with %d bytes, want 200 with 100000", a.status, len(a.body))
	}
}
