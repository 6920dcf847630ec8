// Package finish decides which requests a stopping host still takes: those that it will have
// answered when its process ends. Others are better served by another host.
package finish

import (
	"time"

	"apricotproxy/core"
)

const (
	// _recent is the number of the latest complete answers of a route of which the longest counts.
	_recent = 64
	// _streamFactor times the longest recent stream is how long a stream may take, since the
	// lengths of generations are not known.
	_streamFactor = 2
)

// Durations holds how long the latest complete answers took, by route. It is not safe for concurrent
// use.
type Durations struct {
	routes map[string]*ring
}

type ring struct {
	values []time.Duration
	next   int
}

// Record records that a route's answer was complete after some time.
func (d *Durations) Record(route string, took time.Duration) {
	if d.routes == nil {
		d.routes = make(map[string]*ring)
	}
	r := d.routes[route]
	if r == nil {
		r = &ring{}
		d.routes[route] = r
	}
	if len(r.values) < _recent {
		r.values = append(r.values, took)
		return
	}
	r.values[r.next] = took
	r.next = (r.next + 1) % _recent
}

// Longest returns the longest of a route's latest answers; 0 if there are none.
func (d *Durations) Longest(route string) time.Duration {
	longest := time.Duration(0)
	if r := d.routes[route]; r != nil {
		for _, value := range r.values {
			longest = max(longest, value)
		}
	}
	return longest
}

// Situation is the input of a decision about one request that has not been sent.
type Situation struct {
	Now time.Time
	// End is when the host cuts off what still runs.
	End time.Time
	// Deadline is the request's own.
	Deadline time.Time
	Kind     core.RouteKind
	// Goal is the route's, Longest the longest of its latest answers; 0 if not known.
	Goal, Longest time.Duration
}

// Takes reports whether the host should take the request.
func (s Situation) Takes() bool {
	if !s.Deadline.After(s.End) {
		return true
	}
	expected := s.Longest
	switch {
	case s.Kind == core.RouteStreaming && expected == 0:
		return false
	case s.Kind == core.RouteStreaming:
		expected *= _streamFactor
	case expected == 0:
		expected = s.Goal
	}
	return !s.Now.Add(expected).After(s.End)
}
