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
	// _tcpUserTimeout is the socket option TCP_USER_TIMEOUT of tcp(7), which package
	// syscall lacks.
	_tcpUserTimeout = 0x12
	// _unacknowledgedTimeout is how long sent bytes may stay unacknowledged, or be refused by a
	// receive window of zero, before the connection is closed as broken. It is between the second
	// or two for which a sound endpoint may fall silent and the time after which one that does not
	// respond counts as out of contact.
	_unacknowledgedTimeout = 2500 * time.Millisecond
	// With TCP_USER_TIMEOUT, unanswered probes end a connection at the first one that is due after
	// that time, whatever their count, which is set to the same moment.
	_keepAliveIdle   = time.Second
	_keepAliveProbes = 2
)

// Dialer opens connections that detect within a few seconds that the other end is
// gone, even while nothing is sent.
type Dialer struct{ dialer net.Dialer }

// NewDialer returns a dialer.
func NewDialer() *Dialer {
	return &Dialer{dialer: net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: _keepAliveIdle, Interval: _keepAliveIdle, Count: _keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, _tcpUserTimeout, int(_unacknowledgedTimeout.Milliseconds()))
			})
			return errors.Join(err, optionErr)
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
