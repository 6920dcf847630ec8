package peers_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"apricotproxy/io/peers"
	"apricotproxy/io/wire"
)

// _longOrder is more than a loopback connection takes up without being read.
const _longOrder = 8 << 20

// A host answered a forwarded order before it had read it, sent the first fields of its answer and reset the
// connection. They were taken for the answer if it had no length.
func TestPartOfAnswerBeforeAResetIsNotComplete(t *testing.T) {
	part, err := proto.Marshal(&wire.ForwardOrderReply{Outcome: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, resets := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, resets %t", version, resets), func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = listener.Close() }()
				go func() {
					for {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						go answerEarly(conn.(*net.TCPConn), version+" 200 OK\r\nContent-Type: application/protobuf\r\n\r\n"+string(part), resets)
					}
				}()
				pool := peers.NewPool(peers.Settings{Dialer: &net.Dialer{}})
				defer pool.Close()
				for range 10 {
					reply, err := pool.Client(listener.Addr().String()).ForwardOrder(t.Context(), &wire.ForwardOrderRequest{Body: make([]byte, _longOrder)})
					if isComplete := err == nil && reply.GetOutcome() == 1; isComplete == resets {
						t.Fatalf("reply %v, %v", reply, err)
					}
				}
			})
		}
	}
}

// answerEarly sends a text once the header of a request has arrived. It then resets the connection, or reads
// the request's body and closes.
func answerEarly(conn *net.TCPConn, text string, resets bool) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	if resets {
		time.Sleep(3 * time.Millisecond)
		_ = conn.SetLinger(0)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
}
