package caller

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// _tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall lacks.
const _tcpUserTimeout = 18

// setUserTimeout limits the time for which sent bytes may stay unacknowledged.
func setUserTimeout(conn *net.TCPConn, limit time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("get the socket: %w", err)
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, _tcpUserTimeout, int(limit.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("access the socket: %w", err)
	}
	if setErr != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", setErr)
	}
	return nil
}
