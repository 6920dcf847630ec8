package caller

import (
	"fmt"
	"net"
	"time"
)

// watch has the system end a connection whose other side has gone silent for good:
// when sent bytes are not acknowledged for the silence timeout, or an idle
// connection answers no probe. Connections that are not of TCP stay as they are.
//
// Write deadlines alone find such a caller late: a stream of short events takes
// minutes to fill the system's buffers.
func watch(conn net.Conn, silence time.Duration) error {
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secured.NetConn()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	// Two probes fit in the silence timeout.
	const probes = 2
	interval := max(time.Second, silence/(probes+1))
	err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: probes})
	if err != nil {
		return fmt.Errorf("set keep-alive: %w", err)
	}
	return limitUnacknowledged(tcp, silence)
}
