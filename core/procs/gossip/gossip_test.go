package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/gossip"
)

var _start = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

// fleet is a set of hosts that send each other heartbeats in steps of one interval.
// dropped selects the messages that do not arrive.
type fleet struct {
	now   time.Time
	hosts []*node
	// byAddress maps a host's heartbeat address to the host.
	byAddress map[string]*node
	sent      int
	dropped   func(from, to core.HostName) bool
}

type node struct {
	contact gossip.Contact
	state   *gossip.State
	dead    bool
}

func newFleet(hosts, dataCentres int) *fleet {
	f := &fleet{now: _start, byAddress: make(map[string]*node), dropped: func(_, _ core.HostName) bool { return false }}
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i)
		contact := gossip.Contact{Host: core.HostName(name), Heartbeat: name, Documents: name + "/documents", DataCentre: core.DataCentreName(fmt.Sprint("centre-", i%dataCentres))}
		seeds := []string{"host-0", "host-1", "host-2"}
		f.hosts = append(f.hosts, &node{contact: contact, state: gossip.New(contact, seeds, rand.New(rand.NewPCG(uint64(i), 1)))})
		f.byAddress[name] = f.hosts[i]
	}
	return f
}

func (f *fleet) step() {
	f.now = f.now.Add(gossip.Interval)
	for _, n := range f.hosts {
		if n.dead {
			continue
		}
		n.state.Forget(f.now)
		for _, target := range append(n.state.LocalTargets(f.now), n.state.RemoteTargets(f.now)...) {
			f.deliver(n, target, n.state.SampleHosts(f.now))
		}
	}
}

func (f *fleet) deliver(from *node, target string, others []gossip.Contact) {
	f.sent++
	to := f.byAddress[target]
	if to == nil || to.dead || f.dropped(from.contact.Host, to.contact.Host) {
		return
	}
	h := gossip.Heartbeat{From: from.contact, CanReadStore: true, KnownHosts: others}
	if _, first := to.state.Receive(f.now, &h); first {
		f.deliver(to, from.contact.Heartbeat, to.state.WelcomeHosts(f.now, from.contact.DataCentre))
	}
}

func (f *fleet) readers() int {
	n := 0
	for _, h := range f.hosts {
		if !h.dead && h.state.IsReader(f.now, true) {
			n++
		}
	}
	return n
}

// Hosts that know only three seeds find all hosts of their data centre within a second,
// in fleets of every size, and send no more heartbeats than the size of their data
// centre requires.
func TestHostsFindEachOther(t *testing.T) {
	for _, size := range []struct{ hosts, dataCentres int }{{1, 1}, {9, 4}, {87, 4}, {360, 11}} {
		f := newFleet(size.hosts, size.dataCentres)
		for range 4 {
			f.step()
		}
		for _, n := range f.hosts {
			near := len(n.state.LocalTargets(f.now))
			if want := min(size.hosts/size.dataCentres-1, 32); near < want {
				t.Errorf("%d hosts: %s knows %d hosts of its data centre, want %d", size.hosts, n.contact.Host, near, want)
			}
			if far := len(n.state.RemoteTargets(f.now)); far < min(size.dataCentres, size.hosts)-1 {
				t.Errorf("%d hosts: %s knows %d other data centres, want %d", size.hosts, n.contact.Host, far, size.dataCentres-1)
			}
		}
		for range 20 { // until few hosts are new to others
			f.step()
		}
		f.sent = 0
		f.step()
		if most := size.hosts * (size.hosts/size.dataCentres + size.dataCentres + 5); f.sent > most {
			t.Errorf("%d hosts send %d heartbeats an interval, want %d at most", size.hosts, f.sent, most)
		}
		if readers := f.readers(); readers < 1 || readers > 2 {
			t.Errorf("%d hosts: %d read the store, want 1 or 2", size.hosts, readers)
		}
	}
}

// Seeds may be stale or down: hosts that know others do not need them.
func TestSeedsMayBeDown(t *testing.T) {
	f := newFleet(9, 3)
	f.hosts[0].dead, f.hosts[1].dead = true, true
	for range 20 {
		f.step()
	}
	for _, n := range f.hosts[2:] {
		if mayLive := n.state.CountMayLive(f.now); mayLive != 7 {
			t.Errorf("%s knows of %d hosts that may be live, want 7", n.contact.Host, mayLive)
		}
	}
}

