// Package vtime runs events in virtual time: the clock jumps from one event to
// the next, and events of one time run in the order in which they were entered,
// so that a run replays exactly.
package vtime

import (
	"container/heap"
	"time"
)

// Clock is the time of a run with its events. It is not safe for concurrent use.
type Clock struct {
	// Now is the present time. Only the clock itself writes it.
	Now time.Time

	queue    events
	sequence int
}

// NewClock starts a clock at a time.
func NewClock(start time.Time) *Clock { return &Clock{Now: start} }

// After enters an event that happens after a delay.
func (c *Clock) After(delay time.Duration, do func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.Now.Add(delay), sequence: c.sequence, do: do})
}

// RunUntil runs the events up to a time, those that they enter included, and
// ends at that time.
func (c *Clock) RunUntil(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(event)
		c.Now = next.at
		next.do()
	}
	c.Now = end
}

type event struct {
	at       time.Time
	sequence int
	do       func()
}

type events []event

// Len is part of heap.Interface.
func (q events) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q events) Less(a, b int) bool {
	if !q[a].at.Equal(q[b].at) {
		return q[a].at.Before(q[b].at)
	}
	return q[a].sequence < q[b].sequence
}

// Swap is part of heap.Interface.
func (q events) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push is part of heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop is part of heap.Interface.
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
