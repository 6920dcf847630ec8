package front_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/origin"
	"apricotproxy/core/procs/reach"
	"apricotproxy/fakes/cutoff"
	"apricotproxy/fakes/routed"
	"apricotproxy/io/front"
)

// handleHome is handle for engines that copy nothing to themselves: they answer that there is no such destination, and the
// run goes on.
func (e *liveEngines) handleHome(c *routed.Call) bool {
	var move struct{ ID, To string }
	if c.URL.Path != "/move" || json.Unmarshal([]byte(c.BodyText), &move) != nil || move.To != c.LocalAddress() {
		return e.handle(c)
	}
	e.awaitSound(c.LocalAddress())
	status := http.StatusServiceUnavailable
	if !e.stop(move.ID, c.LocalAddress(), false) {
		status = http.StatusNotFound
	}
	c.Answer(status, "")
	return true
}

// host is one of the hosts of a fixture. They share what they know.
type host struct {
	fixture *fixture
	url     string
	stop    func(context.Context)
}

func (r *fixture) addHost() host {
	r.serve(nil)
	return host{r, r.server.URL, r.front.EndRuns}
}

// caller is a caller's stream.
type caller struct {
	leave context.CancelFunc
	lines *bufio.Scanner
	body  io.Closer
	text  strings.Builder
	last  int
}

// begin sends a request for a stream.
func (h host) begin(id string, headers ...string) *caller {
	t := h.fixture.t
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	path := "/check/"
	for _, header := range headers {
		if other, ok := strings.CutPrefix(header, "Path: "); ok {
			path = other
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	for _, header := range append([]string{"Request-Id: " + id, "Key: k", "Deadline-Ms: 12000", "Tokens: 100,400"}, headers...) {
		name, value, _ := strings.Cut(header, ": ")
		req.Header.Set(name, value)
	}
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	res, err := transport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = res.Body.Close() })
	if res.StatusCode != http.StatusOK {
		t.Fatalf("status %d", res.StatusCode)
	}
	return &caller{leave: cancel, lines: bufio.NewScanner(res.Body), body: res.Body, last: -1}
}

// read reads up to and including an event. It returns false if the stream ends before.
func (c *caller) read(last int) bool {
	for c.last < last && c.lines.Scan() {
		if id, ok := strings.CutPrefix(c.lines.Text(), "id: "); ok {
			c.last, _ = strconv.Atoi(id)
		}
		c.text.WriteString(c.lines.Text() + "\n")
	}
	return c.last >= last
}

// newLiveFixture returns a fixture whose resumable streams last as long as the runs of its engines.
func newLiveFixture(t *testing.T, engines *liveEngines) *fixture {
	t.Helper()
	return newLiveFixtureOf(t, nil, engines)
}

func newLiveFixtureOf(t *testing.T, origins *front.SharedOrigins, engines *liveEngines) *fixture {
	t.Helper()
	r := newFixtureWithOrigins(t, origins, engines.handleHome, engines.handleHome)
	for _, path := range []string{"/check/", "/recheck/"} {
		route, _ := r.view.Load().Table.Match("h", path)
		route.Timeout = 15 * time.Second
	}
	return r
}

// moves returns how often endpoints were asked to stop or copy a run, and how often to free its memory.
func (r *fixture) moves() (moves, frees int) {
	for _, e := range r.endpoints {
		for _, c := range e.Calls() {
			switch {
			case c.URL.Path == "/move":
				moves++
			case strings.HasPrefix(c.URL.Path, "/handle/"):
				frees++
			}
		}
	}
	return moves, frees
}

