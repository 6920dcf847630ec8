// Package queue holds waiting requests. It is fair between workspaces by deficit
// round robin, keeps short and long requests apart so that short ones don't wait
// behind long ones, and finds the requests whose deadline has passed.
package queue

import (
	"container/heap"
	"time"

	"apricotproxy/core"
)

// Class separates requests by their expected length.
type Class uint8

// Classes of requests, in the order in which Any looks at them, and their number.
const (
	ClassShort Class = iota
	ClassLong
	Classes int = iota
)

// _quantum is the cost in tokens, for each class, that a workspace of weight 1
// may spend in one round. It is close to the cost of a typical request, so that
// Head finds the next workspace in a few steps.
var _quantum = [Classes]int64{256, 2048}

// Item is one waiting request. The caller owns the memory and may reuse it after
// the item has left the queue.
type Item[T any] struct {
	Value     T
	Workspace core.WorkspaceName
	Weight    int
	Class     Class
	// Cost is the expected cost of the request in tokens.
	Cost int64
	// Entered is when the request began to wait, and Deadline when it stops
	// waiting; zero for no deadline.
	Entered  time.Time
	Deadline time.Time

	flow       *flow[T]
	prev, next *Item[T]
	heapIndex  int
}

// flow is the list of one workspace's waiting items of one class, oldest first.
type flow[T any] struct {
	workspace  core.WorkspaceName
	weight     int
	class      Class
	head, tail *Item[T]
	length     int
	deficit    int64
	prev, next *flow[T] // in the ring of the class
}

// Queue is a queue of requests with values of type T. It is not safe for
// concurrent use.
type Queue[T any] struct {
	flows [Classes]map[core.WorkspaceName]*flow[T]
	// current is the flow whose turn it is, in the ring of each class.
	current   [Classes]*flow[T]
	counts    [Classes]int
	costs     [Classes]int64
	deadlines deadlineHeap[T]
	freeFlows *flow[T] // emptied flows for reuse, linked by next
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	q := &Queue[T]{}
	for class := range q.flows {
		q.flows[class] = make(map[core.WorkspaceName]*flow[T])
	}
	return q
}

// Len counts the waiting items.
func (q *Queue[T]) Len() int { return q.counts[ClassShort] + q.counts[ClassLong] }

// Count counts the waiting items of a class.
func (q *Queue[T]) Count(class Class) int { return q.counts[class] }

// Workspaces counts the workspaces with waiting items of a class.
func (q *Queue[T]) Workspaces(class Class) int { return len(q.flows[class]) }

// Waiting counts a workspace's waiting items of a class.
func (q *Queue[T]) Waiting(class Class, workspace core.WorkspaceName) int {
	if f := q.flows[class][workspace]; f != nil {
		return f.length
	}
	return 0
}

// Push appends an item to its workspace's flow.
func (q *Queue[T]) Push(item *Item[T]) {
	f := q.flowOf(item)
	item.flow = f
	item.prev, item.next = f.tail, nil
	if f.tail == nil {
		f.head = item
	} else {
		f.tail.next = item
	}
	f.tail = item
	f.length++
	q.counts[item.Class]++
	q.costs[item.Class] += item.Cost
	item.heapIndex = -1
	if !item.Deadline.IsZero() {
		heap.Push(&q.deadlines, item)
	}
}

func (q *Queue[T]) flowOf(item *Item[T]) *flow[T] {
	f := q.flows[item.Class][item.Workspace]
	if f != nil {
		return f
	}
	f = q.freeFlows
	if f != nil {
		q.freeFlows = f.next
	} else {
		f = &flow[T]{}
	}
	*f = flow[T]{workspace: item.Workspace, weight: max(item.Weight, 1), class: item.Class}
	q.flows[item.Class][item.Workspace] = f
	q.link(f)
	return f
}

