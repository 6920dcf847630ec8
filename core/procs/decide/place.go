package decide

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
)

// candidates gives the endpoints of a request to the policy.
type candidates struct {
	decider *Decider
	now     time.Time
	request *request
	service *service
}

// Len counts the endpoints that this host deals with for the service.
func (c *candidates) Len() int { return len(c.service.endpoints) }

// At describes one endpoint. One that takes no new work has the limit 0.
func (c *candidates) At(i int) core.Candidate {
	e := c.service.endpoints[i]
	if !c.decider.open(c.now, e) || e == c.request.avoid {
		return core.Candidate{Index: e.index}
	}
	c.decider.refresh(c.now, e)
	limit := e.view.Limit(c.now, e.config, c.decider.viewTerms)
	return core.Candidate{
		Index:       e.index,
		Free:        e.pool.Free(c.now, limit),
		Limit:       limit,
		Running:     e.view.Report.Running,
		Waiting:     e.view.Report.Waiting,
		Own:         len(e.running),
		Unreported:  e.unreported,
		TotalTokens: e.view.Report.TotalTokens,
		PeakTokens:  e.view.Report.TotalTokens - e.view.Report.FreeTokens,
		NeedTokens:  int64(c.request.PromptTokens),
		Remote:      e.remote,
	}
}

// expire refuses waiting requests whose deadline has passed.
func (d *Decider) expire(now time.Time) {
	for _, e := range d.endpoints {
		e.pool.Expire(now)
	}
	kept := d.waiting[:0]
	for _, r := range d.waiting {
		if d.draining || d.superseded {
			d.refuseStopped(r, now)
			continue
		}
		if deadline := r.deadline(); deadline.IsZero() || now.Before(deadline) {
			kept = append(kept, r)
			continue
		}
		d.refuse(r, core.CauseDeadline, "no endpoint had room before the queue deadline", d.retryAt(now))
	}
	d.waiting = kept
}

// refuseStopped refuses a request on a host that admits no more.
func (d *Decider) refuseStopped(r *request, now time.Time) {
	if d.draining {
		d.refuse(r, core.CauseDraining, "this host is stopping; ask again, another host answers", now)
		return
	}
	d.refuse(r, core.CauseNotReady, "a newer process stands at this host's position; ask again", now)
}

// place gives waiting requests the slots in hand.
func (d *Decider) place(now time.Time) {
	if d.superseded {
		return
	}
	kept := d.waiting[:0]
	for _, r := range d.waiting {
		if !d.placeOne(now, r) {
			kept = append(kept, r)
		}
	}
	d.waiting = kept
}

func (d *Decider) placeOne(now time.Time, r *request) bool {
	d.candidates = candidates{decider: d, now: now, request: r, service: d.services[r.Service]}
	picked := d.policy.Pick(now, &r.Request, &d.candidates)
	if picked < 0 {
		return false
	}
	e := d.candidates.service.endpoints[picked]
	slot, validUntil, ok := d.take(now, e)
	if !ok {
		return false
	}
	invar.Check(invar.DataCentreOut, e.inService, "endpoint %s is out of service", e.config.Name)
	invar.Check(invar.EndpointLeaving, !e.config.Leaving && !e.view.Report.Leaving, "endpoint %s is leaving", e.config.Name)
	r.try++
	r.state = statePlaced
	r.endpoint = e
	r.dispatched = now
	r.unreported = true
	r.placement = core.Placement{
		Request:    r.ID,
		Endpoint:   e.config.Name,
		Slot:       slot,
		ValidUntil: earlier(validUntil, e.view.ValidUntil),
		Priority:   r.Priority,
		Try:        r.try,
	}
	e.running = append(e.running, r)
	e.unreported++
	d.running++
	d.actions.Placements = append(d.actions.Placements, r.placement)
	return true
}

// take takes a slot. A policy that goes by reports alone needs none.
func (d *Decider) take(now time.Time, e *endpoint) (core.SlotID, time.Time, bool) {
	if d.policy.Mode() == core.LimitReports {
		return core.SlotID{Endpoint: e.config.Name, Position: -1}, time.Time{}, true
	}
	return e.pool.Take(now, e.view.Limit(now, e.config, d.viewTerms))
}

// earlier gives the earlier of two deadlines, where zero is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// Observe takes in an endpoint's load report.
func (d *Decider) Observe(now time.Time, report core.Report) core.Actions {
	d.begin()
	e := d.byName[report.Endpoint]
	if e == nil || !e.view.Observe(now, report, d.viewTerms) {
		return d.finish(now)
	}
	d.refresh(now, e)
	d.recount(e)
	running := report.Running + report.Waiting
	e.pool.Observe(evidence(report.AskedAt, running, e.unreported))
	return d.finish(now)
}

// recount marks the running requests that the report may lack.
func (d *Decider) recount(e *endpoint) {
	e.unreported = 0
	since := e.view.Report.AskedAt.Add(-d.terms.Lag)
	for _, r := range e.running {
		r.unreported = r.dispatched.After(since)
		if r.unreported {
			e.unreported++
		}
	}
}

// ObserveUnreachable tells that an endpoint could not be asked. The last report
// stays in force until its own deadline.
func (d *Decider) ObserveUnreachable(now time.Time, _ core.EndpointName) core.Actions {
	d.begin()
	return d.finish(now)
}

// ObserveCache takes in cache events.
func (d *Decider) ObserveCache(time.Time, []core.CacheEvent) {}

// wakeAt is the earliest time at which something falls due.
func (d *Decider) wakeAt(now time.Time) time.Time {
	var at time.Time
	for _, r := range d.waiting {
		at = earlier(at, r.deadline())
	}
	if len(d.waiting) > 0 || len(d.returns) > 0 {
		at = earlier(at, now.Add(_pollInterval))
	}
	return at
}

// _pollInterval is how often a host with waiting requests looks again for slots
// that its ramps opened and for owners to borrow from.
const _pollInterval = 50 * time.Millisecond
