package caller

import (
	"net"
	"syscall"
	"testing"
	"time"
)

func TestDetectSilentCallerLimitsUnacknowledgedBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = dialed.Close() }()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("a connection of type %T; want *net.TCPConn", conn)
	}
	if err := detectSilentCaller(tcp, 4*time.Second); err != nil {
		t.Fatal(err)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var got int
	if err := raw.Control(func(fd uintptr) {
		got, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, _tcpUserTimeout)
	}); err != nil {
		t.Fatal(err)
	}
	if got != 4000 {
		t.Errorf("the timeout is %d ms; want 4000", got)
	}
}
