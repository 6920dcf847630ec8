package proof_test

import (
	"fmt"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/core/procs/slots"
	"apricotproxy/proof/check"
)

// The tests of this file are a model check of the handover of one cold slot between
// hosts that run the real slots.Pool. The actions are: a host learns of a revision
// (any later one, so that revisions can be skipped); it takes the slot; it dispatches
// the request after any pause; the request ends, or the host loses it while the engine
// still runs it; a host borrows the slot, and the owner's answer arrives late or is
// lost; a lease is returned; a revision is acknowledged; a report is read; a process
// dies and is replaced; time passes.
//
// The model assumes that the content of a report is no older than the stated lag, and
// that a process is dead before it is replaced. A process that replaces another may
// start with any revision, also with an outdated one.

const (
	_slotHosts     = 2
	_slotRevisions = 3
)

var _slotTerms = slots.Terms{
	Lease:    2 * time.Second,
	Spread:   time.Second,
	Lag:      2 * time.Second,
	Validity: time.Second,
}

// slotHost is one host with its pool of the endpoint's slots.
type slotHost struct {
	id       core.HostID
	alive    bool
	pool     *slots.Pool
	revision core.Revision
	// position is the slot that the host has taken; -1 for none. running is true once
	// the request has been dispatched.
	position int
	running  bool
	acked    [_slotHosts]core.Revision // by host: the last revision that it acknowledged here
}

// leaseReply is an owner's answer that is on its way to the borrower.
type leaseReply struct {
	to    int
	asked time.Time
	lease core.Lease
}

// slotFleet is one state of the model: the hosts and one cold engine, which has one
// cold slot.
type slotFleet struct {
	now      time.Time
	hosts    [_slotHosts]*slotHost
	orphans  int // requests that the engine still runs although no host waits for them
	lastIdle time.Time
	replies  []leaseReply
	crashes  int
	scenario slotScenario
}

// slotScenario selects the actions of an exploration. With fewer actions it can go
// deeper.
type slotScenario struct {
	switches slots.Switches
	// leases allows hosts to borrow the slot and to return it.
	leases bool
	// deaths allows one process to die and to be replaced.
	deaths bool
	// afterHandover starts with revision 2 in force on all hosts and the slot usable by
	// its owner.
	afterHandover bool
	// acceptHigherAck makes a host accept the acknowledgement of a later revision as
	// one of its current revision, which is unsafe.
	acceptHigherAck bool
}

var _slotEndpoint = core.Endpoint{Name: "draft-1", ColdSlots: 1, WarmSlots: 1}

// slotOwner returns the index of the slot's owner. Each revision moves the slot to the
// next host.
func slotOwner(revision core.Revision) int { return int(revision-1) % _slotHosts }

func slotHostName(i int) core.HostName { return core.HostName(fmt.Sprint("entry-", i)) }

// newSlotFleet returns a fleet at revision 1 in which the owner may use its slot.
func newSlotFleet(scenario slotScenario) *slotFleet {
	f := &slotFleet{now: time.Unix(1000, 0).UTC(), scenario: scenario}
	f.lastIdle = f.now
	for i := range f.hosts {
		f.start(i, 1)
	}
	f.settle()
	if scenario.afterHandover {
		f.applyRevision(0, 2)
		f.applyRevision(1, 2)
		f.settle()
	}
	return f
}

// settle lets all hosts acknowledge their revision and end their quarantines.
func (f *slotFleet) settle() {
	f.acknowledge(0, 1)
	f.acknowledge(1, 0)
	f.advance(_slotTerms.Spread + _slotTerms.Lease + _slotTerms.Lag)
	for i := range f.hosts {
		f.report(i)
	}
}

func (f *slotFleet) start(i int, revision core.Revision) {
	incarnation := core.Incarnation(1)
	if f.hosts[i] != nil {
		incarnation = f.hosts[i].id.Incarnation + 1
	}
	h := &slotHost{id: core.HostID{Host: slotHostName(i), Incarnation: incarnation}, alive: true, position: -1}
	h.pool = slots.New(h.id, f.scenario.switches)
	f.hosts[i] = h
	f.applyRevision(i, revision)
}

// applyRevision brings a revision into force on a host.
func (f *slotFleet) applyRevision(i int, revision core.Revision) {
	h := f.hosts[i]
	assignment := slots.Assignment{
		Revision:        revision,
		Endpoint:        _slotEndpoint,
		OwnerOf:         func(int) core.HostName { return slotHostName(slotOwner(revision)) },
		PreviousOwnerOf: func(int) core.HostName { return "" },
		HasHost:         func(core.HostName) bool { return true },
		Contiguous:      h.revision+1 == revision,
		First:           h.revision == 0,
	}
	if previous := h.revision; previous != 0 {
		assignment.PreviousOwnerOf = func(int) core.HostName { return slotHostName(slotOwner(previous)) }
	}
	if slotOwner(revision) == i {
		assignment.Owned = []int{0}
	}
	h.pool.Revise(f.now, _slotTerms, assignment)
	h.revision = revision
}

