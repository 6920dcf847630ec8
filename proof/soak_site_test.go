package proof_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"apricotproxy/fakes/routed"
	"apricotproxy/io/local"
)

// The endpoints and callers of the soak, and what is checked of them.

// startEndpoint starts an endpoint under a new name.
func (r *soakRun) startEndpoint() {
	e := &soakEndpoint{}
	endpoint, err := routed.Start(func(c *routed.Call) bool { return r.answer(c, e) })
	if err != nil {
		r.violate("%v", err)
		return
	}
	r.mu.Lock()
	e.Endpoint, e.name, e.build = endpoint, fmt.Sprint("e", r.started), fmt.Sprint("v", r.started%_soakBuilds)
	r.started++
	r.endpoints = append(r.endpoints, e)
	r.mu.Unlock()
	r.writeFiles()
}

// replace removes an endpoint, and starts another one some time later.
func (r *soakRun) replace(e *soakEndpoint, after time.Duration) {
	r.mu.Lock()
	i := slices.Index(r.endpoints, e)
	if i >= 0 {
		r.endpoints = slices.Delete(r.endpoints, i, i+1)
	}
	r.checkLimit(e)
	r.mu.Unlock()
	if i < 0 {
		return
	}
	e.Close()
	r.writeFiles()
	time.AfterFunc(after, r.startEndpoint)
}

// isReportCall reports whether a request is a host's own call for a report. It is the only request that has no ID, and it
// carries nothing of a caller's.
func isReportCall(c *routed.Call) bool {
	_, hasID := c.Header["Request-Id"]
	return !hasID && c.Method == http.MethodGet && c.RequestURI == local.Paths().Report && c.BodyText == "" && c.Header.Get("Workspace") == ""
}

// answer answers a request at an endpoint. Request IDs are KIND-HOST-CALLER-NUMBER.
func (r *soakRun) answer(c *routed.Call, e *soakEndpoint) bool {
	id := c.Header.Get("Request-Id")
	if isReportCall(c) { // a plain endpoint offers none
		c.Answer(404, "")
		return true
	}
	var host, caller, number int
	kind, rest, _ := strings.Cut(id, "-")
	if _, err := fmt.Sscanf(rest, "%d-%d-%d", &host, &caller, &number); err != nil {
		r.violate("an endpoint got the ID %q", id)
		return false
	}
	headers := []string{"Request-Id: " + id, "Endpoint-Seal: s"}
	r.mu.Lock()
	arrival := soakArrival{at: time.Now(), host: host}
	e.arrivals = append(e.arrivals, arrival)
	if e.limit > 0 {
		headers = append(headers, fmt.Sprintf("Endpoint-Limit: %v", e.limit))
	}
	if e.leaving {
		headers = append(headers, "Endpoint-Leaving: 1")
	}
	isPoison := strings.Contains(c.URL.Path, "poison")
	if isPoison {
		r.poison[c.URL.Path] = append(r.poison[c.URL.Path], arrival)
	}
	refuse := number%17 == 3
	if !refuse {
		r.runs[id]++
		if n := r.runs[id]; n > 1 && (kind == "order" || kind == "draft") {
			r.violations = append(r.violations, id+" ran again")
		}
	}
	r.mu.Unlock()
	switch {
	case isPoison:
		r.replace(e, _soakInterval)
		return false
	case refuse:
		c.Answer(503, "busy", append(headers, "Not-Run: 1")...)
		return true
	case number%29 == 5:
		c.Reset()
		return false
	}
	time.Sleep(time.Duration(5+number%20) * time.Millisecond)
	if kind == "draft" || kind == "feed" {
		c.BeginStream(headers...)
		first := 0
		if last := c.Header.Get("Last-Event-Id"); last != "" {
			_, _ = fmt.Sscan(last, &first)
			first++
		}
		for n := first; n < _routedEvents; n++ {
			if kind == "feed" && first == 0 && n == _routedEvents/2 && number%_soakBrokenFeeds == 0 {
				return false
			}
			c.Chunk(soakEvent(e.build, c.URL.Path, n))
			time.Sleep(10 * time.Millisecond)
		}
		c.EndStream()
	} else {
		c.Answer(200, "answer to "+id, headers...)
	}
	r.mu.Lock()
	r.answered[id] = true
	r.mu.Unlock()
	return true
}

