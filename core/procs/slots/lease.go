package slots

import (
	"slices"
	"time"

	"apricotproxy/core"
)

// Lend answers another host's request for a slot. It refuses if that host has
// another revision in force than this one. If this host still holds a slot that
// the borrower owns under the current revision, and the slot can't carry a request,
// the returned lease releases it to the borrower for good. Otherwise a free slot
// below the limit is lent for the lease term.
func (p *Pool) Lend(now time.Time, borrower core.HostID, borrowerRevision core.Revision, limit int) (core.Lease, bool) {
	if borrowerRevision != p.revision || borrower.Host == p.self.Host {
		return core.Lease{}, false
	}
	if s := p.releasable(borrower.Host); s != nil {
		return p.lease(now, s.position, borrower), true
	}
	i := p.freeOwned(p.phaseLimit(limit))
	if i < 0 {
		return core.Lease{}, false
	}
	p.checkLimits(p.slots[i].position)
	lease := p.lease(now, p.slots[i].position, borrower)
	p.slots[i].use = useLent
	p.slots[i].lease = lease
	return lease, true
}

func (p *Pool) lease(now time.Time, position int, borrower core.HostID) core.Lease {
	p.lastSerial++
	return core.Lease{
		Slot:     core.SlotID{Endpoint: p.endpoint.Name, Position: position},
		Owner:    p.self,
		Borrower: borrower,
		Revision: p.revision,
		Serial:   p.lastSerial,
		Deadline: now.Add(p.terms.Lease),
	}
}

// releasable returns a slot that the borrower has gained from this host, nil if
// there is none. A slot that is in use, lent or quarantined may still carry a
// request and is not returned.
func (p *Pool) releasable(borrower core.HostName) *slot {
	for i := range p.slots {
		s := &p.slots[i]
		if !s.owned && s.newOwner == borrower && s.use == useFree && !s.quarantine.active && !s.quarantine.unacknowledged {
			return s
		}
	}
	return nil
}

// AcceptLease accepts a lease that its owner sent in answer to a request of this
// host. The term counts from when this host sent the request, so that it always
// ends later at the owner. AcceptLease returns true if the lease must be given back
// unused. The lease of a repeated answer must not be given back: it may be in use
// by now.
func (p *Pool) AcceptLease(now, askedAt time.Time, lease core.Lease) (giveBack bool) {
	if lease.Serial <= p.received[lease.Owner.Host] {
		return false
	}
	p.received[lease.Owner.Host] = lease.Serial
	if lease.Revision != p.revision {
		return true
	}
	if s := p.find(lease.Slot.Position); s != nil && s.owned {
		return !p.endQuarantine(s, lease)
	}
	if p.leaseIndex(lease.Slot.Position) >= 0 {
		return true
	}
	lease.Deadline = askedAt.Add(p.terms.Lease)
	held := borrowedLease{lease: lease, askedAt: askedAt}
	if p.expired(&held, now) {
		return true
	}
	p.borrowed = append(p.borrowed, held)
	return false
}

// endQuarantine makes a gained slot usable if its previous owner has released
// it. It reports whether it did.
func (p *Pool) endQuarantine(s *slot, lease core.Lease) bool {
	if s.quarantine.previousOwner == "" || s.quarantine.previousOwner != lease.Owner.Host {
		return false
	}
	s.quarantine = quarantine{}
	return true
}

// LeaseReturned frees a lent slot whose borrower has returned the lease.
func (p *Pool) LeaseReturned(lease core.Lease) {
	s := p.find(lease.Slot.Position)
	if s == nil || s.use != useLent || s.lease.Serial != lease.Serial || lease.Owner != p.self {
		return
	}
	s.use = useFree
	s.lease = core.Lease{}
}

// Holding lists the leases that this host holds from an owner.
func (p *Pool) Holding(owner core.HostName) core.HeldLeases {
	holding := core.HeldLeases{Endpoint: p.endpoint.Name, Received: p.received[owner]}
	for i := range p.borrowed {
		if p.borrowed[i].lease.Owner.Host == owner {
			holding.Held = append(holding.Held, p.borrowed[i].lease.Serial)
		}
	}
	return holding
}

// Reconcile frees the slots of expired leases that the borrower doesn't hold:
// the message that granted or returned the lease was lost. A lease with a serial
// above the last received one may still be on its way to the borrower, and one
// that has not expired may have been granted after the borrower listed its
// leases.
func (p *Pool) Reconcile(now time.Time, borrower core.HostID, holding core.HeldLeases) {
	for i := range p.slots {
		s := &p.slots[i]
		if s.use != useLent || s.lease.Borrower != borrower || s.lease.Serial > holding.Received {
			continue
		}
		if now.Before(s.lease.Deadline) || slices.Contains(holding.Held, s.lease.Serial) {
			continue
		}
		s.use = useFree
	}
}

// ReturnIdle drops the borrowed leases that no request uses and appends them to
// the list. If all is false it drops only those that can't be used any more,
// such as expired ones.
func (p *Pool) ReturnIdle(now time.Time, all bool, list []core.LeaseReturn) []core.LeaseReturn {
	for i := 0; i < len(p.borrowed); {
		b := &p.borrowed[i]
		if b.idle() && (all || !p.usable(b, now)) {
			list = append(list, core.LeaseReturn{Lease: b.lease})
			p.dropLease(i)
			continue
		}
		i++
	}
	return list
}

// Expire frees lent slots at their deadline if the switch NoLeaseDeadline is on.
// Otherwise a slot whose lease expired without being returned stays lent: the
// borrower may still have a request on it.
func (p *Pool) Expire(now time.Time) {
	if !p.switches.NoLeaseDeadline {
		return
	}
	for i := range p.slots {
		s := &p.slots[i]
		if s.use == useLent && !now.Before(s.lease.Deadline) {
			s.use = useFree
		}
	}
}

// BorrowerGone takes back the slots lent to a host's incarnations before the
// newer one, or to all of them if newer is zero. The slots are quarantined until
// a report shows that the borrower's requests have ended or that the endpoint
// has free capacity.
func (p *Pool) BorrowerGone(now time.Time, host core.HostName, newer core.Incarnation) {
	for i := range p.slots {
		s := &p.slots[i]
		if s.use != useLent || s.lease.Borrower.Host != host {
			continue
		}
		if newer != 0 && s.lease.Borrower.Incarnation >= newer {
			continue
		}
		deadline := s.lease.Deadline
		if deadline.Before(now) {
			deadline = now
		}
		s.use = useFree
		s.quarantine.active = true
		s.quarantine.reportAfter = deadline.Add(p.terms.Lag)
	}
}

// BorrowersRemoved takes back the slots lent to hosts that are not in the current
// revision's host list.
func (p *Pool) BorrowersRemoved(now time.Time, present map[core.HostName]bool) {
	for i := range p.slots {
		if s := &p.slots[i]; s.use == useLent && !present[s.lease.Borrower.Host] {
			p.BorrowerGone(now, s.lease.Borrower.Host, 0)
		}
	}
}
