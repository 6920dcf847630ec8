package decide

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/queue"
)

const (
	// _returnSends is how many times the return of a lease is sent, since a
	// message may be lost.
	_returnSends = 5
	// _minBorrowPause is the first pause after every owner of an endpoint has
	// refused to lend a slot. It doubles with each round of refusals.
	_minBorrowPause = 50 * time.Millisecond
	// _maxBorrowPause is the longest such pause.
	_maxBorrowPause = time.Second
	// _borrowTimeout is how long to wait for an owner's answer.
	_borrowTimeout = 2 * time.Second
	// _maxPendingBorrowings is the largest number of unanswered requests for
	// slots per service.
	_maxPendingBorrowings = 8
)

// pendingReturn is a returned lease whose return is sent again. The owner ignores
// duplicates.
type pendingReturn struct {
	lease      core.Lease
	nextSendAt time.Time
	sendsLeft  int
}

// borrow asks other hosts for slots that waiting requests could use. It also asks
// the previous owners of slots that this host gained to release them.
func (d *Decider) borrow(now time.Time) {
	if d.superseded || d.policy.Mode() != core.LimitLeases {
		return
	}
	for _, e := range d.awaitingRelease {
		d.requestRelease(now, e)
	}
	for _, s := range d.services {
		for class := queue.ClassShort; class <= queue.ClassLong; class++ {
			if s.queue.Count(class) > 0 && !s.nothingToBorrow[class] {
				s.nothingToBorrow[class] = !d.borrowFor(now, s, s.queue.Head(class).Value)
			}
		}
	}
}

// borrowFor asks for slots that a waiting request could use, until there are as many
// unanswered requests for slots as waiting requests, or _maxPendingBorrowings. It
// returns false when the policy finds no endpoint on which to borrow a slot.
func (d *Decider) borrowFor(now time.Time, s *service, r *request) bool {
	d.fillDemand(now, r)
	for s.pendingBorrowings < min(s.queue.Len(), _maxPendingBorrowings) {
		wanted := d.policy.PickBorrow(now, &d.demand, s.candidates)
		if wanted < 0 {
			return false
		}
		e := s.endpoints[wanted]
		owner, ok := d.nextOwner(now, e)
		if !ok {
			s.candidates[wanted].BorrowPending = true
			e.nextBorrowAt = now.Add(_maxBorrowPause)
			continue
		}
		e.borrowTimeoutAt = now.Add(_borrowTimeout)
		s.pendingBorrowings++
		s.candidates[wanted].BorrowPending = true
		s.refreshAt = earlier(s.refreshAt, e.borrowTimeoutAt)
		d.requestSlot(now, e, owner)
	}
	return true
}

// requestSlot asks a host to lend a slot of an endpoint, or to release one.
func (d *Decider) requestSlot(now time.Time, e *endpoint, owner core.HostName) {
	d.actions.SlotRequests = append(d.actions.SlotRequests, core.SlotRequest{
		Owner: owner, Endpoint: e.config.Name, AskedAt: now, BorrowerRevision: d.config.Revision,
		HeldLeases: e.pool.Holding(owner),
	})
}

// nextOwner returns another host that owns a usable slot of the endpoint; repeated
// calls go through the owners in turn. It returns false if there is none.
func (d *Decider) nextOwner(now time.Time, e *endpoint) (core.HostName, bool) {
	limit := min(longLimit(d.slotLimit(now, e)), d.owners.Slots(e.index))
	if limit <= 0 {
		return "", false
	}
	if e.ownerCursor == 0 {
		// Hosts that need slots at the same time start at different owners.
		e.ownerCursor = d.random.IntN(limit)
	}
	for range limit {
		e.ownerCursor = (e.ownerCursor + 1) % limit
		owner, ok := d.owners.Owner(e.index, e.ownerCursor)
		if ok && owner != d.self.Host {
			return owner, true
		}
	}
	return "", false
}

// requestRelease asks the previous owners of quarantined slots to release them, once
// per report interval.
func (d *Decider) requestRelease(now time.Time, e *endpoint) {
	if now.Before(e.nextReleaseRequestAt) {
		return
	}
	previousOwners := e.pool.PreviousOwners(nil)
	e.nextReleaseRequestAt = now.Add(d.viewParams.Step)
	for i, previousOwner := range previousOwners {
		if i == 0 || previousOwners[i-1] != previousOwner {
			d.requestSlot(now, e, previousOwner)
		}
	}
}

// Lend answers another host's request for a slot. While requests of this host wait,
// or the endpoint accepts no requests, it lends none and only releases slots that
// the borrower owns now.
func (d *Decider) Lend(now time.Time, borrower core.HostID, name core.EndpointName, borrowerRevision core.Revision) (core.Lease, bool) {
	e := d.byName[name]
	if e == nil || d.superseded || borrower.Incarnation < d.peers[borrower.Host].incarnation {
		return core.Lease{}, false
	}
	limit := 0
	if d.acceptsWork(now, e) && (e.service == nil || e.service.queue.Len() == 0) {
		limit = longLimit(d.slotLimit(now, e))
	}
	lease, granted := e.pool.Lend(now, borrower, borrowerRevision, limit)
	if granted {
		d.updateCandidate(now, e)
	}
	return lease, granted
}

