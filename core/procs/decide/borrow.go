package decide

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/slots"
)

const (
	// _returnTries is how often a lease's return is sent; it may be lost.
	_returnTries = 5
	// _askPause is the first pause after every owner of an endpoint refused.
	_askPause = 50 * time.Millisecond
	// _askPauseAtMost bounds the pause.
	_askPauseAtMost = time.Second
	// _askTimeout is when an unanswered question is forgotten.
	_askTimeout = 2 * time.Second
)

// borrowState is where the asking for slots of one endpoint stands.
type borrowState struct {
	// pendingUntil is when the question now on its way is forgotten.
	pendingUntil time.Time
	// askAt is when owners may be asked again after all refused.
	askAt    time.Time
	pause    time.Duration
	refusals int
	cursor   int
	// releaseAt is when the former owners of shut slots are asked next.
	releaseAt time.Time
}

// pendingReturn is a lease on its way back. The owner ignores a repeat.
type pendingReturn struct {
	lease core.Lease
	next  time.Time
	left  int
}

func evidence(askedAt time.Time, running, unreported int) slots.Evidence {
	return slots.Evidence{AskedAt: askedAt, Running: running, Unreported: unreported}
}

// borrow asks owners for slots that waiting requests could use, and former
// owners to release the slots that this host gained.
func (d *Decider) borrow(now time.Time) {
	if d.superseded || d.policy.Mode() != core.LimitLeases {
		return
	}
	for _, e := range d.endpoints {
		d.askRelease(now, e)
	}
	asked := 0
	for _, e := range d.endpoints {
		if now.Before(e.borrow.pendingUntil) {
			asked++
		}
	}
	for _, r := range d.waiting {
		if asked >= len(d.waiting) {
			return
		}
		if d.askFor(now, r) {
			asked++
		}
	}
}

// askFor asks for a slot of the endpoint that the policy wants for a request.
func (d *Decider) askFor(now time.Time, r *request) bool {
	d.candidates = candidates{decider: d, now: now, request: r, service: d.services[r.Service]}
	wanted := d.policy.Want(now, &r.Request, &borrowable{&d.candidates})
	if wanted < 0 {
		return false
	}
	e := d.candidates.service.endpoints[wanted]
	holder, ok := d.nextOwner(now, e)
	if !ok {
		return false
	}
	e.borrow.pendingUntil = now.Add(_askTimeout)
	d.ask(now, e, holder)
	return true
}

func (d *Decider) ask(now time.Time, e *endpoint, holder core.HostName) {
	d.actions.Borrowings = append(d.actions.Borrowings, core.Borrowing{
		Owner: holder, Endpoint: e.config.Name, Asked: now, Seen: d.config.Revision,
		Holding: e.pool.Holding(holder),
	})
}

// borrowable hides endpoints that are being asked for or that refused lately.
type borrowable struct{ *candidates }

// At describes one endpoint; one that cannot be borrowed has the limit 0.
func (b *borrowable) At(i int) core.Candidate {
	e := b.service.endpoints[i]
	if b.now.Before(e.borrow.pendingUntil) || b.now.Before(e.borrow.askAt) {
		return core.Candidate{Index: e.index}
	}
	return b.candidates.At(i)
}

// nextOwner goes round the owners of the endpoint's usable positions.
func (d *Decider) nextOwner(now time.Time, e *endpoint) (core.HostName, bool) {
	limit := min(e.view.Limit(now, e.config, d.viewTerms), d.owners.Slots(e.index))
	for range limit {
		e.borrow.cursor = (e.borrow.cursor + 1) % limit
		holder, ok := d.owners.Owner(e.index, e.borrow.cursor)
		if ok && holder != d.self.Host {
			return holder, true
		}
	}
	e.borrow.askAt = now.Add(_askPauseAtMost)
	return "", false
}

// askRelease asks the former owners of shut slots once per report interval.
func (d *Decider) askRelease(now time.Time, e *endpoint) {
	if now.Before(e.borrow.releaseAt) {
		return
	}
	formers := e.pool.Formers(nil)
	if len(formers) == 0 {
		return
	}
	e.borrow.releaseAt = now.Add(d.viewTerms.Step)
	for i, former := range formers {
		if i == 0 || formers[i-1] != former {
			d.ask(now, e, former)
		}
	}
}

