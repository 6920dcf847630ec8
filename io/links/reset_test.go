package links_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/fakes/routed"
	"apricotproxy/io/links"
)

const (
	// _longUpload is more than a loopback connection takes up without being read.
	_longUpload = 8 << 20
	_partBytes  = 200
	// _resetDelay is within which a reset has reached both calls that wait for the connection.
	_resetDelay = 20 * time.Millisecond
	// _userTimeout is after which the kernel gives up a connection on which nothing is read.
	_userTimeout = 200 * time.Millisecond
	// _tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall lacks.
	_tcpUserTimeout = 18
)

// partialAnswers are heads and parts of bodies, by how the answer says where its body ends.
func partialAnswers() map[string]string {
	part, id := strings.Repeat("p", _partBytes), "\r\nId: 1\r\n"
	return map[string]string{
		"its connection":               "HTTP/1.1 200 OK" + id + "\r\n" + part,
		"its connection, which closes": "HTTP/1.1 200 OK" + id + "Connection: close\r\n\r\n" + part,
		"HTTP/1.0":                     "HTTP/1.0 200 OK" + id + "\r\n" + part,
		"HTTP/1.0, kept":               "HTTP/1.0 200 OK" + id + "Connection: keep-alive\r\n\r\n" + part,
		"HTTP/1.0, chunks":             "HTTP/1.0 200 OK" + id + "Transfer-Encoding: chunked\r\n\r\n" + part,
		"a length":                     "HTTP/1.1 200 OK" + id + "Content-Length: " + strconv.Itoa(2*_partBytes) + "\r\n\r\n" + part,
		"HTTP/1.0, a length":           "HTTP/1.0 200 OK" + id + "Content-Length: " + strconv.Itoa(2*_partBytes) + "\r\n\r\n" + part,
		"chunks":                       "HTTP/1.1 200 OK" + id + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", _partBytes, part),
	}
}

func upload() *links.Request {
	r := request("1")
	r.Body = make([]byte, _longUpload)
	return r
}

// readAnswer returns the body of an answer once ready is closed.
func readAnswer(t *testing.T, p *links.Pool, address string, r *links.Request, ready <-chan struct{}) (string, error) {
	t.Helper()
	answer, err := p.Do(t.Context(), core.RoutedEndpoint{ID: "e", Address: address}, r)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	if ready != nil {
		<-ready
	}
	body, err := io.ReadAll(answer)
	return string(body), err
}

// An endpoint answered a long upload at once, sent a part of its answer and reset the connection. The
// kernel told the write of the reset, and the read returned io.EOF, which ends an answer without a length.
func TestResetDuringTheUploadDoesNotEndTheAnswer(t *testing.T) {
	for name, text := range partialAnswers() {
		for _, before := range []string{"is read", "is awaited"} {
			t.Run(name+", the reset comes before the end "+before, func(t *testing.T) {
				t.Parallel()
				for range 10 {
					var ready chan struct{}
					if before == "is read" {
						ready = make(chan struct{})
					}
					e, err := routed.StartUnread(func(c *routed.Call) bool {
						c.Write(text)
						time.Sleep(3 * time.Millisecond)
						c.Reset()
						if ready != nil {
							time.Sleep(_resetDelay)
							close(ready)
						}
						return false
					})
					if err != nil {
						t.Fatal(err)
					}
					body, err := readAnswer(t, newPool(t), e.Address, upload(), ready)
					e.Close()
					if err == nil {
						t.Fatalf("a part of %d bytes is taken for the answer", len(body))
					}
					if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.ErrUnexpectedEOF) {
						t.Errorf("%v, want ECONNRESET or ErrUnexpectedEOF", err)
					}
				}
			})
		}
	}
}

