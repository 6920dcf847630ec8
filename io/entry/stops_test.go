package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotproxy/fakes/balan"
	"apricotproxy/fakes/routed"
)

const (
	// _balancerPace is how often the platform's balancer asks: docs/platform.md.
	_balancerPace = time.Second
	_callers      = 8
)

// Hosts are stopped and started in turn behind a balancer while callers send orders on
// new and on kept connections: each order that a host has read gets its whole answer
// and runs once; one that it has not read finds another host.
func TestRollingReplacementBehindABalancer(t *testing.T) {
	s := newSite(t, 3)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
	var mu sync.Mutex
	runs := make(map[string]int)
	s.endpoint("e1", func(c *routed.Call) bool {
		mu.Lock()
		if id := c.Header.Get("Request-Id"); strings.HasPrefix(id, "caller-") {
			runs[id]++
		}
		mu.Unlock()
		time.Sleep(60 * time.Millisecond)
		return fine("one")(c)
	})
	s.eventually("all serve", 2*time.Second, s.allServe("/a/", "one"))
	var behind []balan.Host
	for i := range s.front {
		behind = append(behind, balan.Host{Front: s.front[i], Ready: "http://" + s.ready[i] + "/ready"})
	}
	b, err := balan.Start(behind, _balancerPace)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	unanswered := make([][]string, _callers)
	for i := range _callers {
		group.Go(func() { unanswered[i] = orders(ctx, t, b.Address, fmt.Sprint("caller-", i), i%2 == 0) })
	}
	for i := range s.front {
		s.Stop(i)
		select {
		case err := <-s.Ended(i):
			if err != nil {
				t.Errorf("host %d ended with %v", i, err)
			}
		case <-time.After(2 * _stopGrace):
			t.Fatalf("host %d did not end", i)
		}
		s.start(i)
		s.eventually("the balancer uses all", 4*_balancerPace, func() bool { return b.InRotation() == len(s.front) })
	}
	cancel()
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, n := range runs {
		if n > 1 {
			t.Errorf("order %s ran %d times", id, n)
		}
	}
	for _, id := range slices.Concat(unanswered...) {
		if runs[id] > 0 {
			t.Errorf("order %s ran and its connection ended without an answer", id)
		}
	}
	if len(runs) < 100 {
		t.Errorf("only %d orders ran", len(runs))
	}
}

// orders sends one order after the other until ctx ends. It gives the ids of those
// whose connection ended without an answer: no host may have read them.
func orders(ctx context.Context, t *testing.T, address, caller string, keep bool) (unanswered []string) {
	transport := &http.Transport{DisableKeepAlives: !keep}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprint(caller, "-", n)
		// Not bound to ctx: an order that was begun is waited for.
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/a/", strings.NewReader("order"))
		if err != nil {
			t.Error(err)
			return unanswered
		}
		request.Host = "h"
		request.Header.Set("Request-Id", id)
		request.Header.Set("Deadline-Ms", "3000")
		res, err := transport.RoundTrip(request)
		if err != nil {
			unanswered = append(unanswered, id)
			continue
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil || res.StatusCode != http.StatusOK || string(body) != "one" {
			t.Errorf("order %s: status %d, body %q, error %v", id, res.StatusCode, body, err)
		}
	}
	return unanswered
}
