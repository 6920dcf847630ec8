// Package queue holds waiting requests: fair between workspaces by deficit
// round robin, in two classes so that short requests are not held behind long
// ones, each with a stored deadline.
package queue

import (
	"container/heap"
	"time"

	"apricotproxy/core"
)

// Class separates requests by their expected length.
type Class uint8

// Classes, in the order in which they are looked at.
const (
	ClassShort Class = iota
	ClassLong
	Classes int = iota
)

// _quantum is the cost in tokens of each class that a workspace of weight 1 may
// spend in one round. It is near the cost of a usual request, so that a turn is
// found in a few steps.
var _quantum = [Classes]int64{256, 2048}

// Item is one waiting value. The caller owns the memory and reuses it.
type Item[T any] struct {
	Value     T
	Workspace core.WorkspaceName
	Weight    int
	Class     Class
	// Cost is what the request is expected to take, in tokens.
	Cost int64
	// Entered is when the request began to wait, and Deadline when it is given
	// up; zero for never.
	Entered  time.Time
	Deadline time.Time

	flow       *flow[T]
	prev, next *Item[T]
	heapIndex  int
}

// flow is one workspace's waiting items of one class, oldest first.
type flow[T any] struct {
	workspace   core.WorkspaceName
	weight      int
	class       Class
	head, tail  *Item[T]
	length      int
	deficit     int64
	left, right *flow[T] // in the ring of the class
}

// Queue is not safe for concurrent use.
type Queue[T any] struct {
	flows [Classes]map[core.WorkspaceName]*flow[T]
	// turn is the flow whose turn it is in each class.
	turn      [Classes]*flow[T]
	counts    [Classes]int
	costs     [Classes]int64
	deadlines deadlineHeap[T]
	spare     *flow[T]
}

// New builds an empty queue.
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

// Push enters an item at the end of its workspace's line.
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
	f = q.spare
	if f != nil {
		q.spare = f.right
	} else {
		f = &flow[T]{}
	}
	*f = flow[T]{workspace: item.Workspace, weight: max(item.Weight, 1), class: item.Class}
	q.flows[item.Class][item.Workspace] = f
	q.link(f)
	return f
}

// link puts a flow at the end of the round.
func (q *Queue[T]) link(f *flow[T]) {
	turn := q.turn[f.class]
	if turn == nil {
		f.left, f.right = f, f
		q.turn[f.class] = f
		return
	}
	f.left, f.right = turn.left, turn
	f.left.right = f
	turn.left = f
}

func (q *Queue[T]) unlink(f *flow[T]) {
	if f.right == f {
		q.turn[f.class] = nil
	} else {
		f.left.right = f.right
		f.right.left = f.left
		if q.turn[f.class] == f {
			q.turn[f.class] = f.right
		}
	}
	delete(q.flows[f.class], f.workspace)
	f.right = q.spare
	q.spare = f
}

// Head gives the item whose turn it is in a class, nil when none waits. Calls
// without a change in between give the same item.
//
// Example: of two workspaces with items of cost 2048 and 512, the second has
// four turns for one of the first.
func (q *Queue[T]) Head(class Class) *Item[T] {
	f := q.turn[class]
	if f == nil {
		return nil
	}
	for f.deficit < f.head.Cost {
		f = f.right
		f.deficit += _quantum[class] * int64(f.weight)
	}
	q.turn[class] = f
	return f.head
}

// Take removes an item that is served and charges its workspace.
func (q *Queue[T]) Take(item *Item[T]) {
	f := item.flow
	f.deficit -= item.Cost
	q.remove(item)
}

// Remove takes an item out without charging its workspace.
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

// Expired gives an item whose deadline has passed, or nil.
func (q *Queue[T]) Expired(now time.Time) *Item[T] {
	if len(q.deadlines) == 0 || now.Before(q.deadlines[0].Deadline) {
		return nil
	}
	return q.deadlines[0]
}

// NextDeadline gives the earliest deadline, zero when there is none.
func (q *Queue[T]) NextDeadline() time.Time {
	if len(q.deadlines) == 0 {
		return time.Time{}
	}
	return q.deadlines[0].Deadline
}

// Longest gives the newest item of the workspace with the longest line of a
// class relative to its weight: the one to push out of a full queue.
func (q *Queue[T]) Longest(class Class) *Item[T] {
	first := q.turn[class]
	if first == nil {
		return nil
	}
	longest := first
	for f := first.right; f != first; f = f.right {
		if f.length*longest.weight > longest.length*f.weight {
			longest = f
		}
	}
	return longest.tail
}

// Any gives some waiting item, or nil.
func (q *Queue[T]) Any() *Item[T] {
	for class := range q.turn {
		if f := q.turn[class]; f != nil {
			return f.head
		}
	}
	return nil
}

// deadlineHeap orders items by deadline.
type deadlineHeap[T any] []*Item[T]

// Len is part of heap.Interface.
func (h deadlineHeap[T]) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h deadlineHeap[T]) Less(a, b int) bool { return h[a].Deadline.Before(h[b].Deadline) }

// Swap is part of heap.Interface.
func (h deadlineHeap[T]) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapIndex, h[b].heapIndex = a, b
}

// Push is part of heap.Interface.
func (h *deadlineHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.heapIndex = len(*h)
	*h = append(*h, item)
}

// Pop is part of heap.Interface.
func (h *deadlineHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.heapIndex = -1
	return last
}
