package front_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

// lateStops are engines whose streams have no framing and that act late on requests to stop a run.
type lateStops struct {
	// delay is the time until an engine acts, pause that between two events.
	delay, pause time.Duration
	// answersFirst is true if they answer that the run is stopped before they act.
	answersFirst bool

	mu sync.Mutex
	// stops holds the runs that have not ended, by request. It is closed to stop a run.
	stops map[string]chan struct{}
	leave func(id string)
}

func (s *lateStops) begin(id string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	stop := make(chan struct{})
	s.stops[id] = stop
	return stop
}

// end ends a run and reports whether it had not ended.
func (s *lateStops) end(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stop, isRunning := s.stops[id]
	if isRunning {
		close(stop)
		delete(s.stops, id)
	}
	return isRunning
}

func (s *lateStops) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stops[id] != nil
}

func (s *lateStops) handle(c *routed.Call) bool {
	if c.URL.Path == "/move" {
		return s.move(c)
	}
	id, next := c.Header.Get("Request-Id"), 0
	if last := c.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &next)
		next++
	}
	if next > _lastEvent {
		c.Write(streamHead(c) + _lastChunk)
		return true
	}
	stop := s.begin(id)
	defer s.end(id)
	c.Write(_closing.message(200, _eventStream, routed.Event(next), echo(c), _seal))
	if next == 0 {
		s.leave(c.Header.Get("Expect-Endpoint"))
	}
	for n := next + 1; n <= _lastEvent; n++ {
		select {
		case <-stop:
			return false
		case <-time.After(s.pause):
		}
		c.Write(routed.Event(n))
	}
	return false
}

func (s *lateStops) move(c *routed.Call) bool {
	var move struct {
		ID   string
		Last bool
	}
	_ = json.Unmarshal([]byte(c.BodyText), &move)
	const answer = `{"handle":"h1","created":1}`
	switch {
	case move.Last && s.answersFirst && s.has(move.ID):
		time.AfterFunc(s.delay, func() { s.end(move.ID) })
	case move.Last:
		time.Sleep(s.delay)
		if !s.end(move.ID) {
			c.Answer(http.StatusNotFound, "")
			return true
		}
	}
	c.Answer(http.StatusOK, answer)
	return true
}

// A leaving engine stopped a run late, long after this host had given up the request for it, and closed the stream. It
// ended as complete with events missing.
func TestStreamThatIsStoppedLateIsNotComplete(t *testing.T) {
	for _, c := range []struct {
		name    string
		engines *lateStops
		// mayBeCut is true if the stream may be broken off instead of going on.
		mayBeCut bool
	}{
		{name: "stopped after 600 ms", engines: &lateStops{delay: 600 * time.Millisecond, pause: 500 * time.Millisecond}},
		{name: "stopped after 1 s", engines: &lateStops{delay: time.Second, pause: 700 * time.Millisecond}},
		{name: "stopped after 2.5 s", engines: &lateStops{delay: 2500 * time.Millisecond, pause: 1100 * time.Millisecond}},
		{name: "stopped after the request has timed out", engines: &lateStops{delay: 3500 * time.Millisecond, pause: 1300 * time.Millisecond}, mayBeCut: true},
		{name: "answered at once, stopped after 1.2 s", engines: &lateStops{delay: 1200 * time.Millisecond, pause: 700 * time.Millisecond, answersFirst: true}, mayBeCut: true},
		{name: "ended before it was stopped", engines: &lateStops{delay: 2 * time.Second, pause: 400 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			engines := c.engines
			engines.stops = make(map[string]chan struct{})
			r := newFixture(t, engines.handle, engines.handle)
			service, _ := r.view.Load().Table.Service("all")
			service.Engine.Backups = false
			engines.leave = r.leave
			got := r.send(http.MethodPost, "/novel/x", "", "Tokens: 100,400", "Deadline-Ms: 14000")
			if got.err == nil && got.body != wantStream(_lastEvent) {
				t.Errorf("stream %q ended as complete", got.body)
			}
			if got.err != nil && !c.mayBeCut {
				t.Errorf("stream %q was broken off: %v", got.body, got.err)
			}
		})
	}
}
