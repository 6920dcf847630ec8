package decide

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/budget"
)

// retry schedules a failed request for another try after a pause, or refuses it. A
// request that is not repeatable is retried only if it certainly did not run.
func (d *Decider) retry(now time.Time, r *request, cause core.Cause) {
	r.avoid = r.endpoint
	r.tokens = 0
	switch {
	case r.mayHaveRun && !r.Repeatable:
		d.refuse(r, cause, "the request may not be repeated", time.Time{})
	case d.draining || d.superseded:
		d.refuseStopped(now, r)
	case d.byService[r.Service] != r.service:
		d.refuse(r, core.CauseUnknownName, "the service was removed from the configuration", time.Time{})
	case !d.budget.TryWithdraw():
		d.refuse(r, core.CauseRetryBudget, "too many requests are being retried", now.Add(_minRetryAfter))
	default:
		r.charged = true
		r.state = stateDelayed
		r.notBefore = now.Add(budget.Backoff(d.random, r.try))
		d.delayed = append(d.delayed, r)
	}
}

// removeDelayed removes a request from d.delayed.
func (d *Decider) removeDelayed(r *request) {
	for i, other := range d.delayed {
		if other == r {
			d.delayed = append(d.delayed[:i], d.delayed[i+1:]...)
			return
		}
	}
}

// resumeDelayed queues the retries whose pause is over, or refuses them.
func (d *Decider) resumeDelayed(now time.Time) {
	kept := d.delayed[:0]
	var due []*request
	for _, r := range d.delayed {
		if now.Before(r.notBefore) && !d.draining && !d.superseded {
			kept = append(kept, r)
			continue
		}
		due = append(due, r)
	}
	d.delayed = kept
	for _, r := range due {
		deadline := r.waitDeadline()
		switch {
		case d.draining || d.superseded:
			d.refuseStopped(now, r)
		case !deadline.IsZero() && !now.Before(deadline):
			d.refuse(r, core.CauseDeadline, "the deadline passed before another try", now.Add(_minRetryAfter))
		default:
			d.enqueue(now, r)
		}
	}
}

// expire refreshes the candidates, refuses waiting requests that are past their deadline
// or can no longer be placed, and resumes the retries whose pause is over.
func (d *Decider) expire(now time.Time) {
	if d.switches.NoLeaseDeadline {
		for _, e := range d.endpoints {
			e.pool.Expire(now)
		}
	}
	for _, s := range d.services {
		d.refreshCandidates(now, s)
		d.expireWaiting(now, s)
	}
	if len(d.delayed) > 0 {
		d.resumeDelayed(now)
	}
}

func (d *Decider) expireWaiting(now time.Time, s *service) {
	if d.draining || d.superseded {
		for item := s.queue.Any(); item != nil; item = s.queue.Any() {
			d.dequeue(item.Value)
			d.refuseStopped(now, item.Value)
		}
		return
	}
	if s.queue.Len() > 0 && !d.hasActiveEndpoint(s) {
		for item := s.queue.Any(); item != nil; item = s.queue.Any() {
			d.dequeue(item.Value)
			d.refuse(item.Value, core.CauseNoEndpoint, _noEndpointDetail, now.Add(_noEndpointRetryAfter))
		}
		return
	}
	for item := s.queue.Expired(now); item != nil; item = s.queue.Expired(now) {
		r := item.Value
		retryAt := d.retryAt(now, r)
		d.dequeue(r)
		d.refuse(r, core.CauseDeadline, "no endpoint had room before the queue deadline", retryAt)
	}
}
