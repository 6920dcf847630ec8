package front_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotproxy/core/procs/know"
	"apricotproxy/fakes/cutoff"
	"apricotproxy/fakes/routed"
)

const (
	_novelEvents = 80
	_novelPause  = 50 * time.Millisecond
	// _troubleEvent is the event of a new run after which its trouble begins; the copy can be used then.
	_troubleEvent = 24
	// _laterTroubleEvent is the event of the second run after which it has trouble of its own.
	_laterTroubleEvent = 60
)

// liveEngines are fake engines that work on a run until it is done or was stopped, whatever becomes of its
// connection. While one is silent, it reads and sends nothing.
type liveEngines struct {
	// trouble is called after _troubleEvent of the first run.
	trouble func(address string)
	// moveDelay is after how long an engine acts on a request to stop a run.
	moveDelay time.Duration
	// answerStop answers a request to stop a run; nil for the usual answer.
	answerStop func(c *routed.Call, id string)
	// beginDelay returns after how long an engine begins to work on a request. Until then it knows no such run.
	beginDelay func(c *routed.Call) time.Duration
	// laterTrouble is called after _laterTroubleEvent of the second run; nil for none.
	laterTrouble func(address string)
	// neverCloses is true if an engine keeps the connection of a run that it stopped open.
	neverCloses bool

	mu          sync.Mutex
	runs        []*liveRun
	silentUntil map[string]time.Time
	pausesUntil map[string]time.Time
}

type liveRun struct {
	id, address, from string
	begun, end        time.Time
	stopped           chan struct{}
	isStopped         bool
}

func (e *liveEngines) silence(address string, length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silentUntil == nil {
		e.silentUntil = make(map[string]time.Time)
	}
	e.silentUntil[address] = time.Now().Add(length)
}

// pause has an engine make no events for a time. It answers meanwhile.
func (e *liveEngines) pause(address string, length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pausesUntil == nil {
		e.pausesUntil = make(map[string]time.Time)
	}
	e.pausesUntil[address] = time.Now().Add(length)
}

func (e *liveEngines) restOfPause(address string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(time.Until(e.pausesUntil[address]), 0)
}

func (e *liveEngines) awaitSound(address string) {
	for {
		e.mu.Lock()
		rest := time.Until(e.silentUntil[address])
		e.mu.Unlock()
		if rest <= 0 {
			return
		}
		time.Sleep(rest)
	}
}

func (e *liveEngines) handle(c *routed.Call) bool {
	e.awaitSound(c.LocalAddress())
	switch {
	case c.URL.Path == "/move":
		e.move(c)
	case strings.HasPrefix(c.URL.Path, "/handle/"):
		c.Answer(http.StatusOK, "")
	default:
		return e.run(c)
	}
	return true
}

func (e *liveEngines) move(c *routed.Call) {
	var move struct {
		ID   string
		Last bool
	}
	if err := json.Unmarshal([]byte(c.BodyText), &move); err != nil {
		c.Answer(http.StatusBadRequest, "")
		return
	}
	if move.Last && e.answerStop != nil {
		e.answerStop(c, move.ID)
		return
	}
	if move.Last {
		time.Sleep(e.moveDelay)
	}
	if !e.stop(move.ID, c.LocalAddress(), move.Last) {
		c.Answer(http.StatusNotFound, "")
		return
	}
	c.Answer(http.StatusOK, `{"handle":"h9","created":1}`)
}

// stop stops the run of a request at an engine if stops is true. It reports whether there was one.
func (e *liveEngines) stop(id, address string, stops bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, run := range e.runs {
		if run.id != id || run.address != address || !run.end.IsZero() || run.isStopped {
			continue
		}
		if stops {
			run.isStopped, run.end = true, time.Now()
			close(run.stopped)
		}
		return true
	}
	return false
}