func (f *slotFleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for _, h := range f.hosts {
		if h.alive {
			h.pool.Expire(f.now)
		}
	}
	if f.load() == 0 {
		f.lastIdle = f.now
	}
}

// load counts the requests that run on the engine.
func (f *slotFleet) load() int {
	load := f.orphans
	for _, h := range f.hosts {
		if h.running {
			load++
		}
	}
	return load
}

// updateLastIdle is called after each change of the engine's load.
func (f *slotFleet) updateLastIdle() {
	if f.load() == 0 {
		f.lastIdle = f.now
	}
}

// report passes a report of an idle engine to a host.
func (f *slotFleet) report(i int) {
	f.hosts[i].pool.Observe(slots.Observation{AskedAt: f.now})
}

func (f *slotFleet) takeSlot(i int) {
	if id, _, ok := f.hosts[i].pool.Take(f.now, _slotEndpoint.ColdSlots); ok {
		f.hosts[i].position = id.Position
	}
}

// dispatch checks again that the host may use the slot, and sends the request or
// releases the slot.
func (f *slotFleet) dispatch(i int) {
	h := f.hosts[i]
	if h.pool.Valid(f.now, h.position, _slotEndpoint.ColdSlots) {
		h.running = true
		return
	}
	f.release(i, false)
}

func (f *slotFleet) release(i int, mayRun bool) {
	h := f.hosts[i]
	if lease, returned := h.pool.Release(f.now, h.position, mayRun); returned {
		f.returnLease(lease)
	}
	h.position, h.running = -1, false
	f.updateLastIdle()
}

func (f *slotFleet) returnLease(lease core.Lease) {
	for _, h := range f.hosts {
		if h.alive && h.id == lease.Owner {
			h.pool.LeaseReturned(lease)
		}
	}
}

// borrow asks an owner for a lease. If it is granted, the reply is on its way
// afterwards.
func (f *slotFleet) borrow(i, owner int) {
	h := f.hosts[i]
	if lease, ok := f.hosts[owner].pool.Lend(f.now, h.id, h.revision, _slotEndpoint.ColdSlots); ok {
		f.replies = append(f.replies, leaseReply{to: i, asked: f.now, lease: lease})
	}
}

func (f *slotFleet) deliverReply() {
	reply := f.replies[0]
	f.replies = f.replies[1:]
	h := f.hosts[reply.to]
	if h.alive && h.id == reply.lease.Borrower {
		h.pool.AcceptLease(f.now, reply.asked, reply.lease)
	}
}

func (f *slotFleet) acknowledge(from, to int) {
	h := f.hosts[to]
	h.acked[from] = f.hosts[from].revision
	allAcknowledged := true
	for i, acked := range h.acked {
		allAcknowledged = allAcknowledged && (i == to || f.isAcknowledged(acked, h.revision))
	}
	if f.isAcknowledged(h.acked[from], h.revision) {
		h.pool.Acknowledge(f.now, slotHostName(from), allAcknowledged)
	}
}

func (f *slotFleet) isAcknowledged(acked, revision core.Revision) bool {
	return acked == revision || f.scenario.acceptHigherAck && acked > revision
}

func (f *slotFleet) crash(i int) {
	h := f.hosts[i]
	if h.running {
		f.orphans++
	}
	h.running, h.position, h.alive = false, -1, false
	f.crashes++
}

// replace starts a new process of a dead host. Its first revision may be an outdated
// one.
func (f *slotFleet) replace(i int, revision core.Revision) {
	f.start(i, revision)
	for j, h := range f.hosts {
		if j != i && h.alive {
			h.pool.BorrowerGone(f.now, slotHostName(i), f.hosts[i].id.Incarnation)
		}
	}
}

type slotActionList []check.Action[*slotFleet]

func (a *slotActionList) add(name string, do func(f *slotFleet)) {
	*a = append(*a, check.Action[*slotFleet]{Name: name, Do: do})
}

// slotFleetActions appends the actions that are possible in a state.
func slotFleetActions(f *slotFleet, list []check.Action[*slotFleet]) []check.Action[*slotFleet] {
	actions := slotActionList(list)
	actions.add("a second passes", func(f *slotFleet) { f.advance(time.Second) })
	actions.add("six seconds pass", func(f *slotFleet) { f.advance(6 * time.Second) })
	if f.orphans > 0 {
		actions.add("the engine ends a request that no host waits for", func(f *slotFleet) { f.orphans--; f.updateLastIdle() })
	}
	if len(f.replies) > 0 {
		actions.add("the owner's answer arrives", (*slotFleet).deliverReply)
		actions.add("the owner's answer is lost", func(f *slotFleet) { f.replies = f.replies[1:] })
	}
	for i, h := range f.hosts {
		if !h.alive {
			for revision := core.Revision(1); revision <= _slotRevisions; revision++ {
				actions.add(fmt.Sprint(i, " is replaced and learns revision ", revision), func(f *slotFleet) {
					f.replace(i, revision)
				})
			}
			continue
		}
		slotHostActions(f, i, h, &actions)
	}
	return actions
}

