package place

import (
	"time"

	"apricotproxy/core"
)

// _peerTerm is how long another host's word on its load counts.
const _peerTerm = 2 * time.Second

// Source is whose loads were heard: a host's, or those of a whole data centre.
type Source struct {
	Host   core.HostName
	Centre core.DataCentreName
}

type peerLoad struct {
	loads map[string]Load
	until time.Time
}

// Hear takes in the loads of another host of the own data centre, or of another
// data centre as a whole, by endpoint. It keeps the map.
func (p *Placer) Hear(now time.Time, from Source, loads map[string]Load) {
	p.forget(from)
	for id, load := range loads {
		p.count(id, Load{}, load)
	}
	p.peers[from] = peerLoad{loads: loads, until: now.Add(_peerTerm)}
}

// HearChange takes in what changed of another host's loads since it told them all.
func (p *Placer) HearChange(now time.Time, from Source, loads map[string]Load) {
	said := p.peers[from]
	if said.loads == nil {
		said.loads = make(map[string]Load)
	}
	for id, load := range loads {
		p.count(id, said.loads[id], load)
		if load == (Load{}) {
			delete(said.loads, id)
		} else {
			said.loads[id] = load
		}
	}
	said.until = now.Add(_peerTerm)
	p.peers[from] = said
}

// count puts what another host says of an endpoint in place of what it said before.
func (p *Placer) count(id string, before, after Load) {
	if e := p.endpoints[id]; e != nil {
		e.peers.remove(before)
		e.peers.add(after)
	}
}

// forget drops what another host said.
func (p *Placer) forget(from Source) {
	for id, load := range p.peers[from].loads {
		p.count(id, load, Load{})
	}
	delete(p.peers, from)
}

// Expire forgets what other hosts said too long ago.
func (p *Placer) Expire(now time.Time) {
	if p.settled.IsZero() {
		p.settled = now.Add(_settle)
	}
	for from, said := range p.peers {
		if !now.Before(said.until) {
			p.forget(from)
		}
	}
}

// sumPeers counts what other hosts said anew, for endpoints that have changed.
func (p *Placer) sumPeers() {
	for _, e := range p.endpoints {
		e.peers = Load{}
	}
	for _, said := range p.peers {
		for id, load := range said.loads {
			p.count(id, Load{}, load)
		}
	}
}

// Own gives this host's load on each endpoint that has any. Nothing of it is among the
// next Changes.
func (p *Placer) Own() map[string]Load {
	clear(p.changed)
	return p.own()
}

func (p *Placer) own() map[string]Load {
	loads := make(map[string]Load)
	for id, e := range p.endpoints {
		if e.own != (Load{}) {
			loads[id] = e.own
		}
	}
	return loads
}

// Changes gives this host's load on each endpoint where it changed since the last call,
// or since Own.
func (p *Placer) Changes() map[string]Load {
	loads := make(map[string]Load, len(p.changed))
	for id := range p.changed {
		if e := p.endpoints[id]; e != nil {
			loads[id] = e.own
		}
	}
	clear(p.changed)
	return loads
}

// Centre gives the load that the own data centre as a whole has on each endpoint.
func (p *Placer) Centre() map[string]Load {
	sum := p.own()
	for from, said := range p.peers {
		if from.Host == "" {
			continue
		}
		for id, load := range said.loads {
			total := sum[id]
			total.add(load)
			sum[id] = total
		}
	}
	return sum
}
