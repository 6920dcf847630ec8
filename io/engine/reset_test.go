package engine_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"syscall"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/io/engine"
)

const (
	// _longUpload is more than a loopback connection takes up without being read.
	_longUpload = 8 << 20
	_part       = `{"found":true}`
	// _userTimeout is after which the kernel gives up a connection on which nothing is read.
	_userTimeout = 200 * time.Millisecond
	// _tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall lacks.
	_tcpUserTimeout = 18
)

// partialAnswers are heads and parts of bodies, by how the answer says where its body ends.
var partialAnswers = map[string]string{
	"its connection": "HTTP/1.1 200 OK\r\n\r\n" + _part,
	"HTTP/1.0":       "HTTP/1.0 200 OK\r\n\r\n" + _part,
	"a length":       "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(2*len(_part)) + "\r\n\r\n" + _part,
	"chunks":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(_part)), 16) + "\r\n" + _part + "\r\n",
}

// impatientDialer returns connections that the kernel gives up soon.
func impatientDialer() *net.Dialer {
	return &net.Dialer{Control: func(_, _ string, conn syscall.RawConn) error {
		var setErr error
		err := conn.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, _tcpUserTimeout, int(_userTimeout.Milliseconds()))
		})
		return errors.Join(err, setErr)
	}}
}

// serveUnread passes the connections of an endpoint, with or without TLS, to a function once the header of a
// request is read.
func serveUnread(t *testing.T, isTLS bool, answer func(conn net.Conn, tcp *net.TCPConn, request *http.Request)) (core.Endpoint, *engine.Client) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	certified := httptest.NewTLSServer(nil)
	t.Cleanup(certified.Close)
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = raw.Close() }()
				conn := raw
				if isTLS {
					conn = tls.Server(raw, certified.TLS)
				}
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn, raw.(*net.TCPConn), request)
				}
			}()
		}
	}()
	config := engine.Config{Dialer: impatientDialer(), Limits: limits}
	if isTLS {
		config.TLS = certified.Client().Transport.(*http.Transport).TLSClientConfig
	}
	client := engine.New(config)
	t.Cleanup(client.Close)
	return core.Endpoint{Name: "book-1", Address: listener.Addr().String()}, client
}

// An endpoint answered a long upload at once, sent a part of its answer and was lost before it had read
// the upload. The caller got that part as the answer if it had no length.
func TestEndpointLostDuringTheUploadHasNotAnswered(t *testing.T) {
	losses := map[string]struct {
		lose func(tcp *net.TCPConn)
		runs int
	}{
		"a reset": {func(tcp *net.TCPConn) {
			time.Sleep(3 * time.Millisecond)
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}, 10},
		"a time-out": {func(*net.TCPConn) { time.Sleep(10 * _userTimeout) }, 3},
	}
	calls := map[string]func(ctx context.Context, client *engine.Client, endpoint core.Endpoint) error{
		"call": func(ctx context.Context, client *engine.Client, endpoint core.Endpoint) error {
			_, err := client.Call(ctx, endpoint, core.CallRequest{Call: "c", Body: make([]byte, _longUpload)})
			return err
		},
		"start": func(ctx context.Context, client *engine.Client, endpoint core.Endpoint) error {
			stream, err := client.Start(ctx, endpoint, core.EngineRequest{Generation: "g", Body: make([]byte, _longUpload)})
			if err != nil {
				return err
			}
			defer func() { _ = stream.Close() }()
			_, err = stream.Next()
			return err
		},
	}
	for framing, text := range partialAnswers {
		for name, loss := range losses {
			for kind, call := range calls {
				for _, isTLS := range []bool{false, true} {
					t.Run(kind+", "+name+", "+framing+", TLS "+strconv.FormatBool(isTLS), func(t *testing.T) {
						t.Parallel()
						endpoint, client := serveUnread(t, isTLS, func(conn net.Conn, tcp *net.TCPConn, _ *http.Request) {
							_, _ = io.WriteString(conn, text)
							loss.lose(tcp)
						})
						for range loss.runs {
							if err := call(t.Context(), client, endpoint); !isLost(err) {
								t.Fatalf("%v, want ResultLost", err)
							}
						}
					})
				}
			}
		}
	}
}

// An endpoint may answer before it has read the upload, if it reads on.
func TestAnswerBeforeTheEndOfTheUploadIsComplete(t *testing.T) {
	heads := map[string]string{
		"its connection": "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0":       "HTTP/1.0 200 OK\r\n\r\n",
		"a length":       "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(_part)) + "\r\n\r\n",
	}
	for framing, head := range heads {
		for _, isTLS := range []bool{false, true} {
			t.Run(framing+", TLS "+strconv.FormatBool(isTLS), func(t *testing.T) {
				t.Parallel()
				endpoint, client := serveUnread(t, isTLS, func(conn net.Conn, _ *net.TCPConn, request *http.Request) {
					_, _ = io.WriteString(conn, head+_part)
					_, _ = io.Copy(io.Discard, request.Body)
					_ = conn.Close()
				})
				answer, err := client.Call(t.Context(), endpoint, core.CallRequest{Call: "c", Body: make([]byte, _longUpload)})
				if err != nil || string(answer) != _part {
					t.Errorf("%q, %v; want %q", answer, err, _part)
				}
			})
		}
	}
}
