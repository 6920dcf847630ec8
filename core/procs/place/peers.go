package place

import (
	"time"

	"apricotproxy/core"
)

// _peerLoadTTL is how long the loads reported by another host count.
const _peerLoadTTL = 2 * time.Second

// Source identifies whose loads were reported: those of one host of the own data
// centre, or the sum of another data centre. The other field is empty.
type Source struct {
	Host       core.HostName
	DataCentre core.DataCentreName
}

type peerReport struct {
	loads     map[string]Load
	expiresAt time.Time
}

// SetPeerLoads replaces the loads of a source, by endpoint. It retains the map, and
// UpdatePeerLoads modifies it.
func (p *Placer) SetPeerLoads(now time.Time, from Source, loads map[string]Load) {
	p.dropPeer(from)
	for id, load := range loads {
		p.replacePeerLoad(id, Load{}, load)
	}
	p.peers[from] = peerReport{loads: loads, expiresAt: now.Add(_peerLoadTTL)}
}

// UpdatePeerLoads updates the loads of another host that changed since its last full
// report.
func (p *Placer) UpdatePeerLoads(now time.Time, from Source, loads map[string]Load) {
	report := p.peers[from]
	if report.loads == nil {
		report.loads = make(map[string]Load)
	}
	for id, load := range loads {
		p.replacePeerLoad(id, report.loads[id], load)
		if load == (Load{}) {
			delete(report.loads, id)
		} else {
			report.loads[id] = load
		}
	}
	report.expiresAt = now.Add(_peerLoadTTL)
	p.peers[from] = report
}

// replacePeerLoad replaces what a source previously reported for an endpoint.
func (p *Placer) replacePeerLoad(id string, before, after Load) {
	if e := p.endpoints[id]; e != nil {
		e.peerLoad.remove(before)
		e.peerLoad.add(after)
	}
}

// dropPeer drops the loads of a source.
func (p *Placer) dropPeer(from Source) {
	for id, load := range p.peers[from].loads {
		p.replacePeerLoad(id, load, Load{})
	}
	delete(p.peers, from)
}

// ExpirePeerLoads drops the loads of sources whose last report is too old. The first
// call also starts the time after which this host knows its share of the common limits.
func (p *Placer) ExpirePeerLoads(now time.Time) {
	if p.settledAt.IsZero() {
		p.settledAt = now.Add(_settleTime)
	}
	for from, report := range p.peers {
		if !now.Before(report.expiresAt) {
			p.dropPeer(from)
		}
	}
}

// recountPeers sums the reported loads again after the endpoints have changed.
func (p *Placer) recountPeers() {
	for _, e := range p.endpoints {
		e.peerLoad = Load{}
	}
	for _, report := range p.peers {
		for id, load := range report.loads {
			p.replacePeerLoad(id, Load{}, load)
		}
	}
}

// OwnLoads returns this host's load on each endpoint that has any. The next ChangedLoads
// does not return changes made before this call.
func (p *Placer) OwnLoads() map[string]Load {
	clear(p.unreported)
	return p.ownLoads()
}

func (p *Placer) ownLoads() map[string]Load {
	loads := make(map[string]Load)
	for id, e := range p.endpoints {
		if e.ownLoad != (Load{}) {
			loads[id] = e.ownLoad
		}
	}
	return loads
}

// ChangedLoads returns this host's load on each endpoint where it changed since the last
// call of ChangedLoads or OwnLoads.
func (p *Placer) ChangedLoads() map[string]Load {
	loads := make(map[string]Load, len(p.unreported))
	for id := range p.unreported {
		if e := p.endpoints[id]; e != nil {
			loads[id] = e.ownLoad
		}
	}
	clear(p.unreported)
	return loads
}

// DataCentreLoads returns the load that all hosts of the own data centre together have on
// each endpoint.
func (p *Placer) DataCentreLoads() map[string]Load {
	sum := p.ownLoads()
	for from, report := range p.peers {
		if from.Host == "" {
			continue
		}
		for id, load := range report.loads {
			total := sum[id]
			total.add(load)
			sum[id] = total
		}
	}
	return sum
}
