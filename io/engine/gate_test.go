package engine

import (
	"context"
	"errors"
	"net"
	"testing"

	"apricotproxy/core"
)

// A request that was given up before its first byte is told as not run. The
// connection that comes up later neither asks for permission nor writes.
func TestAGateThatWasGivenUpLetsNothingThrough(t *testing.T) {
	asked := 0
	g := &gate{confirm: func() bool { asked++; return true }}
	if !g.seal() {
		t.Fatal("seal = false before any byte")
	}
	if err := g.pass(); !errors.Is(err, errGivenUp) {
		t.Fatalf("pass = %v after the request was given up, want %v", err, errGivenUp)
	}
	if asked != 0 || g.written() {
		t.Fatalf("permission asked %d times, written %t; want neither", asked, g.written())
	}
}

func TestAGateThatHasOpenedCannotBeSealed(t *testing.T) {
	g := &gate{confirm: func() bool { return true }}
	if err := g.pass(); err != nil {
		t.Fatal(err)
	}
	if g.seal() {
		t.Fatal("seal = true though the first byte may have left")
	}
}

// lingerConn records how it is to be closed.
type lingerConn struct {
	net.Conn
	linger int
}

func (c *lingerConn) SetLinger(seconds int) error {
	c.linger = seconds
	return nil
}

// overTLS is a connection that hides another one.
type overTLS struct {
	net.Conn
	inner net.Conn
}

func (c overTLS) NetConn() net.Conn { return c.inner }

type lingerDialer struct{ conn net.Conn }

func (d lingerDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	return d.conn, nil
}

// Bytes that a stalled link has not taken yet must not arrive after the request
// was given up: its slot may carry another one by then.
func TestAConnectionThatIsClosedDropsWhatIsUnsent(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	for _, secured := range []bool{false, true} {
		conn := &lingerConn{Conn: near, linger: -1}
		dialer := lingerDialer{conn: conn}
		if secured {
			dialer.conn = overTLS{Conn: near, inner: conn}
		}
		client := New(Config{Dialer: dialer, Limits: func() core.Limits { return core.Limits{} }})
		link, err := client.dial(t.Context(), "tcp", "engine:80")
		if err != nil {
			t.Fatal(err)
		}
		if conn.linger != 0 {
			t.Errorf("secured %t: the connection lingers for %d s; want 0: unsent bytes are dropped at its end", secured, conn.linger)
		}
		_ = link.Close()
	}
}
