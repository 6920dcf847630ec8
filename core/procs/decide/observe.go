package decide

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/slots"
)

// _residualWeight is the weight of a new observation in a service's usual
// remainder.
const _residualWeight = 0.1

// Observe takes in an endpoint's load report.
func (d *Decider) Observe(now time.Time, report core.Report) core.Actions {
	d.begin(now)
	e := d.byName[report.Endpoint]
	blind := e != nil && !e.view.ValidUntil.IsZero() && !e.view.Valid(now)
	if e == nil || !e.view.Observe(now, report, d.viewTerms) {
		return d.finish(now)
	}
	e.unblock()
	e.pool.SetCold(now, e.view.Cold(now))
	if blind && e.view.Cold(now) {
		e.pool.Blind(now)
	}
	d.recount(e)
	e.pool.Observe(slots.Evidence{
		AskedAt:    report.AskedAt,
		Running:    report.Running + report.Waiting,
		Unreported: e.unreported,
	})
	d.update(now, e)
	if report.Leaving {
		d.expire(now)
	}
	return d.finish(now)
}

// recount tells apart which running requests the report may lack, and renews
// the estimate of what the endpoint's requests will still produce.
func (d *Decider) recount(e *endpoint) {
	e.unreported, e.unreportedTokens, e.remaining = 0, 0, 0
	since := e.view.Report.AskedAt.Add(-d.terms.Lag / _usualLag)
	for _, r := range e.running {
		r.unreported = r.dispatched.After(since)
		if r.unreported {
			e.unreported++
			e.unreportedTokens += float64(r.PromptTokens)
		}
		r.remaining = d.expect(r, r.tokens)
		e.remaining += r.remaining
		if s := r.service; s.residual == 0 {
			s.residual = r.remaining
		} else {
			s.residual += _residualWeight * (r.remaining - s.residual)
		}
	}
	e.foreign = max(e.view.Report.Running+e.view.Report.Waiting-len(e.running)+e.unreported, 0)
}

// _usualLag divides the bound on a report's lag to give its usual lag.
const _usualLag = 2

// ObserveUnreachable tells that an endpoint could not be asked. The last report
// stays in force until its own deadline.
func (d *Decider) ObserveUnreachable(now time.Time, _ core.EndpointName) core.Actions {
	d.begin(now)
	return d.finish(now)
}

// ObserveCache takes in cache events.
func (d *Decider) ObserveCache(now time.Time, events []core.CacheEvent) {
	for _, event := range events {
		e := d.byName[event.Endpoint]
		switch {
		case e == nil:
		case event.Stored:
			d.hints.Stored(now, event.Prefix, e)
		default:
			d.hints.Evicted(event.Prefix, e)
		}
	}
}
