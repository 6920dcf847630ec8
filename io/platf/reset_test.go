package platf_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"apricotproxy/io/platf"
)

// _arrivalTime is within which what was sent has arrived.
const _arrivalTime = 10 * time.Millisecond

// slowDialer returns connections on which something has already arrived.
type slowDialer struct{ net.Dialer }

func (d *slowDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	time.Sleep(_arrivalTime)
	return conn, err
}

// A service sent a part of a value and reset the connection before it had the request. The part was taken for
// the value if the reset was reported to the write of the request and the answer had no length.
func TestPartOfAValueBeforeAResetIsNotComplete(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				time.Sleep(_arrivalTime / 4) // a reset before the dial ends would make it fail
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nVersion: 1\r\n\r\npart")
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	for range 100 {
		client := platf.New(platf.Settings{Address: listener.Addr().String(), Dialer: &slowDialer{}})
		value, _, err := client.Read(t.Context(), _key)
		client.Close()
		if err == nil {
			t.Fatalf("%q is taken for the value", value)
		}
	}
}
