package decide

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/core/procs/queue"
)

// _promoteLongAfter is how long the head of the long class waits before it goes
// ahead of short requests.
const _promoteLongAfter = 2 * time.Second

// placeWaiting places waiting requests on endpoints for as long as it can.
func (d *Decider) placeWaiting(now time.Time) {
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

// nextClass returns the class whose head is placed next: the short class, unless
// the head of the long class has waited for too long. It returns false when neither
// class has a head to try.
func (d *Decider) nextClass(now time.Time, s *service) (queue.Class, bool) {
	short := s.queue.Count(queue.ClassShort) > 0 && !s.blocked[queue.ClassShort]
	long := s.queue.Count(queue.ClassLong) > 0 && !s.blocked[queue.ClassLong]
	if !short || !long {
		if long {
			return queue.ClassLong, true
		}
		return queue.ClassShort, short
	}
	if now.Sub(s.queue.Head(queue.ClassLong).Entered) > _promoteLongAfter {
		return queue.ClassLong, true
	}
	return queue.ClassShort, true
}

// placeHead tries to place the head of a class. It returns false when the head
// stays in the queue.
func (d *Decider) placeHead(now time.Time, s *service, class queue.Class) bool {
	if s.free[class] == 0 && d.needsSlot() {
		return false
	}
	item := s.queue.Head(class)
	r := item.Value
	if d.noOtherEndpoint(now, r) {
		d.dequeue(r)
		d.refuse(r, core.CauseNoEndpoint, "no endpoint is open besides the one that failed", now.Add(_minRetryAfter))
		return true
	}
	d.fillDemand(now, r)
	picked := d.policy.Pick(now, &d.demand, s.candidates)
	if picked < 0 {
		return false
	}
	e := s.endpoints[picked]
	slot, validUntil, ok := d.takeSlot(now, e, r)
	if !ok {
		return false
	}
	s.queue.Take(item)
	d.waiting--
	s.rates[class].Departed(now, s.queue.Count(class) > 0)
	d.startTry(now, r, e, slot, validUntil)
	return true
}

// fillDemand sets d.demand to a request's demand on an endpoint.
func (d *Decider) fillDemand(now time.Time, r *request) {
	d.demand.Short = r.item.Class == queue.ClassShort
	d.demand.PromptTokens = float32(r.PromptTokens)
	d.demand.ExpectedTokens = float32(r.expected)
	d.demand.Avoid = -1
	if r.avoids() {
		d.demand.Avoid = r.avoid.candidateIndex
	}
	d.demand.Hints = d.demand.Hints[:0]
	if len(r.Prefixes) > 0 {
		d.fillHints(now, r)
	}
}

// avoids reports whether the endpoint that last failed the request is one of its
// service's endpoints.
func (r *request) avoids() bool { return r.avoid != nil && r.avoid.service == r.service }

// noOtherEndpoint reports whether a request is a retry for which there is no other
// endpoint. A retry never goes back to the endpoint that failed last. Without another
// endpoint it would stay the head of its class and block every request behind it until
// its deadline. An endpoint in backoff after a failed dial is worth waiting for, since
// the backoff is short.
func (d *Decider) noOtherEndpoint(now time.Time, r *request) bool {
	if !r.avoids() {
		return false
	}
	for _, e := range r.service.endpoints {
		if e != r.avoid && d.eligible(now, e) {
			return false
		}
	}
	return true
}

// fillHints adds the endpoints that probably have the prompt's longest known prefix
// cached to the demand.
func (d *Decider) fillHints(now time.Time, r *request) {
	for i := len(r.Prefixes) - 1; i >= 0; i-- {
		tokens := r.PromptTokens * (i + 1) / len(r.Prefixes)
		d.hints.Each(now, r.Prefixes[i], func(e *endpoint) {
			if e.service == r.service && e.candidateIndex >= 0 {
				d.demand.Hints = append(d.demand.Hints, core.PrefixHint{Candidate: e.candidateIndex, Tokens: tokens})
			}
		})
		if len(d.demand.Hints) > 0 {
			return
		}
	}
}

// needsSlot reports whether each placement of the policy needs a slot.
func (d *Decider) needsSlot() bool {
	mode := d.policy.Mode()
	return mode == core.LimitLeases || mode == core.LimitShare
}

// takeSlot takes a slot of an endpoint for a request, and returns the time until which
// the slot is valid. For a policy that needs no slot, the position is -1.
func (d *Decider) takeSlot(now time.Time, e *endpoint, r *request) (core.SlotID, time.Time, bool) {
	if !d.needsSlot() {
		return core.SlotID{Endpoint: e.config.Name, Position: -1}, time.Time{}, true
	}
	limit := d.slotLimit(now, e)
	if r.item.Class == queue.ClassLong {
		limit = longLimit(limit)
	}
	return e.pool.Take(now, limit)
}

// startTry places a request on an endpoint.
func (d *Decider) startTry(now time.Time, r *request, e *endpoint, slot core.SlotID, validUntil time.Time) {
	e.checkInvariants()
	r.try++
	r.charged = false
	r.state = statePlaced
	r.endpoint = e
	r.dispatchedAt = now
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
	d.updateCandidate(now, e)
}

// checkInvariants checks the invariants on endpoints that take no new requests. The
// conditions are outside the calls, so that the arguments are only built when an
// invariant is broken.
func (e *endpoint) checkInvariants() {
	if !e.inService {
		invar.Check(invar.DataCentreOut, false, "endpoint %s is out of service", e.config.Name)
	}
	if e.config.Leaving || e.view.Report.Leaving {
		invar.Check(invar.EndpointLeaving, false, "endpoint %s is leaving", e.config.Name)
	}
}

// enginePriority returns the request's priority on the engine: short requests rank
// above long ones of the same priority.
func (r *request) enginePriority() int {
	if r.item.Class == queue.ClassShort {
		return 2*r.Priority + 1
	}
	return 2 * r.Priority
}

// Confirm reports whether a placement may still be dispatched. If not, it frees the
// slot, and the request is placed again by a later call.
func (d *Decider) Confirm(now time.Time, placement core.Placement) bool {
	r := d.currentRequest(placement)
	if r == nil {
		return false
	}
	if d.mayDispatch(now, r) {
		r.dispatchedAt = now
		r.state = stateDispatched
		return true
	}
	e := r.endpoint
	d.endTry(now, r, false)
	r.state = stateDelayed
	r.notBefore = now
	d.delayed = append(d.delayed, r)
	d.updateCandidate(now, e)
	return false
}

// currentRequest returns the request of a placement, or nil if the placement is no
// longer in force.
func (d *Decider) currentRequest(placement core.Placement) *request {
	r := d.requests[placement.Request]
	if r == nil || r.state < statePlaced || r.placement.Try != placement.Try || r.placement.Slot != placement.Slot {
		return nil
	}
	return r
}

// mayDispatch checks the conditions that may have changed since the placement was
// made.
func (d *Decider) mayDispatch(now time.Time, r *request) bool {
	e := r.endpoint
	if d.superseded || !d.acceptsWork(now, e) {
		return false
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return false
	}
	if r.placement.Slot.Position < 0 {
		return true
	}
	return e.pool.Valid(now, r.placement.Slot.Position, d.slotLimit(now, e))
}

// endTry ends a request's try and frees its slot. mayRun means that the endpoint may
// still be running the request.
func (d *Decider) endTry(now time.Time, r *request, mayRun bool) {
	e := r.endpoint
	if r.placement.Slot.Position >= 0 {
		lease, returned := e.pool.Release(now, r.placement.Slot.Position, mayRun)
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
