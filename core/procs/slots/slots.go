// Package slots tracks one host's slots of one endpoint: those that it owns,
// uses, has lent to other hosts and has borrowed from them. A slot is the
// permission to have one request in flight on the endpoint.
//
// A slot is quarantined while the endpoint may still run work on it that this
// host doesn't know of: the host gives it to no request and lends it to nobody.
// The quarantine ends when the slot's previous owner releases it, or when a load
// report that was requested late enough shows that the endpoint has free
// capacity.
package slots

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
)

// Switches turn off single safeguards, so that a test can show that its checks
// detect the faults that follow. Production code uses the zero value.
type Switches struct {
	// NoOwnership lets a host treat every slot of an endpoint as its own.
	NoOwnership bool
	// NoLeaseDeadline lets a borrower use a lease after its deadline, and an
	// owner reclaim a lent slot at the deadline although it was not returned.
	NoLeaseDeadline bool
	// NoGainDeadline lets a host use gained slots without a quarantine.
	NoGainDeadline bool
}

// Terms are the durations from which the deadlines of leases and quarantines
// are computed.
type Terms struct {
	Lease  time.Duration // maximum term of a lease
	Spread time.Duration // time until a revision is in force on all hosts
	// Lag is the maximum age of a report's content at the time of its request.
	Lag time.Duration
	// Validity is how long after its request a report may be acted on.
	Validity time.Duration
}

// TermsOf derives the terms from the configured limits.
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
	// _validIntervals is how many report intervals a report stays valid.
	_validIntervals = 3
)

// use is the state of an owned slot: free, running a request, or lent.
type use uint8

const (
	useFree use = iota
	useRunning
	useLent
)

// slot is a slot that this host owns, or one that it has lost to another host
// and still keeps a record of (see keepLost).
type slot struct {
	position int
	owned    bool
	// newOwner is the owner under the current revision if owned is false. It is
	// empty if this host skipped a revision.
	newOwner   core.HostName
	use        use
	lease      core.Lease // while lent
	quarantine quarantine
}

// quarantine holds whether a slot is quarantined, and the conditions under which
// that ends.
type quarantine struct {
	active bool
	// reportAfter is the earliest time at which a report that ends the
	// quarantine may have been requested.
	reportAfter time.Time
	// previousOwner is the owner under the previous revision. It is empty if
	// this host skipped a revision, or if nobody else owned the slot.
	previousOwner core.HostName
	// previousOwnerListed is true if the previous owner is also in the host list
	// of the current revision. That host or its next process will acknowledge
	// the revision, so the slot waits for it even if the endpoint is warm.
	previousOwnerListed bool
	// needsAllHosts is true if all hosts must acknowledge the revision, not only
	// the previous owner.
	needsAllHosts bool
	// unacknowledged is true while another host may still give out the slot
	// under an earlier revision. It prevents use of the slot while the endpoint
	// is cold.
	unacknowledged bool
}

// borrowedLease is a slot that another host owns and has lent to this host.
type borrowedLease struct {
	lease   core.Lease
	askedAt time.Time
	running bool
	// quarantine is active if the endpoint may still run a request that this
	// host has lost track of. It ends when a report shows free capacity; only
	// then can the lease be used again or returned.
	quarantine quarantine
}

func (b *borrowedLease) idle() bool { return !b.running && !b.quarantine.active }

// Pool holds one host's slots of one endpoint. It is not safe for concurrent
// use.
type Pool struct {
	self       core.HostID
	endpoint   core.Endpoint
	terms      Terms
	switches   Switches
	slots      []slot // ascending by position
	borrowed   []borrowedLease
	lastSerial uint64
	// received is the highest lease serial received from each owner.
	received map[core.HostName]uint64
	revision core.Revision

	cold bool
	// idleProven is true if a report has shown the endpoint idle since it turned
	// cold. Without that proof no owned slot of a cold endpoint is given out.
	idleProven bool
	// idleReportAfter is the earliest time at which a report that proves the
	// cold endpoint idle may have been requested.
	idleReportAfter time.Time
	// coldLeaseAfter is the earliest time at which a lease that may be used
	// while the endpoint is cold may have been requested: by then the owner has
	// also seen that the endpoint is cold.
	coldLeaseAfter time.Time
}

// New returns the pool of an endpoint that this process has not used before. The
// endpoint counts as cold until a report says otherwise, and a cold endpoint
// must be seen idle before its slots are given out: requests of this host's
// previous process may still run on it. For the same reason Revise quarantines
// the slots of the first revision.
func New(self core.HostID, switches Switches) *Pool {
	return &Pool{
		self:     self,
		switches: switches,
		// The incarnation is a time in nanoseconds. An earlier incarnation has
		// granted fewer than one lease per nanosecond, so all of its serials are
		// lower.
		lastSerial: uint64(self.Incarnation),
		received:   make(map[core.HostName]uint64),
		cold:       true,
	}
}

// Cold reports whether the endpoint is limited to its cold slots.
func (p *Pool) Cold() bool { return p.cold }

// Take takes a free slot below the limit for a request. The request may be
// dispatched on the slot until the returned time; zero means without end.
func (p *Pool) Take(now time.Time, limit int) (core.SlotID, time.Time, bool) {
	if i := p.freeLease(now, limit); i >= 0 {
		p.borrowed[i].running = true
		return p.borrowed[i].lease.Slot, p.borrowed[i].lease.Deadline, true
	}
	i := p.freeOwned(p.phaseLimit(limit))
	if i < 0 {
		return core.SlotID{}, time.Time{}, false
	}
	p.slots[i].use = useRunning
	p.checkLimits(p.slots[i].position)
	return core.SlotID{Endpoint: p.endpoint.Name, Position: p.slots[i].position}, time.Time{}, true
}

