package engine

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"apricotproxy/core/conn/idle"
	"apricotproxy/core/invar"
)

var (
	errNotConfirmed     = errors.New("the permission to dispatch has ended")
	errGivenUp          = errors.New("the request was given up before its first byte")
	errSecondConnection = errors.New("the request has been written to another connection before")
)

// gate stands between one request and its connection. The request's first byte
// passes only while the permission holds, and only on one connection.
//
// The check sits below net/http, on the connection itself: a hook of httptrace
// can observe that a connection is there, but cannot stop the write that
// follows. What the gate has not let through has provably not left the host.
type gate struct {
	confirm func() bool

	mu sync.Mutex
	// opened is set before the first byte goes to the network.
	opened bool
	// sealed is set when the request was given up before its first byte.
	sealed bool
}

type gateKey struct{}

func withGate(ctx context.Context, g *gate) context.Context {
	return context.WithValue(ctx, gateKey{}, g)
}

func gateOf(ctx context.Context) *gate {
	g, _ := ctx.Value(gateKey{}).(*gate)
	return g
}

// pass is asked by a connection before its first byte.
func (g *gate) pass() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened {
		return errSecondConnection
	}
	if g.sealed {
		return errGivenUp
	}
	if g.confirm != nil && !g.confirm() {
		return errNotConfirmed
	}
	g.opened = true
	return nil
}

// written tells whether a byte may have left.
func (g *gate) written() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened
}

// seal keeps the first byte from leaving from now on; false when a byte may have
// left already. A request whose context ends while its connection comes up
// returns before net/http's writer has asked: what is said of the request from
// then on must hold for that writer too.
func (g *gate) seal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed = !g.opened
	return g.sealed
}

// link is a connection to an endpoint that asks its gate before the first byte
// and closes when the endpoint is silent for too long. Read is called by one
// goroutine at a time, as net/http does.
type link struct {
	net.Conn
	gate    *gate
	passed  bool
	silence time.Duration
	beat    idle.Timeout
}

func newLink(conn net.Conn, g *gate, silence time.Duration) *link {
	l := &link{Conn: conn, gate: g, silence: silence}
	l.beat = l.beat.WithActivity(time.Now(), silence)
	return l
}

// Write passes the gate once and bounds the time that a stuck connection takes.
func (l *link) Write(p []byte) (int, error) {
	if !l.passed && l.gate != nil {
		if err := l.gate.pass(); err != nil {
			return 0, err
		}
	}
	l.passed = true
	if l.silence > 0 {
		if err := l.SetWriteDeadline(time.Now().Add(l.silence)); err != nil {
			return 0, err
		}
	}
	if l.gate != nil {
		invar.Check(invar.OrderAtMostOnce, l.gate.written(), "a request is written without permission")
	}
	return l.Conn.Write(p)
}

// Read waits for bytes until the connection counts as silent.
func (l *link) Read(p []byte) (int, error) {
	for {
		if l.beat.NeedsArming(l.silence) {
			l.beat = l.beat.WithArmed()
			if err := l.SetReadDeadline(l.beat.Deadline()); err != nil {
				return 0, err
			}
		}
		n, err := l.Conn.Read(p)
		now := time.Now()
		if n > 0 {
			l.beat = l.beat.WithActivity(now, l.silence)
			return n, err
		}
		if err == nil || !isTimeout(err) || l.silence <= 0 || l.beat.Silent(now) {
			return n, err
		}
		// The alarm was set before the latest byte: arm it again.
		l.beat = l.beat.WithArmed()
		if err := l.SetReadDeadline(l.beat.Deadline()); err != nil {
			return 0, err
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
