// Package slots keeps the slots of one endpoint as one host knows them: owned,
// in use, lent to other hosts and borrowed from them. A slot is the permission
// to have one request in flight on the endpoint.
//
// A slot that may carry work this host does not know of is shut. It opens when
// its former owner releases it, or when a load report taken late enough proves
// that the endpoint has room.
package slots

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
)

// Switches turn single safeguards off, so that a test can show that its
// checks notice. Production code leaves it zero.
type Switches struct {
	// NoOwnership lets a host use every slot of an endpoint as its own.
	NoOwnership bool
	// NoLeaseDeadline lets a borrower use a lease after its deadline, and an
	// owner take a lent slot back at the deadline without a return.
	NoLeaseDeadline bool
	// NoGainDeadline opens gained slots at once.
	NoGainDeadline bool
}

// Terms are the durations that the deadlines of slots are computed from.
type Terms struct {
	Lease  time.Duration // longest term of a lease
	Spread time.Duration // time for a revision to be in force everywhere
	// Lag bounds the age of a report's content when it is asked for.
	Lag time.Duration
	// Validity is how long a report is acted on after it was asked for.
	Validity time.Duration
}

// TermsOf derives the terms from the configuration's limits.
func TermsOf(limits core.Limits) Terms {
	lag := limits.ReportLag
	if lag == 0 {
		lag = _defaultLag
	}
	interval := limits.ReportInterval
	if interval == 0 {
		interval = _defaultInterval
	}
	return Terms{
		Lease:    limits.LeaseTerm,
		Spread:   limits.ConfigSpread,
		Lag:      lag,
		Validity: _validIntervals*interval + lag,
	}
}

const (
	_defaultLag      = time.Second
	_defaultInterval = time.Second
	// _validIntervals is how many report intervals a report is acted on.
	_validIntervals = 3
)

// use tells what an owned slot does.
type use uint8

const (
	useFree use = iota
	useRunning
	useLent
)

// slot is one slot that this host owns, or owned under an earlier revision and
// still carries work on.
type slot struct {
	position int
	owned    bool
	// next is the owner under the present revision when owned is false.
	next  core.HostName
	use   use
	lease core.Lease // while lent
	gate  gate
}

// gate tells what opens a shut slot.
type gate struct {
	shut bool
	// deadline is the earliest time of asking for a report that may open it.
	deadline time.Time
	// former is the owner under the revision before, when there was exactly
	// one revision between; empty otherwise.
	former core.HostName
	// present is true when the former owner is on the new roster too: it will
	// acknowledge, itself or by its successor, so that even a warm slot waits.
	present bool
	// everyone demands that all positions have acknowledged the revision.
	everyone bool
	// unacknowledged keeps a slot from use while the endpoint is cold: its
	// former owner may still give it out.
	unacknowledged bool
}

// borrowed is a slot held by a lease of another host.
type borrowed struct {
	lease   core.Lease
	asked   time.Time
	running bool
	// gate is shut when the work was lost and may go on; the lease goes back
	// once a report proves room.
	gate gate
}

func (b *borrowed) idle() bool { return !b.running && !b.gate.shut }

// Pool is one endpoint's slots. It is not safe for concurrent use.
type Pool struct {
	self     core.HostID
	endpoint core.Endpoint
	terms    Terms
	switches Switches
	slots    []slot // ascending by position
	borrowed []borrowed
	serial   uint64
	// received is the highest serial received of each owner.
	received map[core.HostName]uint64
	revision core.Revision

	cold      bool
	coldClear bool
	// coldDeadline is the earliest time of asking for a report that proves the
	// cold endpoint idle.
	coldDeadline time.Time
	// coldLeases is the earliest time of asking for a lease that may be used
	// while the endpoint is cold: by then its owner has seen the phase too.
	coldLeases time.Time
}

