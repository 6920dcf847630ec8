package slots

import "time"

// Observation is an endpoint's load according to a report.
type Observation struct {
	// AskedAt is when the report was requested.
	AskedAt time.Time
	// Running counts the endpoint's requests in flight, waiting ones included.
	Running int
	// Unreported counts this host's requests in flight that the report may lack.
	Unreported int
}

// On one report a host ends quarantines for about 1/_freeCapacityDivisor of the
// endpoint's free capacity, because other hosts see the same capacity at the same
// time.
const _freeCapacityDivisor = 8

// SetCold sets the endpoint's phase. When a warm endpoint turns cold, requests
// above the cold limit may run on it, and other hosts may not have seen the
// change. So no slot is given out until a report shows the endpoint idle.
func (p *Pool) SetCold(now time.Time, cold bool) {
	if p.cold == cold {
		return
	}
	p.cold = cold
	if cold {
		p.RequireIdleProof(now)
	}
}

// RequireIdleProof requires a new proof that the endpoint is idle before slots are
// given out while it is cold. The proof is needed when the endpoint turns cold,
// with the first revision, and when this host had no valid report for some time:
// the endpoint may have been warm meanwhile, with requests above the cold limit.
func (p *Pool) RequireIdleProof(now time.Time) {
	p.idleProven = false
	// Other hosts may act on a warm report until its validity ends, and its
	// content may have been older by the lag. The content of the report that
	// shows the endpoint idle lags as well.
	p.coldLeaseAfter = now.Add(p.terms.Validity + p.terms.Lag)
	p.idleReportAfter = p.coldLeaseAfter.Add(p.terms.Lag)
}

// Observe applies a load report: it ends the quarantine of slots that the report
// shows to be free.
func (p *Pool) Observe(observation Observation) {
	if observation.Running == 0 {
		p.observeIdle(observation)
	}
	if p.cold {
		return
	}
	p.observeFreeCapacity(observation)
}

// observeIdle handles a report of an idle endpoint: no request that was dispatched
// before the time of its content is still running. It frees lent slots whose lease
// had expired by then, and ends each quarantine for which the report was requested
// late enough.
func (p *Pool) observeIdle(observation Observation) {
	if p.cold && !p.idleProven && !observation.AskedAt.Before(p.idleReportAfter) {
		p.idleProven = true
	}
	for i := range p.slots {
		s := &p.slots[i]
		if s.use == useLent && !observation.AskedAt.Before(s.lease.Deadline.Add(p.terms.Lag)) {
			s.use = useFree
		}
		if s.quarantine.active && !s.quarantine.unacknowledged && !observation.AskedAt.Before(s.quarantine.reportAfter) {
			s.quarantine.active = false
		}
	}
	for i := range p.borrowed {
		q := &p.borrowed[i].quarantine
		if q.active && !observation.AskedAt.Before(q.reportAfter) {
			q.active = false
		}
	}
}

// observeFreeCapacity ends the quarantine of slots of a warm endpoint, up to
// this host's part of the free capacity that the report shows. A slot whose
// previous owner is no longer in the host list needs no acknowledgement, but it
// becomes unusable again if the endpoint turns cold.
func (p *Pool) observeFreeCapacity(observation Observation) {
	free := p.endpoint.WarmSlots - observation.Running - observation.Unreported
	if free > 0 {
		// Other hosts see the same free capacity at the same time.
		free = 1 + free/_freeCapacityDivisor
	}
	for i := range p.slots {
		if free <= 0 {
			return
		}
		q := &p.slots[i].quarantine
		if q.active && (!q.previousOwnerListed || !q.unacknowledged) && !observation.AskedAt.Before(q.reportAfter) {
			q.active = false
			free--
		}
	}
	for i := range p.borrowed {
		if free <= 0 {
			return
		}
		q := &p.borrowed[i].quarantine
		if q.active && !observation.AskedAt.Before(q.reportAfter) {
			q.active = false
			free--
		}
	}
}
