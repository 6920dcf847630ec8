package peers_test

import (
	"fmt"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"

	"apricotproxy/fakes/routed"
	"apricotproxy/io/peers"
	"apricotproxy/io/wire"
)

// A host's answer with a blank in the name of a field was taken for one.
func TestFieldNameThatIsNoneIsABrokenAnswer(t *testing.T) {
	body, err := proto.Marshal(&wire.ForwardOrderReply{Outcome: 1, Answer: []byte("answer")})
	if err != nil {
		t.Fatal(err)
	}
	for name, line := range routed.BrokenFields() {
		host, err := routed.Start(func(c *routed.Call) bool {
			c.Write(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body))
			return false
		})
		if err != nil {
			t.Fatal(err)
		}
		pool := peers.NewPool(peers.Settings{Dialer: &net.Dialer{}})
		if reply, err := pool.Client(host.Address).ForwardOrder(t.Context(), &wire.ForwardOrderRequest{}); err == nil {
			t.Errorf("%s: %v", name, reply)
		}
		pool.Close()
		host.Close()
	}
}
