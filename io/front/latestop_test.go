package front_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
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

// unframed is run for streams that end with their connection.
func (e *liveEngines) unframed(c *routed.Call) bool {
	if c.URL.Path == "/move" || c.Method != http.MethodPost {
		return e.handleHome(c)
	}
	e.awaitSound(c.LocalAddress())
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
	c.Write("HTTP/1.1 200 OK\r\n" + echo(c) + "\r\n" + _seal + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	for id := first; id < _novelEvents; id++ {
		select {
		case <-run.stopped:
			return false
		case <-time.After(_novelPause):
		}
		e.awaitSound(run.address)
		c.Write(routed.Event(id))
		e.makeTrouble(run.address, number, id)
	}
	return false
}

// A request to stop a run, which its engine carried out late, stopped the next run of the request at the same endpoint, and
// the stream was ended there as if it were complete.
func TestLateStopDoesNotEndTheNextRunAtItsEndpoint(t *testing.T) {
	const stopTime = 300 * time.Millisecond
	for name, engine := range map[string]struct {
		isFramed bool
		// firstStop is how long the engine takes to act on the first request to stop a run, mayBeCut whether that is so long
		// that the stream cannot go on.
		firstStop time.Duration
		mayBeCut  bool
	}{
		"framed false": {firstStop: stopTime},
		"framed true":  {isFramed: true, firstStop: stopTime},
		"framed false, the first request takes a second":    {firstStop: 1200 * time.Millisecond, mayBeCut: true},
		"framed false, the first request takes longer":      {firstStop: 1600 * time.Millisecond, mayBeCut: true},
		"framed true, the first request takes a second too": {isFramed: true, firstStop: 1200 * time.Millisecond, mayBeCut: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const silence = 1800 * time.Millisecond
			isFramed := engine.isFramed
			var asked atomic.Int64
			engines := &liveEngines{}
			handle := func(c *routed.Call) bool {
				var move struct{ ID string }
				if c.URL.Path == "/move" && json.Unmarshal([]byte(c.BodyText), &move) == nil {
					engines.awaitSound(c.LocalAddress())
					if asked.Add(1) == 1 {
						time.Sleep(engine.firstStop)
					} else {
						time.Sleep(stopTime)
					}
					n := 0
					for engines.stop(move.ID, c.LocalAddress(), true) {
						n++
					}
					if n == 0 {
						c.Answer(http.StatusNotFound, "")
					} else {
						c.Answer(http.StatusServiceUnavailable, `{"handle":"h9"}`)
					}
					return true
				}
				if isFramed {
					return engines.handleHome(c)
				}
				return engines.unframed(c)
			}
			r := newFixture(t, handle)
			route, _ := r.view.Load().Table.Match("h", "/check/")
			route.Timeout, route.MaxAttempts = 15*time.Second, 4
			r.serve(front.NewSharedReach(reach.New("other", "a", rand.New(rand.NewPCG(1, 1))), func(_, _ reach.State, _ time.Duration) {}))
			server := httptest.NewServer(r.front.PeerHandler(http.NotFoundHandler()))
			t.Cleanup(server.Close)
			links := linkEndpoints(t, r)
			const endpoint = "unreached"
			tracker := reach.New("self", "a", rand.New(rand.NewPCG(1, 1)))
			tracker.SetEndpoints(time.Now(), []core.EndpointKey{{ID: endpoint}})
			reached := front.NewSharedReach(tracker, func(_, _ reach.State, _ time.Duration) {})
			engines.trouble = func(address string) {
				reached.RecordHost(reach.Host{Name: "other", DataCentre: "a", SameRegion: true, Address: server.Listener.Addr().String(), Reaches: true})
				for began := time.Now(); reached.State() != reach.CutOff && time.Since(began) < time.Second; time.Sleep(20 * time.Millisecond) {
					reached.RecordUnanswered(core.RoutedEndpoint{ID: endpoint})
					for _, probe := range reached.DueProbes() {
						reached.RecordProbe(core.RoutedEndpoint{ID: probe.Key.ID}, io.EOF)
					}
				}
				engines.silence(address, silence)
				links[address].ResetOpen()
			}
			r.serve(reached)
			got := r.send(http.MethodPost, "/check/", "", "Tokens: 100,400", "Deadline-Ms: 12000")
			if got.err == nil && got.body != wantStream(_novelEvents-1) {
				t.Errorf("the stream ended as if it were complete: %d bytes of %d", len(got.body), len(wantStream(_novelEvents-1)))
			}
			if got.err != nil && !engine.mayBeCut {
				t.Errorf("the stream was cut after %d bytes: %v", len(got.body), got.err)
			}
			engines.mu.Lock()
			defer engines.mu.Unlock()
			for i, run := range engines.runs {
				t.Logf("run %d began %v ended %v stopped %v", i, run.begun.Sub(engines.runs[0].begun), run.end.Sub(engines.runs[0].begun), run.isStopped)
			}
		})
	}
}