// Lend answers another host that asks for a slot. A host with requests of its
// own waiting only releases what it has lost.
func (d *Decider) Lend(now time.Time, borrower core.HostID, name core.EndpointName, seen core.Revision) (core.Lease, bool) {
	e := d.byName[name]
	if e == nil || d.superseded || borrower.Incarnation < d.positions[borrower.Host].incarnation {
		return core.Lease{}, false
	}
	d.refresh(now, e)
	limit := 0
	if d.open(now, e) && len(d.waiting) == 0 {
		limit = e.view.Limit(now, e.config, d.viewTerms)
	}
	return e.pool.Lend(now, borrower, seen, limit)
}

// Reconcile takes in what a borrower says that it holds of this host's leases.
func (d *Decider) Reconcile(now time.Time, borrower core.HostID, holding core.Holding) {
	if e := d.byName[holding.Endpoint]; e != nil {
		e.pool.Reconcile(now, borrower, holding)
	}
}

// Borrowed takes in an owner's answer.
func (d *Decider) Borrowed(now time.Time, asked core.Borrowing, lease core.Lease, granted bool) core.Actions {
	d.begin()
	e := d.byName[asked.Endpoint]
	if e == nil {
		d.returnUnused(now, lease, granted)
		return d.finish(now)
	}
	e.borrow.pendingUntil = time.Time{}
	if granted {
		e.borrow.refusals, e.borrow.pause = 0, 0
		if !e.pool.Grant(now, asked.Asked, lease) {
			d.returnUnused(now, lease, granted)
		}
		return d.finish(now)
	}
	d.refused(now, e)
	return d.finish(now)
}

// returnUnused gives back a lease that came too late.
func (d *Decider) returnUnused(now time.Time, lease core.Lease, granted bool) {
	if granted && lease.Owner.Host != "" {
		d.returnLease(now, lease)
	}
}

// refused pauses the asking once every owner has refused, twice as long each
// time.
func (d *Decider) refused(now time.Time, e *endpoint) {
	e.borrow.refusals++
	if e.borrow.refusals < len(d.owners.Group(e.index))-1 {
		return
	}
	e.borrow.refusals = 0
	e.borrow.pause = min(max(2*e.borrow.pause, _askPause), _askPauseAtMost)
	e.borrow.askAt = now.Add(e.borrow.pause)
}

// Returned takes back a lease that this host had lent.
func (d *Decider) Returned(now time.Time, lease core.Lease) core.Actions {
	d.begin()
	if e := d.byName[lease.Slot.Endpoint]; e != nil {
		e.pool.Returned(lease)
	}
	return d.finish(now)
}

// giveBack returns leases that nothing waits for, and repeats earlier returns.
func (d *Decider) giveBack(now time.Time) {
	idle := d.draining || len(d.waiting) == 0
	for _, e := range d.endpoints {
		before := len(d.actions.Returnings)
		d.actions.Returnings = e.pool.ReturnIdle(now, idle, d.actions.Returnings)
		for _, returning := range d.actions.Returnings[before:] {
			d.repeatLater(now, returning.Lease)
		}
	}
	d.repeatReturns(now)
}

func (d *Decider) returnLease(now time.Time, lease core.Lease) {
	d.actions.Returnings = append(d.actions.Returnings, core.Returning{Lease: lease})
	d.repeatLater(now, lease)
}

func (d *Decider) repeatLater(now time.Time, lease core.Lease) {
	d.returns = append(d.returns, pendingReturn{lease: lease, next: now.Add(d.terms.Lease), left: _returnTries - 1})
}

func (d *Decider) repeatReturns(now time.Time) {
	kept := d.returns[:0]
	for _, p := range d.returns {
		if !now.Before(p.next) {
			d.actions.Returnings = append(d.actions.Returnings, core.Returning{Lease: p.lease})
			p.next = now.Add(d.terms.Lease)
			p.left--
		}
		if p.left > 0 {
			kept = append(kept, p)
		}
	}
	d.returns = kept
}

// Snapshot carries what a replaced host needs.
func (d *Decider) Snapshot(time.Time) ([]byte, error) { return []byte("{}"), nil }

// Restore takes in a snapshot.
func (d *Decider) Restore(time.Time, []byte) error { return nil }
