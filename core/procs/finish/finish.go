// Package finish decides which requests a stopping host still takes: those that it will have
// answered when its process ends. Others are better served by another host. How long an answer
// takes is not known before it is complete: only the request's deadline bounds it.
package finish

import (
	"time"

	"apricotproxy/core"
)

// _recent is the number of the latest complete answers of a route of which the longest counts.
const _recent = 64

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
	// NoticeEnd is when callers are no longer directed to this host.
	NoticeEnd time.Time
	// End is when the host cuts off what still runs.
	End time.Time
	// Deadline is the request's own.
	Deadline time.Time
	Kind     core.RouteKind
	// Goal is the route's, Longest the longest of its latest complete answers; 0 if not known.
	Goal, Longest time.Duration
	// Running is the age of the route's oldest other request without a complete answer.
	Running time.Duration
}

// Takes reports whether the host should take the request. A stream whose deadline is after the end
// may be cut off in the middle of its answer, however short earlier streams were. A plain request
// whose answer has not begun by the end gets an error, and is taken during the notice if it is
// expected to be done: after a refusal its caller may be directed to this host again.
func (s Situation) Takes() bool {
	switch {
	case !s.Deadline.After(s.End):
		return true
	case s.Kind == core.RouteStreaming, !s.Now.Before(s.NoticeEnd):
		return false
	}
	expected := s.Longest
	if expected == 0 {
		expected = s.Goal
	}
	return !s.Now.Add(max(expected, s.Running)).After(s.End)
}