// New builds the pool of an endpoint that this process has not met before. Its
// own slots are shut, since a predecessor's work may still run on the endpoint,
// and as long as it is cold nothing is given out until it was seen idle.
func New(self core.HostID, switches Switches) *Pool {
	return &Pool{
		self:     self,
		switches: switches,
		// A later incarnation starts above all serials of an earlier one,
		// which gives out fewer than one lease a nanosecond.
		serial:   uint64(self.Incarnation),
		received: make(map[core.HostName]uint64),
		cold:     true,
	}
}

// Cold tells whether the endpoint is limited to its cold slots.
func (p *Pool) Cold() bool { return p.cold }

// Take takes a free slot below the limit for a request. The placement that it
// is for stays valid until the returned time; zero means without end.
func (p *Pool) Take(now time.Time, limit int) (core.SlotID, time.Time, bool) {
	if i := p.freeLease(now, limit); i >= 0 {
		p.borrowed[i].running = true
		return p.borrowed[i].lease.Slot, p.borrowed[i].lease.Deadline, true
	}
	i := p.freeOwned(p.cap(limit))
	if i < 0 {
		return core.SlotID{}, time.Time{}, false
	}
	p.slots[i].use = useRunning
	p.check(p.slots[i].position)
	return core.SlotID{Endpoint: p.endpoint.Name, Position: p.slots[i].position}, time.Time{}, true
}

// check asserts the promises on the limits at the moment a slot is given out.
func (p *Pool) check(position int) {
	// The conditions stand outside the calls so that their arguments are built
	// for a broken promise only.
	if p.cold && (position >= p.endpoint.ColdSlots || !p.coldClear) {
		invar.Check(invar.ColdLimit, false, "endpoint %s is cold and slot %d is given out", p.endpoint.Name, position)
	}
	if position >= max(p.endpoint.WarmSlots, p.endpoint.ColdSlots) {
		invar.Check(invar.SlotLimit, false, "endpoint %s has no slot %d", p.endpoint.Name, position)
	}
}

// cap bounds a limit by the phase.
func (p *Pool) cap(limit int) int {
	if !p.cold {
		return limit
	}
	if !p.coldClear {
		return 0
	}
	return min(limit, p.endpoint.ColdSlots)
}

func (p *Pool) freeOwned(limit int) int {
	for i := range p.slots {
		s := &p.slots[i]
		if s.position >= limit {
			return -1
		}
		if p.ready(s) {
			return i
		}
	}
	return -1
}

// ready tells whether an owned slot may be given out, to a request or on lease.
// A position that is also held by a lease still carries the lease's work.
func (p *Pool) ready(s *slot) bool {
	if !s.owned || s.use != useFree || s.gate.shut {
		return false
	}
	if p.cold && s.gate.unacknowledged {
		return false
	}
	return len(p.borrowed) == 0 || p.leaseIndex(s.position) < 0
}

func (p *Pool) freeLease(now time.Time, limit int) int {
	if p.cold {
		// The owner's own proof of an idle endpoint stands behind a cold lease.
		limit = min(limit, p.endpoint.ColdSlots)
	}
	for i := range p.borrowed {
		b := &p.borrowed[i]
		if b.idle() && b.lease.Slot.Position < limit && p.usable(b, now) {
			return i
		}
	}
	return -1
}

func (p *Pool) expired(b *borrowed, now time.Time) bool {
	return !p.switches.NoLeaseDeadline && !now.Before(b.lease.Deadline)
}

// usable tells whether a lease still allows a dispatch.
func (p *Pool) usable(b *borrowed, now time.Time) bool {
	return !p.expired(b, now) && (!p.cold || !b.asked.Before(p.coldLeases))
}

// Free counts the free slots in hand below the limit.
func (p *Pool) Free(now time.Time, limit int) int {
	free := 0
	if p.cold {
		limit = min(limit, p.endpoint.ColdSlots)
	}
	for i := range p.borrowed {
		b := &p.borrowed[i]
		if b.idle() && b.lease.Slot.Position < limit && p.usable(b, now) {
			free++
		}
	}
	limit = p.cap(limit)
	for i := range p.slots {
		s := &p.slots[i]
		if s.position >= limit {
			break
		}
		if p.ready(s) {
			free++
		}
	}
	return free
}

