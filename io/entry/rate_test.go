package entry_test

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

const (
	// In any _limitWindow an endpoint may get _limitFactor times what its limit allows, and
	// _limitExtra requests more, from _limitSpread after it named the limit. These are the
	// users' bounds; their _limitSpread is 3 s and more.
	_limitWindow = 4 * time.Second
	_limitFactor = 1.5
	_limitExtra  = 5
	_limitSpread = time.Second
	// _limitedPerSecond is the limit that the endpoints of these tests name.
	_limitedPerSecond = 3
)

// limitedEndpoint answers requests, and names a limit in its answers while limit is set.
type limitedEndpoint struct {
	mu       sync.Mutex
	limit    string
	arrivals []time.Time
}

func (l *limitedEndpoint) serve(c *routed.Call) bool {
	l.mu.Lock()
	l.arrivals = append(l.arrivals, time.Now())
	headers := []string{"Request-Id: " + c.Header.Get("Request-Id"), "Seal: s"}
	if l.limit != "" {
		headers = append(headers, "Limit: "+l.limit)
	}
	l.mu.Unlock()
	c.Answer(200, "limited", headers...)
	return true
}

func (l *limitedEndpoint) setLimit(limit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// count returns the number of arrivals from one time until another.
func (l *limitedEndpoint) count(from, until time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, at := range l.arrivals {
		if !at.Before(from) && at.Before(until) {
			n++
		}
	}
	return n
}

// loadHosts sends a request to each host each 25 ms until a time. It returns the answers by status.
func (s *site) loadHosts(until time.Time) map[int]int {
	var mu sync.Mutex
	statuses := make(map[int]int)
	var group sync.WaitGroup
	for host := range s.front {
		group.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				status, _ := s.get(s.front[host], "/a/", fmt.Sprintf("Request-Id: h%d-%d", host, i))
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				time.Sleep(25 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return statuses
}

// An endpoint that names a limit gets no more requests than that from all hosts together,
// while another endpoint serves the rest.
func TestRequestsBeyondNamedLimit(t *testing.T) {
	s := newSite(t, 3)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
	limited := &limitedEndpoint{}
	limited.setLimit(strconv.Itoa(_limitedPerSecond))
	s.endpoint("limited", limited.serve)
	s.endpoint("other", okHandler("other"))
	s.eventually("both serve", 2*time.Second, func() bool {
		_, body := s.get(s.front[0], "/a/")
		return body == "limited"
	})
	from := time.Now().Add(_limitSpread)
	statuses := s.loadHosts(from.Add(_limitWindow))
	allowed := int(_limitFactor*_limitedPerSecond*_limitWindow.Seconds()) + _limitExtra
	if n := limited.count(from, from.Add(_limitWindow)); n > allowed {
		t.Errorf("the endpoint got %d requests in %v, want at most %d", n, _limitWindow, allowed)
	}
	if len(statuses) != 1 || statuses[200] == 0 {
		t.Errorf("answers by status %v, want 200 only", statuses)
	}
}
