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
	// _balancerInterval is how often the platform's balancer checks each host, by the
	// platform's documentation.
	_balancerInterval = time.Second
	_callers          = 8
)

// Hosts behind a balancer are restarted in turn while callers send orders on new and
// on kept-alive connections. An order that a host has read runs once and gets its whole
// answer. An order whose connection ends without an answer has not run.
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
		return okHandler("one")(c)
	})
	s.eventually("all serve", 2*time.Second, s.allServe("/a/", "one"))
	var balanced []balan.Host
	for i := range s.front {
		balanced = append(balanced, balan.Host{CallerAddress: s.front[i], ReadyURL: "http://" + s.ready[i] + "/ready"})
	}
	b, err := balan.Start(balanced, _balancerInterval)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	unanswered := make([][]string, _callers)
	for i := range _callers {
		group.Go(func() { unanswered[i] = sendOrders(ctx, t, b.Address, fmt.Sprint("caller-", i), i%2 == 0) })
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
		s.eventually("the balancer uses all hosts", 4*_balancerInterval, func() bool { return b.InRotation() == len(s.front) })
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

// sendOrders sends one order after the other until ctx ends. It returns the ids of the
// orders whose connection ended without an answer.
func sendOrders(ctx context.Context, t *testing.T, address, caller string, keepAlive bool) (unanswered []string) {
	transport := &http.Transport{DisableKeepAlives: !keepAlive}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprint(caller, "-", n)
		// The request does not use ctx, so that an order in flight is completed.
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
