package entry_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

const (
	_crashEngines = 8
	// _maxLateArrivals is how many requests may reach engines after the hosts had
	// _crashSpread to learn of the fifth crash. Both are the users' bounds.
	_maxLateArrivals = 3
	_crashSpread     = 3 * time.Second
)

// crashSite is three hosts before engines that break off the answer to any prompt with
// the part "bad" before its first event.
type crashSite struct {
	*site
	// crashes counts the answers that were broken off.
	crashes atomic.Int64
	sent    int
	// firstEvent is true if they send the first event before.
	firstEvent bool
}

func newCrashSite(t *testing.T, firstEvent bool) *crashSite {
	t.Helper()
	s := &crashSite{site: newSite(t, 3), firstEvent: firstEvent}
	s.store.Put("config", `{"Version":1,"Prefix":"/a/","Streams":true}`)
	for i := range _crashEngines {
		s.endpoint(fmt.Sprint("e", i), s.serve)
	}
	s.eventually("all serve", 2*time.Second, func() bool { return s.soundServed("warm") == len(s.front) })
	return s
}

func (s *crashSite) serve(c *routed.Call) bool {
	isBad := strings.Contains(c.Header.Get("Parts"), "bad:")
	if isBad {
		s.crashes.Add(1)
	}
	if isBad && s.firstEvent {
		answerEvents(c, true)
		return false
	}
	c.BeginStream("Request-Id: "+c.Header.Get("Request-Id"), "Seal: s")
	if isBad {
		return false
	}
	for id := range 3 {
		c.Chunk(routed.Event(id))
	}
	c.EndStream()
	return true
}

// send sends a request with the given shared parts and a last part of its own.
func (s *crashSite) send(host int, parts string) int {
	s.sent++
	status, _ := s.get(s.front[host], "/a/", fmt.Sprintf("Request-Id: r%d", s.sent), "Tokens: 30,10", fmt.Sprintf("Parts: %s,own%d:10", parts, s.sent))
	return status
}

// soundServed sends a request with a sound shared part to each host and returns how many
// were served.
func (s *crashSite) soundServed(part string) int {
	served := 0
	for host := range s.front {
		if s.send(host, part+":20") == 200 {
			served++
		}
	}
	return served
}

// crash sends requests that crash engines until there were n crashes, or until that many
// requests were sent.
func (s *crashSite) crash(n int) {
	for i := range n {
		if int(s.crashes.Load()) < n {
			s.send(i%len(s.front), "common:20,bad:20")
		}
	}
}

// Once five engines crashed at prompts with one part, hardly any request with that part
// reaches an engine, at whichever host it arrives. Requests that share the other parts
// are served.
func TestPromptPartThatCrashesEngines(t *testing.T) {
	newCrashSite(t, false).checkPart()
}

// The same of engines that crash after their first event: the part was never contained.
func TestPromptPartThatCrashesEnginesAfterItsFirstEvent(t *testing.T) {
	newCrashSite(t, true).checkPart()
}

// checkPart crashes five engines and fails the test if the part is not contained then.
func (s *crashSite) checkPart() {
	s.t.Helper()
	s.crash(5)
	time.Sleep(_crashSpread)
	before := s.crashes.Load()
	for i := range 12 {
		if status := s.send(i%len(s.front), fmt.Sprintf("other%d:20,bad:20", i)); status == 200 && !s.firstEvent {
			s.t.Errorf("request %d that crashes engines got status 200", i)
		}
	}
	if late := s.crashes.Load() - before; late > _maxLateArrivals {
		s.t.Errorf("%d requests with the part reached engines, want at most %d", late, _maxLateArrivals)
	}
	if served := s.soundServed("common"); served != len(s.front) {
		s.t.Errorf("%d of %d requests with the common part were served", served, len(s.front))
	}
}

// A host that starts afterwards learns of the part from the others.
func TestPromptPartThatCrashesEnginesAfterRestart(t *testing.T) {
	s := newCrashSite(t, false)
	s.crash(5)
	s.stopAndWait(0)
	s.start(0)
	time.Sleep(_crashSpread)
	before := s.crashes.Load()
	for range 6 {
		s.send(0, "common:20,bad:20")
	}
	if late := s.crashes.Load() - before; late > _maxLateArrivals {
		t.Errorf("%d requests with the part reached engines, want at most %d", late, _maxLateArrivals)
	}
}
