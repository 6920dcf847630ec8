package front

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/io/links"
)

// The runs that are ended at a time are bounded, and none is any more once the front is closed.
func TestEndingsAreBounded(t *testing.T) {
	pool := links.New(links.Settings{Dialer: hangingDialer{}, DialTimeout: time.Second})
	f := New(Config{Links: pool, Logger: logr.Discard(), View: func() *know.View { return &know.View{} }})
	run := abandonedRun{request: "r1", endpoint: core.RoutedEndpoint{ID: "e0", Address: "e0"}, deadline: time.Now().Add(time.Minute)}
	var begun []*ending
	for range _maxEndings {
		copied := run
		begun = append(begun, f.endings.begin(&copied))
	}
	if f.endings.begin(&run) != nil {
		t.Errorf("more than %d runs are being ended", _maxEndings)
	}
	f.Close()
	timeout := time.After(time.Second)
	for _, e := range begun {
		select {
		case <-e.done:
		case <-timeout:
			t.Fatal("runs are still being ended after the front was closed")
		}
	}
}

// hangingDialer opens no connection.
type hangingDialer struct{}

func (hangingDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
