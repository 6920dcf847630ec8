package slots_test

import (
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/slots"
)

var (
	_start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	_terms = slots.Terms{Lease: 2 * time.Second, Spread: 3 * time.Second, Lag: time.Second, Validity: 4 * time.Second}
	_a     = core.HostID{Host: "a", Incarnation: 10}
	_b     = core.HostID{Host: "b", Incarnation: 20}
)

const _limit = 8

// assignment returns the part of endpoint e, with 8 warm and 2 cold slots, that a
// revision assigns to a host. All other slots belong to owner, and to previous
// under the revision before.
func assignment(revision core.Revision, owner, previous core.HostName, owned ...int) slots.Assignment {
	return slots.Assignment{
		Revision: revision, Endpoint: core.Endpoint{Name: "e", ColdSlots: 2, WarmSlots: _limit}, Owned: owned,
		OwnerOf:         func(int) core.HostName { return owner },
		PreviousOwnerOf: func(int) core.HostName { return previous },
		HasHost:         func(core.HostName) bool { return true },
		Contiguous:      revision > 1, First: revision == 1,
	}
}

// warmPool returns the pool of a host that owns some slots of a warm endpoint,
// none of them quarantined.
func warmPool(host core.HostID, owned ...int) (*slots.Pool, time.Time) {
	p := slots.New(host, slots.Switches{})
	p.Revise(_start, _terms, assignment(1, host.Host, "", owned...))
	p.Acknowledge(_start, host.Host, true)
	now := _start.Add(10 * time.Second)
	p.SetCold(now, false)
	for range owned {
		p.Observe(slots.Observation{AskedAt: now})
	}
	return p, now
}

func TestExpiredLeaseStaysLentUntilReturned(t *testing.T) {
	owner, now := warmPool(_a, 0)
	borrower, _ := warmPool(_b)
	lease, ok := owner.Lend(now, _b, 1, _limit)
	if !ok || borrower.AcceptLease(now, now, lease) {
		t.Fatal("the owner refused to lend, or the borrower gives the lease back unused")
	}
	slot, until, ok := borrower.Take(now, _limit)
	if !ok || !until.Equal(now.Add(_terms.Lease)) {
		t.Fatalf("took slot %v until %v; want a slot until the end of the lease", slot, until)
	}
	now = now.Add(time.Minute)
	if borrower.Valid(now, slot.Position, _limit) {
		t.Error("a dispatch is allowed after the lease expired")
	}
	if owner.Free(now, _limit) != 0 {
		t.Error("the owner reclaimed the slot while the borrower's request runs")
	}
	returned, giveBack := borrower.Release(now, slot.Position, false)
	if !giveBack {
		t.Fatal("the borrower keeps an expired lease")
	}
	owner.LeaseReturned(returned)
	owner.LeaseReturned(returned)
	if got := owner.Free(now, _limit); got != 1 {
		t.Errorf("%d slots free after the return, want 1", got)
	}
}

func TestRepeatedGrantDoesNotReturnLeaseInUse(t *testing.T) {
	owner, now := warmPool(_a, 0)
	borrower, _ := warmPool(_b)
	lease, _ := owner.Lend(now, _b, 1, _limit)
	borrower.AcceptLease(now, now, lease)
	borrower.Take(now, _limit)
	if borrower.AcceptLease(now.Add(time.Second), now, lease) {
		t.Error("a repeated grant gives back a lease in use")
	}
}

func TestLostGrantIsReconciled(t *testing.T) {
	owner, now := warmPool(_a, 0, 1)
	borrower, _ := warmPool(_b)
	if _, ok := owner.Lend(now, _b, 1, _limit); !ok { // the borrower never receives this lease
		t.Fatal("the owner refused to lend")
	}
	second, _ := owner.Lend(now, _b, 1, _limit)
	borrower.AcceptLease(now, now, second)
	borrower.Take(now, _limit)
	owner.Reconcile(now, _b, borrower.Holding(_a.Host))
	if got := owner.Free(now, _limit); got != 0 {
		t.Errorf("%d slots free before the lease expired, want 0", got)
	}
	owner.Reconcile(now.Add(_terms.Lease), _b, borrower.Holding(_a.Host))
	if got := owner.Free(now, _limit); got != 1 {
		t.Errorf("%d slots free, want 1: that of the lost lease", got)
	}
}

// A slot that moves to another host is released to it when its work has ended,
// not before.
func TestMovedSlotIsReleasedAfterItsWork(t *testing.T) {
	previousOwner, now := warmPool(_a, 0)
	newOwner, _ := warmPool(_b)
	slot, _, _ := previousOwner.Take(now, _limit)
	previousOwner.Revise(now, _terms, assignment(2, "b", "a"))
	newOwner.Revise(now, _terms, assignment(2, "b", "a", 0))
	if previousOwner.Valid(now, slot.Position, _limit) {
		t.Error("a dispatch is allowed on a lost slot")
	}
	if _, ok := previousOwner.Lend(now, _b, 2, 0); ok {
		t.Error("a slot is released while a request runs on it")
	}
	later := now.Add(time.Minute)
	newOwner.Observe(slots.Observation{AskedAt: later, Running: 1})
	if newOwner.Free(later, _limit) != 0 {
		t.Error("the slot is free although its previous owner has not acknowledged the revision")
	}
	previousOwner.Release(later, slot.Position, false)
	release, ok := previousOwner.Lend(later, _b, 2, 0)
	if !ok {
		t.Fatal("the slot is not released")
	}
	newOwner.AcceptLease(later, later, release)
	if got := newOwner.Free(later, _limit); got != 1 {
		t.Errorf("%d slots free after the release, want 1", got)
	}
}

// If the endpoint may still run a lost request, its slot is free again only
// after a report that was requested late enough shows free capacity.
func TestLostRequestQuarantinesSlot(t *testing.T) {
	p, now := warmPool(_a, 0)
	slot, _, _ := p.Take(now, _limit)
	p.Release(now, slot.Position, true)
	p.Observe(slots.Observation{AskedAt: now, Running: 0})
	if p.Free(now, _limit) != 0 {
		t.Error("a report that may be older than the loss ends the quarantine")
	}
	p.Observe(slots.Observation{AskedAt: now.Add(_terms.Lag), Running: _limit})
	if p.Free(now, _limit) != 0 {
		t.Error("the report of a full endpoint ends the quarantine")
	}
	p.Observe(slots.Observation{AskedAt: now.Add(_terms.Lag), Running: 1})
	if p.Free(now, _limit) != 1 {
		t.Error("a report with free capacity does not end the quarantine")
	}
}
