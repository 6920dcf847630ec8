package intact

import (
	"net"
	"syscall"
)

// _stateClose is TCP_CLOSE of Linux, the state of a connection that was reset or closed on both sides.
const _stateClose = 7

// isEnded reports whether a TCP connection was reset or is closed on both sides. It is false for
// connections of other kinds.
func isEnded(conn net.Conn) bool {
	for {
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = outer.NetConn()
	}
	source, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		// Returns the first four bytes of an option; the first one of TCP_INFO is the state.
		info, err := syscall.GetsockoptInet4Addr(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		ended = err == nil && info[0] == _stateClose
	})
	return err == nil && ended
}