// A host that died is forgotten after a while; until then it counts among those that
// may be live.
func TestDeadHostsAreForgotten(t *testing.T) {
	f := newFleet(3, 1)
	for range 4 {
		f.step()
	}
	f.hosts[2].dead = true
	for range 12 {
		f.step()
	}
	s := f.hosts[0].state
	if live, mayLive := s.CountLive(f.now), s.CountMayLive(f.now); live != 2 || mayLive != 3 {
		t.Errorf("%d hosts are live and %d may be, want 2 and 3", live, mayLive)
	}
	if names, unheard := s.MayLive(f.now); len(names) != 3 || !slices.IsSorted(names) || unheard != 1 {
		t.Errorf("hosts %v may be live, %d of them unheard; want 3, one unheard", names, unheard)
	}
	for f.now.Before(_start.Add(2 * time.Minute)) {
		f.step()
	}
	if mayLive := s.CountMayLive(f.now); mayLive != 2 {
		t.Errorf("%d hosts may be live after two minutes, want 2", mayLive)
	}
}

// Limits that all hosts have in common are divided by the number of hosts that may be
// live. Each host knows of most of them soon after the start, though it receives
// heartbeats from few.
func TestHostsThatMayBeLiveAreKnownSoon(t *testing.T) {
	const hosts = 87
	f := newFleet(hosts, 4)
	for range 8 {
		f.step()
	}
	for _, n := range f.hosts {
		if known := n.state.CountMayLive(f.now); 3*known < 2*hosts {
			t.Errorf("%s knows of %d hosts after two seconds, want two thirds of %d", n.contact.Host, known, hosts)
		}
	}
}

// On each side of a partition at least one host reads the store.
func TestEachSideOfAPartitionHasAReader(t *testing.T) {
	f := newFleet(9, 3)
	for range 8 {
		f.step()
	}
	side := func(h core.HostName) bool { return h < "host-4" }
	f.dropped = func(from, to core.HostName) bool { return side(from) != side(to) }
	for range 12 {
		f.step()
	}
	sides := map[bool]int{}
	for _, h := range f.hosts {
		if h.state.IsReader(f.now, true) {
			sides[side(h.contact.Host)]++
		}
	}
	if sides[true] == 0 || sides[false] == 0 {
		t.Errorf("readers on the two sides: %v, want one or more on each", sides)
	}
}

// A late heartbeat of an earlier incarnation is ignored.
func TestEarlierIncarnationIsIgnored(t *testing.T) {
	s := gossip.New(gossip.Contact{Host: "a"}, nil, rand.New(rand.NewPCG(1, 1)))
	newer := gossip.Heartbeat{From: gossip.Contact{Host: "b"}, Incarnation: 2}
	older := gossip.Heartbeat{From: gossip.Contact{Host: "b"}, Incarnation: 1, Stopping: true}
	if accepted, first := s.Receive(_start, &newer); !accepted || !first {
		t.Error("a heartbeat of a new host is not accepted as the first one")
	}
	if accepted, _ := s.Receive(_start, &older); accepted {
		t.Error("a heartbeat of an earlier incarnation is accepted")
	}
	if accepted, _ := s.Receive(_start, &gossip.Heartbeat{From: gossip.Contact{Host: "a"}}); accepted {
		t.Error("a host accepts its own heartbeat")
	}
}

// Few hosts ask the same engine for its state: one does on behalf of all whose views
// agree.
func TestFewHostsAskAnEngine(t *testing.T) {
	f := newFleet(9, 3)
	for range 8 {
		f.step()
	}
	for engine := range 20 {
		n := 0
		for _, h := range f.hosts {
			if h.state.ShouldAsk(f.now, fmt.Sprint("engine-", engine)) {
				n++
			}
		}
		if n < 1 || n > 3 {
			t.Errorf("engine %d is asked by %d hosts, want 1 to 3", engine, n)
		}
	}
}

// Data centres that lose each other for long find each other again, although no host of
// one side knows a live host of the other any more.
func TestDataCentresFindEachOtherAfterALongPartition(t *testing.T) {
	f := newFleet(40, 2)
	for range 20 {
		f.step()
	}
	inFirst := func(host core.HostName) bool { return f.byAddress[string(host)].contact.DataCentre == "centre-0" }
	f.dropped = func(from, to core.HostName) bool { return inFirst(from) != inFirst(to) }
	for range int(2 * time.Minute / gossip.Interval) {
		f.step()
	}
	f.dropped = func(_, _ core.HostName) bool { return false }
	for range int(10 * time.Second / gossip.Interval) {
		f.step()
	}
	for _, n := range f.hosts {
		if len(n.state.RemoteTargets(f.now)) == 0 {
			t.Errorf("%s knows no host of the other data centre 10 s after the partition", n.contact.Host)
		}
	}
}
