//go:build !linux

package caller

import (
	"net"
	"time"
)

// setUserTimeout does nothing: the socket option exists only on Linux. On other
// systems the write deadline detects a silent caller.
func setUserTimeout(*net.TCPConn, time.Duration) error { return nil }