// NextExpiry gives the earliest deadline of an idle lease, zero for none.
func (p *Pool) NextExpiry() time.Time {
	var next time.Time
	for i := range p.borrowed {
		if b := &p.borrowed[i]; b.idle() && (next.IsZero() || b.lease.Deadline.Before(next)) {
			next = b.lease.Deadline
		}
	}
	return next
}

// Borrowed counts the leases in hand.
func (p *Pool) Borrowed() int { return len(p.borrowed) }

// Valid tells whether a slot that was taken may still be dispatched on.
func (p *Pool) Valid(now time.Time, position, limit int) bool {
	if i := p.leaseIndex(position); i >= 0 {
		cold := p.cold && position >= p.endpoint.ColdSlots
		return p.usable(&p.borrowed[i], now) && position < limit && !cold
	}
	s := p.find(position)
	if s == nil || !s.owned || s.use != useRunning || s.gate.shut {
		return false
	}
	if p.cold && s.gate.unacknowledged {
		return false
	}
	return position < p.cap(limit)
}

// Release ends the use of a slot. Doubt means that the endpoint may go on with
// the work; an own slot is then shut until a report proves room. A lease that
// nothing waits for is returned to its owner.
func (p *Pool) Release(now time.Time, position int, doubt bool) (core.Lease, bool) {
	if i := p.leaseIndex(position); i >= 0 {
		return p.releaseLease(now, i, doubt)
	}
	s := p.find(position)
	if s == nil || s.use != useRunning {
		return core.Lease{}, false
	}
	s.use = useFree
	if doubt {
		unacknowledged := s.gate.unacknowledged
		former, everyone := s.gate.former, s.gate.everyone
		s.gate = p.doubt(now)
		s.gate.unacknowledged, s.gate.former, s.gate.everyone = unacknowledged, former, everyone
	}
	return core.Lease{}, false
}

func (p *Pool) releaseLease(now time.Time, i int, doubt bool) (core.Lease, bool) {
	b := &p.borrowed[i]
	b.running = false
	if doubt {
		b.gate = p.doubt(now)
		return core.Lease{}, false
	}
	if !p.expired(b, now) {
		return core.Lease{}, false
	}
	lease := b.lease
	p.dropLease(i)
	return lease, true
}

// doubt shuts a slot whose work the endpoint may go on with.
func (p *Pool) doubt(now time.Time) gate {
	return gate{shut: true, deadline: now.Add(p.terms.Lag)}
}

func (p *Pool) find(position int) *slot {
	for i := range p.slots {
		if p.slots[i].position == position {
			return &p.slots[i]
		}
	}
	return nil
}

func (p *Pool) leaseIndex(position int) int {
	for i := range p.borrowed {
		if p.borrowed[i].lease.Slot.Position == position {
			return i
		}
	}
	return -1
}

func (p *Pool) dropLease(i int) { p.borrowed = append(p.borrowed[:i], p.borrowed[i+1:]...) }

// Counts is what the pool holds.
type Counts struct {
	Owned, InUse, Lent, Borrowed, Shut int
}

// Counts gives the figures for status.
func (p *Pool) Counts() Counts {
	var c Counts
	for i := range p.slots {
		s := &p.slots[i]
		if s.owned {
			c.Owned++
		}
		if s.gate.shut {
			c.Shut++
		}
		switch s.use {
		case useRunning:
			c.InUse++
		case useLent:
			c.Lent++
		case useFree:
		}
	}
	c.Borrowed = len(p.borrowed)
	for i := range p.borrowed {
		if p.borrowed[i].running {
			c.InUse++
		}
	}
	return c
}
