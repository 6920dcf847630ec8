package place

import (
	"time"

	"apricotproxy/core"
)

// remoteMemoryShare returns the share of the memory of engines of other data centres that is
// planned with.
func (p *Placer) remoteMemoryShare(now time.Time, service core.ServiceName) float64 {
	if p.switches.ServeByArrival {
		return _remoteMemoryShare
	}
	for _, e := range p.services[service] {
		if e.DataCentre == p.dataCentre && p.accepts(now, e) {
			return _remoteMemoryShare
		}
	}
	return _displacedMemoryShare
}

// fits reports whether an endpoint has room for a load. remoteShare is the share of the memory
// of engines of other data centres that is planned with, reading the bound for the prompt.
func (p *Placer) fits(now time.Time, e *endpoint, need Load, remoteShare float64, reading *Reading) bool {
	if !p.limitsAllow(now, e) {
		return false
	}
	if e.DataCentre != p.dataCentre && !e.ColdUntil.IsZero() && now.Before(e.ColdUntil.Add(_remoteWarmDelay)) {
		return false
	}
	runs := e.ownLoad.Runs + e.peerLoad.Runs
	if e.Slots > 0 && runs >= e.Slots {
		return false
	}
	if limit := p.maxConnections(e.Service); limit > 0 && e.ownLoad.Runs >= limit {
		return false
	}
	if e.engine == nil || e.engine.MemoryTokens == 0 {
		return true
	}
	if !reading.allows(e.ownLoad.Prefill + e.peerLoad.Prefill) {
		return false
	}
	used := e.ownLoad.Tokens + e.peerLoad.Tokens
	share := _memoryShare
	if e.DataCentre != p.dataCentre {
		share = remoteShare
	}
	if !p.memoryShareAllows(now, e, need) {
		return false
	}
	return used == 0 || used+need.Tokens <= int(float64(e.engine.MemoryTokens)*share)
}

// cost estimates how long a request would wait at an endpoint, in prompt tokens for an
// engine and in shares of its slots otherwise.
func (p *Placer) cost(now time.Time, e *endpoint) float64 {
	runs := e.ownLoad.Runs + e.peerLoad.Runs
	if e.engine == nil {
		cost := _idleCost + float64(runs)/float64(max(e.Slots, 1))
		if e.unconfirmed() {
			cost += _unconfirmedCost
		}
		if e.DataCentre != p.dataCentre {
			cost += _remoteCost
		}
		return cost*e.health.costFactor() + p.random.Float64()*_jitterCost
	}
	cost := float64(e.ownLoad.Prefill+e.peerLoad.Prefill) + float64(runs)*_runCostTokens
	cost += _runCostTokens + p.random.Float64()*_runCostTokens
	if e.DataCentre != p.dataCentre {
		cost += _remoteCostTokens
	}
	if now.Before(e.ColdUntil) || e.unconfirmed() {
		cost += float64(e.engine.MemoryTokens)
	}
	used := float64(e.ownLoad.Tokens+e.peerLoad.Tokens) / float64(max(e.engine.MemoryTokens, 1))
	return (cost + used*_fullMemoryCostTokens) * e.health.costFactor()
}
