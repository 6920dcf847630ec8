package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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
	for host := range s.front {
		s.eventually(fmt.Sprintf("host %d knows the other endpoint", host), 2*time.Second, func() bool {
			_, body := s.get(s.front[host], "/a/")
			return body == "other"
		})
	}
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

// While no host may send an endpoint a request, requests are refused at once with the time at
// which the host may. Once the endpoint names its limit to none any more, all hosts use it
// again, although only one got an answer that said so.
func TestNamedLimitEndsOnAllHosts(t *testing.T) {
	s := newSite(t, 3)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
	limited := &limitedEndpoint{}
	s.endpoint("limited", limited.serve)
	s.eventually("all serve", 2*time.Second, s.allServe("/a/", "limited"))
	time.Sleep(2 * time.Second) // a host that has just started uses no limit of all hosts
	limited.setLimit("1")
	_, _ = s.get(s.front[0], "/a/")
	time.Sleep(_limitSpread)
	refused := 0
	for _, address := range s.front {
		began := time.Now()
		status, header := s.getHeader(address, "/a/")
		if status == 200 {
			continue // the host's permit was due
		}
		refused++
		retryAfter, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		if status != 503 || err != nil || retryAfter <= 0 || time.Since(began) > time.Second {
			t.Errorf("status %d with Retry-After %q after %v, want 503 within the route's goal", status, header.Get("Retry-After"), time.Since(began))
		}
	}
	if refused == 0 {
		t.Error("no host refused a request although the endpoint takes one per second")
	}
	limited.setLimit("")
	s.eventually("a host learns that the limit ended", 10*time.Second, func() bool {
		status, _ := s.get(s.front[0], "/a/")
		return status == 200
	})
	s.eventually("all hosts use the endpoint again", _limitSpread, s.allServe("/a/", "limited"))
	if !s.allServe("/a/", "limited")() {
		t.Error("a host refuses requests although the limit has ended")
	}
}

// wantAnswers sends a request to each host in turn until a time, and checks that each is answered within the time that its
// caller waits.
func (s *site) wantAnswers(until time.Time) {
	s.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for i := 0; time.Now().Before(until); i++ {
		req, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+s.front[i%len(s.front)]+"/a/", nil)
		if err != nil {
			s.t.Fatal(err)
		}
		req.Host = "h"
		req.Header.Set("Request-Id", fmt.Sprint("r", i))
		req.Header.Set("Deadline-Ms", "900")
		answer, err := client.Do(req)
		if err != nil {
			s.t.Fatalf("host %d did not answer: %v", i%len(s.front), err)
		}
		_ = answer.Body.Close()
		time.Sleep(10 * time.Millisecond)
	}
}

// Hosts that had been told a limit beyond any rate closed the connection of the next request, and answered no other one.
func TestHostsAnswerAfterAnyNamedLimit(t *testing.T) {
	for value, limitsNothing := range map[string]bool{
		"10000000000": true, "1e308": true, "9" + strings.Repeat("0", 30): true, "1e400": true, "Inf": true, "NaN": true, "-1": true, "": true,
		"0": false, "1e-300": false, "0." + strings.Repeat("0", 400) + "1": false,
	} {
		t.Run(fmt.Sprintf("%.20s", value), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 3)
			s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
			var inNeed atomic.Bool
			for i := range 2 {
				s.endpoint(fmt.Sprint("e", i), func(c *routed.Call) bool {
					echo := "Request-Id: " + c.Header.Get("Request-Id")
					if inNeed.Load() {
						c.Answer(http.StatusServiceUnavailable, "", echo, "Not-Run: 1", "Retry-After: 0.2", "Limit: "+value)
					} else {
						c.Answer(http.StatusOK, "sound", echo, "Seal: s")
					}
					return true
				})
			}
			s.eventually("all serve", 2*time.Second, s.allServe("/a/", "sound"))
			time.Sleep(2 * time.Second) // a host that has just started uses no limit of all hosts
			inNeed.Store(true)
			s.wantAnswers(time.Now().Add(300 * time.Millisecond))
			inNeed.Store(false)
			s.wantAnswers(time.Now().Add(2 * time.Second))
			if limitsNothing {
				s.eventually("all serve again", time.Second, s.allServe("/a/", "sound"))
			}
		})
	}
}
