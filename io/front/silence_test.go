package front_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/place"
	"apricotproxy/fakes/routed"
)

const (
	// _soundSilence is how long a sound endpoint may be silent: a second or so.
	_soundSilence = 1200 * time.Millisecond
	// _longSilence is beyond that, and within the time that callers wait for an event.
	_longSilence = 2500 * time.Millisecond
)

// pausing returns an engine that sends a stream of five events, with a pause after the second.
func pausing(pause time.Duration) routed.Handler {
	return func(c *routed.Call) bool {
		c.BeginStream(echo(c), _seal)
		events(c, 0, 1)
		time.Sleep(pause)
		events(c, 2, 4)
		c.EndStream()
		return true
	}
}

// Endpoints that fall silent and go on were left, and the answer was cut when it could not go on
// elsewhere.
func TestSilentEndpointThatGoesOnIsNotCut(t *testing.T) {
	for _, c := range []struct {
		name     string
		path     string
		handlers []routed.Handler
		// prepare changes the fixture before the request.
		prepare func(*fixture)
		want    string
	}{
		{"no other endpoint", "/check/", []routed.Handler{pausing(_soundSilence)}, nil, wantStream(4)},
		{"no other endpoint, long silence", "/check/", []routed.Handler{pausing(_longSilence)}, nil, wantStream(4)},
		{"no retry left", "/check/", []routed.Handler{pausing(_longSilence), pausing(_longSilence)}, (*fixture).dropRetryBudget, wantStream(4)},
		{"the other endpoint is silent too", "/check/", []routed.Handler{silentAtResume, silentAtResume}, nil, wantStream(4)},
		{"the copy's endpoint refuses connections", "/draft/", []routed.Handler{growing(_longSilence), growing(_longSilence)}, (*fixture).closeIdleEndpoint, wantStream(6)},
		{"the copy's endpoint would refuse", "/draft/", []routed.Handler{refusesCopies, refusesCopies}, nil, wantStream(6)},
		{"a slow lookup without another endpoint", "/lookup/", []routed.Handler{slowAnswer}, nil, "slow"},
		{"a slow lookup without a retry left", "/lookup/", []routed.Handler{slowAnswer, slowAnswer}, (*fixture).dropRetryBudget, "slow"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newFixture(t, c.handlers...)
			if c.prepare != nil {
				c.prepare(r)
			}
			got := r.send(http.MethodPost, c.path, "", "Tokens: 100,400", "Deadline-Ms: 5000")
			if got.err != nil || got.status != http.StatusOK || got.body != c.want {
				t.Errorf("status %d, %q, %v; want %q", got.status, got.body, got.err, c.want)
			}
		})
	}
}

// A stream whose endpoint stalls while no other can be used goes on at the first that comes.
func TestSilentEndpointIsLeftOnceAnotherCanBeUsed(t *testing.T) {
	const laterBy = 2 * time.Second
	handle := func(c *routed.Call) bool {
		c.BeginStream(echo(c), _seal)
		if c.Header.Get("Last-Event-Id") != "" {
			events(c, 1, 4)
			c.EndStream()
			return true
		}
		events(c, 0, 1)
		c.WaitClosed(5 * time.Second)
		return false
	}
	r := newFixture(t, handle, handle)
	one, both := *r.view.Load(), *r.view.Load()
	one.Endpoints = one.Endpoints[:1]
	r.apply(&one)
	time.AfterFunc(laterBy, func() { r.apply(&both) })
	began := time.Now()
	got := r.send(http.MethodPost, "/check/", "", "Tokens: 100,400", "Deadline-Ms: 5000")
	if got.err != nil || got.body != wantStream(4) {
		t.Errorf("stream %q, %v; want %q", got.body, got.err, wantStream(4))
	}
	if took := time.Since(began); took > laterBy+time.Second {
		t.Errorf("took %v, want at most a second more than %v", took, laterBy)
	}
}

// A caller that did not read for a while made its endpoint count as silent.
func TestSlowCallerIsNoSilence(t *testing.T) {
	const (
		pieces = 800
		pause  = 2 * time.Second
	)
	data := strings.Repeat("x", 32<<10)
	handle := func(c *routed.Call) bool {
		c.BeginStream(echo(c), _seal)
		for id := range pieces {
			c.Chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", id, data))
		}
		c.EndStream()
		return true
	}
	r := newFixture(t, handle, handle)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, r.server.URL+"/check/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	for name, value := range map[string]string{"Request-Id": "r1", "Key": "k", "Deadline-Ms": "5000", "Tokens": "100,400"} {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	time.Sleep(pause)
	text, err := io.ReadAll(res.Body)
	if n := strings.Count(string(text), "\n\n"); err != nil || n != pieces {
		t.Errorf("%d of %d pieces, %v", n, pieces, err)
	}
	if n := r.calls(); n != 1 {
		t.Errorf("%d calls, want 1", n)
	}
}

// silentAtResume is silent for long in each run, so that a stream cannot go on sooner anywhere.
func silentAtResume(c *routed.Call) bool {
	c.BeginStream(echo(c), _seal)
	first := 0
	if c.Header.Get("Last-Event-Id") != "" {
		first = 1
	}
	events(c, first, 1)
	if c.WaitClosed(_longSilence) {
		return false
	}
	events(c, 2, 4)
	c.EndStream()
	return true
}

// growing returns an engine that sends events until its backup counts as ready, and then pauses.
func growing(pause time.Duration) routed.Handler {
	return func(c *routed.Call) bool {
		c.BeginStream(echo(c), _seal)
		for id := range 4 {
			events(c, id, id)
			time.Sleep(_backupReadyAfter / 3)
		}
		events(c, 4, 4)
		time.Sleep(pause)
		events(c, 5, 6)
		c.EndStream()
		return true
	}
}

// refusesCopies is an engine that falls silent for a second or so and accepts no run that
// continues from a copy.
func refusesCopies(c *routed.Call) bool {
	if c.Header.Get("Continue-From") != "" {
		return refuse(c)
	}
	return growing(_soundSilence)(c)
}

// slowAnswer answers after the fixture's Goal.
func slowAnswer(c *routed.Call) bool {
	time.Sleep(600 * time.Millisecond)
	c.Answer(http.StatusOK, "slow", echo(c), _seal)
	return true
}

// closeIdleEndpoint closes the endpoints without a call once there is a call.
func (r *fixture) closeIdleEndpoint() {
	go func() {
		for r.calls() == 0 {
			time.Sleep(time.Millisecond)
		}
		for _, e := range r.endpoints {
			if len(e.Calls()) == 0 {
				e.Close()
			}
		}
	}()
}

func (r *fixture) dropRetryBudget() {
	r.placer.Update(func(p *place.Placer) { p.SetBounds(time.Now(), core.EntryBounds{RetryWindow: 10 * time.Second}) })
}
