package caller

import (
	"fmt"
	"net"
	"time"

	"github.com/go-logr/logr"
)

// Watch wraps a listener so that its connections end when their other side has
// gone silent for good: the system gives up when sent bytes are not acknowledged
// for the silence timeout, or when an idle connection answers no probe.
//
// Write deadlines alone find such a caller late: a stream of short events takes
// minutes to fill the system's buffers.
func Watch(listener net.Listener, silence func() time.Duration, logger logr.Logger) net.Listener {
	return &watchedListener{Listener: listener, silence: silence, logger: logger.WithName("caller")}
}

type watchedListener struct {
	net.Listener
	silence func() time.Duration
	logger  logr.Logger
}

// Accept waits for the next connection.
func (l *watchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	if err := watch(tcp, l.silence()); err != nil {
		l.logger.Error(err, "A connection could not be watched.")
	}
	return conn, nil
}

// watch sets the system's own timers. Two probes fit in the silence timeout.
func watch(conn *net.TCPConn, silence time.Duration) error {
	if silence <= 0 {
		silence = _writeTimeout
	}
	const probes = 2
	err := conn.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     max(time.Second, silence/(probes+1)),
		Interval: max(time.Second, silence/(probes+1)),
		Count:    probes,
	})
	if err != nil {
		return fmt.Errorf("set keep-alive: %w", err)
	}
	return limitUnacknowledged(conn, silence)
}