// A host that had relayed a stream to another one went on with it at the same endpoint, and the other one had the endpoint stop
// that run, since its request to stop its own had not been answered yet.
func TestRelayedAttemptThatEndsDoesNotEndTheNextRun(t *testing.T) {
	for _, isFramed := range []bool{false, true} {
		t.Run(fmt.Sprint("framed ", isFramed), func(t *testing.T) {
			t.Parallel()
			const silence = 500 * time.Millisecond
			engines := &liveEngines{}
			handle := engines.unframed
			if isFramed {
				handle = engines.handleHome
			}
			var other *front.Front
			var origins *front.SharedOrigins
			origins = front.NewSharedOrigins(front.OriginConfig{AskHost: func(host core.HostName, request string, claim origin.Claim) int {
				wait := other.EndAttempts(claim)
				go func() {
					ctx, cancel := context.WithTimeout(t.Context(), 40*time.Millisecond)
					defer cancel()
					if wait == nil || wait(ctx) {
						origins.Answer(host, nil, []string{request})
					}
				}()
				return 1
			}})
			origins.Update(func(l *origin.Ledger) { l.SetCurrent(time.Now().Add(-time.Minute), true) })
			r := newFixtureWithOrigins(t, origins, handle, handle)
			// Engines stop a run only for another engine as the destination. One of another build cannot go on with the stream.
			view := *r.view.Load()
			view.Endpoints = slices.Clone(view.Endpoints)
			view.Endpoints[1].Build = "other"
			r.apply(&view)
			route, _ := r.view.Load().Table.Match("h", "/check/")
			route.Timeout, route.MaxAttempts = 15*time.Second, 4
			r.serve(front.NewSharedReach(reach.New("other", "a", rand.New(rand.NewPCG(1, 1))), func(_, _ reach.State, _ time.Duration) {}))
			other = r.front
			server := httptest.NewServer(other.PeerHandler(http.NotFoundHandler()))
			t.Cleanup(server.Close)
			link, err := cutoff.StartHalf(server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(link.Close)
			engines.trouble = func(address string) {
				engines.silence(address, silence)
				link.ResetNear()
			}
			r.relayTo(link.Address)
			got := r.send(http.MethodPost, "/check/", "", "Tokens: 100,400", "Deadline-Ms: 12000")
			if got.err == nil && got.body != wantStream(_novelEvents-1) {
				t.Errorf("the stream ended as if it were complete: %d bytes of %d", len(got.body), len(wantStream(_novelEvents-1)))
			}
			if got.err != nil {
				t.Errorf("the stream was cut after %d bytes: %v", len(got.body), got.err)
			}
			engines.mu.Lock()
			defer engines.mu.Unlock()
			for i, run := range engines.runs {
				t.Logf("run %d began %v ended %v stopped %v", i, run.begun.Sub(engines.runs[0].begun), run.end.Sub(engines.runs[0].begun), run.isStopped)
			}
		})
	}
}
