package caller

import (
	"fmt"
	"net"
	"time"
)

// detectSilentCaller makes the kernel end a connection when sent bytes stay
// unacknowledged for the silence timeout, or when keep-alive probes of an idle
// connection are not answered. It does nothing for connections other than TCP.
//
// Write deadlines alone detect a silent caller late: a stream of short events takes
// minutes to fill the kernel's buffers.
func detectSilentCaller(conn net.Conn, silenceTimeout time.Duration) error {
	for {
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = outer.NetConn()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	// The idle time and two probes fit into the silence timeout.
	const probes = 2
	interval := max(time.Second, silenceTimeout/(probes+1))
	err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: probes})
	if err != nil {
		return fmt.Errorf("set keep-alive: %w", err)
	}
	return setUserTimeout(tcp, silenceTimeout)
}
