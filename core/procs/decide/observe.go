package decide

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/slots"
)

// _meanRemainingSmoothing is the weight of a new value in service.meanRemaining.
const _meanRemainingSmoothing = 0.1

// Observe handles an endpoint's load report.
func (d *Decider) Observe(now time.Time, report core.Report) core.Actions {
	d.begin(now)
	e := d.byName[report.Endpoint]
	lapsed := e != nil && !e.view.ValidUntil.IsZero() && !e.view.Valid(now)
	if e == nil || !e.view.Observe(now, report, d.viewParams) {
		return d.finish(now)
	}
	e.resetBackoff()
	e.pool.SetCold(now, e.view.Cold(now))
	if lapsed && e.view.Cold(now) {
		e.pool.RequireIdleProof(now)
	}
	d.recount(e)
	e.pool.Observe(slots.Observation{
		AskedAt:    report.AskedAt,
		Running:    report.Running + report.Waiting,
		Unreported: e.unreported,
	})
	d.updateCandidate(now, e)
	if report.Leaving {
		d.expire(now)
	}
	return d.finish(now)
}

// recount determines which running requests the last report may not include, and
// recomputes the tokens that the endpoint's requests are expected to still produce.
func (d *Decider) recount(e *endpoint) {
	e.unreported, e.unreportedTokens, e.remaining = 0, 0, 0
	since := e.view.Report.AskedAt.Add(-d.terms.Lag / _usualLagDivisor)
	for _, r := range e.running {
		r.unreported = r.dispatchedAt.After(since)
		if r.unreported {
			e.unreported++
			e.unreportedTokens += float64(r.PromptTokens)
		}
		r.remaining = d.estimateRemaining(r, r.tokens)
		e.remaining += r.remaining
		if s := r.service; s.meanRemaining == 0 {
			s.meanRemaining = r.remaining
		} else {
			s.meanRemaining += _meanRemainingSmoothing * (r.remaining - s.meanRemaining)
		}
	}
	e.otherHostsRequests = max(e.view.Report.Running+e.view.Report.Waiting-len(e.running)+e.unreported, 0)
}

// _usualLagDivisor is the ratio of the longest to the usual lag of a report.
const _usualLagDivisor = 2

// ObserveUnreachable records that an endpoint's report could not be fetched. The
// last report stays in force until it expires.
func (d *Decider) ObserveUnreachable(now time.Time, _ core.EndpointName) core.Actions {
	d.begin(now)
	return d.finish(now)
}

// ObserveCache records which prompt prefixes endpoints have cached or evicted.
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
