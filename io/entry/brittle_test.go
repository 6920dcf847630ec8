package entry_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

const (
	// _brittleSlots is the number of slots of the endpoints of a site without builds.
	_brittleSlots = 9
	// _brittleRefusals is how many requests the endpoints of these tests can turn away in a second.
	_brittleRefusals = 2
	// _brittleRunTime is how long a request runs on average, _fallTime how long an endpoint that
	// fell over is away.
	_brittleRunTime = 150 * time.Millisecond
	_fallTime       = time.Second
)

// brittleEndpoint runs as many requests as it has slots and turns the others away. While it is
// brittle it says so in all answers and falls over when it turns too many away in a second.
type brittleEndpoint struct {
	mu          sync.Mutex
	brittle     bool
	running     int
	turnedAway  []time.Time
	fallenUntil time.Time
	falls, most int
}

func (b *brittleEndpoint) serve(c *routed.Call) bool {
	headers := []string{"Request-Id: " + c.Header.Get("Request-Id"), "Seal: s"}
	b.mu.Lock()
	if b.brittle {
		headers = append(headers, fmt.Sprint("Brittle: ", _brittleRefusals))
	}
	if time.Now().Before(b.fallenUntil) {
		b.mu.Unlock()
		return false
	}
	if b.running >= _brittleSlots {
		stands := b.turnAway(time.Now())
		b.mu.Unlock()
		if stands {
			c.Answer(503, "full", append(headers, "Not-Run: 1")...)
		}
		return stands
	}
	b.running++
	b.mu.Unlock()
	time.Sleep(_brittleRunTime/2 + rand.N(_brittleRunTime))
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	c.Answer(200, "brittle", headers...)
	return true
}

// turnAway counts a request that is turned away. It returns false if the endpoint falls over.
func (b *brittleEndpoint) turnAway(now time.Time) bool {
	b.turnedAway = append(b.turnedAway, now)
	for now.Sub(b.turnedAway[0]) >= time.Second {
		b.turnedAway = b.turnedAway[1:]
	}
	b.most = max(b.most, len(b.turnedAway))
	if !b.brittle || len(b.turnedAway) <= _brittleRefusals {
		return true
	}
	b.falls, b.turnedAway, b.fallenUntil = b.falls+1, nil, now.Add(_fallTime)
	return false
}

func (b *brittleEndpoint) setBrittle(brittle bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.brittle, b.turnedAway, b.falls, b.most = brittle, nil, 0, 0
}

// result returns how often the endpoint fell over, and the most that it turned away in a second.
func (b *brittleEndpoint) result() (falls, most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.falls, b.most
}

// crowdHosts has callers of each host send one request after the other until a time. It returns the
// answers by status.
func (s *site) crowdHosts(callers int, until time.Time) map[int]int {
	var mu sync.Mutex
	statuses := make(map[int]int)
	var group sync.WaitGroup
	for host := range s.front {
		for caller := range callers {
			group.Go(func() {
				for i := 0; time.Now().Before(until); i++ {
					status, _ := s.get(s.front[host], "/a/", fmt.Sprintf("Request-Id: h%d-%d-%d", host, caller, i))
					mu.Lock()
					statuses[status]++
					mu.Unlock()
					if status != 200 {
						time.Sleep(20 * time.Millisecond)
					}
				}
			})
		}
	}
	group.Wait()
	return statuses
}

// Brittle endpoints are asked for more than they can run. Together the hosts send them so little
// that they do not fall over, and still use most of their slots.
func TestBrittleEndpointsDoNotFallOver(t *testing.T) {
	s := newSite(t, 3)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
	endpoints := make([]*brittleEndpoint, 2)
	for i := range endpoints {
		endpoints[i] = &brittleEndpoint{}
		s.endpoint(fmt.Sprint("brittle-", i), endpoints[i].serve)
	}
	s.eventually("all serve", 2*time.Second, s.allServe("/a/", "brittle"))
	time.Sleep(2 * time.Second) // a host that has just started uses no share of what all have
	for _, e := range endpoints {
		e.setBrittle(true)
	}
	for _, address := range s.front {
		_, _ = s.get(address, "/a/")
	}
	const span = 5 * time.Second
	statuses := s.crowdHosts(12, time.Now().Add(span))
	falls := 0
	for i, e := range endpoints {
		n, most := e.result()
		t.Logf("endpoint %d fell over %d times, most turned away in a second: %d", i, n, most)
		falls += n
	}
	if allowed := 2 + len(endpoints)/10; falls > allowed {
		t.Errorf("the endpoints fell over %d times, want at most %d", falls, allowed)
	}
	capacity := len(endpoints) * _brittleSlots * int(span/_brittleRunTime)
	if statuses[200] < capacity/2 {
		t.Errorf("answers by status %v, want at least half of %d with status 200", statuses, capacity)
	}
	t.Logf("answers by status %v of a capacity of %d", statuses, capacity)
}