func (e *liveEngines) run(c *routed.Call) bool {
	if e.beginDelay != nil {
		time.Sleep(e.beginDelay(c))
	}
	run := &liveRun{id: c.Header.Get("Request-Id"), address: c.LocalAddress(), from: c.Header.Get("Continue-From"), begun: time.Now(), stopped: make(chan struct{})}
	e.mu.Lock()
	number := len(e.runs)
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	defer e.end(run)
	first := 0
	if last, err := strconv.Atoi(c.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	c.BeginStream(echo(c), _seal)
	for id := first; id < _novelEvents; id++ {
		select {
		case <-run.stopped:
			if e.neverCloses {
				c.WaitClosed(_novelEvents * _novelPause)
			}
			return false
		case <-time.After(_novelPause + e.restOfPause(run.address)):
		}
		e.awaitSound(run.address)
		events(c, id, id)
		e.makeTrouble(run.address, number, id)
	}
	c.EndStream()
	return true
}

// makeTrouble makes the trouble that is due after an event of a run.
func (e *liveEngines) makeTrouble(address string, number, id int) {
	switch {
	case number == 0 && id == _troubleEvent:
		e.trouble(address)
	case number == 1 && id == _laterTroubleEvent && e.laterTrouble != nil:
		e.laterTrouble(address)
	}
}

func (e *liveEngines) end(run *liveRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if run.end.IsZero() {
		run.end = time.Now()
	}
}

// check waits for the ends of all runs, and fails if an engine worked on one for longer than _overlap after
// the next one began. It returns the number of runs.
func (e *liveEngines) check(t *testing.T) int {
	t.Helper()
	for deadline := time.Now().Add(_novelEvents*_novelPause + 5*time.Second); !e.haveEnded() && time.Now().Before(deadline); {
		time.Sleep(_novelPause)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, run := range e.runs {
		for j, before := range e.runs[:i] {
			if before.end.IsZero() || before.end.After(run.begun.Add(_overlap)) {
				t.Errorf("run %d from %q began %v before run %d ended", i, run.from, before.end.Sub(run.begun), j)
			}
		}
	}
	return len(e.runs)
}

func (e *liveEngines) haveEnded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !slices.ContainsFunc(e.runs, func(run *liveRun) bool { return run.end.IsZero() })
}

// linkEndpoints puts a network in front of each endpoint of a fixture, by the endpoints' addresses.
func linkEndpoints(t *testing.T, r *fixture) map[string]*cutoff.Link {
	t.Helper()
	links := make(map[string]*cutoff.Link)
	view := *r.view.Load()
	view.Endpoints = append([]know.Endpoint(nil), view.Endpoints...)
	for i := range view.Endpoints {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		_ = listener.Close()
		target := view.Endpoints[i].Address
		link, err := cutoff.Start(address, target, "127.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Close)
		links[target], view.Endpoints[i].Address = link, address
	}
	r.apply(&view)
	return links
}

// A stream went on from its copy at another endpoint although nothing showed that its run had ended: the
// endpoint did not answer in time, no connection to it could be opened, or a connection had been reset.
func TestStreamGoesOnOnlyOnceItsRunHasEnded(t *testing.T) {
	const (
		shortSilence = 2600 * time.Millisecond
		longSilence  = 4 * time.Second
		shortCut     = time.Second
	)
	cut := func(t *testing.T, link *cutoff.Link, kind cutoff.Kind, length time.Duration) {
		if err := link.Cut(kind); err != nil {
			t.Error(err)
		}
		restored := make(chan error, 1)
		time.AfterFunc(length, func() { restored <- link.Restore() })
		t.Cleanup(func() {
			if err := <-restored; err != nil {
				t.Error(err)
			}
		})
	}
	for _, c := range []struct {
		name      string
		trouble   func(t *testing.T, r *fixture, e *liveEngines, address string, link *cutoff.Link)
		moveDelay time.Duration
		// goesOn is true if the run is stopped, so that the stream must go on elsewhere.
		goesOn bool
	}{
		{"silent for 2.6 s", func(_ *testing.T, _ *fixture, e *liveEngines, address string, _ *cutoff.Link) {
			e.silence(address, shortSilence)
		}, 0, false},
		{"silent for 4 s", func(_ *testing.T, _ *fixture, e *liveEngines, address string, _ *cutoff.Link) {
			e.silence(address, longSilence)
		}, 0, false},
		{"silent, and new connections hang", func(t *testing.T, _ *fixture, e *liveEngines, address string, link *cutoff.Link) {
			e.silence(address, shortSilence)
			cut(t, link, cutoff.HangNew, shortSilence)
		}, 0, false},
		{"silent, and new connections are refused", func(t *testing.T, _ *fixture, e *liveEngines, address string, link *cutoff.Link) {
			e.silence(address, shortSilence)
			cut(t, link, cutoff.RefuseNew, shortSilence)
		}, 0, false},
		{"silent, new connections are refused, and then its own is reset", func(t *testing.T, _ *fixture, e *liveEngines, address string, link *cutoff.Link) {
			e.silence(address, longSilence)
			cut(t, link, cutoff.RefuseNew, longSilence)
			time.AfterFunc(shortSilence, link.ResetOpen)
		}, 0, true},
		{"its connection is reset", func(_ *testing.T, _ *fixture, _ *liveEngines, _ string, link *cutoff.Link) {
			link.ResetOpen()
		}, 0, true},
		{"its connection is reset, and new ones hang", func(t *testing.T, _ *fixture, _ *liveEngines, _ string, link *cutoff.Link) {
			cut(t, link, cutoff.HangNew, shortCut)
			link.ResetOpen()
		}, 0, true},
		{"its connection is reset, and attempts to connect to the copy's engine hang", func(t *testing.T, r *fixture, _ *liveEngines, _ string, link *cutoff.Link) {
			for _, other := range r.networks {
				if other != link {
					cut(t, other, cutoff.HangNew, shortCut)
				}
			}
			link.ResetOpen()
		}, 0, true},
		{"it leaves, and stops the run late", func(_ *testing.T, r *fixture, _ *liveEngines, address string, _ *cutoff.Link) {
			for i, endpoint := range r.endpoints {
				if endpoint.Address == address {
					r.leave(fmt.Sprint("e", i))
				}
			}
		}, time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			engines := &liveEngines{moveDelay: c.moveDelay}
			r := newFixture(t, engines.handle, engines.handle)
			service, _ := r.view.Load().Table.Service("all")
			service.Engine.Backups = c.moveDelay == 0 // a copy on order only
			links := linkEndpoints(t, r)
			r.networks = links
			engines.trouble = func(address string) { c.trouble(t, r, engines, address, links[address]) }
			got := r.send(http.MethodPost, "/novel/", "", "Tokens: 100,400", "Deadline-Ms: 12000")
			if got.err != nil || got.body != wantStream(_novelEvents-1) {
				t.Errorf("stream %q, %v; want %d events", got.body, got.err, _novelEvents)
			}
			if runs := engines.check(t); c.goesOn && runs != 2 {
				t.Errorf("%d runs, want 2", runs)
			}
		})
	}
}