// A resumable stream was taken up at another host while the endpoint still worked on the run of the first one,
// whose caller had left or which had stopped.
func TestTakenUpStreamRunsOnce(t *testing.T) {
	for name, end := range map[string]func(first host, c *caller){
		"caller leaves": func(_ host, c *caller) { c.leave() },
		"host stops": func(first host, _ *caller) {
			ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
			defer cancel()
			first.stop(ctx)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engines := &liveEngines{trouble: func(string) {}}
			r := newLiveFixture(t, engines)
			first, second := r.addHost(), r.addHost()
			c := first.begin("r1")
			if !c.read(_troubleEvent) {
				t.Fatalf("the stream ended after %q", c.text.String())
			}
			end(first, c)
			rest := second.begin("r2", "Resumes: r1", "Last-Event-Id: "+strconv.Itoa(c.last))
			if !rest.read(_novelEvents - 1) {
				t.Errorf("the stream that was taken up ended after event %d", rest.last)
			}
			if runs := engines.check(t); runs != 2 {
				t.Errorf("%d runs, want 2", runs)
			}
			if moves, frees := r.moves(); moves != 1 || frees != 1 {
				t.Errorf("asked %d times to stop the run and %d times to free its memory, want once each", moves, frees)
			}
		})
	}
}

// A resumable stream went on elsewhere while the run that it had left still worked, since nothing more was done
// once the endpoint had not answered in time or the path had reset the connection.
func TestRunThatResumableStreamLeftIsEnded(t *testing.T) {
	const cutLength = 1800 * time.Millisecond
	for name, trouble := range map[string]func(t *testing.T, e *liveEngines, address string, link *cutoff.Link){
		"its connection is reset": func(_ *testing.T, _ *liveEngines, _ string, link *cutoff.Link) { link.ResetOpen() },
		"silent, and new connections hang": func(t *testing.T, e *liveEngines, address string, link *cutoff.Link) {
			e.silence(address, cutLength)
			if err := link.Cut(cutoff.HangNew); err != nil {
				t.Error(err)
			}
			restored := make(chan error, 1)
			time.AfterFunc(cutLength, func() { restored <- link.Restore() })
			t.Cleanup(func() {
				if err := <-restored; err != nil {
					t.Error(err)
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engines := &liveEngines{}
			r := newLiveFixture(t, engines)
			links := linkEndpoints(t, r)
			engines.trouble = func(address string) { trouble(t, engines, address, links[address]) }
			c := r.addHost().begin("r1")
			if !c.read(_novelEvents - 1) {
				t.Errorf("the stream ended after event %d", c.last)
			}
			if runs := engines.check(t); runs != 2 {
				t.Errorf("%d runs, want 2", runs)
			}
		})
	}
}

// Only runs of resumable streams that had begun are ended.
func TestOtherRunsAreNotAskedToEnd(t *testing.T) {
	isDone := make(chan struct{})
	defer close(isDone)
	for name, c := range map[string]struct {
		path   string
		handle routed.Handler
	}{
		"complete": {"/check/", func(c *routed.Call) bool {
			c.BeginStream(echo(c), _seal)
			events(c, 0, 3)
			c.EndStream()
			return true
		}},
		"no event yet": {"/check/", func(c *routed.Call) bool {
			c.WaitClosed(time.Second)
			return false
		}},
		"not resumable": {"/draft/", func(c *routed.Call) bool {
			c.BeginStream(echo(c), _seal)
			events(c, 0, 3)
			c.WaitClosed(time.Second)
			return false
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, c.handle)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.server.URL+c.path, nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h"
			req.Header.Set("Request-Id", "r1")
			req.Header.Set("Key", "k")
			if res, err := http.DefaultTransport.RoundTrip(req); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			}
			time.Sleep(200 * time.Millisecond)
			if moves, frees := r.moves(); moves+frees > 0 {
				t.Errorf("asked %d times to stop a run and %d times to free memory, want 0", moves, frees)
			}
		})
	}
}

// tellOthers returns origins whose question reaches all hosts of a fixture, which end what it claims before they
// answer.
func tellOthers(t *testing.T, hosts *[]*front.Front) *front.SharedOrigins {
	var origins *front.SharedOrigins
	origins = front.NewSharedOrigins(front.OriginConfig{AskHosts: func(request string, claim origin.Claim) int {
		for i, h := range *hosts {
			wait := h.EndAttempts(claim)
			go func() {
				if wait != nil {
					wait(t.Context())
				}
				origins.Answer(core.HostName(strconv.Itoa(i)), nil, []string{request})
			}()
		}
		return len(*hosts)
	}})
	origins.Update(func(l *origin.Ledger) { l.SetCurrent(time.Now().Add(-time.Minute), true) })
	return origins
}

