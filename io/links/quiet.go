package links

import (
	"net"
	"syscall"
)

// isClean reports whether an idle connection is open and has no unread bytes. Bytes
// that arrived after the last answer belong to no request.
func isClean(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return true // an in-memory connection of a test
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = err == syscall.EAGAIN
		return true
	})
	return err == nil && clean
}
