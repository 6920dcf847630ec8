package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	// _tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall lacks.
	_tcpUserTimeout = 0x12
	// _unacknowledged is how long sent bytes may go unacknowledged before a
	// connection counts as broken.
	_unacknowledged = 1500 * time.Millisecond
	_keepAliveIdle  = time.Second
	_keepAliveTries = 2
)

// Dialer opens connections that notice within a few seconds that the other end
// is gone, also while nothing is sent.
type Dialer struct{ dialer net.Dialer }

// NewDialer builds a dialer.
func NewDialer() *Dialer {
	return &Dialer{dialer: net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: _keepAliveIdle, Interval: _keepAliveIdle, Count: _keepAliveTries},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var set error
			err := raw.Control(func(fd uintptr) {
				set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, _tcpUserTimeout, int(_unacknowledged.Milliseconds()))
			})
			return errors.Join(err, set)
		},
	}}
}

// DialContext opens a connection.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return conn, nil
}
