package decide

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/core/procs/queue"
)

// _agedAfter is how long the head of the long class waits before it goes ahead
// of short requests.
const _agedAfter = 2 * time.Second

// place gives waiting requests the slots in hand.
func (d *Decider) place(now time.Time) {
	if d.superseded {
		return
	}
	for _, s := range d.services {
		for s.queue.Len() > 0 {
			class, ok := d.nextClass(now, s)
			if !ok {
				break
			}
			if !d.placeHead(now, s, class) {
				s.blocked[class] = true
			}
		}
	}
}

// nextClass picks the class whose head is placed next: short ones first, unless
// the long one has waited too long.
func (d *Decider) nextClass(now time.Time, s *service) (queue.Class, bool) {
	short := s.queue.Count(queue.ClassShort) > 0 && !s.blocked[queue.ClassShort]
	long := s.queue.Count(queue.ClassLong) > 0 && !s.blocked[queue.ClassLong]
	if !short || !long {
		if long {
			return queue.ClassLong, true
		}
		return queue.ClassShort, short
	}
	if now.Sub(s.queue.Head(queue.ClassLong).Entered) > _agedAfter {
		return queue.ClassLong, true
	}
	return queue.ClassShort, true
}

// placeHead tries to place the head of a class.
func (d *Decider) placeHead(now time.Time, s *service, class queue.Class) bool {
	if s.free[class] == 0 && d.needsSlot() {
		return false
	}
	item := s.queue.Head(class)
	r := item.Value
	if d.stranded(now, r) {
		d.leave(r)
		d.refuse(r, core.CauseNoEndpoint, "no endpoint is open besides the one that failed", now.Add(_retryPause))
		return true
	}
	d.ask(now, r)
	picked := d.policy.Pick(now, &d.demand, s.candidates)
	if picked < 0 {
		return false
	}
	e := s.endpoints[picked]
	slot, validUntil, ok := d.take(now, e, r)
	if !ok {
		return false
	}
	s.queue.Take(item)
	d.waiting--
	s.rates[class].Departed(now, s.queue.Count(class) > 0)
	d.start(now, r, e, slot, validUntil)
	return true
}

// ask fills in the demand of a request.
func (d *Decider) ask(now time.Time, r *request) {
	d.demand.Short = r.item.Class == queue.ClassShort
	d.demand.PromptTokens = float32(r.PromptTokens)
	d.demand.ExpectedTokens = float32(r.expected)
	d.demand.Avoid = -1
	if r.avoids() {
		d.demand.Avoid = r.avoid.place
	}
	d.demand.Hints = d.demand.Hints[:0]
	if len(r.Prefixes) > 0 {
		d.hint(now, r)
	}
}

// avoids tells whether one of the service's endpoints failed the request last.
func (r *request) avoids() bool { return r.avoid != nil && r.avoid.service == r.service }

// stranded tells whether a retry has nowhere to go: it never goes back to the
// endpoint that failed last, and as the head of its class it would hold up every
// request behind it until its deadline. An endpoint that is left alone for a
// moment after a failed dial is worth the wait.
func (d *Decider) stranded(now time.Time, r *request) bool {
	if !r.avoids() {
		return false
	}
	for _, e := range r.service.endpoints {
		if e != r.avoid && d.serves(now, e) {
			return false
		}
	}
	return true
}

// hint looks up where the prompt's longest known prefix seems to be cached.
func (d *Decider) hint(now time.Time, r *request) {
	for i := len(r.Prefixes) - 1; i >= 0; i-- {
		tokens := r.PromptTokens * (i + 1) / len(r.Prefixes)
		d.hints.Each(now, r.Prefixes[i], func(e *endpoint) {
			if e.service == r.service && e.place >= 0 {
				d.demand.Hints = append(d.demand.Hints, core.PrefixHint{Candidate: e.place, Tokens: tokens})
			}
		})
		if len(d.demand.Hints) > 0 {
			return
		}
	}
}

// needsSlot tells whether the policy places by slots.
func (d *Decider) needsSlot() bool {
	mode := d.policy.Mode()
	return mode == core.LimitLeases || mode == core.LimitShare
}

