package front_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"apricotproxy/core/procs/poison"
	"apricotproxy/fakes/routed"
)

// block blocks a part, as another host reports it.
func (r *fixture) block(part string) {
	now := time.Now()
	r.detector.Merge("other", now, poison.Report{Blocks: []poison.Block{{Parts: []string{part}, Since: now, Until: now.Add(time.Minute)}}})
}

// wantRefused checks that a request was refused within a time, and may come back when the
// block ends.
func wantRefused(t *testing.T, a answer, took time.Duration) {
	t.Helper()
	if a.status != http.StatusServiceUnavailable || took > 200*time.Millisecond {
		t.Errorf("status %d (%v) after %v, want 503 at once", a.status, a.err, took)
	}
	if after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err != nil || after < 50 || after > 60 {
		t.Errorf("Retry-After %q, want the time until the block ends", a.header.Get("Retry-After"))
	}
}

// A prompt with a blocked part is refused at once and reaches no engine; others are served.
func TestBlockedPartIsRefused(t *testing.T) {
	r := newFixture(t, streamTo(3))
	r.block("bad")
	began := time.Now()
	wantRefused(t, r.send(http.MethodPost, "/check/", "", "Tokens: 30,10", "Parts: a:10,bad:10,own:10"), time.Since(began))
	if n := r.calls(); n != 0 {
		t.Errorf("%d requests with the blocked part reached an engine", n)
	}
	for _, parts := range []string{"a:10,own:10", "a:10,bad:10", "bad:10"} { // the last part is the request's own
		if a := r.send(http.MethodPost, "/check/", "", "Tokens: 30,10", "Parts: "+parts); a.status != http.StatusOK {
			t.Errorf("parts %s: status %d, want 200", parts, a.status)
		}
	}
}

// Parts with long IDs, or after many others, were not compared with those that are blocked.
func TestBlockedPartIsRefusedWhateverThePromptHolds(t *testing.T) {
	r := newFixture(t, streamTo(3))
	bad := strings.Repeat("b", 64)
	r.block(bad)
	var others strings.Builder
	for i := range 60 {
		fmt.Fprintf(&others, "%064x:10,", i)
	}
	for name, parts := range map[string]string{"three parts": "a:10," + bad + ":10,own:10", "60 others": others.String() + bad + ":10,own:10"} {
		began := time.Now()
		wantRefused(t, r.send(http.MethodPost, "/check/", "", "Tokens: 30,10", "Parts: "+parts), time.Since(began))
		if n := r.calls(); n != 0 {
			t.Errorf("%s: %d requests with the blocked part reached an engine", name, n)
		}
	}
	if a := r.send(http.MethodPost, "/check/", "", "Tokens: 30,10", "Parts: "+others.String()+"own:10"); a.status != http.StatusOK {
		t.Errorf("a prompt without the part: status %d, want 200", a.status)
	}
}

// streamTo answers with a stream whose last event has the given id.
func streamTo(last int) routed.Handler {
	return func(c *routed.Call) bool {
		c.BeginStream("Request-Id: "+c.Header.Get("Request-Id"), "Seal: s")
		for id := range last + 1 {
			c.Chunk(routed.Event(id))
		}
		c.EndStream()
		return true
	}
}

// A request that an engine has not begun to answer when its part is blocked is taken back
// from the engine. It may have run.
func TestBlockTakesRequestsBack(t *testing.T) {
	var closed atomic.Bool
	arrived, ended := make(chan struct{}), make(chan struct{})
	r := newFixture(t, func(c *routed.Call) bool {
		close(arrived)
		closed.Store(c.WaitClosed(time.Second))
		close(ended)
		return false
	})
	got := make(chan answer, 1)
	go func() {
		got <- r.send(http.MethodPost, "/check/", "", "Tokens: 30,10", "Parts: a:10,bad:10,own:10")
	}()
	<-arrived
	r.block("bad")
	if a := <-got; a.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", a.status)
	}
	<-ended
	if !closed.Load() {
		t.Error("the engine still works on the request")
	}
}

// A request that waits for room when its part is blocked is refused at once.
func TestBlockEndsWaiting(t *testing.T) {
	r := newFixture(t)
	got := make(chan answer, 1)
	go func() {
		got <- r.send(http.MethodPost, "/check/", "", "Tokens: 30,10", "Parts: a:10,bad:10,own:10")
	}()
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	r.block("bad")
	wantRefused(t, <-got, time.Since(began))
}