// checkLimits asserts that a slot that is given out is within the limits.
func (p *Pool) checkLimits(position int) {
	// The conditions are outside the calls so that the arguments are built only
	// for a violation.
	if p.cold && (position >= p.endpoint.ColdSlots || !p.idleProven) {
		invar.Check(invar.ColdLimit, false, "endpoint %s is cold and slot %d is given out", p.endpoint.Name, position)
	}
	if position >= max(p.endpoint.WarmSlots, p.endpoint.ColdSlots) {
		invar.Check(invar.SlotLimit, false, "endpoint %s has no slot %d", p.endpoint.Name, position)
	}
}

// phaseLimit lowers a limit to what the endpoint's phase allows.
func (p *Pool) phaseLimit(limit int) int {
	if !p.cold {
		return limit
	}
	if !p.idleProven {
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

// ready reports whether an owned slot may be given to a request or lent. A
// position that this host also holds by a lease, from before it gained the slot,
// may still carry a request of that lease.
func (p *Pool) ready(s *slot) bool {
	if !s.owned || s.use != useFree || s.quarantine.active {
		return false
	}
	if p.cold && s.quarantine.unacknowledged {
		return false
	}
	return len(p.borrowed) == 0 || p.leaseIndex(s.position) < 0
}

func (p *Pool) freeLease(now time.Time, limit int) int {
	if p.cold {
		// This host needs no proof that the endpoint is idle: the owner had one
		// when it lent the slot.
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

func (p *Pool) expired(b *borrowedLease, now time.Time) bool {
	return !p.switches.NoLeaseDeadline && !now.Before(b.lease.Deadline)
}

// usable reports whether a request may still be dispatched on a lease.
func (p *Pool) usable(b *borrowedLease, now time.Time) bool {
	return !p.expired(b, now) && (!p.cold || !b.askedAt.Before(p.coldLeaseAfter))
}

// Free counts the free slots below the limit, owned and borrowed.
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
	limit = p.phaseLimit(limit)
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

// NextExpiry returns the earliest deadline of an idle borrowed lease, zero if
// there is none.
func (p *Pool) NextExpiry() time.Time {
	var next time.Time
	for i := range p.borrowed {
		if b := &p.borrowed[i]; b.idle() && (next.IsZero() || b.lease.Deadline.Before(next)) {
			next = b.lease.Deadline
		}
	}
	return next
}

// Borrowed counts the leases that this host holds.
func (p *Pool) Borrowed() int { return len(p.borrowed) }

// Valid reports whether a request may still be dispatched on a taken slot.
func (p *Pool) Valid(now time.Time, position, limit int) bool {
	if i := p.leaseIndex(position); i >= 0 {
		cold := p.cold && position >= p.endpoint.ColdSlots
		return p.usable(&p.borrowed[i], now) && position < limit && !cold
	}
	s := p.find(position)
	if s == nil || !s.owned || s.use != useRunning || s.quarantine.active {
		return false
	}
	if p.cold && s.quarantine.unacknowledged {
		return false
	}
	return position < p.phaseLimit(limit)
}

// Release ends a request's use of a slot. If the endpoint may still be running
// the request, the slot is quarantined until a report shows free capacity. If
// the slot was borrowed and its lease has expired, Release drops the lease and
// returns it, and the caller has to give it back to the owner.
func (p *Pool) Release(now time.Time, position int, mayRun bool) (core.Lease, bool) {
	if i := p.leaseIndex(position); i >= 0 {
		return p.releaseLease(now, i, mayRun)
	}
	s := p.find(position)
	if s == nil || s.use != useRunning {
		return core.Lease{}, false
	}
	s.use = useFree
	if mayRun {
		unacknowledged := s.quarantine.unacknowledged
		previousOwner, needsAllHosts := s.quarantine.previousOwner, s.quarantine.needsAllHosts
		s.quarantine = p.reportQuarantine(now)
		s.quarantine.unacknowledged, s.quarantine.previousOwner, s.quarantine.needsAllHosts = unacknowledged, previousOwner, needsAllHosts
	}
	return core.Lease{}, false
}

func (p *Pool) releaseLease(now time.Time, i int, mayRun bool) (core.Lease, bool) {
	b := &p.borrowed[i]
	b.running = false
	if mayRun {
		b.quarantine = p.reportQuarantine(now)
		return core.Lease{}, false
	}
	if !p.expired(b, now) {
		return core.Lease{}, false
	}
	lease := b.lease
	p.dropLease(i)
	return lease, true
}

// reportQuarantine returns the quarantine of a slot whose request the endpoint
// may still be running. A report requested after the lag covers that request.
func (p *Pool) reportQuarantine(now time.Time) quarantine {
	return quarantine{active: true, reportAfter: now.Add(p.terms.Lag)}
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

// Counts are the numbers of slots in a pool by state.
type Counts struct {
	Owned, InUse, Lent, Borrowed, Quarantined int
}

// Counts returns the numbers of slots for the status page.
func (p *Pool) Counts() Counts {
	var c Counts
	for i := range p.slots {
		s := &p.slots[i]
		if s.owned {
			c.Owned++
		}
		if s.quarantine.active {
			c.Quarantined++
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
