package place

import (
	"time"

	"apricotproxy/core"
)

const (
	// _backupMemoryShare is the share of an engine's memory, and of the memory of all
	// engines together, up to which backup copies of other engines' runs are placed.
	// The rest is kept for runs.
	_backupMemoryShare = 0.6
	// _remoteCopyWeight scales the free memory of an engine in another data centre when
	// the target of a copy is picked: such a copy takes twice as long, queued behind
	// others on the same links, and engines exit within two seconds of announcing that
	// they leave.
	_remoteCopyWeight = 0.1
)

// copyLoad returns the load that a copy of a run's memory puts on an endpoint.
func (p *Placer) copyLoad(request *core.RoutedRequest) Load {
	return Load{Tokens: p.requestLoad(request).Tokens}
}

// PlaceBackup picks the endpoint that receives a backup of a run's memory while the run
// grows, and counts the copy there; it returns nil when none has room to spare. While the
// engines together are short of memory it makes no backups, even if a newly started
// engine is almost empty: that room is kept for runs, and a run is copied later if its
// engine announces that it leaves.
func (p *Placer) PlaceBackup(now time.Time, spec *Spec) *Run {
	if p.memoryUse(now, spec.Request.Service) > _backupMemoryShare {
		return nil
	}
	return p.pickCopyTarget(now, spec, p.copyLoad(&spec.Request), _backupMemoryShare)
}

// memoryUse returns the share of memory in use, over all engines of a service that
// accept new work.
func (p *Placer) memoryUse(now time.Time, service core.ServiceName) float64 {
	used, memory := 0, 0
	for _, e := range p.services[service] {
		if e.engine != nil && p.accepts(now, e) {
			used += e.load().Tokens
			memory += e.engine.MemoryTokens
		}
	}
	return float64(used) / float64(max(memory, 1))
}

// PlaceMigration picks the endpoint to which a run's memory is copied because its own
// endpoint is leaving; it returns nil when none has room. The run continues there, so
// the copy may fill the endpoint's memory as a run may.
func (p *Placer) PlaceMigration(now time.Time, spec *Spec) *Run {
	run := p.pickCopyTarget(now, spec, p.copyLoad(&spec.Request), 1)
	if e := p.targetOf(run); e != nil {
		run.isMove = true
		e.ownMoves++
	}
	return run
}

// targetOf returns the state of the endpoint of a copy; nil if there is no copy.
func (p *Placer) targetOf(copied *Run) *endpoint {
	if copied == nil {
		return nil
	}
	return p.endpointOf(copied)
}

// pickCopyTarget picks an endpoint for a copy that may fill its memory up to the given
// share. When engines leave, all hosts copy their runs at once and do not know yet what
// the others picked, so the choice is random, weighted by free memory.
func (p *Placer) pickCopyTarget(now time.Time, spec *Spec, need Load, share float64) *Run {
	keeper := p.paceKeeper(now, spec)
	var target *endpoint
	total := 0.0
	for _, e := range p.services[spec.Request.Service] {
		if e.engine == nil || e.unconfirmed() || !spec.allows(e) || !p.accepts(now, e) || now.Before(e.ColdUntil) || p.isRateLimited(now, e) || !p.hasSlot(now, e) {
			continue
		}
		room := float64(e.engine.MemoryTokens)*share - float64(e.load().Tokens)
		if room < float64(need.Tokens) {
			continue
		}
		if spec.SourceDataCentre != "" && e.DataCentre != spec.SourceDataCentre {
			room *= _remoteCopyWeight
		}
		room *= keeper.copyWeight(e) / e.health.costFactor()
		total += room
		if p.random.Float64()*total < room {
			target = e
		}
	}
	if target == nil {
		return nil
	}
	priorLoad := target.load()
	target.ownLoad.add(need)
	p.unreported[target.ID] = true
	return &Run{Endpoint: target.Endpoint, PriorLoad: priorLoad, load: need}
}

// PlaceOn counts a run at an endpoint that already holds a copy of the run's memory, so
// that no prompt has to be read. It returns false when that incarnation is gone or accepts
// no work, or none beyond this host's share of a limit of all hosts.
func (p *Placer) PlaceOn(now time.Time, key core.EndpointKey, request *core.RoutedRequest) (*Run, bool) {
	e := p.endpoints[key.ID]
	if e == nil || e.Key() != key || p.outOfService[e.DataCentre] || e.Draining || e.notice.leaving || e.isClosed(now) || e.health.inBackoff(now) || !p.ratesAllow(now, e) || !p.hasSlotForCopied(now, e) {
		return nil, false
	}
	need := p.requestLoad(request)
	need.Prefill = 0
	return p.startRun(now, e, need), true
}

// EndpointLeaving reports whether a run's endpoint is leaving, gone or unconfirmed.
func (p *Placer) EndpointLeaving(run *Run) bool {
	e := p.endpointOf(run)
	return e == nil || e.Draining || e.notice.leaving || e.unconfirmed()
}

// unconfirmed reports whether the endpoint's document expired after an outage of the
// store: the endpoint may still run, or may have gone without notice.
func (e *endpoint) unconfirmed() bool { return !e.DropAt.IsZero() }
