package decide

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/queue"
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
	// _askAtOnce bounds the questions of a service that are on their way.
	_askAtOnce = 8
)

// pendingReturn is a lease on its way back. The owner ignores a repeat.
type pendingReturn struct {
	lease core.Lease
	next  time.Time
	left  int
}

// borrow asks owners for slots that waiting requests could use, and former
// owners to release the slots that this host gained.
func (d *Decider) borrow(now time.Time) {
	if d.superseded || d.policy.Mode() != core.LimitLeases {
		return
	}
	for _, e := range d.gaining {
		d.askRelease(now, e)
	}
	for _, s := range d.services {
		for class := queue.ClassShort; class <= queue.ClassLong; class++ {
			if s.queue.Count(class) > 0 && !s.unwanted[class] {
				s.unwanted[class] = !d.borrowFor(now, s, s.queue.Head(class).Value)
			}
		}
	}
}

// borrowFor asks for slots that a waiting request could use, for at most as
// many as there are requests waiting. It is false when none is to be asked for.
func (d *Decider) borrowFor(now time.Time, s *service, r *request) bool {
	d.ask(now, r)
	for s.asking < min(s.queue.Len(), _askAtOnce) {
		wanted := d.policy.Want(now, &d.demand, s.candidates)
		if wanted < 0 {
			return false
		}
		e := s.endpoints[wanted]
		holder, ok := d.nextOwner(now, e)
		if !ok {
			s.candidates[wanted].Asking = true
			e.askAt = now.Add(_askPauseAtMost)
			continue
		}
		e.pendingUntil = now.Add(_askTimeout)
		s.asking++
		s.candidates[wanted].Asking = true
		s.dueAt = earlier(s.dueAt, e.pendingUntil)
		d.request(now, e, holder)
	}
	return true
}

// request asks a host for a slot or for the release of one.
func (d *Decider) request(now time.Time, e *endpoint, holder core.HostName) {
	d.actions.Borrowings = append(d.actions.Borrowings, core.Borrowing{
		Owner: holder, Endpoint: e.config.Name, Asked: now, Seen: d.config.Revision,
		Holding: e.pool.Holding(holder),
	})
}

// nextOwner goes round the owners of the endpoint's usable positions.
func (d *Decider) nextOwner(now time.Time, e *endpoint) (core.HostName, bool) {
	limit := min(longLimit(d.limit(now, e)), d.owners.Slots(e.index))
	if limit <= 0 {
		return "", false
	}
	if e.cursor == 0 {
		// Hosts that need slots at the same time begin at different owners.
		e.cursor = d.random.IntN(limit)
	}
	for range limit {
		e.cursor = (e.cursor + 1) % limit
		holder, ok := d.owners.Owner(e.index, e.cursor)
		if ok && holder != d.self.Host {
			return holder, true
		}
	}
	return "", false
}

// askRelease asks the former owners of shut slots once per report interval.
func (d *Decider) askRelease(now time.Time, e *endpoint) {
	if now.Before(e.releaseAt) {
		return
	}
	formers := e.pool.Formers(nil)
	e.releaseAt = now.Add(d.viewTerms.Step)
	for i, former := range formers {
		if i == 0 || formers[i-1] != former {
			d.request(now, e, former)
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
	limit := 0
	if d.open(now, e) && (e.service == nil || e.service.queue.Len() == 0) {
		limit = longLimit(d.limit(now, e))
	}
	lease, granted := e.pool.Lend(now, borrower, seen, limit)
	if granted {
		d.update(now, e)
	}
	return lease, granted
}

// Reconcile takes in what a borrower says that it holds of this host's leases.
func (d *Decider) Reconcile(now time.Time, borrower core.HostID, holding core.Holding) {
	if e := d.byName[holding.Endpoint]; e != nil {
		e.pool.Reconcile(now, borrower, holding)
		d.update(now, e)
	}
}

// Borrowed takes in an owner's answer.
func (d *Decider) Borrowed(now time.Time, asked core.Borrowing, lease core.Lease, granted bool) core.Actions {
	d.begin(now)
	e := d.byName[asked.Endpoint]
	if e == nil {
		d.returnUnused(now, lease, granted)
		return d.finish(now)
	}
	e.answered()
	if !granted {
		e.refused(now, len(d.owners.Group(e.index))-1)
		d.update(now, e)
		return d.finish(now)
	}
	e.refusals, e.askPause = 0, 0
	if e.pool.Grant(now, asked.Asked, lease) {
		d.returnUnused(now, lease, granted)
	}
	d.track(e)
	d.update(now, e)
	return d.finish(now)
}

// answered ends the question on its way.
func (e *endpoint) answered() {
	if e.pendingUntil.IsZero() {
		return
	}
	e.pendingUntil = time.Time{}
	if e.service != nil {
		e.service.asking--
	}
}

// track keeps the lists of endpoints with leases in hand and with slots to gain.
func (d *Decider) track(e *endpoint) {
	if !e.leased && e.pool.Borrowed() > 0 {
		e.leased = true
		d.leased = append(d.leased, e)
	}
	if !e.gaining && len(e.pool.Formers(nil)) > 0 {
		e.gaining = true
		d.gaining = append(d.gaining, e)
	}
}

// returnUnused gives back a lease that came too late.
func (d *Decider) returnUnused(now time.Time, lease core.Lease, granted bool) {
	if granted && lease.Owner.Host != "" {
		d.returnLease(now, lease)
	}
}

// refused pauses the asking once every owner has refused, twice as long each
// time.
func (e *endpoint) refused(now time.Time, owners int) {
	e.refusals++
	if e.refusals < owners {
		return
	}
	e.refusals = 0
	e.askPause = min(max(2*e.askPause, _askPause), _askPauseAtMost)
	e.askAt = now.Add(e.askPause)
}

// Returned takes back a lease that this host had lent.
func (d *Decider) Returned(now time.Time, lease core.Lease) core.Actions {
	d.begin(now)
	if e := d.byName[lease.Slot.Endpoint]; e != nil {
		e.pool.Returned(lease)
		d.update(now, e)
	}
	return d.finish(now)
}

// giveBack returns leases that nothing waits for, and repeats earlier returns.
func (d *Decider) giveBack(now time.Time) {
	kept := d.leased[:0]
	for _, e := range d.leased {
		d.giveBackIdle(now, e)
		e.leased = e.pool.Borrowed() > 0
		if e.leased {
			kept = append(kept, e)
		}
	}
	d.leased = kept
	gaining := d.gaining[:0]
	for _, e := range d.gaining {
		e.gaining = e.index >= 0 && len(e.pool.Formers(nil)) > 0
		if e.gaining {
			gaining = append(gaining, e)
		}
	}
	d.gaining = gaining
	d.repeatReturns(now)
}

func (d *Decider) giveBackIdle(now time.Time, e *endpoint) {
	idle := d.draining || e.service == nil || e.service.queue.Len() == 0
	before := len(d.actions.Returnings)
	d.actions.Returnings = e.pool.ReturnIdle(now, idle, d.actions.Returnings)
	for _, returning := range d.actions.Returnings[before:] {
		d.repeatLater(now, returning.Lease)
	}
	if len(d.actions.Returnings) > before {
		d.update(now, e)
	}
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
