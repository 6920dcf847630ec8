package entry_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"apricotproxy/io/entry"
)

const (
	// _soundSilence is how long a sound endpoint may fall silent: a second or so.
	_soundSilence = 2 * time.Second
	// _contactLimit is the time after which the platform counts an endpoint that does not respond
	// as out of contact (contactMs).
	_contactLimit = 3 * time.Second
	// _pausedBodyBytes exceeds what the buffers of a connection to a paused endpoint hold.
	_pausedBodyBytes = 32 << 20
	_smallBuffer     = 4 << 10
)

// dialPaused opens a connection to an endpoint that reads nothing until pause is over.
func dialPaused(t *testing.T, pause time.Duration) net.Conn {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, _smallBuffer)
		})
		return errors.Join(err, optionErr)
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		time.Sleep(pause)
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}()
	conn, err := entry.NewDialer().DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// A connection on which a long body was under way was given up after 1.5 s of an endpoint's pause.
func TestPausedEndpointKeepsItsConnection(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 1500 * time.Millisecond, 1900 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			if n, err := dialPaused(t, pause).Write(make([]byte, _pausedBodyBytes)); err != nil {
				t.Errorf("%d of %d bytes: %v", n, _pausedBodyBytes, err)
			}
		})
	}
}

// An endpoint that takes no bytes for longer is given up in time.
func TestConnectionOfALostEndpointIsGivenUp(t *testing.T) {
	t.Parallel()
	began := time.Now()
	n, err := dialPaused(t, time.Minute).Write(make([]byte, _pausedBodyBytes))
	if took := time.Since(began); !errors.Is(err, syscall.ETIMEDOUT) || took > _contactLimit {
		t.Errorf("%d bytes, %v after %v; want %v within %v", n, err, took, syscall.ETIMEDOUT, _contactLimit)
	}
}

// tcp(7): with TCP_USER_TIMEOUT, a connection is given up at the first probe that is due once an
// unanswered one has been sent and that time has passed, whatever the number of probes.
func TestProbesGiveUpAfterASoundSilenceAndInTime(t *testing.T) {
	conn := dialPaused(t, 0)
	if option(t, conn, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE) == 0 {
		t.Error("no probes are sent")
	}
	seconds := func(name int) time.Duration {
		return time.Duration(option(t, conn, syscall.IPPROTO_TCP, name)) * time.Second
	}
	const userTimeout = 0x12
	limit := time.Duration(option(t, conn, syscall.IPPROTO_TCP, userTimeout)) * time.Millisecond
	idle, interval := seconds(syscall.TCP_KEEPIDLE), seconds(syscall.TCP_KEEPINTVL)
	givenUp := idle + interval
	for limit > 0 && givenUp < limit {
		givenUp += interval
	}
	if limit <= _soundSilence || limit > _contactLimit {
		t.Errorf("sent bytes may stay unacknowledged for %v; want more than %v and at most %v", limit, _soundSilence, _contactLimit)
	}
	if givenUp <= _soundSilence || givenUp > _contactLimit {
		t.Errorf("probes give up after %v; want more than %v and at most %v", givenUp, _soundSilence, _contactLimit)
	}
	if count := option(t, conn, syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT); idle+time.Duration(count)*interval != givenUp {
		t.Errorf("%d probes, which would give up after %v; the connection is given up after %v", count, idle+time.Duration(count)*interval, givenUp)
	}
}

func option(t *testing.T, conn net.Conn, level, name int) (value int) {
	t.Helper()
	source, ok := conn.(syscall.Conn)
	if !ok {
		t.Fatalf("a connection of type %T", conn)
	}
	raw, err := source.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) { value, optionErr = syscall.GetsockoptInt(int(fd), level, name) })
	if err := errors.Join(err, optionErr); err != nil {
		t.Fatal(err)
	}
	return value
}