// take takes a slot. A policy that goes by reports alone needs none.
func (d *Decider) take(now time.Time, e *endpoint, r *request) (core.SlotID, time.Time, bool) {
	if !d.needsSlot() {
		return core.SlotID{Endpoint: e.config.Name, Position: -1}, time.Time{}, true
	}
	limit := d.limit(now, e)
	if r.item.Class == queue.ClassLong {
		limit = longLimit(limit)
	}
	return e.pool.Take(now, limit)
}

// start makes a placement.
func (d *Decider) start(now time.Time, r *request, e *endpoint, slot core.SlotID, validUntil time.Time) {
	e.check()
	r.try++
	r.charged = false
	r.state = statePlaced
	r.endpoint = e
	r.dispatched = now
	r.unreported = true
	r.remaining = r.expected
	r.placement = core.Placement{
		Request:    r.ID,
		Endpoint:   e.config.Name,
		Slot:       slot,
		ValidUntil: earlier(validUntil, e.view.ValidUntil),
		Priority:   r.enginePriority(),
		Try:        r.try,
	}
	e.running = append(e.running, r)
	e.unreported++
	e.unreportedTokens += float64(r.PromptTokens)
	e.remaining += r.remaining
	d.running++
	d.actions.Placements = append(d.actions.Placements, r.placement)
	for _, prefix := range r.Prefixes {
		d.hints.Stored(now, prefix, e)
	}
	d.update(now, e)
}

// check asserts the promises on endpoints that take no new work. The conditions
// stand outside the calls so that their arguments are built for a broken
// promise only.
func (e *endpoint) check() {
	if !e.inService {
		invar.Check(invar.DataCentreOut, false, "endpoint %s is out of service", e.config.Name)
	}
	if e.config.Leaving || e.view.Report.Leaving {
		invar.Check(invar.EndpointLeaving, false, "endpoint %s is leaving", e.config.Name)
	}
}

// enginePriority puts short requests above long ones of the same priority.
func (r *request) enginePriority() int {
	if r.item.Class == queue.ClassShort {
		return 2*r.Priority + 1
	}
	return 2 * r.Priority
}

// Confirm tells whether a placement may still be dispatched.
func (d *Decider) Confirm(now time.Time, placement core.Placement) bool {
	r := d.current(placement)
	if r == nil {
		return false
	}
	if d.mayDispatch(now, r) {
		r.dispatched = now
		r.state = stateDispatched
		return true
	}
	e := r.endpoint
	d.endTry(now, r, false)
	r.state = stateDelayed
	r.notBefore = now
	d.delayed = append(d.delayed, r)
	d.update(now, e)
	return false
}

// current finds the request of a placement that is still in force.
func (d *Decider) current(placement core.Placement) *request {
	r := d.requests[placement.Request]
	if r == nil || r.state < statePlaced || r.placement.Try != placement.Try || r.placement.Slot != placement.Slot {
		return nil
	}
	return r
}

// mayDispatch checks all that may have changed since the placement was made.
func (d *Decider) mayDispatch(now time.Time, r *request) bool {
	e := r.endpoint
	if d.superseded || !d.open(now, e) {
		return false
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return false
	}
	if r.placement.Slot.Position < 0 {
		return true
	}
	return e.pool.Valid(now, r.placement.Slot.Position, d.limit(now, e))
}

// endTry gives a try's slot back.
func (d *Decider) endTry(now time.Time, r *request, doubt bool) {
	e := r.endpoint
	if r.placement.Slot.Position >= 0 {
		lease, returned := e.pool.Release(now, r.placement.Slot.Position, doubt)
		if returned {
			d.returnLease(now, lease)
		}
	}
	for i, other := range e.running {
		if other == r {
			last := len(e.running) - 1
			e.running[i] = e.running[last]
			e.running[last] = nil
			e.running = e.running[:last]
			break
		}
	}
	if r.unreported {
		r.unreported = false
		e.unreported--
		e.unreportedTokens -= float64(r.PromptTokens)
	}
	e.remaining -= r.remaining
	d.running--
}
