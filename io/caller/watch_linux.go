package caller

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// _tcpUserTimeout is the option TCP_USER_TIMEOUT, which package syscall lacks.
const _tcpUserTimeout = 18

// limitUnacknowledged bounds the time for which sent bytes may stay without an
// acknowledgement.
func limitUnacknowledged(conn *net.TCPConn, limit time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("get the socket: %w", err)
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, _tcpUserTimeout, int(limit.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("reach the socket: %w", err)
	}
	if setErr != nil {
		return fmt.Errorf("set the timeout of unacknowledged bytes: %w", setErr)
	}
	return nil
}
