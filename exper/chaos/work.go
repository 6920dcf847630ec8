package chaos

import (
	"fmt"
	"time"

	"apricotproxy/core"
)

// act carries out what a Decider wants, as the shell does.
func (f *Fleet) act(h *simHost, actions core.Actions) {
	for _, placement := range actions.Placements {
		f.onHost(h, f.jitter(50*time.Millisecond), func() { f.dispatch(h, placement) })
	}
	for _, refusal := range actions.Refusals {
		f.Refused++
		f.answer(h, refusal.Request)
	}
	for _, borrowing := range actions.SlotRequests {
		f.borrow(h, borrowing)
	}
	for _, returning := range actions.LeaseReturns {
		owner := f.host(returning.Lease.Owner.Host)
		lease := returning.Lease
		f.send(h, owner, func() { f.act(owner, owner.decider.Returned(f.Now, lease)) })
	}
	f.wakeAt(h, actions.WakeAt)
}

func (f *Fleet) wakeAt(h *simHost, at time.Time) {
	if at.IsZero() || (h.wake.After(f.Now) && !at.Before(h.wake)) {
		return
	}
	h.wake = at
	f.onHost(h, max(at.Sub(f.Now), time.Millisecond), func() { f.act(h, h.decider.Tick(f.Now)) })
}

func (f *Fleet) answer(h *simHost, id core.RequestID) {
	f.answered[id]++
	delete(h.open, id)
}

func (f *Fleet) borrow(h *simHost, borrowing core.SlotRequest) {
	owner := f.host(borrowing.Owner)
	borrower := h.id
	refuse := func() { f.act(h, h.decider.Borrowed(f.Now, borrowing, core.Lease{}, false)) }
	if owner == nil || !owner.alive || owner.side != h.side {
		f.onHost(h, time.Second, refuse)
		return
	}
	f.send(h, owner, func() {
		owner.decider.Reconcile(f.Now, borrower, borrowing.HeldLeases)
		lease, granted := owner.decider.Lend(f.Now, borrower, borrowing.Endpoint, borrowing.BorrowerRevision)
		f.send(owner, h, func() { f.act(h, h.decider.Borrowed(f.Now, borrowing, lease, granted)) })
	})
}

func (f *Fleet) dispatch(h *simHost, placement core.Placement) {
	if !h.decider.Confirm(f.Now, placement) {
		f.act(h, h.decider.Tick(f.Now))
		return
	}
	e := f.endpoints[placement.Endpoint]
	if f.rng.IntN(40) == 0 {
		f.finish(h, placement, core.ResultDialFailed, 10*time.Millisecond)
		return
	}
	lasts := 200*time.Millisecond + time.Duration(f.rng.ExpFloat64()*float64(3*time.Second))
	who := fmt.Sprintf("%s life %d revision %d slot %d at %s", h.name, h.life, h.revision, placement.Slot.Position, f.Now.Sub(_epoch))
	f.After(f.jitter(_arrivalGap), func() { f.arrive(e, who, lasts) })
	results := []core.Result{core.ResultLost, core.ResultCut, core.ResultCancelled}
	if f.rng.IntN(25) == 0 {
		f.finish(h, placement, results[f.rng.IntN(len(results))], f.jitter(lasts))
		return
	}
	f.finish(h, placement, core.ResultCompleted, lasts+_arrivalGap+f.jitter(_arrivalGap))
}

func (f *Fleet) finish(h *simHost, placement core.Placement, result core.Result, after time.Duration) {
	f.onHost(h, after, func() {
		if result == core.ResultCompleted || result == core.ResultCut || result == core.ResultCancelled {
			f.answer(h, placement.Request)
		}
		f.act(h, h.decider.Finish(f.Now, placement, result, 10))
	})
}

// arrivals submits requests at every host.
func (f *Fleet) arrivals(h *simHost, rate float64) {
	gap := time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
	f.After(gap, func() {
		f.arrivals(h, rate)
		if !h.alive || f.Now.Before(h.pausedUntil) {
			return
		}
		f.nextID++
		f.Submitted++
		request := Request(f.nextID, f.Now)
		request.Repeatable = f.rng.IntN(3) > 0
		h.open[request.ID] = 1
		f.act(h, h.decider.Submit(f.Now, request))
	})
}
