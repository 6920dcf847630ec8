package links_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/fakes/routed"
	"apricotproxy/io/links"
)

func TestProbeAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		handle    routed.Handler
		isReached bool
	}{
		"any status":             {func(c *routed.Call) bool { c.Answer(404, ""); return true }, true},
		"bytes that are no head": {func(c *routed.Call) bool { c.Write("garbage"); return true }, true},
		"closes the connection":  {func(*routed.Call) bool { return false }, false},
		"sends nothing":          {func(c *routed.Call) bool { return c.WaitClosed(time.Minute) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := start(t, c.handle)
			p := links.New(links.Settings{Dialer: &net.Dialer{}, DialTimeout: 200 * time.Millisecond, MaxIdle: 2})
			for range 2 {
				if err := p.ProbeAnswer(t.Context(), core.RoutedEndpoint{ID: "e", Address: e.Address}, request("1")); (err == nil) != c.isReached {
					t.Errorf("%v; reached: want %t", err, c.isReached)
				}
			}
			if n := e.Connections(); n != 2 {
				t.Errorf("%d connections, want 2", n)
			}
		})
	}
}

func TestLongWaitIsUnanswered(t *testing.T) {
	e := start(t, func(c *routed.Call) bool {
		if c.Header.Get("Id") == "slow" {
			time.Sleep(300 * time.Millisecond)
		}
		c.Answer(200, c.BodyText, "Id: "+c.Header.Get("Id"))
		return true
	})
	var unanswered atomic.Int32
	p := links.New(links.Settings{
		Dialer: &net.Dialer{}, DialTimeout: time.Second, MaxIdle: 2,
		Unanswered: func(core.RoutedEndpoint) { unanswered.Add(1) }, UnansweredTime: 100 * time.Millisecond,
	})
	t.Cleanup(p.Close)
	for i, id := range []string{"slow", "fast", "slow"} {
		if body, err := roundTrip(t, p, e, id); err != nil || body != "body "+id {
			t.Fatalf("%q, %v", body, err)
		}
		if n := int(unanswered.Load()); n != 1+i/2 {
			t.Errorf("%d requests recorded as unanswered after %d, want %d", n, i+1, 1+i/2)
		}
	}
}