// send sends a request to a host on a connection that may be kept. It returns nil if there is no
// answer.
func (r *soakRun) send(client *http.Client, host int, id, path string, headers ...string) *http.Response {
	sentAt := time.Now()
	request, err := http.NewRequest(http.MethodPost, "http://"+r.hosts[host].caller+path, strings.NewReader("body of "+path))
	if err != nil {
		r.violate("%v", err)
		return nil
	}
	request.GetBody, request.Host = nil, "h"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "2500")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		request.Header.Set(name, value)
	}
	res, err := client.Do(request)
	if err == nil {
		return res
	}
	r.mu.Lock()
	if h := r.hosts[host]; r.answered[id] && h.stopping && !slices.ContainsFunc(h.disturbed[:len(h.disturbed)-1], func(d [2]time.Time) bool { return d[1].IsZero() || d[1].After(sentAt.Add(-_soakContact)) }) {
		r.lost = append(r.lost, soakArrival{at: sentAt, host: host})
	}
	r.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	return nil
}

// call sends a request that has one try, and checks its answer.
func (r *soakRun) call(client *http.Client, host int, id, path string) {
	res := r.send(client, host, id, path)
	if res == nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	isWhole := string(body) == "answer to "+id
	if kind, _, _ := strings.Cut(id, "-"); kind == "draft" {
		isWhole = string(body) == soakStreamText(soakBuild(string(body)), path)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
		r.notRun[id] = true
	case res.StatusCode == http.StatusOK && err == nil && !isWhole:
		r.violations = append(r.violations, fmt.Sprintf("%s got %q", id, body))
	case res.StatusCode == http.StatusOK && err == nil:
		r.served++
	}
}

// checkLimit checks an endpoint's rate limit up to now, and ends it. The caller holds the lock.
func (r *soakRun) checkLimit(e *soakEndpoint) {
	if e.limit == 0 {
		return
	}
	allowed := int(_soakLimitFactor*e.limit*_soakLimitWindow.Seconds()) + _soakLimitExtra
	var counted []time.Time
	for _, a := range e.arrivals {
		from := a.at.Add(-_soakLimitWindow - _soakContact)
		if a.at.Before(e.limitAt.Add(_soakContact)) || r.hosts[a.host].excused(from, a.at) {
			continue
		}
		counted = append(counted, a.at)
		for a.at.Sub(counted[0]) >= _soakLimitWindow {
			counted = counted[1:]
		}
		if len(counted) > allowed {
			r.violations = append(r.violations, fmt.Sprintf("%s got %d requests in %v at a limit of %v, want at most %d", e.name, len(counted), _soakLimitWindow, e.limit, allowed))
			break
		}
	}
	e.limit = 0
}

// checkPoison checks that requests that crash endpoints were contained. A crash counts if the host
// that sent the request could tell the others.
func (r *soakRun) checkPoison() {
	for path, arrivals := range r.poison {
		known, late := 0, 0
		var contained time.Time
		for _, a := range arrivals {
			switch h := r.hosts[a.host]; {
			case known >= _soakMinCrashes:
				if a.at.After(contained.Add(_soakContact)) && !h.excused(a.at.Add(-_soakContact), a.at) {
					late++
				}
			case !h.excused(a.at.Add(-_soakContact), a.at.Add(time.Second)):
				known++
				contained = a.at
			}
		}
		if late > _soakMaxLate {
			r.violations = append(r.violations, fmt.Sprintf("%s reached endpoints %d times after it was to be contained", path, late))
		}
	}
}
