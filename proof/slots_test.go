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

// The handover of one cold slot is explored with the real slots.Pool on every
// host. Actions are: a revision is learned (any later one, so that revisions
// are skipped), work is taken, dispatched after any pause, finished or lost
// while the engine goes on with it, a slot is borrowed, the answer is late or
// lost, a lease is returned, a revision is acknowledged, a report is read, a
// process dies and is replaced, and time passes.
//
// Assumed: a report's content is younger than the stated lag, a process that
// starts learns the highest revision in force anywhere, and a replaced process
// is dead.

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

// slotHost is one host with its pool of the one endpoint.
type slotHost struct {
	id       core.HostID
	alive    bool
	pool     *slots.Pool
	revision core.Revision
	// position of the work taken or running; -1 for none.
	position int
	running  bool
	acked    [_slotHosts]core.Revision
}

// offer is an owner's answer that has not reached the borrower yet.
type offer struct {
	to    int
	asked time.Time
	lease core.Lease
}

// slotWorld is a fleet of hosts and one cold engine that bears one request.
type slotWorld struct {
	now      time.Time
	hosts    [_slotHosts]*slotHost
	orphans  int // work that the engine goes on with and no host waits for
	lastIdle time.Time
	offers   []offer
	crashes  int
	scenario slotScenario
}

// slotScenario picks the actions of an exploration, so that each goes deep.
type slotScenario struct {
	switches slots.Switches
	// leases allows borrowing and returning.
	leases bool
	// deaths allows one process to die and to be replaced.
	deaths bool
	// settled begins when revision 2 is in force and its owner's slot is open.
	settled bool
	// higher takes the acknowledgement of a later revision for one of its own.
	higher bool
}

var _slotEndpoint = core.Endpoint{Name: "draft-1", ColdSlots: 1, WarmSlots: 1}

// slotOwner moves the slot to the next host with each revision.
func slotOwner(revision core.Revision) int { return int(revision-1) % _slotHosts }

func slotHostName(i int) core.HostName { return core.HostName(fmt.Sprint("entry-", i)) }

// newSlotWorld builds a fleet at revision 1 whose owner has opened its slot.
func newSlotWorld(scenario slotScenario) *slotWorld {
	w := &slotWorld{now: time.Unix(1000, 0).UTC(), scenario: scenario}
	w.lastIdle = w.now
	for i := range w.hosts {
		w.start(i, 1)
	}
	w.settle()
	if scenario.settled {
		w.learn(0, 2)
		w.learn(1, 2)
		w.settle()
	}
	return w
}

// settle lets all hosts acknowledge their revision and open their slots.
func (w *slotWorld) settle() {
	w.acknowledge(0, 1)
	w.acknowledge(1, 0)
	w.pass(_slotTerms.Spread + _slotTerms.Lease + _slotTerms.Lag)
	for i := range w.hosts {
		w.report(i)
	}
}

func (w *slotWorld) start(i int, revision core.Revision) {
	incarnation := core.Incarnation(1)
	if w.hosts[i] != nil {
		incarnation = w.hosts[i].id.Incarnation + 1
	}
	h := &slotHost{id: core.HostID{Host: slotHostName(i), Incarnation: incarnation}, alive: true, position: -1}
	h.pool = slots.New(h.id, w.scenario.switches)
	w.hosts[i] = h
	w.learn(i, revision)
}

// learn puts a revision in force on a host.
func (w *slotWorld) learn(i int, revision core.Revision) {
	h := w.hosts[i]
	share := slots.Assignment{
		Revision:        revision,
		Endpoint:        _slotEndpoint,
		OwnerOf:         func(int) core.HostName { return slotHostName(slotOwner(revision)) },
		PreviousOwnerOf: func(int) core.HostName { return "" },
		HasHost:         func(core.HostName) bool { return true },
		Contiguous:      h.revision+1 == revision,
		First:           h.revision == 0,
	}
	if before := h.revision; before != 0 {
		share.PreviousOwnerOf = func(int) core.HostName { return slotHostName(slotOwner(before)) }
	}
	if slotOwner(revision) == i {
		share.Owned = []int{0}
	}
	h.pool.Revise(w.now, _slotTerms, share)
	h.revision = revision
}

func (w *slotWorld) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, h := range w.hosts {
		if h.alive {
			h.pool.Expire(w.now)
		}
	}
	if w.load() == 0 {
		w.lastIdle = w.now
	}
}

func (w *slotWorld) load() int {
	load := w.orphans
	for _, h := range w.hosts {
		if h.running {
			load++
		}
	}
	return load
}