// slotHostActions appends the actions of a live host.
func slotHostActions(f *slotFleet, i int, h *slotHost, actions *slotActionList) {
	for revision := h.revision + 1; revision <= _slotRevisions; revision++ {
		actions.add(fmt.Sprint(i, " learns revision ", revision), func(f *slotFleet) { f.applyRevision(i, revision) })
	}
	if f.scenario.deaths && f.crashes == 0 {
		actions.add(fmt.Sprint(i, " dies"), func(f *slotFleet) { f.crash(i) })
	}
	if f.now.Sub(f.lastIdle) < _slotTerms.Lag {
		actions.add(fmt.Sprint(i, " reads an idle report"), func(f *slotFleet) { f.report(i) })
	}
	switch {
	case h.running:
		actions.add(fmt.Sprint(i, "'s request ends"), func(f *slotFleet) { f.release(i, false) })
		actions.add(fmt.Sprint(i, " loses its request, the engine still runs it"), func(f *slotFleet) {
			f.orphans++
			f.release(i, true)
		})
	case h.position >= 0:
		actions.add(fmt.Sprint(i, " dispatches"), func(f *slotFleet) { f.dispatch(i) })
	default:
		actions.add(fmt.Sprint(i, " takes the slot"), func(f *slotFleet) { f.takeSlot(i) })
	}
	for j, other := range f.hosts {
		if j == i || !other.alive {
			continue
		}
		if h.acked[j] < other.revision {
			actions.add(fmt.Sprint(j, " acknowledges to ", i), func(f *slotFleet) { f.acknowledge(j, i) })
		}
		if f.scenario.leases {
			actions.add(fmt.Sprint(i, " borrows from ", j), func(f *slotFleet) { f.borrow(i, j) })
		}
	}
	if !f.scenario.leases {
		return
	}
	actions.add(fmt.Sprint(i, " returns idle leases"), func(f *slotFleet) {
		for _, r := range f.hosts[i].pool.ReturnIdle(f.now, true, nil) {
			f.returnLease(r.Lease)
		}
	})
}

// slotKey identifies a state. It includes all fields of the pools, as fmt prints them.
func slotKey(f *slotFleet) string {
	key := fmt.Sprintf("%d %d %d %d %v", f.now.Unix(), f.lastIdle.Unix(), f.orphans, f.crashes, f.replies)
	for _, h := range f.hosts {
		key += fmt.Sprintf("|%v %v %d %d %t %v %+v", h.id, h.alive, h.revision, h.position, h.running, h.acked, *h.pool)
	}
	return key
}

func slotInvariant(f *slotFleet) string {
	if load := f.load(); load > _slotEndpoint.ColdSlots {
		return fmt.Sprintf("the cold engine has %d requests in flight; its limit is %d", load, _slotEndpoint.ColdSlots)
	}
	return ""
}

func slotModel(scenario slotScenario) check.Model[*slotFleet] {
	return check.Model[*slotFleet]{
		New:       func() *slotFleet { return newSlotFleet(scenario) },
		Actions:   slotFleetActions,
		Key:       slotKey,
		Invariant: slotInvariant,
	}
}

// TestSlotHandoverExhaustively explores to the depths listed here under
// `make random`, and to two steps less otherwise.
func TestSlotHandoverExhaustively(t *testing.T) {
	for _, c := range []struct {
		name     string
		scenario slotScenario
		depth    int
	}{
		{"leases", slotScenario{leases: true}, 7},
		{"deaths", slotScenario{deaths: true}, 8},
		{"leases and deaths", slotScenario{leases: true, deaths: true}, 6},
		{"deaths after a handover", slotScenario{deaths: true, afterHandover: true}, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			depth := c.depth
			if seedCount() == 0 {
				depth -= 2
			}
			result := slotModel(c.scenario).Explore(depth)
			t.Logf("%d states to depth %d", result.States, result.Depth)
			if result.Violation != nil {
				t.Fatal(result.Violation)
			}
		})
	}
}

// The exploration must find a violation when a safeguard is disabled.
func TestSlotModelDetectsDisabledSafeguards(t *testing.T) {
	defer invar.SetHandler(func(*invar.Violation) {})()
	for _, c := range []struct {
		name     string
		scenario slotScenario
		depth    int
	}{
		{"NoOwnership", slotScenario{switches: slots.Switches{NoOwnership: true}}, 4},
		{"NoGainDeadline", slotScenario{switches: slots.Switches{NoGainDeadline: true}}, 5},
		{"NoLeaseDeadline", slotScenario{switches: slots.Switches{NoLeaseDeadline: true}, leases: true}, 7},
		{"later revision acknowledges", slotScenario{acceptHigherAck: true, deaths: true, afterHandover: true}, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.depth > 7 {
				requireSeeds(t)
			}
			result := slotModel(c.scenario).Explore(c.depth)
			if result.Violation == nil {
				t.Fatalf("no violation in %d states to depth %d; want one", result.States, result.Depth)
			}
			t.Log(result.Violation)
		})
	}
}
