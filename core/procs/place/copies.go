package place

import (
	"time"

	"apricotproxy/core"
)

const (
	// _copyMargin is the part of an engine's memory, and of all engines' together,
	// up to which they are given copies of other engines' runs: runs go first.
	_copyMargin = 0.6
	// _remoteCopy is how much less room in another data centre counts for a copy: it
	// takes twice as long, behind other copies on the same links, and engines leave
	// within two seconds of their notice.
	_remoteCopy = 0.1
)

// copyNeed is the load of a copy of a run's memory.
func (p *Placer) copyNeed(request *core.RoutedRequest) Load {
	return Load{Tokens: p.need(request).Tokens}
}

// Copy picks the endpoint to which a run's memory is sent as it grows; nil when none
// has room to spare. An engine may be all but empty, because it is new, while the
// others are full: its room is for runs then, and a run on an engine that leaves is
// copied when that is known.
func (p *Placer) Copy(now time.Time, want *Want) *Run {
	if p.taken(now, want.Request.Service) > _copyMargin {
		return nil
	}
	return p.target(now, want, p.copyNeed(&want.Request), _copyMargin)
}

// taken gives the part of the memory of a service's engines that is taken, of those
// that take new work.
func (p *Placer) taken(now time.Time, service core.ServiceName) float64 {
	used, memory := 0, 0
	for _, e := range p.services[service] {
		if e.engine != nil && p.open(now, e, nil) {
			used += e.own.Tokens + e.peers.Tokens
			memory += e.engine.MemoryTokens
		}
	}
	return float64(used) / float64(max(memory, 1))
}

// Refuge picks the endpoint to which a run's memory is copied because its own is
// leaving; nil when none has room. The run will go on there, so that it may fill
// the endpoint as any run.
func (p *Placer) Refuge(now time.Time, want *Want) *Run {
	return p.target(now, want, p.copyNeed(&want.Request), 1)
}

// target picks the endpoint for a copy that may fill it up to a margin. When engines
// leave, all hosts copy their runs at once and do not know yet what the others picked:
// chance spreads the copies over the room that there is.
func (p *Placer) target(now time.Time, want *Want, need Load, margin float64) *Run {
	var target *endpoint
	total := 0.0
	for _, e := range p.services[want.Request.Service] {
		if e.engine == nil || e.doubtful() || !p.open(now, e, want.Exclude) || now.Before(e.ColdUntil) {
			continue
		}
		room := float64(e.engine.MemoryTokens)*margin - float64(e.own.Tokens+e.peers.Tokens)
		if room < float64(need.Tokens) {
			continue
		}
		if want.Near != "" && e.DataCentre != want.Near {
			room *= _remoteCopy
		}
		room /= e.health.slowdown()
		total += room
		if p.random.Float64()*total < room {
			target = e
		}
	}
	if target == nil {
		return nil
	}
	target.own.add(need)
	p.changed[target.ID] = true
	return &Run{Endpoint: target.Endpoint, load: need}
}

// Take counts a run at an endpoint that was picked otherwise: where a copy of
// its memory is. It is false when the endpoint is gone or takes nothing.
func (p *Placer) Take(now time.Time, id string, request *core.RoutedRequest) (*Run, bool) {
	e := p.endpoints[id]
	if e == nil || p.out[e.DataCentre] || e.Draining || e.leaving || e.health.barred(now) {
		return nil, false
	}
	need := p.need(request)
	need.Prefill = 0
	return p.begin(now, e, need), true
}

// Leaving tells whether a run's endpoint is leaving, gone or in doubt.
func (p *Placer) Leaving(run *Run) bool {
	e := p.state(run)
	return e == nil || e.Draining || e.leaving || e.doubtful()
}

// doubtful is true for an endpoint whose document lapsed after an outage: it may
// be well, or gone without a word.
func (e *endpoint) doubtful() bool { return !e.DropAt.IsZero() }

// Leave takes in that an endpoint said itself that it is leaving. It tells
// whether that is news.
func (p *Placer) Leave(id string) bool {
	e := p.endpoints[id]
	if e == nil || e.leaving {
		return false
	}
	e.leaving = true
	return true
}

// Left lists the endpoints that said themselves that they are leaving.
func (p *Placer) Left() []string {
	var ids []string
	for id, e := range p.endpoints {
		if e.leaving {
			ids = append(ids, id)
		}
	}
	return ids
}
