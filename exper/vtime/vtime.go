// Package vtime runs events in virtual time. The clock jumps from each event to the
// next, and events with the same time run in the order in which they were
// scheduled, so a simulation always runs its events in the same order.
package vtime

import (
	"container/heap"
	"time"
)

// Clock holds the virtual time and the scheduled events. It is not safe for
// concurrent use.
type Clock struct {
	// Now is the current virtual time. Only the clock itself writes it.
	Now time.Time

	queue    events
	sequence int
}

// NewClock returns a clock that starts at the given time.
func NewClock(start time.Time) *Clock { return &Clock{Now: start} }

// After schedules do to run after a delay.
func (c *Clock) After(delay time.Duration, do func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.Now.Add(delay), sequence: c.sequence, do: do})
}

// RunUntil runs the events that are due up to and including end, also those that are
// scheduled meanwhile, and then sets Now to end.
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

// Len implements heap.Interface.
func (q events) Len() int { return len(q) }

// Less orders events by time, then by the order of scheduling.
func (q events) Less(a, b int) bool {
	if !q[a].at.Equal(q[b].at) {
		return q[a].at.Before(q[b].at)
	}
	return q[a].sequence < q[b].sequence
}

// Swap implements heap.Interface.
func (q events) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