// An endpoint that stops reading the upload, and sends no more, is lost when the kernel gives the connection up.
func TestTimeoutOfTheUploadDoesNotEndTheAnswer(t *testing.T) {
	for name, text := range partialAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dialer := &net.Dialer{Control: func(_, _ string, conn syscall.RawConn) error {
				var setErr error
				err := conn.Control(func(fd uintptr) {
					setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, _tcpUserTimeout, int(_userTimeout.Milliseconds()))
				})
				return errors.Join(err, setErr)
			}}
			for range 3 {
				e, err := routed.StartUnread(func(c *routed.Call) bool {
					c.Write(text)
					time.Sleep(10 * _userTimeout)
					return false
				})
				if err != nil {
					t.Fatal(err)
				}
				p := links.New(links.Settings{Dialer: dialer, DialTimeout: time.Second, MaxIdle: 2})
				body, err := readAnswer(t, p, e.Address, upload(), nil)
				e.Close()
				p.Close()
				if err == nil {
					t.Fatalf("a part of %d bytes is taken for the answer", len(body))
				}
			}
		})
	}
}

// slowDialer returns connections on which something has already arrived.
type slowDialer struct{ net.Dialer }

func (d *slowDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	time.Sleep(_resetDelay)
	return conn, err
}

// The reset may also be reported to the write of a short request.
func TestResetBeforeTheRequestDoesNotEndTheAnswer(t *testing.T) {
	for name, text := range partialAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				time.Sleep(_resetDelay / 4) // a reset before the dial ends would make it fail
				_, _ = io.WriteString(conn, text)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
			p := links.New(links.Settings{Dialer: &slowDialer{}, DialTimeout: time.Second, MaxIdle: 2})
			defer p.Close()
			if body, err := readAnswer(t, p, listener.Addr().String(), request("1"), nil); err == nil {
				t.Errorf("%q is taken for the answer", body)
			}
		})
	}
}

// An endpoint may answer before it has read the upload. What it sent before it closed its side is
// complete, whatever becomes of the upload then.
func TestAnswerBeforeTheEndOfTheUploadIsComplete(t *testing.T) {
	const body = "answered early"
	heads := map[string]string{
		"its connection": "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
		"HTTP/1.0":       "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n",
		"a length":       "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n",
	}
	for _, c := range []struct {
		name string
		// end ends the exchange at the endpoint after the answer and returns the length of the upload that it read.
		end  func(c *routed.Call) int64
		read int64
	}{
		{"reads on and closes", readUpload, _longUpload},
		{"reads on slowly and closes", func(c *routed.Call) int64 { time.Sleep(_resetDelay); return readUpload(c) }, _longUpload},
		{"closes its side and reads on", func(c *routed.Call) int64 { c.CloseWrite(); time.Sleep(_resetDelay); return readUpload(c) }, _longUpload},
		{"closes its side and resets", func(c *routed.Call) int64 { c.CloseWrite(); time.Sleep(_resetDelay); c.Reset(); return 0 }, 0},
	} {
		for name, head := range heads {
			t.Run(name+", "+c.name, func(t *testing.T) {
				t.Parallel()
				ended := make(chan int64, 1)
				e, err := routed.StartUnread(func(call *routed.Call) bool {
					call.Write(head + body)
					ended <- c.end(call)
					return false
				})
				if err != nil {
					t.Fatal(err)
				}
				defer e.Close()
				answer, err := newPool(t).Do(t.Context(), core.RoutedEndpoint{ID: "e", Address: e.Address}, upload())
				if err != nil {
					t.Fatal(err)
				}
				defer answer.Close()
				if c.name == "closes its side and resets" {
					time.Sleep(3 * _resetDelay)
				}
				if got, err := io.ReadAll(answer); err != nil || string(got) != body {
					t.Errorf("%q, %v; want %q", got, err, body)
				}
				if read := <-ended; read != c.read {
					t.Errorf("the endpoint read %d bytes of the upload, want %d", read, c.read)
				}
			})
		}
	}
}

func readUpload(c *routed.Call) int64 {
	n, _ := io.Copy(io.Discard, c.Body)
	return n
}
