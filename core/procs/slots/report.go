package slots

import "time"

// Evidence is what a load report proves about an endpoint's work.
type Evidence struct {
	// AskedAt is when the report was asked for.
	AskedAt time.Time
	// Running counts the endpoint's requests in flight, waiting ones included.
	Running int
	// Unreported counts this host's own dispatches that the report may lack.
	Unreported int
}

// _roomShare is the part of an endpoint's room that one host takes on one
// report for its shut slots.
const _roomShare = 8

// SetCold tells the pool the endpoint's phase. When a warm endpoint turns cold,
// requests above the cold limit may run on it and other hosts may not have seen
// the change: nothing new is given out until a report proves it idle.
func (p *Pool) SetCold(now time.Time, cold bool) {
	if p.cold == cold {
		return
	}
	p.cold = cold
	if cold {
		p.Blind(now)
	}
}

// Blind tells the pool that the host has lost sight of the endpoint's phase for
// a while: there may have been a warm spell with requests above the cold limit.
func (p *Pool) Blind(now time.Time) {
	p.coldClear = false
	// Other hosts may act on a warm report for its validity, and its content
	// was older by the lag; the proving report's content lags as well.
	p.coldLeases = now.Add(p.terms.Validity + p.terms.Lag)
	p.coldDeadline = p.coldLeases.Add(p.terms.Lag)
}

// Observe opens the slots that a report proves free.
func (p *Pool) Observe(evidence Evidence) {
	if evidence.Running == 0 {
		p.observeIdle(evidence)
	}
	if p.cold {
		return
	}
	p.observeRoom(evidence)
}

// observeIdle opens every slot whose deadline has passed: no work that was
// dispatched before is left on the endpoint.
func (p *Pool) observeIdle(evidence Evidence) {
	if p.cold && !p.coldClear && !evidence.AskedAt.Before(p.coldDeadline) {
		p.coldClear = true
	}
	for i := range p.slots {
		s := &p.slots[i]
		if s.use == useLent && !evidence.AskedAt.Before(s.lease.Deadline.Add(p.terms.Lag)) {
			s.use = useFree
		}
		if s.gate.shut && !s.gate.unacknowledged && !evidence.AskedAt.Before(s.gate.deadline) {
			s.gate.shut = false
		}
	}
	for i := range p.borrowed {
		g := &p.borrowed[i].gate
		if g.shut && !evidence.AskedAt.Before(g.deadline) {
			g.shut = false
		}
	}
}

// observeRoom opens as many shut slots of a warm endpoint as the report shows
// room for. A slot whose former owner left the roster opens without its
// acknowledgement, but stays unusable if the endpoint turns cold.
func (p *Pool) observeRoom(evidence Evidence) {
	room := p.endpoint.WarmSlots - evidence.Running - evidence.Unreported
	if room > 0 {
		// Other hosts see the same room at the same time.
		room = 1 + room/_roomShare
	}
	for i := range p.slots {
		if room <= 0 {
			return
		}
		g := &p.slots[i].gate
		if g.shut && (!g.present || !g.unacknowledged) && !evidence.AskedAt.Before(g.deadline) {
			g.shut = false
			room--
		}
	}
	for i := range p.borrowed {
		if room <= 0 {
			return
		}
		g := &p.borrowed[i].gate
		if g.shut && !evidence.AskedAt.Before(g.deadline) {
			g.shut = false
			room--
		}
	}
}