// A stream was taken up at another host while the first one, whose connection to the caller hung, had its endpoint go
// on.
func TestTakeUpEndsTheAttemptBefore(t *testing.T) {
	for _, c := range []struct {
		name string
		// reads is true if the caller still reads the first attempt's events.
		reads   bool
		sameOne bool
	}{
		{"caller reads, at another host", true, false},
		{"caller reads, at the same host", true, true},
		{"caller's connection hangs, at another host", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			engines := &liveEngines{trouble: func(string) {}}
			var fronts []*front.Front
			r := newLiveFixtureOf(t, tellOthers(t, &fronts), engines)
			first := r.addHost()
			fronts = append(fronts, r.front)
			second := r.addHost()
			fronts = append(fronts, r.front)
			if c.sameOne {
				second = first
			}
			before := first.begin("r1")
			if !before.read(_troubleEvent) {
				t.Fatalf("the stream ended after event %d", before.last)
			}
			began := time.Now()
			rest := second.begin("r2", "Resumes: r1", "Last-Event-Id: "+strconv.Itoa(before.last))
			if took := time.Since(began); took > time.Second {
				t.Errorf("the take-up took %v", took)
			}
			if c.reads && before.read(_novelEvents-1) {
				t.Error("the first attempt brought the whole stream")
			}
			if !rest.read(_novelEvents - 1) {
				t.Errorf("the stream that was taken up ended after event %d", rest.last)
			}
			if runs := engines.check(t); runs != 2 {
				t.Errorf("%d runs, want 2", runs)
			}
		})
	}
}

// A caller ends only streams that it could take up.
func TestTakeUpEndsNoOtherStream(t *testing.T) {
	for name, headers := range map[string][]string{
		"another workspace": {"Key: k2", "Resumes: r1"},
		"another route":     {"Resumes: r1", "Path: /recheck/"},
		"another stream":    {"Resumes: r0"},
		"no stream":         nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engines := &liveEngines{trouble: func(string) {}}
			var fronts []*front.Front
			r := newLiveFixtureOf(t, tellOthers(t, &fronts), engines)
			first := r.addHost()
			fronts = append(fronts, r.front)
			second := r.addHost()
			fronts = append(fronts, r.front)
			before := first.begin("r1")
			if !before.read(_troubleEvent) {
				t.Fatalf("the stream ended after event %d", before.last)
			}
			other := second.begin("r2", append(headers, "Last-Event-Id: "+strconv.Itoa(before.last))...)
			if !other.read(_novelEvents-1) || !before.read(_novelEvents-1) {
				t.Errorf("the streams ended after events %d and %d, want the last ones", other.last, before.last)
			}
		})
	}
}

// A host that writes to a caller that does not read went on with the run of a stream that was taken up.
func TestTakeUpEndsTheAttemptThatIsBlocked(t *testing.T) {
	t.Parallel()
	stopped := make(chan time.Time, 1)
	data := strings.Repeat("x", 8<<10)
	handle := func(c *routed.Call) bool {
		switch {
		case c.URL.Path == "/move":
			stopped <- time.Now()
			c.Answer(http.StatusServiceUnavailable, `{"handle":"h9"}`)
			return true
		case strings.HasPrefix(c.URL.Path, "/handle/"):
			c.Answer(http.StatusOK, "")
			return true
		}
		c.BeginStream(echo(c), _seal)
		if c.Header.Get("Last-Event-Id") != "" {
			events(c, 1, _lastEvent)
			c.EndStream()
			return true
		}
		events(c, 0, 0)
		for id, closed := 1, false; !closed; id++ {
			c.Chunk("id: " + strconv.Itoa(id) + "\ndata: " + data + "\n\n")
			closed = id%100 == 0 && c.WaitClosed(time.Millisecond)
		}
		time.Sleep(_overlap) // it goes on although its connection has closed
		return false
	}
	var fronts []*front.Front
	r := newFixtureWithOrigins(t, tellOthers(t, &fronts), handle, handle)
	first := r.addHost()
	fronts = append(fronts, r.front)
	second := r.addHost()
	fronts = append(fronts, r.front)
	before := first.begin("r1", "Deadline-Ms: 4000")
	if !before.read(0) {
		t.Fatal("the stream did not begin")
	}
	time.Sleep(700 * time.Millisecond) // until all buffers are full
	rest := second.begin("r2", "Resumes: r1", "Last-Event-Id: 0")
	began := time.Now()
	if !rest.read(_lastEvent) {
		t.Errorf("the stream that was taken up ended after event %d", rest.last)
	}
	select {
	case at := <-stopped:
		if at.After(began.Add(_overlap)) {
			t.Errorf("the endpoint was asked to stop the run %v after the next one had begun", at.Sub(began))
		}
	case <-time.After(time.Second):
		t.Error("the endpoint was not asked to stop the run")
	}
}

