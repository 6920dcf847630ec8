package engine

import (
	"context"
	"errors"
	"net"
	"testing"

	"apricotproxy/core"
)

// A request that is abandoned before its first byte is reported as not run. A
// connection that is established later must neither call confirm nor write.
func TestClosedGateLetsNothingThrough(t *testing.T) {
	confirmCalls := 0
	g := &gate{confirm: func() bool { confirmCalls++; return true }}
	if !g.close() {
		t.Fatal("close = false before any byte was written")
	}
	if err := g.open(); !errors.Is(err, errAbandoned) {
		t.Fatalf("open = %v after the request was abandoned, want %v", err, errAbandoned)
	}
	if confirmCalls != 0 || g.written() {
		t.Fatalf("confirm was called %d times, written = %t; want 0 and false", confirmCalls, g.written())
	}
}

func TestOpenGateCannotBeClosed(t *testing.T) {
	g := &gate{confirm: func() bool { return true }}
	if err := g.open(); err != nil {
		t.Fatal(err)
	}
	if g.close() {
		t.Fatal("close = true though the first byte may have been written")
	}
}

// lingerConn records the linger time that is set on it.
type lingerConn struct {
	net.Conn
	linger int
}

func (c *lingerConn) SetLinger(seconds int) error {
	c.linger = seconds
	return nil
}

// tlsWrapper wraps a connection as tls.Conn does.
type tlsWrapper struct {
	net.Conn
	inner net.Conn
}

func (c tlsWrapper) NetConn() net.Conn { return c.inner }

type lingerDialer struct{ conn net.Conn }

func (d lingerDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	return d.conn, nil
}

// Bytes that are still unsent on a stalled link must not arrive after the request
// was abandoned: another request may use its slot by then.
func TestCloseDiscardsUnsentBytes(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	for _, overTLS := range []bool{false, true} {
		conn := &lingerConn{Conn: near, linger: -1}
		dialer := lingerDialer{conn: conn}
		if overTLS {
			dialer.conn = tlsWrapper{Conn: near, inner: conn}
		}
		client := New(Config{Dialer: dialer, Limits: func() core.Limits { return core.Limits{} }})
		dialed, err := client.dial(t.Context(), "tcp", "engine:80")
		if err != nil {
			t.Fatal(err)
		}
		if conn.linger != 0 {
			t.Errorf("TLS %t: the linger time is %d s; want 0, which discards unsent bytes on close", overTLS, conn.linger)
		}
		_ = dialed.Close()
	}
}