// Reconcile takes back expired leases that are not in the borrower's list of held
// leases.
func (d *Decider) Reconcile(now time.Time, borrower core.HostID, holding core.HeldLeases) {
	if e := d.byName[holding.Endpoint]; e != nil {
		e.pool.Reconcile(now, borrower, holding)
		d.updateCandidate(now, e)
	}
}

// Borrowed handles an owner's answer to a request for a slot.
func (d *Decider) Borrowed(now time.Time, borrowing core.SlotRequest, lease core.Lease, granted bool) core.Actions {
	d.begin(now)
	e := d.byName[borrowing.Endpoint]
	if e == nil {
		d.returnUnused(now, lease, granted)
		return d.finish(now)
	}
	e.endPendingBorrowing()
	if !granted {
		e.borrowingRefused(now, len(d.owners.Group(e.index))-1)
		d.updateCandidate(now, e)
		return d.finish(now)
	}
	e.borrowRefusals, e.borrowPause = 0, 0
	if e.pool.AcceptLease(now, borrowing.AskedAt, lease) {
		d.returnUnused(now, lease, granted)
	}
	d.track(e)
	d.updateCandidate(now, e)
	return d.finish(now)
}

// endPendingBorrowing ends the endpoint's pending request for a slot, which was
// answered or has timed out.
func (e *endpoint) endPendingBorrowing() {
	if e.borrowTimeoutAt.IsZero() {
		return
	}
	e.borrowTimeoutAt = time.Time{}
	if e.service != nil {
		e.service.pendingBorrowings--
	}
}

// track adds an endpoint to d.leased and d.awaitingRelease if it belongs there.
func (d *Decider) track(e *endpoint) {
	if !e.leased && e.pool.Borrowed() > 0 {
		e.leased = true
		d.leased = append(d.leased, e)
	}
	if !e.awaitingRelease && len(e.pool.PreviousOwners(nil)) > 0 {
		e.awaitingRelease = true
		d.awaitingRelease = append(d.awaitingRelease, e)
	}
}

// returnUnused returns a lease that was granted but cannot be used.
func (d *Decider) returnUnused(now time.Time, lease core.Lease, granted bool) {
	if granted && lease.Owner.Host != "" {
		d.returnLease(now, lease)
	}
}

// borrowingRefused counts a refusal. Once every owner has refused, it pauses
// borrowing, each time for twice as long.
func (e *endpoint) borrowingRefused(now time.Time, owners int) {
	e.borrowRefusals++
	if e.borrowRefusals < owners {
		return
	}
	e.borrowRefusals = 0
	e.borrowPause = min(max(2*e.borrowPause, _minBorrowPause), _maxBorrowPause)
	e.nextBorrowAt = now.Add(e.borrowPause)
}

// Returned handles the return of a lease that this host had granted.
func (d *Decider) Returned(now time.Time, lease core.Lease) core.Actions {
	d.begin(now)
	if e := d.byName[lease.Slot.Endpoint]; e != nil {
		e.pool.LeaseReturned(lease)
		d.updateCandidate(now, e)
	}
	return d.finish(now)
}

// returnIdleLeases returns leases that no request waits for and resends earlier
// returns. It removes endpoints from d.leased and d.awaitingRelease that no longer
// belong there.
func (d *Decider) returnIdleLeases(now time.Time) {
	kept := d.leased[:0]
	for _, e := range d.leased {
		d.returnIdle(now, e)
		e.leased = e.pool.Borrowed() > 0
		if e.leased {
			kept = append(kept, e)
		}
	}
	d.leased = kept
	stillAwaiting := d.awaitingRelease[:0]
	for _, e := range d.awaitingRelease {
		e.awaitingRelease = e.index >= 0 && len(e.pool.PreviousOwners(nil)) > 0
		if e.awaitingRelease {
			stillAwaiting = append(stillAwaiting, e)
		}
	}
	d.awaitingRelease = stillAwaiting
	d.resendReturns(now)
}

func (d *Decider) returnIdle(now time.Time, e *endpoint) {
	idle := d.draining || e.service == nil || e.service.queue.Len() == 0
	before := len(d.actions.LeaseReturns)
	d.actions.LeaseReturns = e.pool.ReturnIdle(now, idle, d.actions.LeaseReturns)
	for _, returning := range d.actions.LeaseReturns[before:] {
		d.scheduleResend(now, returning.Lease)
	}
	if len(d.actions.LeaseReturns) > before {
		d.updateCandidate(now, e)
	}
}

func (d *Decider) returnLease(now time.Time, lease core.Lease) {
	d.actions.LeaseReturns = append(d.actions.LeaseReturns, core.LeaseReturn{Lease: lease})
	d.scheduleResend(now, lease)
}

func (d *Decider) scheduleResend(now time.Time, lease core.Lease) {
	d.returns = append(d.returns, pendingReturn{lease: lease, nextSendAt: now.Add(d.terms.Lease), sendsLeft: _returnSends - 1})
}

func (d *Decider) resendReturns(now time.Time) {
	kept := d.returns[:0]
	for _, p := range d.returns {
		if !now.Before(p.nextSendAt) {
			d.actions.LeaseReturns = append(d.actions.LeaseReturns, core.LeaseReturn{Lease: p.lease})
			p.nextSendAt = now.Add(d.terms.Lease)
			p.sendsLeft--
		}
		if p.sendsLeft > 0 {
			kept = append(kept, p)
		}
	}
	d.returns = kept
}