// link puts a flow at the end of its class's ring, just before the current flow.
func (q *Queue[T]) link(f *flow[T]) {
	current := q.current[f.class]
	if current == nil {
		f.prev, f.next = f, f
		q.current[f.class] = f
		return
	}
	f.prev, f.next = current.prev, current
	f.prev.next = f
	current.prev = f
}

func (q *Queue[T]) unlink(f *flow[T]) {
	if f.next == f {
		q.current[f.class] = nil
	} else {
		f.prev.next = f.next
		f.next.prev = f.prev
		if q.current[f.class] == f {
			q.current[f.class] = f.next
		}
	}
	delete(q.flows[f.class], f.workspace)
	f.next = q.freeFlows
	q.freeFlows = f
}

// Head returns the item of a class that is to be served next, nil if none is
// waiting. It returns the same item until the queue changes.
//
// Example: if one workspace has items of cost 2048 and another has items of cost
// 512, the second gets four items served for each of the first.
func (q *Queue[T]) Head(class Class) *Item[T] {
	f := q.current[class]
	if f == nil {
		return nil
	}
	for f.deficit < f.head.Cost {
		f = f.next
		f.deficit += _quantum[class] * int64(f.weight)
	}
	q.current[class] = f
	return f.head
}

// Take removes an item that is served now and charges its cost to the workspace.
func (q *Queue[T]) Take(item *Item[T]) {
	f := item.flow
	f.deficit -= item.Cost
	q.remove(item)
}

// Remove removes an item without charging its workspace.
func (q *Queue[T]) Remove(item *Item[T]) { q.remove(item) }

func (q *Queue[T]) remove(item *Item[T]) {
	f := item.flow
	if item.prev == nil {
		f.head = item.next
	} else {
		item.prev.next = item.next
	}
	if item.next == nil {
		f.tail = item.prev
	} else {
		item.next.prev = item.prev
	}
	f.length--
	q.counts[item.Class]--
	q.costs[item.Class] -= item.Cost
	if item.heapIndex >= 0 {
		heap.Remove(&q.deadlines, item.heapIndex)
	}
	item.flow, item.prev, item.next = nil, nil, nil
	if f.length == 0 {
		q.unlink(f)
	}
}

// Expired returns the item with the earliest deadline if that has passed, or
// nil.
func (q *Queue[T]) Expired(now time.Time) *Item[T] {
	if len(q.deadlines) == 0 || now.Before(q.deadlines[0].Deadline) {
		return nil
	}
	return q.deadlines[0]
}

// NextDeadline returns the earliest deadline, zero if there is none.
func (q *Queue[T]) NextDeadline() time.Time {
	if len(q.deadlines) == 0 {
		return time.Time{}
	}
	return q.deadlines[0].Deadline
}

// EvictionCandidate returns the item of a class to evict from a full queue: the
// newest one of the workspace with the most waiting items relative to its weight.
// It returns nil if no item of the class is waiting.
func (q *Queue[T]) EvictionCandidate(class Class) *Item[T] {
	first := q.current[class]
	if first == nil {
		return nil
	}
	longest := first
	for f := first.next; f != first; f = f.next {
		if f.length*longest.weight > longest.length*f.weight {
			longest = f
		}
	}
	return longest.tail
}

// Any returns some waiting item, or nil if the queue is empty.
func (q *Queue[T]) Any() *Item[T] {
	for class := range q.current {
		if f := q.current[class]; f != nil {
			return f.head
		}
	}
	return nil
}

// deadlineHeap orders items by deadline.
type deadlineHeap[T any] []*Item[T]

// Len implements heap.Interface.
func (h deadlineHeap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap[T]) Less(a, b int) bool { return h[a].Deadline.Before(h[b].Deadline) }

// Swap implements heap.Interface.
func (h deadlineHeap[T]) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapIndex, h[b].heapIndex = a, b
}

// Push implements heap.Interface.
func (h *deadlineHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.heapIndex = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *deadlineHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.heapIndex = -1
	return last
}