// changed is called after each change of the engine's work.
func (w *slotWorld) changed() {
	if w.load() == 0 {
		w.lastIdle = w.now
	}
}

// report lets a host read that the engine is idle, if a report may say so.
func (w *slotWorld) report(i int) {
	w.hosts[i].pool.Observe(slots.Observation{AskedAt: w.now})
}

func (w *slotWorld) take(i int) {
	if id, _, ok := w.hosts[i].pool.Take(w.now, _slotEndpoint.ColdSlots); ok {
		w.hosts[i].position = id.Position
	}
}

// dispatch confirms the permission again and sends the request.
func (w *slotWorld) dispatch(i int) {
	h := w.hosts[i]
	if h.pool.Valid(w.now, h.position, _slotEndpoint.ColdSlots) {
		h.running = true
		return
	}
	w.release(i, false)
}

func (w *slotWorld) release(i int, doubt bool) {
	h := w.hosts[i]
	if lease, back := h.pool.Release(w.now, h.position, doubt); back {
		w.giveBack(lease)
	}
	h.position, h.running = -1, false
	w.changed()
}

func (w *slotWorld) giveBack(lease core.Lease) {
	for _, h := range w.hosts {
		if h.alive && h.id == lease.Owner {
			h.pool.LeaseReturned(lease)
		}
	}
}

// borrow asks the owner; the answer is under way afterwards.
func (w *slotWorld) borrow(i, owner int) {
	h := w.hosts[i]
	if lease, ok := w.hosts[owner].pool.Lend(w.now, h.id, h.revision, _slotEndpoint.ColdSlots); ok {
		w.offers = append(w.offers, offer{to: i, asked: w.now, lease: lease})
	}
}

func (w *slotWorld) deliver() {
	o := w.offers[0]
	w.offers = w.offers[1:]
	h := w.hosts[o.to]
	if h.alive && h.id == o.lease.Borrower {
		h.pool.AcceptLease(w.now, o.asked, o.lease)
	}
}

func (w *slotWorld) acknowledge(from, to int) {
	h := w.hosts[to]
	h.acked[from] = w.hosts[from].revision
	everyone := true
	for i, acked := range h.acked {
		everyone = everyone && (i == to || w.counts(acked, h.revision))
	}
	if w.counts(h.acked[from], h.revision) {
		h.pool.Acknowledge(w.now, slotHostName(from), everyone)
	}
}

func (w *slotWorld) counts(acked, revision core.Revision) bool {
	return acked == revision || w.scenario.higher && acked > revision
}

func (w *slotWorld) crash(i int) {
	h := w.hosts[i]
	if h.running {
		w.orphans++
	}
	h.running, h.position, h.alive = false, -1, false
	w.crashes++
}

// replace starts a new process at a dead host's position. The revision that it
// learns may be an old one.
func (w *slotWorld) replace(i int, revision core.Revision) {
	w.start(i, revision)
	for j, h := range w.hosts {
		if j != i && h.alive {
			h.pool.BorrowerGone(w.now, slotHostName(i), w.hosts[i].id.Incarnation)
		}
	}
}

type slotActions []check.Action[*slotWorld]

func (a *slotActions) add(name string, do func(w *slotWorld)) {
	*a = append(*a, check.Action[*slotWorld]{Name: name, Do: do})
}

func slotStep(w *slotWorld, list []check.Action[*slotWorld]) []check.Action[*slotWorld] {
	actions := slotActions(list)
	actions.add("a second passes", func(w *slotWorld) { w.pass(time.Second) })
	actions.add("six seconds pass", func(w *slotWorld) { w.pass(6 * time.Second) })
	if w.orphans > 0 {
		actions.add("the engine ends work nobody waits for", func(w *slotWorld) { w.orphans--; w.changed() })
	}
	if len(w.offers) > 0 {
		actions.add("the owner's answer arrives", (*slotWorld).deliver)
		actions.add("the owner's answer is lost", func(w *slotWorld) { w.offers = w.offers[1:] })
	}
	for i, h := range w.hosts {
		if !h.alive {
			for revision := core.Revision(1); revision <= _slotRevisions; revision++ {
				actions.add(fmt.Sprint(i, " is replaced and learns revision ", revision), func(w *slotWorld) {
					w.replace(i, revision)
				})
			}
			continue
		}
		slotHostStep(w, i, h, &actions)
	}
	return actions
}