// A host went on with a stream that another one had relayed to it, when that one had lost the connection and gone on
// elsewhere.
func TestRunOfRelayedStreamIsEnded(t *testing.T) {
	t.Parallel()
	engines := &liveEngines{}
	var other *front.Front
	var origins *front.SharedOrigins
	origins = front.NewSharedOrigins(front.OriginConfig{AskHost: func(host core.HostName, request string, claim origin.Claim) int {
		wait := other.EndAttempts(claim)
		go func() {
			if wait != nil {
				wait(t.Context())
			}
			origins.Answer(host, nil, []string{request})
		}()
		return 1
	}})
	origins.Update(func(l *origin.Ledger) { l.SetCurrent(time.Now().Add(-time.Minute), true) })
	r := newFixtureWithOrigins(t, origins, engines.handleHome, engines.handleHome)
	route, _ := r.view.Load().Table.Match("h", "/check/")
	route.Timeout = 15 * time.Second
	r.serve(front.NewSharedReach(reach.New("other", "a", rand.New(rand.NewPCG(1, 1))), func(_, _ reach.State, _ time.Duration) {}))
	other = r.front
	server := httptest.NewServer(other.PeerHandler(http.NotFoundHandler()))
	t.Cleanup(server.Close)
	link, err := cutoff.StartHalf(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	engines.trouble = func(string) { link.ResetNear() }
	r.relayTo(link.Address)
	c := host{fixture: r, url: r.server.URL}.begin("r1")
	if !c.read(_novelEvents - 1) {
		t.Errorf("the stream ended after event %d", c.last)
	}
	if runs := engines.check(t); runs != 2 {
		t.Errorf("%d runs, want 2", runs)
	}
}

// A run went on if its endpoint did not reach the destination that it was first asked to copy the run's memory to.
func TestRunIsEndedWithAnotherDestination(t *testing.T) {
	t.Parallel()
	engines := &liveEngines{trouble: func(string) {}}
	var unreached sync.Map
	var isUnreached atomic.Bool
	handle := func(c *routed.Call) bool {
		var move struct{ To string }
		if c.URL.Path != "/move" || json.Unmarshal([]byte(c.BodyText), &move) != nil {
			return engines.handleHome(c)
		}
		if isUnreached.CompareAndSwap(false, true) {
			unreached.Store(move.To, true)
		}
		if _, ok := unreached.Load(move.To); ok {
			c.Answer(http.StatusServiceUnavailable, "")
			return true
		}
		return engines.handleHome(c)
	}
	r := newFixture(t, handle, handle, handle)
	route, _ := r.view.Load().Table.Match("h", "/check/")
	route.Timeout = 15 * time.Second
	first, second := r.addHost(), r.addHost()
	c := first.begin("r1")
	if !c.read(_troubleEvent) {
		t.Fatalf("the stream ended after event %d", c.last)
	}
	c.leave()
	rest := second.begin("r2", "Resumes: r1", "Last-Event-Id: "+strconv.Itoa(c.last))
	if !rest.read(_novelEvents - 1) {
		t.Errorf("the stream that was taken up ended after event %d", rest.last)
	}
	if runs := engines.check(t); runs != 2 {
		t.Errorf("%d runs, want 2", runs)
	}
	if moves, frees := r.moves(); moves != 2 || frees != 1 {
		t.Errorf("asked %d times to stop the run and %d times to free its memory, want 2 and 1", moves, frees)
	}
}
