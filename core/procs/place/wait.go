package place

import (
	"slices"
	"time"
)

// Waiter is a request that waits for room. Granted gets its run.
type Waiter struct {
	Want    *Want
	Granted func(*Run)
}

// Enqueue lets a request wait: more urgent ones first, then in order of arrival.
func (p *Placer) Enqueue(w *Waiter) {
	i, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *Waiter) int {
		if a.Want.Request.Priority != b.Want.Request.Priority {
			return a.Want.Request.Priority - b.Want.Request.Priority
		}
		return a.Want.Request.Arrived.Compare(b.Want.Request.Arrived)
	})
	p.waiting = slices.Insert(p.waiting, i, w)
}

// Withdraw takes a request out of the queue; false when it was granted.
func (p *Placer) Withdraw(w *Waiter) bool {
	i := slices.Index(p.waiting, w)
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

// Release grants what waits and has room now.
func (p *Placer) Release(now time.Time) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *Waiter) bool {
		run, verdict := p.Place(now, w.Want)
		if verdict != Placed {
			return false
		}
		w.Granted(run)
		return true
	})
}
