package cutoff_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"apricotproxy/fakes/addrs"
	"apricotproxy/fakes/cutoff"
)

const _patience = 300 * time.Millisecond

// startEcho starts a server that sends back what it receives.
func startEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// outcome returns what an exchange of a byte on a connection meets.
func outcome(conn net.Conn) string {
	_, _ = conn.Write([]byte("x"))
	_ = conn.SetReadDeadline(time.Now().Add(_patience))
	_, err := conn.Read(make([]byte, 1))
	switch {
	case isTimeout(err):
		return "hangs"
	case err != nil:
		return "reset"
	}
	return "works"
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func TestCut(t *testing.T) {
	for kind, want := range map[cutoff.Kind][2]string{ // of an open connection and of a new one
		cutoff.Hang:          {"hangs", "hangs"},
		cutoff.Reset:         {"reset", "reset"},
		cutoff.RefuseNew:     {"works", "reset"},
		cutoff.HangAccepted:  {"hangs", "accepted, hangs"},
		cutoff.ResetAccepted: {"reset", "accepted, reset"},
	} {
		t.Run(kind.String(), func(t *testing.T) {
			link, err := cutoff.Start(addrs.Next(), startEcho(t), "127.0.0.1")
			if err != nil {
				t.Fatal(err)
			}
			defer link.Close()
			dial := func() (net.Conn, string) {
				conn, err := net.DialTimeout("tcp", link.Address, _patience)
				switch {
				case err == nil:
					return conn, "accepted, " + outcome(conn)
				case isTimeout(err):
					return nil, "hangs"
				}
				return nil, "reset"
			}
			old, got := dial()
			if got != "accepted, works" {
				t.Fatalf("before the cut: %s", got)
			}
			if err := link.Cut(kind); err != nil {
				t.Fatal(err)
			}
			if got := outcome(old); got != want[0] {
				t.Errorf("an open connection: %s, want %s", got, want[0])
			}
			if _, got := dial(); got != want[1] {
				t.Errorf("a new connection: %s, want %s", got, want[1])
			}
			if err := link.Restore(); err != nil {
				t.Fatal(err)
			}
			if _, got := dial(); got != "accepted, works" {
				t.Errorf("after the cut: %s", got)
			}
			if want[0] == "hangs" {
				if got := outcome(old); got != "works" {
					t.Errorf("a connection that hung: %s, want works", got)
				}
			}
		})
	}
}
