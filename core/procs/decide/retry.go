package decide

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/budget"
)

// retry places a failed request again after a pause, or refuses it. A request
// that may not be repeated goes on only when the endpoint certainly ran
// nothing.
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
	case !d.budget.Retry():
		d.refuse(r, core.CauseRetryBudget, "too many requests are being retried", now.Add(_retryPause))
	default:
		r.charged = true
		r.state = stateDelayed
		r.notBefore = now.Add(budget.Pause(d.random, r.try))
		d.delayed = append(d.delayed, r)
	}
}

// undelay takes a request out of the pausing ones.
func (d *Decider) undelay(r *request) {
	for i, other := range d.delayed {
		if other == r {
			d.delayed = append(d.delayed[:i], d.delayed[i+1:]...)
			return
		}
	}
}

// resume lets the retries go on whose pause is over.
func (d *Decider) resume(now time.Time) {
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
		deadline := r.deadline()
		switch {
		case d.draining || d.superseded:
			d.refuseStopped(now, r)
		case !deadline.IsZero() && !now.Before(deadline):
			d.refuse(r, core.CauseDeadline, "the deadline passed before another try", now.Add(_retryPause))
		default:
			d.enter(now, r)
		}
	}
}

// expire refuses what is due and lets pausing retries go on.
func (d *Decider) expire(now time.Time) {
	if d.switches.NoLeaseDeadline {
		for _, e := range d.endpoints {
			e.pool.Expire(now)
		}
	}
	for _, s := range d.services {
		d.refresh(now, s)
		d.expireWaiting(now, s)
	}
	if len(d.delayed) > 0 {
		d.resume(now)
	}
}

func (d *Decider) expireWaiting(now time.Time, s *service) {
	if d.draining || d.superseded {
		for item := s.queue.Any(); item != nil; item = s.queue.Any() {
			d.leave(item.Value)
			d.refuseStopped(now, item.Value)
		}
		return
	}
	if s.queue.Len() > 0 && !d.served(s) {
		for item := s.queue.Any(); item != nil; item = s.queue.Any() {
			d.leave(item.Value)
			d.refuse(item.Value, core.CauseNoEndpoint, _noEndpoint, now.Add(_noEndpointPause))
		}
		return
	}
	for item := s.queue.Expired(now); item != nil; item = s.queue.Expired(now) {
		r := item.Value
		retryAt := d.retryAt(now, r)
		d.leave(r)
		d.refuse(r, core.CauseDeadline, "no endpoint had room before the queue deadline", retryAt)
	}
}
