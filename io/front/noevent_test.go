package front_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"apricotproxy/fakes/cutoff"
	"apricotproxy/fakes/routed"
)

// A resumable stream went on elsewhere while an endpoint worked on its request, of which it had sent no event.
func TestRunWithoutAnEventIsEnded(t *testing.T) {
	t.Run("first run", func(t *testing.T) {
		t.Parallel()
		engines := &liveEngines{trouble: func(string) {}}
		var links map[string]*cutoff.Link
		ready := make(chan struct{})
		var once sync.Once
		handle := func(c *routed.Call) bool {
			if c.URL.Path == "/check/" {
				once.Do(func() {
					<-ready
					time.AfterFunc(30*time.Millisecond, links[c.LocalAddress()].ResetOpen)
				})
			}
			return engines.handleHome(c)
		}
		r := newFixture(t, handle, handle)
		route, _ := r.view.Load().Table.Match("h", "/check/")
		route.Timeout = 15 * time.Second
		links = linkEndpoints(t, r)
		close(ready)
		got := r.send(http.MethodPost, "/check/", "", "Tokens: 100,400", "Deadline-Ms: 12000")
		if got.err != nil || got.body != wantStream(_novelEvents-1) {
			t.Errorf("stream of %d bytes, %v", len(got.body), got.err)
		}
		engines.check(t)
	})
	t.Run("where the stream goes on", func(t *testing.T) {
		t.Parallel()
		engines := &liveEngines{}
		var links map[string]*cutoff.Link
		ready := make(chan struct{})
		var n atomic.Int64
		handle := func(c *routed.Call) bool {
			if c.URL.Path == "/check/" && n.Add(1) == 2 {
				<-ready
				time.AfterFunc(30*time.Millisecond, links[c.LocalAddress()].ResetOpen)
			}
			return engines.handleHome(c)
		}
		r := newFixture(t, handle, handle, handle)
		route, _ := r.view.Load().Table.Match("h", "/check/")
		route.Timeout, route.MaxAttempts = 15*time.Second, 4
		links = linkEndpoints(t, r)
		engines.trouble = func(address string) { links[address].ResetOpen() }
		close(ready)
		got := r.send(http.MethodPost, "/check/", "", "Tokens: 100,400", "Deadline-Ms: 12000")
		if got.err != nil || got.body != wantStream(_novelEvents-1) {
			t.Errorf("stream of %d bytes, %v", len(got.body), got.err)
		}
		engines.check(t)
	})
	t.Run("offered, and the silent one goes on", func(t *testing.T) {
		t.Parallel()
		engines := &liveEngines{trouble: func(string) {}}
		var n atomic.Int64
		engines.beginDelay = func(c *routed.Call) time.Duration {
			if n.Add(1) == 1 {
				return 800 * time.Millisecond
			}
			return 600 * time.Millisecond
		}
		r := newFixture(t, engines.handleHome, engines.handleHome)
		route, _ := r.view.Load().Table.Match("h", "/check/")
		route.Timeout = 15 * time.Second
		got := r.send(http.MethodPost, "/check/", "", "Tokens: 100,400", "Deadline-Ms: 12000")
		if got.err != nil || got.body != wantStream(_novelEvents-1) {
			t.Errorf("stream of %d bytes, %v", len(got.body), got.err)
		}
		engines.mu.Lock()
		defer engines.mu.Unlock()
		for i, run := range engines.runs {
			if i > 0 && (run.end.IsZero() || run.end.Sub(run.begun) > _overlap) {
				t.Errorf("run %d worked on for %v beside the first (%d runs)", i, time.Since(run.begun), len(engines.runs))
			}
		}
	})
}
