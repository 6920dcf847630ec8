package caller_test

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"apricotproxy/io/caller"
)

// slowListener accepts connections whose fifth write finds no room until its deadline, as if the
// caller had not read for long. Later writes do.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &slowConn{Conn: conn}, err
}

type slowConn struct {
	net.Conn
	writes   atomic.Int32
	deadline atomic.Pointer[time.Time]
}

func (c *slowConn) SetWriteDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return c.Conn.SetWriteDeadline(t)
}

func (c *slowConn) Write(p []byte) (int, error) {
	if c.writes.Add(1) != 5 {
		return c.Conn.Write(p)
	}
	time.Sleep(time.Until(*c.deadline.Load()))
	return 0, os.ErrDeadlineExceeded
}

// A write to a slow caller timed out, so that the caller counted as gone. The end of its stream was
// written all the same once the generation was over.
func TestStreamOfASlowCallerHasNoFalseEnd(t *testing.T) {
	inRig(t, testConfig(), func(r *rig) {
		listener, err := r.network.Listen("tcp", "slow:80")
		if err != nil {
			t.Fatal(err)
		}
		server := caller.NewServer(r.hosts["entry-0"].handler)
		r.servers = append(r.servers, server)
		go func() {
			if err := server.Serve(slowListener{listener}); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				t.Error(err)
			}
		}()
		s := &receivedStream{}
		err = r.stream(r.client("caller"), r.request(http.MethodPost, "http://slow:80/v1/completions", _draft), s)
		if err == nil && !s.complete && s.errorData == "" {
			t.Errorf("the body ended properly after %d tokens, without a final event or an error", len(s.texts))
		}
	})
}
