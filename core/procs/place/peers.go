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
	p.peers[from] = peerLoad{loads: loads, until: now.Add(_peerTerm)}
	p.sumPeers()
}

// HearChange takes in what changed of another host's loads since it told them all.
func (p *Placer) HearChange(now time.Time, from Source, loads map[string]Load) {
	said := p.peers[from]
	if said.loads == nil {
		said.loads = make(map[string]Load)
	}
	for id, load := range loads {
		if e := p.endpoints[id]; e != nil {
			e.peers.remove(said.loads[id])
			e.peers.add(load)
		}
		said.loads[id] = load
	}
	said.until = now.Add(_peerTerm)
	p.peers[from] = said
}

// Changes calls f with this host's load on each endpoint where it changed since the
// last call.
func (p *Placer) Changes(f func(id string, load Load)) {
	for id := range p.changed {
		if e := p.endpoints[id]; e != nil {
			f(id, e.own)
		}
	}
	clear(p.changed)
}

// Expire forgets what other hosts said too long ago.
func (p *Placer) Expire(now time.Time) {
	if p.settled.IsZero() {
		p.settled = now.Add(_settle)
	}
	changed := false
	for host, said := range p.peers {
		if !now.Before(said.until) {
			delete(p.peers, host)
			changed = true
		}
	}
	if changed {
		p.sumPeers()
	}
}

func (p *Placer) sumPeers() {
	for _, e := range p.endpoints {
		e.peers = Load{}
	}
	for _, said := range p.peers {
		for id, load := range said.loads {
			if e := p.endpoints[id]; e != nil {
				e.peers.add(load)
			}
		}
	}
}

// Own calls f with this host's load on each endpoint that has any.
func (p *Placer) Own(f func(id string, load Load)) {
	for id, e := range p.endpoints {
		if e.own != (Load{}) {
			f(id, e.own)
		}
	}
}

// Centre calls f with the load that the own data centre as a whole has on each
// endpoint.
func (p *Placer) Centre(f func(id string, load Load)) {
	sum := make(map[string]Load)
	p.Own(func(id string, load Load) { sum[id] = load })
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
	for id, load := range sum {
		f(id, load)
	}
}
