package place

import (
	"time"

	"apricotproxy/core"
)

// departures holds when the host learned that incarnations of endpoints are leaving or gone.
type departures struct {
	learnedAt map[core.EndpointKey]time.Time
	order     []core.EndpointKey
	// present holds the incarnations of the view before.
	present map[core.EndpointKey]bool
}

func (d *departures) add(now time.Time, key core.EndpointKey) {
	if _, known := d.learnedAt[key]; known {
		return
	}
	if d.learnedAt == nil {
		d.learnedAt = make(map[core.EndpointKey]time.Time)
	}
	d.learnedAt[key] = now
	d.order = append(d.order, key)
	if len(d.order) > _maxNotices {
		delete(d.learnedAt, d.order[0])
		d.order = d.order[1:]
	}
}

// RecordDepartures records which endpoints are leaving or gone by now. It is to be called when a view
// was applied and when an endpoint is newly known to be leaving.
func (p *Placer) RecordDepartures(now time.Time) {
	present := make(map[core.EndpointKey]bool, len(p.endpoints))
	for _, e := range p.endpoints {
		present[e.Key()] = true
		if e.Draining || e.notice.leaving {
			p.departures.add(now, e.Key())
		}
	}
	for key := range p.departures.present {
		if !present[key] {
			p.departures.add(now, key)
		}
	}
	p.departures.present = present
}

// LeavingFor returns how long the host has known that a run's endpoint is leaving or gone; 0 if it is
// not known to be.
func (p *Placer) LeavingFor(now time.Time, run *Run) time.Duration {
	learnedAt, known := p.departures.learnedAt[run.Endpoint.Key()]
	if !known {
		return 0
	}
	return now.Sub(learnedAt)
}
