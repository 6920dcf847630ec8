package links

import (
	"net"
	"syscall"
)

// quiet tells whether an idle connection is open and has nothing to read: bytes
// that came after the last answer belong to no request.
func quiet(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return true // a connection in memory
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}
