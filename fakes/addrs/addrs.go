// Package addrs returns loopback addresses for tests to listen on. They are not on
// 127.0.0.1, where an outgoing connection may take a port as its local one after it was
// found free; nothing connects from the other addresses of 127.0.0.0/8.
package addrs

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	_basePort = 7400
	// _octetValues is the number of values used for each octet.
	_octetValues = 250
)

var _issued atomic.Uint32

// Next returns an IP address and port for TCP and UDP that this process and those running
// at the same time have not returned before.
func Next() string {
	n, pid := int(_issued.Add(1)), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid%_octetValues, 1+pid/_octetValues%_octetValues, 1+n%_octetValues, _basePort+n/_octetValues)
}
