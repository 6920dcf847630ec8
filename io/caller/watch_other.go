//go:build !linux

package caller

import (
	"net"
	"time"
)

// limitUnacknowledged does nothing: the option exists on Linux only, and the
// write deadline bounds the time elsewhere.
func limitUnacknowledged(*net.TCPConn, time.Duration) error { return nil }
