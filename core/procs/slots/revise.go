package slots

import (
	"sort"
	"time"

	"apricotproxy/core"
)

// Assignment is the part of one endpoint's slots that a revision assigns to this
// host.
type Assignment struct {
	Revision core.Revision
	Endpoint core.Endpoint
	// Owned lists the positions of the slots that this host owns, ascending.
	Owned []int
	// OwnerOf returns the owner of the slot at a position under this revision.
	OwnerOf func(position int) core.HostName
	// PreviousOwnerOf returns the owner of the slot at a position under the
	// revision that was in force on this host before.
	PreviousOwnerOf func(position int) core.HostName
	// HasHost reports whether a host is in this revision's host list.
	HasHost func(host core.HostName) bool
	// Contiguous is true if this host skipped no revision. Then the owner under
	// the previous revision is the only other host that may give out a slot.
	Contiguous bool
	// First is true for the first revision that this process puts in force.
	First bool
}

// Revise puts a revision in force. Lost slots take no new requests from now on,
// and gained ones are quarantined.
func (p *Pool) Revise(now time.Time, terms Terms, assignment Assignment) {
	p.terms = terms
	p.endpoint = assignment.Endpoint
	if p.revision == 0 {
		p.RequireIdleProof(now)
	}
	p.revision = assignment.Revision
	before := p.slots
	p.slots = make([]slot, 0, len(assignment.Owned))
	owned := assignment.Owned
	if p.switches.NoOwnership {
		owned = allPositions(max(assignment.Endpoint.WarmSlots, assignment.Endpoint.ColdSlots))
	}
	for _, position := range owned {
		p.slots = append(p.slots, p.ownedSlot(now, before, position, assignment))
	}
	p.keepLost(before, assignment)
	sort.Slice(p.slots, func(a, b int) bool { return p.slots[a].position < p.slots[b].position })
}

func allPositions(count int) []int {
	positions := make([]int, count)
	for i := range positions {
		positions[i] = i
	}
	return positions
}

// ownedSlot returns the record of a slot that this host owns under the new
// revision.
func (p *Pool) ownedSlot(now time.Time, before []slot, position int, assignment Assignment) slot {
	for _, s := range before {
		if s.position != position {
			continue
		}
		if s.owned && assignment.Contiguous {
			return s
		}
		s.owned = true
		s.quarantine = p.gainedQuarantine(now, assignment, position)
		return s
	}
	return slot{position: position, owned: true, quarantine: p.gainedQuarantine(now, assignment, position)}
}

// gainedQuarantine returns the quarantine of a slot that this host did not own
// before, or may not have owned in a revision that it skipped. It allows time for
// the revision to reach the previous owner, and then for the leases that the
// previous owner had granted to expire.
func (p *Pool) gainedQuarantine(now time.Time, assignment Assignment, position int) quarantine {
	if p.switches.NoGainDeadline {
		return quarantine{}
	}
	if assignment.First {
		// The previous process of this host may have lent the slot, or its
		// requests may still run, and which slots it had just gained is unknown.
		return quarantine{active: true, reportAfter: now.Add(p.terms.Lease + p.terms.Lag), needsAllHosts: true, unacknowledged: true}
	}
	q := quarantine{
		active:         true,
		reportAfter:    now.Add(p.terms.Spread + p.terms.Lease + p.terms.Lag),
		unacknowledged: true,
	}
	previous := assignment.PreviousOwnerOf(position)
	if assignment.Contiguous && previous != "" && previous != p.self.Host {
		q.previousOwner = previous
		q.previousOwnerListed = assignment.HasHost(previous)
	} else {
		q.needsAllHosts = true
	}
	return q
}

// keepLost keeps the records of slots that this host has lost, so that it knows
// when the requests on them have ended and can release them to their new owner. It
// drops the record of a slot that was lost under an earlier revision if the slot is
// neither in use, lent nor quarantined.
func (p *Pool) keepLost(before []slot, assignment Assignment) {
	for _, s := range before {
		if p.find(s.position) != nil {
			continue
		}
		if !s.owned && s.use == useFree && !s.quarantine.active {
			continue
		}
		s.owned = false
		s.newOwner = ""
		if assignment.Contiguous {
			s.newOwner = assignment.OwnerOf(s.position)
		}
		p.slots = append(p.slots, s)
	}
}

// PreviousOwners appends to the list the previous owners that may be asked to
// release quarantined slots, one per slot in the order of the slots' positions.
func (p *Pool) PreviousOwners(list []core.HostName) []core.HostName {
	for i := range p.slots {
		if s := &p.slots[i]; s.owned && s.quarantine.previousOwner != "" && s.quarantine.active {
			list = append(list, s.quarantine.previousOwner)
		}
	}
	return list
}

// Acknowledge records that the current revision is in force on a host, and with
// allHosts that it is in force on all hosts. Leases that a host granted before
// may be used until the longest of them expires. Acknowledge reports whether it
// changed a slot.
func (p *Pool) Acknowledge(now time.Time, host core.HostName, allHosts bool) bool {
	changed := false
	for i := range p.slots {
		q := &p.slots[i].quarantine
		if !q.unacknowledged {
			continue
		}
		if (q.previousOwner != "" && q.previousOwner == host) || (q.needsAllHosts && allHosts) {
			changed = true
			q.unacknowledged = false
			q.reportAfter = later(q.reportAfter, now.Add(p.terms.Lease+p.terms.Lag))
			if !q.active && p.cold {
				q.active = true
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
