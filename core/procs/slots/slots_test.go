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

// share gives a host the positions of endpoint e, of 8 warm and 2 cold slots.
func share(revision core.Revision, owner, former core.HostName, owned ...int) slots.Share {
	return slots.Share{
		Revision: revision, Endpoint: core.Endpoint{Name: "e", ColdSlots: 2, WarmSlots: _limit}, Owned: owned,
		OwnerOf:    func(int) core.HostName { return owner },
		FormerOf:   func(int) core.HostName { return former },
		Present:    func(core.HostName) bool { return true },
		Contiguous: revision > 1, First: revision == 1,
	}
}

// warmPool gives the pool of a host that owns some slots of a warm endpoint, all
// open.
func warmPool(host core.HostID, owned ...int) (*slots.Pool, time.Time) {
	p := slots.New(host, slots.Switches{})
	p.Revise(_start, _terms, share(1, host.Host, "", owned...))
	p.Acknowledge(_start, host.Host, true)
	now := _start.Add(10 * time.Second)
	p.SetCold(now, false)
	for range owned {
		p.Observe(slots.Evidence{AskedAt: now})
	}
	return p, now
}

func TestLeaseOutlivesItsTermUntilReturned(t *testing.T) {
	owner, now := warmPool(_a, 0)
	borrower, _ := warmPool(_b)
	lease, ok := owner.Lend(now, _b, 1, _limit)
	if !ok || borrower.Grant(now, now, lease) {
		t.Fatal("no lease")
	}
	slot, until, ok := borrower.Take(now, _limit)
	if !ok || !until.Equal(now.Add(_terms.Lease)) {
		t.Fatalf("took %v until %v", slot, until)
	}
	now = now.Add(time.Minute)
	if borrower.Valid(now, slot.Position, _limit) {
		t.Error("a dispatch is allowed after the lease ran out")
	}
	if owner.Free(now, _limit) != 0 {
		t.Error("the owner has the slot back while the borrower works")
	}
	returned, gone := borrower.Release(now, slot.Position, false)
	if !gone {
		t.Fatal("a lease that ran out is kept")
	}
	owner.Returned(returned)
	owner.Returned(returned)
	if got := owner.Free(now, _limit); got != 1 {
		t.Errorf("%d free after the return", got)
	}
}

func TestRepeatedGrantDoesNotReturnALeaseInUse(t *testing.T) {
	owner, now := warmPool(_a, 0)
	borrower, _ := warmPool(_b)
	lease, _ := owner.Lend(now, _b, 1, _limit)
	borrower.Grant(now, now, lease)
	borrower.Take(now, _limit)
	if borrower.Grant(now.Add(time.Second), now, lease) {
		t.Error("the repeat gives the lease back")
	}
}

func TestLostGrantIsReconciled(t *testing.T) {
	owner, now := warmPool(_a, 0, 1)
	borrower, _ := warmPool(_b)
	if _, ok := owner.Lend(now, _b, 1, _limit); !ok { // this answer is lost
		t.Fatal("no lease")
	}
	second, _ := owner.Lend(now, _b, 1, _limit)
	borrower.Grant(now, now, second)
	borrower.Take(now, _limit)
	owner.Reconcile(now, _b, borrower.Holding(_a.Host))
	if got := owner.Free(now, _limit); got != 0 {
		t.Errorf("%d free before the term has ended", got)
	}
	owner.Reconcile(now.Add(_terms.Lease), _b, borrower.Holding(_a.Host))
	if got := owner.Free(now, _limit); got != 1 {
		t.Errorf("%d free, the lost lease's slot wanted", got)
	}
}

// A moved slot is released once its work has ended, and not before.
func TestMovedSlotWaitsForItsWork(t *testing.T) {
	former, now := warmPool(_a, 0)
	gainer, _ := warmPool(_b)
	slot, _, _ := former.Take(now, _limit)
	former.Revise(now, _terms, share(2, "b", "a"))
	gainer.Revise(now, _terms, share(2, "b", "a", 0))
	if former.Valid(now, slot.Position, _limit) {
		t.Error("a lost slot takes new work")
	}
	if _, ok := former.Lend(now, _b, 2, 0); ok {
		t.Error("a slot with work on it is released")
	}
	later := now.Add(time.Minute)
	gainer.Observe(slots.Evidence{AskedAt: later, Running: 1})
	if gainer.Free(later, _limit) != 0 {
		t.Error("the slot opens although its owner has not acknowledged")
	}
	former.Release(later, slot.Position, false)
	release, ok := former.Lend(later, _b, 2, 0)
	if !ok {
		t.Fatal("the slot is not released")
	}
	gainer.Grant(later, later, release)
	if got := gainer.Free(later, _limit); got != 1 {
		t.Errorf("%d free after the release", got)
	}
}

func TestLostWorkShutsTheSlot(t *testing.T) {
	p, now := warmPool(_a, 0)
	slot, _, _ := p.Take(now, _limit)
	p.Release(now, slot.Position, true)
	p.Observe(slots.Evidence{AskedAt: now, Running: 0})
	if p.Free(now, _limit) != 0 {
		t.Error("a report that may be older than the loss opens the slot")
	}
	p.Observe(slots.Evidence{AskedAt: now.Add(_terms.Lag), Running: _limit})
	if p.Free(now, _limit) != 0 {
		t.Error("a full endpoint opens the slot")
	}
	p.Observe(slots.Evidence{AskedAt: now.Add(_terms.Lag), Running: 1})
	if p.Free(now, _limit) != 1 {
		t.Error("room does not open the slot")
	}
}
