package slots

import (
	"slices"
	"time"

	"apricotproxy/core"
)

// Lend gives a slot to another host. A slot that the borrower owns under the
// present revision, and this host owned under an earlier one, is released to it
// for good; otherwise a free slot below the limit is lent for the lease term.
func (p *Pool) Lend(now time.Time, borrower core.HostID, seen core.Revision, limit int) (core.Lease, bool) {
	if seen != p.revision || borrower.Host == p.self.Host {
		return core.Lease{}, false
	}
	if s := p.releasable(borrower.Host); s != nil {
		return p.lease(now, s.position, borrower), true
	}
	i := p.freeOwned(p.cap(limit))
	if i < 0 {
		return core.Lease{}, false
	}
	p.check(p.slots[i].position)
	lease := p.lease(now, p.slots[i].position, borrower)
	p.slots[i].use = useLent
	p.slots[i].lease = lease
	return lease, true
}

func (p *Pool) lease(now time.Time, position int, borrower core.HostID) core.Lease {
	p.serial++
	return core.Lease{
		Slot:     core.SlotID{Endpoint: p.endpoint.Name, Position: position},
		Owner:    p.self,
		Borrower: borrower,
		Revision: p.revision,
		Serial:   p.serial,
		Deadline: now.Add(p.terms.Lease),
	}
}

// releasable finds a slot that was lost to the borrower and carries no work.
func (p *Pool) releasable(borrower core.HostName) *slot {
	for i := range p.slots {
		s := &p.slots[i]
		if !s.owned && s.next == borrower && s.use == useFree && !s.gate.shut && !s.gate.unacknowledged {
			return s
		}
	}
	return nil
}

// Grant takes in a lease that an owner answered to a request asked earlier. The
// term is counted from the asking, so that the owner's count always ends later.
// It reports whether the lease must go back unused. A repeat of an answer must
// not: its lease may be in use by now.
func (p *Pool) Grant(now, asked time.Time, lease core.Lease) (giveBack bool) {
	if lease.Serial <= p.received[lease.Owner.Host] {
		return false
	}
	p.received[lease.Owner.Host] = lease.Serial
	if lease.Revision != p.revision {
		return true
	}
	if s := p.find(lease.Slot.Position); s != nil && s.owned {
		return !p.released(s, lease)
	}
	if p.leaseIndex(lease.Slot.Position) >= 0 {
		return true
	}
	lease.Deadline = asked.Add(p.terms.Lease)
	held := borrowed{lease: lease, asked: asked}
	if p.expired(&held, now) {
		return true
	}
	p.borrowed = append(p.borrowed, held)
	return false
}

// released opens a gained slot that its former owner gave up.
func (p *Pool) released(s *slot, lease core.Lease) bool {
	if s.gate.former == "" || s.gate.former != lease.Owner.Host {
		return false
	}
	s.gate = gate{}
	return true
}

// Returned takes back a slot that this host had lent.
func (p *Pool) Returned(lease core.Lease) {
	s := p.find(lease.Slot.Position)
	if s == nil || s.use != useLent || s.lease.Serial != lease.Serial || lease.Owner != p.self {
		return
	}
	s.use = useFree
	s.lease = core.Lease{}
}

// Holding tells what this host holds of an owner's leases.
func (p *Pool) Holding(owner core.HostName) core.Holding {
	holding := core.Holding{Endpoint: p.endpoint.Name, Received: p.received[owner]}
	for i := range p.borrowed {
		if p.borrowed[i].lease.Owner.Host == owner {
			holding.Held = append(holding.Held, p.borrowed[i].lease.Serial)
		}
	}
	return holding
}

// Reconcile takes back leases that ran out and that the borrower does not hold:
// the grant or the return was lost. A lease above the received serial may still
// be on its way, and one that has not run out may have been granted after the
// borrower told what it holds.
func (p *Pool) Reconcile(now time.Time, borrower core.HostID, holding core.Holding) {
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

// ReturnIdle drops leases that nothing uses and appends them to the list. With
// all false only those go that ran out or cannot be used any more.
func (p *Pool) ReturnIdle(now time.Time, all bool, list []core.Returning) []core.Returning {
	for i := 0; i < len(p.borrowed); {
		b := &p.borrowed[i]
		if b.idle() && (all || !p.usable(b, now)) {
			list = append(list, core.Returning{Lease: b.lease})
			p.dropLease(i)
			continue
		}
		i++
	}
	return list
}

// Expire takes lent slots back at their deadline, under the switch that does
// so. Otherwise a slot whose lease ran out without a return stays lent: the
// borrower may still have work on it.
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

// BorrowerGone tells that a position has a newer incarnation, or none at all
// when the incarnation is zero. Slots lent to older ones are shut until a
// report proves that their work has ended.
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
		s.gate.shut = true
		s.gate.deadline = deadline.Add(p.terms.Lag)
	}
}

// BorrowersLeft does the same for positions that the roster no longer has.
func (p *Pool) BorrowersLeft(now time.Time, present map[core.HostName]bool) {
	for i := range p.slots {
		if s := &p.slots[i]; s.use == useLent && !present[s.lease.Borrower.Host] {
			p.BorrowerGone(now, s.lease.Borrower.Host, 0)
		}
	}
}
