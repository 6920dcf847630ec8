package links_test

import (
	"errors"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/fakes/routed"
	"apricotproxy/io/links"
)

// Statuses outside 200 to 599 were taken for answers, or for the 1xx before one, and what followed for
// the next answer.
func TestStatusThatIsNoneIsABrokenAnswer(t *testing.T) {
	for _, c := range []struct {
		status string
		isOne  bool
	}{
		{"000 None", false}, {"000", false}, {"020", false}, {"099", false}, {"+20", false}, {"-00", false}, {"101 Switching Protocols", false},
		{"600 Broken", false}, {"999 Broken", false}, {"1000", false}, {"20", false}, {"-1", false}, {"2e2", false}, {"+200", false}, {"", false},
		{"200 OK", true}, {"200", true}, {"200 ", true}, {"599 Last", true}, {"100 Continue\r\n\r\nHTTP/1.1 200 OK", true}, {"199 Odd\r\n\r\nHTTP/1.1 204 OK", true},
	} {
		t.Run(c.status, func(t *testing.T) {
			t.Parallel()
			closed := make(chan bool, 1)
			e := start(t, func(call *routed.Call) bool {
				call.Write("HTTP/1.1 " + c.status + "\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
				closed <- call.WaitClosed(2 * time.Second)
				return false
			})
			began := time.Now()
			answer, err := newPool(t).Do(t.Context(), core.RoutedEndpoint{ID: "e", Address: e.Address}, request("1"))
			if took := time.Since(began); took > time.Second {
				t.Errorf("took %v, want less than a second", took)
			}
			if c.isOne {
				if err != nil {
					t.Fatal(err)
				}
				answer.Close()
				return
			}
			var failed *links.Error
			if !errors.As(err, &failed) || failed.Stage != links.StageSent {
				t.Fatalf("%v, want an error at StageSent", err)
			}
			if !<-closed {
				t.Error("the connection is still open")
			}
		})
	}
}
