// Package addrs gives loopback addresses that nothing else uses. A port that was free a
// moment ago on 127.0.0.1 may since have become some connection's own; nothing connects
// from the other addresses of 127.0.0.0/8.
package addrs

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	_port = 7400
	// _octet is how many values an octet takes here.
	_octet = 250
)

var _given atomic.Uint32

// Next gives an address of a host and port, for TCP and UDP, which differs from all others
// of this process and of those beside it.
func Next() string {
	n, pid := int(_given.Add(1)), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid%_octet, 1+pid/_octet%_octet, 1+n%_octet, _port+n/_octet)
}
