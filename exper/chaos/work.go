package chaos

import (
	"fmt"
	"time"

	"apricotproxy/core"
)

// execute carries out the actions of a decision, as io/shell does in production.
func (f *Fleet) execute(h *simHost, actions core.Actions) {
	for _, placement := range actions.Placements {
		f.afterOnHost(h, f.jitter(50*time.Millisecond), func() { f.dispatch(h, placement) })
	}
	for _, refusal := range actions.Refusals {
		f.Refused++
		f.recordAnswer(h, refusal.Request)
	}
	for _, slotRequest := range actions.SlotRequests {
		f.requestSlot(h, slotRequest)
	}
	for _, leaseReturn := range actions.LeaseReturns {
		owner := f.hostByName(leaseReturn.Lease.Owner.Host)
		lease := leaseReturn.Lease
		f.send(h, owner, func() { f.execute(owner, owner.decider.Returned(f.Now, lease)) })
	}
	f.scheduleWake(h, actions.WakeAt)
}

func (f *Fleet) scheduleWake(h *simHost, at time.Time) {
	if at.IsZero() || (h.wakeAt.After(f.Now) && !at.Before(h.wakeAt)) {
		return
	}
	h.wakeAt = at
	f.afterOnHost(h, max(at.Sub(f.Now), time.Millisecond), func() { f.execute(h, h.decider.Tick(f.Now)) })
}

func (f *Fleet) recordAnswer(h *simHost, id core.RequestID) {
	f.answers[id]++
	delete(h.unanswered, id)
}

func (f *Fleet) requestSlot(h *simHost, slotRequest core.SlotRequest) {
	owner := f.hostByName(slotRequest.Owner)
	borrower := h.id
	refuse := func() { f.execute(h, h.decider.Borrowed(f.Now, slotRequest, core.Lease{}, false)) }
	if owner == nil || !owner.alive || owner.side != h.side {
		f.afterOnHost(h, time.Second, refuse)
		return
	}
	f.send(h, owner, func() {
		owner.decider.Reconcile(f.Now, borrower, slotRequest.HeldLeases)
		lease, granted := owner.decider.Lend(f.Now, borrower, slotRequest.Endpoint, slotRequest.BorrowerRevision)
		f.send(owner, h, func() { f.execute(h, h.decider.Borrowed(f.Now, slotRequest, lease, granted)) })
	})
}

// dispatch sends a placed request to its endpoint. One request in 40 fails to dial. For
// one in 25 of the others, the host records a failure or cancellation early, while the
// endpoint runs the request for its full duration.
func (f *Fleet) dispatch(h *simHost, placement core.Placement) {
	if !h.decider.Confirm(f.Now, placement) {
		f.execute(h, h.decider.Tick(f.Now))
		return
	}
	e := f.endpoints[placement.Endpoint]
	if f.rng.IntN(40) == 0 {
		f.finishAfter(h, placement, core.ResultDialFailed, 10*time.Millisecond)
		return
	}
	duration := 200*time.Millisecond + time.Duration(f.rng.ExpFloat64()*float64(3*time.Second))
	description := fmt.Sprintf("%s start %d revision %d slot %d at %s", h.name, h.starts, h.revision, placement.Slot.Position, f.Now.Sub(_epoch))
	f.After(f.jitter(_maxDispatchDelay), func() { f.receive(e, description, duration) })
	results := []core.Result{core.ResultLost, core.ResultCut, core.ResultCancelled}
	if f.rng.IntN(25) == 0 {
		f.finishAfter(h, placement, results[f.rng.IntN(len(results))], f.jitter(duration))
		return
	}
	f.finishAfter(h, placement, core.ResultCompleted, duration+_maxDispatchDelay+f.jitter(_maxDispatchDelay))
}

func (f *Fleet) finishAfter(h *simHost, placement core.Placement, result core.Result, delay time.Duration) {
	f.afterOnHost(h, delay, func() {
		if result == core.ResultCompleted || result == core.ResultCut || result == core.ResultCancelled {
			f.recordAnswer(h, placement.Request)
		}
		f.execute(h, h.decider.Finish(f.Now, placement, result, 10))
	})
}

// submitRequests submits requests at a host with exponentially distributed gaps. A
// host that is down or paused gets none.
func (f *Fleet) submitRequests(h *simHost, rate float64) {
	gap := time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
	f.After(gap, func() {
		f.submitRequests(h, rate)
		if !h.alive || f.Now.Before(h.pausedUntil) {
			return
		}
		f.lastRequestID++
		f.Submitted++
		request := NewRequest(f.lastRequestID, f.Now)
		request.Repeatable = f.rng.IntN(3) > 0
		h.unanswered[request.ID] = 1
		f.execute(h, h.decider.Submit(f.Now, request))
	})
}