func slotHostStep(w *slotWorld, i int, h *slotHost, actions *slotActions) {
	for revision := h.revision + 1; revision <= _slotRevisions; revision++ {
		actions.add(fmt.Sprint(i, " learns revision ", revision), func(w *slotWorld) { w.learn(i, revision) })
	}
	if w.scenario.deaths && w.crashes == 0 {
		actions.add(fmt.Sprint(i, " dies"), func(w *slotWorld) { w.crash(i) })
	}
	if w.now.Sub(w.lastIdle) < _slotTerms.Lag {
		actions.add(fmt.Sprint(i, " reads an idle report"), func(w *slotWorld) { w.report(i) })
	}
	switch {
	case h.running:
		actions.add(fmt.Sprint(i, "'s work ends"), func(w *slotWorld) { w.release(i, false) })
		actions.add(fmt.Sprint(i, " loses its work, the engine goes on"), func(w *slotWorld) {
			w.orphans++
			w.release(i, true)
		})
	case h.position >= 0:
		actions.add(fmt.Sprint(i, " dispatches"), func(w *slotWorld) { w.dispatch(i) })
	default:
		actions.add(fmt.Sprint(i, " takes the slot"), func(w *slotWorld) { w.take(i) })
	}
	for j, other := range w.hosts {
		if j == i || !other.alive {
			continue
		}
		if h.acked[j] < other.revision {
			actions.add(fmt.Sprint(j, " acknowledges to ", i), func(w *slotWorld) { w.acknowledge(j, i) })
		}
		if w.scenario.leases {
			actions.add(fmt.Sprint(i, " borrows of ", j), func(w *slotWorld) { w.borrow(i, j) })
		}
	}
	if !w.scenario.leases {
		return
	}
	actions.add(fmt.Sprint(i, " returns idle leases"), func(w *slotWorld) {
		for _, r := range w.hosts[i].pool.ReturnIdle(w.now, true, nil) {
			w.giveBack(r.Lease)
		}
	})
}

// slotKey identifies a state. Printed pools show all of their fields.
func slotKey(w *slotWorld) string {
	key := fmt.Sprintf("%d %d %d %d %v", w.now.Unix(), w.lastIdle.Unix(), w.orphans, w.crashes, w.offers)
	for _, h := range w.hosts {
		key += fmt.Sprintf("|%v %v %d %d %t %v %+v", h.id, h.alive, h.revision, h.position, h.running, h.acked, *h.pool)
	}
	return key
}

func slotBroken(w *slotWorld) string {
	if load := w.load(); load > _slotEndpoint.ColdSlots {
		return fmt.Sprintf("the cold engine has %d requests and bears %d", load, _slotEndpoint.ColdSlots)
	}
	return ""
}

func slotModel(scenario slotScenario) check.Model[*slotWorld] {
	return check.Model[*slotWorld]{
		New:     func() *slotWorld { return newSlotWorld(scenario) },
		Actions: slotStep,
		Key:     slotKey,
		Broken:  slotBroken,
	}
}

// TestSlotHandoverExhaustively explores to the stated depths under
// `make random`, and two steps less otherwise.
func TestSlotHandoverExhaustively(t *testing.T) {
	for _, c := range []struct {
		name     string
		scenario slotScenario
		depth    int
	}{
		{"leases", slotScenario{leases: true}, 7},
		{"deaths", slotScenario{deaths: true}, 8},
		{"leases and deaths", slotScenario{leases: true, deaths: true}, 6},
		{"deaths after a handover", slotScenario{deaths: true, settled: true}, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			depth := c.depth
			if soakSeeds() == 0 {
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

func TestSlotModelNoticesSwitchedOff(t *testing.T) {
	defer invar.SetHandler(func(*invar.Violation) {})()
	for _, c := range []struct {
		name     string
		scenario slotScenario
		depth    int
	}{
		{"NoOwnership", slotScenario{switches: slots.Switches{NoOwnership: true}}, 4},
		{"NoGainDeadline", slotScenario{switches: slots.Switches{NoGainDeadline: true}}, 5},
		{"NoLeaseDeadline", slotScenario{switches: slots.Switches{NoLeaseDeadline: true}, leases: true}, 7},
		{"later revision acknowledges", slotScenario{higher: true, deaths: true, settled: true}, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.depth > 7 {
				needsSeeds(t)
			}
			result := slotModel(c.scenario).Explore(c.depth)
			if result.Violation == nil {
				t.Fatalf("%d states to depth %d show no violation", result.States, result.Depth)
			}
			t.Log(result.Violation)
		})
	}
}
