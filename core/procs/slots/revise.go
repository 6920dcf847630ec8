package slots

import (
	"sort"
	"time"

	"apricotproxy/core"
)

// Share is what a revision gives this host of one endpoint.
type Share struct {
	Revision core.Revision
	Endpoint core.Endpoint
	// Owned lists the positions of this host, ascending.
	Owned []int
	// OwnerOf tells the owner of a position under this revision, and FormerOf
	// under the revision that this host had in force before.
	OwnerOf  func(position int) core.HostName
	FormerOf func(position int) core.HostName
	// Present tells whether a host is on the roster of this revision.
	Present func(host core.HostName) bool
	// Contiguous is true when no revision lies between the two, so that
	// FormerOf is certainly the only other host that may give the slot out.
	Contiguous bool
	// First is true when this process has not had a revision in force before.
	First bool
}

// Revise puts a revision in force. Lost slots take no new work from now on;
// gained ones are shut.
func (p *Pool) Revise(now time.Time, terms Terms, share Share) {
	p.terms = terms
	p.endpoint = share.Endpoint
	if p.revision == 0 {
		p.Blind(now)
	}
	p.revision = share.Revision
	before := p.slots
	p.slots = make([]slot, 0, len(share.Owned))
	owned := share.Owned
	if p.switches.NoOwnership {
		owned = all(max(share.Endpoint.WarmSlots, share.Endpoint.ColdSlots))
	}
	for _, position := range owned {
		p.slots = append(p.slots, p.reviseOwned(now, before, position, share))
	}
	p.keepLost(before, share)
	sort.Slice(p.slots, func(a, b int) bool { return p.slots[a].position < p.slots[b].position })
}

func all(count int) []int {
	positions := make([]int, count)
	for i := range positions {
		positions[i] = i
	}
	return positions
}

// reviseOwned builds the record of a slot that this host owns now.
func (p *Pool) reviseOwned(now time.Time, before []slot, position int, share Share) slot {
	for _, s := range before {
		if s.position != position {
			continue
		}
		if s.owned && share.Contiguous {
			return s
		}
		s.owned = true
		s.gate = p.gained(now, share, position)
		return s
	}
	return slot{position: position, owned: true, gate: p.gained(now, share, position)}
}

// gained is the gate of a slot that this host did not own before. The deadline
// leaves room for the revision to reach the former owner, and then for the
// leases that it gave out before to end.
func (p *Pool) gained(now time.Time, share Share, position int) gate {
	if p.switches.NoGainDeadline {
		return gate{}
	}
	if share.First {
		// A predecessor at this position may have lent the slot or still use
		// it, and what it gained last is not known.
		return gate{shut: true, deadline: now.Add(p.terms.Lease + p.terms.Lag), everyone: true, unacknowledged: true}
	}
	g := gate{
		shut:           true,
		deadline:       now.Add(p.terms.Spread + p.terms.Lease + p.terms.Lag),
		unacknowledged: true,
	}
	former := share.FormerOf(position)
	if share.Contiguous && former != "" && former != p.self.Host {
		g.former = former
		g.present = share.Present(former)
	} else {
		g.everyone = true
	}
	return g
}

// keepLost keeps the records of slots that this host lost, while work on them
// goes on or until the new owner has asked for their release.
func (p *Pool) keepLost(before []slot, share Share) {
	for _, s := range before {
		if p.find(s.position) != nil {
			continue
		}
		if !s.owned && s.use == useFree && !s.gate.shut {
			continue
		}
		s.owned = false
		s.next = ""
		if share.Contiguous {
			s.next = share.OwnerOf(s.position)
		}
		p.slots = append(p.slots, s)
	}
}

// Formers lists the former owners of shut slots that may be asked for their
// release, in the order of the positions.
func (p *Pool) Formers(list []core.HostName) []core.HostName {
	for i := range p.slots {
		if s := &p.slots[i]; s.owned && s.gate.former != "" && s.gate.shut {
			list = append(list, s.gate.former)
		}
	}
	return list
}

// Acknowledge tells that a position has the present revision in force. What it
// lent before may run until the end of the longest lease. It reports whether
// that changed a slot.
func (p *Pool) Acknowledge(now time.Time, host core.HostName, everyone bool) bool {
	changed := false
	for i := range p.slots {
		g := &p.slots[i].gate
		if !g.unacknowledged {
			continue
		}
		if (g.former != "" && g.former == host) || (g.everyone && everyone) {
			changed = true
			g.unacknowledged = false
			g.deadline = later(g.deadline, now.Add(p.terms.Lease+p.terms.Lag))
			if !g.shut && p.cold {
				g.shut = true
			}
		}
	}
	return changed
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
