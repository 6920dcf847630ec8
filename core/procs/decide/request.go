package decide

import (
	"time"

	"apricotproxy/core"
)

// state tells where a request is.
type state uint8

const (
	stateWaiting    state = iota
	statePlaced           // has a slot; not yet confirmed
	stateDispatched       // may be on the endpoint
)

// request is one request from its arrival to its end.
type request struct {
	core.Request
	state     state
	placement core.Placement
	endpoint  *endpoint
	try       int
	tokens    int
	// dispatched is when the placement was last confirmed.
	dispatched time.Time
	// unreported is true while the endpoint's report may lack the request.
	unreported bool
	// mayHaveRun is true once a try was lost that may have run: the request
	// can no longer be refused as not run.
	mayHaveRun bool
	// avoid is the endpoint that failed last.
	avoid *endpoint
}

// deadline is when the request is given up while it waits.
func (r *request) deadline() time.Time {
	if r.try > 0 && !r.Deadline.IsZero() {
		return r.Deadline
	}
	return r.QueueDeadline
}

// Submit enters a request.
func (d *Decider) Submit(now time.Time, submitted core.Request) core.Actions {
	d.begin()
	r := &request{Request: submitted}
	d.requests[submitted.ID] = r
	switch {
	case d.draining || d.superseded:
		d.refuseStopped(r, now)
	case d.services[submitted.Service] == nil:
		d.refuse(r, core.CauseUnknownName, "the configuration has no service "+string(submitted.Service), time.Time{})
	case d.config.Limits.QueueLength > 0 && len(d.waiting) >= d.config.Limits.QueueLength:
		d.refuse(r, core.CauseOverload, "the queue is full", d.retryAt(now))
	default:
		d.waiting = append(d.waiting, r)
	}
	return d.finish(now)
}

// refuse gives a request its final answer and forgets it.
func (d *Decider) refuse(r *request, cause core.Cause, detail string, retryAt time.Time) {
	err := core.NotRun(cause, detail, retryAt)
	if r.mayHaveRun {
		err = &core.OutcomeError{Outcome: core.OutcomeUnknown, Cause: core.CauseEndpointLost, Detail: "an earlier try was lost; " + detail}
	}
	d.actions.Refusals = append(d.actions.Refusals, core.Refusal{Request: r.ID, Err: err})
	delete(d.requests, r.ID)
}

// retryAt estimates when asking again makes sense.
func (d *Decider) retryAt(now time.Time) time.Time { return now.Add(time.Second) }

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
	d.endTry(now, r, false)
	d.waiting = append(d.waiting, r)
	return false
}

// current finds the request of a placement that is still in force.
func (d *Decider) current(placement core.Placement) *request {
	r := d.requests[placement.Request]
	if r == nil || r.state == stateWaiting || r.placement.Try != placement.Try || r.placement.Slot != placement.Slot {
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
	if d.policy.Mode() == core.LimitReports {
		return true
	}
	d.refresh(now, e)
	return e.pool.Valid(now, r.placement.Slot.Position, e.view.Limit(now, e.config, d.viewTerms))
}

// open tells whether an endpoint takes new work at all.
func (d *Decider) open(now time.Time, e *endpoint) bool {
	return e.index >= 0 && e.inService && !e.config.Leaving && !e.view.Report.Leaving && e.view.Valid(now)
}

// refresh brings the pool's phase up to the view's.
func (d *Decider) refresh(now time.Time, e *endpoint) {
	e.pool.SetCold(now, e.view.Cold(now))
}

// Progress tells the tokens that a running request has produced so far.
func (d *Decider) Progress(now time.Time, id core.RequestID, tokens int) {
	r := d.requests[id]
	if r == nil || r.state != stateDispatched {
		return
	}
	if r.tokens == 0 && tokens > 0 {
		r.endpoint.view.FirstToken(now, now.Sub(r.dispatched), d.viewTerms)
		d.refresh(now, r.endpoint)
	}
	r.tokens = max(r.tokens, tokens)
}

// Finish ends a try. A try that is no longer in force is ignored: its slot was
// given back when Confirm refused it.
func (d *Decider) Finish(now time.Time, placement core.Placement, result core.Result, tokens int) core.Actions {
	d.begin()
	r := d.current(placement)
	if r == nil {
		return d.finish(now)
	}
	r.tokens = max(r.tokens, tokens)
	d.endTry(now, r, mayGoOn(result))
	switch result {
	case core.ResultCompleted:
		r.endpoint.view.Completed()
		delete(d.requests, r.ID)
	case core.ResultDialFailed, core.ResultRefused:
		d.retry(now, r, core.CauseEndpointDenied)
	case core.ResultLost:
		r.mayHaveRun = true
		d.retry(now, r, core.CauseEndpointLost)
	default:
		delete(d.requests, r.ID)
	}
	return d.finish(now)
}

// mayGoOn tells whether the endpoint may still work on a try that has ended.
func mayGoOn(result core.Result) bool {
	return result == core.ResultLost || result == core.ResultCut || result == core.ResultCancelled
}

// retry places a failed request again, or refuses it.
func (d *Decider) retry(now time.Time, r *request, cause core.Cause) {
	r.avoid = r.endpoint
	r.tokens = 0
	switch {
	case r.mayHaveRun && !r.Repeatable:
		d.refuse(r, cause, "the request may not be repeated", time.Time{})
	case d.draining:
		d.refuse(r, core.CauseDraining, "this host is stopping; ask again, another host answers", now)
	default:
		d.waiting = append(d.waiting, r)
	}
}

// endTry gives a try's slot back.
func (d *Decider) endTry(now time.Time, r *request, doubt bool) {
	e := r.endpoint
	lease, returned := e.pool.Release(now, r.placement.Slot.Position, doubt)
	if returned {
		d.returnLease(now, lease)
	}
	d.forgetRunning(e, r)
	r.state = stateWaiting
	d.running--
}

func (d *Decider) forgetRunning(e *endpoint, r *request) {
	for i, other := range e.running {
		if other == r {
			last := len(e.running) - 1
			e.running[i] = e.running[last]
			e.running = e.running[:last]
			break
		}
	}
	if r.unreported {
		r.unreported = false
		e.unreported--
	}
}

// Withdraw takes a waiting request out of the queue.
func (d *Decider) Withdraw(_ time.Time, id core.RequestID) bool {
	r := d.requests[id]
	if r == nil || r.state != stateWaiting {
		return false
	}
	for i, other := range d.waiting {
		if other == r {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
			break
		}
	}
	delete(d.requests, id)
	return true
}
