package entry_test

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

const (
	_poisonEndpoints = 4
	// _restartTime is how long it takes until another endpoint replaces one that crashed.
	_restartTime = 200 * time.Millisecond
	// _minCrashes is the number of endpoints that a request may crash before it is contained,
	// and _maxLateRequests how many may reach endpoints _crashSpread later. Both are the users'.
	_minCrashes      = 3
	_maxLateRequests = 3
)

// poisonSite is three hosts before endpoints that end when they run a request for a path with
// "poison" in it. Another one starts for each that ended.
type poisonSite struct {
	*site
	// crashes counts the endpoints that ended.
	crashes atomic.Int64
	// streams is true if answers are streams. An endpoint ends after its first event then.
	streams bool
	mu      sync.Mutex
	started int
	sent    atomic.Int64
}

func newPoisonSite(t *testing.T, streams bool) *poisonSite {
	t.Helper()
	s := &poisonSite{site: newSite(t, 3), streams: streams}
	s.store.Put("config", fmt.Sprintf(`{"Version":1,"Prefix":"/a/","Streams":%t}`, streams))
	for range _poisonEndpoints {
		s.startEndpoint()
	}
	s.eventually("all serve", 2*time.Second, s.soundServed)
	return s
}

func (s *poisonSite) startEndpoint() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.t.Context().Err() != nil {
		return // the test has ended
	}
	s.started++
	name := fmt.Sprint("e", s.started)
	ready := make(chan struct{}) // closed once endpoint is set
	var endpoint *routed.Endpoint
	endpoint, err := routed.Start(func(c *routed.Call) bool {
		isPoison := strings.Contains(c.RequestURI, "poison")
		if s.streams {
			answerEvents(c, isPoison)
		}
		if !isPoison && s.streams {
			return true
		}
		if !isPoison {
			c.Answer(200, "sound", "Request-Id: "+c.Header.Get("Request-Id"), "Seal: s")
			return true
		}
		<-ready
		s.crashes.Add(1)
		s.store.Delete(name)
		endpoint.Close()
		time.AfterFunc(_restartTime, s.startEndpoint)
		return false
	})
	if err != nil {
		s.t.Error(err)
		return
	}
	close(ready)
	s.t.Cleanup(endpoint.Close)
	s.store.Put(name, endpoint.Address)
}

// answerEvents answers with a stream from the event on that is due, or only with its first event.
func answerEvents(c *routed.Call, onlyFirst bool) {
	c.BeginStream("Request-Id: "+c.Header.Get("Request-Id"), "Seal: s")
	first := 0
	if last, err := strconv.Atoi(c.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	c.Chunk(routed.Event(first))
	if onlyFirst {
		time.Sleep(20 * time.Millisecond)
		return
	}
	for id := first + 1; id < first+3; id++ {
		c.Chunk(routed.Event(id))
	}
	c.EndStream()
}

// send sends a request with an ID of its own to a host.
func (s *poisonSite) send(host int, path string) int {
	status, _ := s.get(s.front[host], path, fmt.Sprintf("Request-Id: r%d", s.sent.Add(1)))
	return status
}

// soundServed reports whether all hosts serve sound requests.
func (s *poisonSite) soundServed() bool {
	for host := range s.front {
		if s.send(host, fmt.Sprint("/a/sound", s.sent.Load())) != 200 {
			return false
		}
	}
	return true
}

// crash sends a poison request to the hosts in turn until it has crashed _minCrashes endpoints.
func (s *poisonSite) crash(path string) {
	for i := 0; s.crashes.Load() < _minCrashes; i++ {
		s.send(i%len(s.front), path)
		time.Sleep(10 * time.Millisecond)
	}
}

// checkContained fails the test if more than _maxLateRequests of a poison request reach
// endpoints, or if one is not refused.
func (s *poisonSite) checkContained(path string) {
	s.t.Helper()
	time.Sleep(_crashSpread)
	before := s.crashes.Load()
	for i := range 12 {
		if status := s.send(i%len(s.front), path); status != 503 && status != 502 && !s.streams {
			s.t.Errorf("a request that crashes endpoints got status %d", status)
		}
	}
	if late := s.crashes.Load() - before; late > _maxLateRequests {
		s.t.Errorf("the request crashed %d endpoints more, want at most %d", late, _maxLateRequests)
	}
	s.eventually("all serve sound requests", 2*time.Second, s.soundServed)
}

// A request that has crashed three endpoints hardly reaches any more, at whichever host it
// arrives and under whichever ID.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	s := newPoisonSite(t, false)
	s.crash("/a/poison")
	s.checkContained("/a/poison")
}

// A request that crashed each endpoint after its first event was never contained.
func TestRequestThatCrashesEndpointsAfterItsFirstEvent(t *testing.T) {
	s := newPoisonSite(t, true)
	s.crash("/a/poison")
	s.checkContained("/a/poison")
}
