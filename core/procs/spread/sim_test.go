package spread_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"apricotproxy/core"
	"apricotproxy/core/procs/member"
	"apricotproxy/core/procs/spread"
	"apricotproxy/exper/vtime"
	"apricotproxy/io/wire"
)

const (
	_latency     = time.Millisecond
	_callTimeout = time.Second
	_interval    = time.Second
	_budget      = 20.0
	_idleTimeout = 30 * time.Second // as in io/peers
	// Bytes of the HTTP headers of one exchange, in both directions.
	_headerBytes = 420
)

var _epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sim runs the state machines of many hosts in virtual time, over a network that
// loses and delays messages and can be partitioned, with a configuration service
// that can fail.
type sim struct {
	*vtime.Clock
	t       *testing.T
	random  *rand.Rand
	loss    float64
	nodes   []*node
	byName  map[core.HostName]*node
	service simService

	exchanges int
	bytes     int
	// dials counts the exchanges that need a new connection, because the last one
	// has been idle for longer than _idleTimeout.
	dials        int
	lastExchange map[[2]core.HostName]time.Time
}

type simService struct {
	value    core.Bundle
	pinned   *core.Bundle // served instead of value, if set
	version  uint64
	down     bool
	calls    int
	watchers []func()
}

// node is one host.
type node struct {
	sim    *sim
	name   core.HostName
	member *member.Membership
	spread *spread.Spread
	reads  *spread.ReadPlanner
	id     core.HostID

	version     uint64
	side        int  // the side of a partition; other sides are unreachable
	mute        bool // all messages that it sends are lost
	alive       bool
	pausedUntil time.Time
	highest     core.Revision // revision in force on this incarnation
	inForceAt   time.Time
	starts      int // number of starts; events of an earlier start are ignored
	roster      int
}

func newSim(t *testing.T, count int, seed uint64, loss float64) *sim {
	s := &sim{Clock: vtime.NewClock(_epoch), t: t, random: rand.New(rand.NewPCG(seed, 7)), loss: loss}
	s.byName = make(map[core.HostName]*node)
	s.lastExchange = make(map[[2]core.HostName]time.Time)
	for i := range count {
		n := &node{sim: s, name: core.HostName(fmt.Sprintf("entry-%03d", i+1))}
		s.nodes = append(s.nodes, n)
		s.byName[n.name] = n
	}
	return s
}

func (s *sim) run(span time.Duration) { s.RunUntil(s.Now.Add(span)) }

func (s *sim) bundle(revision core.Revision) core.Bundle {
	var names []string
	for _, n := range s.nodes {
		names = append(names, string(n.name))
	}
	return core.Bundle{Revision: revision, Base: strings.Join(names, " ")}
}

func (s *sim) publish(bundle core.Bundle) {
	s.service.value = bundle
	s.service.version++
	s.wakeWatchers()
}

func (s *sim) wakeWatchers() {
	woken := s.service.watchers
	s.service.watchers = nil
	for _, wake := range woken {
		s.After(_latency, wake)
	}
}

func (s *sim) parse(bundle core.Bundle) (core.Config, error) {
	if strings.Contains(bundle.Base, "invalid") {
		return core.Config{}, errors.New("the text is invalid")
	}
	var config core.Config
	for name := range strings.FieldsSeq(bundle.Base) {
		config.Hosts = append(config.Hosts, core.Host{Name: core.HostName(name)})
	}
	return config, nil
}

// start starts an incarnation that knows only the platform's list.
func (n *node) start() {
	s := n.sim
	n.starts++
	n.alive = true
	n.highest, n.version = 0, 0
	n.id = core.HostID{Host: n.name, Incarnation: core.Incarnation(s.Now.UnixNano()) + core.Incarnation(n.starts)}
	random := rand.New(rand.NewPCG(s.random.Uint64(), 1))
	n.member = member.New(member.Settings{Self: n.id, Interval: _interval}, random)
	n.spread = spread.New(spread.Settings{Self: n.name, Parse: s.parse}, random)
	n.reads = spread.NewReadPlanner(n.name, random)
	n.spread.Begin(s.Now)
	var listed []core.ListedHost
	for _, other := range s.nodes {
		listed = append(listed, core.ListedHost{Host: other.name})
	}
	n.member.SetListed(listed)
	n.loop(time.Duration(random.Float64()*float64(_interval)), n.heartbeat)
	n.loop(0, n.readService)
}

// loop runs an activity repeatedly until the node restarts or dies. The activity
// calls runAgain with the pause until its next run.
func (n *node) loop(first time.Duration, activity func(runAgain func(time.Duration))) {
	starts := n.starts
	var runOnce func()
	runOnce = func() {
		switch {
		case n.starts != starts || !n.alive:
		case n.pausedUntil.After(n.sim.Now):
			n.sim.After(n.pausedUntil.Sub(n.sim.Now), runOnce)
		default:
			activity(func(pause time.Duration) { n.sim.After(pause, runOnce) })
		}
	}
	n.sim.After(first, runOnce)
}

func (n *node) heartbeat(runAgain func(time.Duration)) {
	for _, peer := range n.member.HeartbeatTargets(n.sim.Now) {
		n.exchange(peer)
	}
	runAgain(_interval)
}

// send delivers a message after the latency, or loses it and returns false.
func (s *sim) send(from, to *node, arrive func()) bool {
	lost := s.random.Float64() < s.loss
	if lost || from.mute || from.side != to.side || !to.alive || to.pausedUntil.After(s.Now) {
		return false
	}
	s.After(_latency+time.Duration(s.random.Int64N(int64(_latency))), arrive)
	return true
}

func (s *sim) nodeNamed(name core.HostName) *node {
	return s.byName[name]
}

// call sends a request and calls answered when the answer arrives, or failed after
// the timeout.
func (n *node) call(peer core.HostName, serve func(*node), answered func(*node), failed func()) {
	s, starts := n.sim, n.starts
	guard := func(then func()) func() {
		return func() {
			if n.starts == starts && n.alive && !n.pausedUntil.After(s.Now) {
				then()
			}
		}
	}
	other := s.nodeNamed(peer)
	otherStarts := other.starts
	fail := func() { s.After(_callTimeout, guard(failed)) }
	sent := s.send(n, other, func() {
		if other.starts != otherStarts || !other.alive {
			fail()
			return
		}
		serve(other)
		if !s.send(other, n, guard(func() { answered(other) })) {
			fail()
		}
	})
	if !sent {
		fail()
	}
}

func (n *node) exchange(peer core.HostName) {
	s := n.sim
	request := n.member.NextMessage(s.Now)
	stamp := n.spread.InForce()
	var reply member.Message
	var replyStamp spread.Stamp
	n.call(peer, func(other *node) {
		reply = other.member.NextMessage(s.Now)
		replyStamp = other.spread.InForce()
		if !other.member.IsReplaced(request.From) {
			other.receive(request, stamp)
		}
	}, func(*node) {
		s.exchanges++
		s.countDial(n.name, peer)
		s.bytes += _headerBytes + encodedSize(s.Now, request, stamp) + encodedSize(s.Now, reply, replyStamp)
		n.receive(reply, replyStamp)
		n.spread.PeerAnswered(peer)
	}, func() {
		n.member.RecordFailure(s.Now, peer)
		n.spread.PeerFailed(peer)
	})
}

func (s *sim) countDial(from, to core.HostName) {
	pair := [2]core.HostName{from, to}
	if s.Now.Sub(s.lastExchange[pair]) > _idleTimeout {
		s.dials++
	}
	s.lastExchange[pair] = s.Now
}

func encodedSize(now time.Time, message member.Message, stamp spread.Stamp) int {
	encoded := &wire.HeartbeatRequest{
		From: wire.FromHostID(message.From), Revision: uint64(message.Revision), Digest: stamp.Digest,
	}
	for _, piece := range message.News {
		encoded.News = append(encoded.News, &wire.HostNews{
			Host: wire.FromHostID(piece.Host), Revision: uint64(piece.Revision),
			AgeMillis: uint64(now.Sub(piece.SeenAt).Milliseconds()),
		})
	}
	return proto.Size(encoded)
}

func (n *node) receive(message member.Message, stamp spread.Stamp) {
	change := n.member.Receive(n.sim.Now, message)
	for _, acknowledged := range change.Acknowledged {
		actual := n.sim.nodeNamed(acknowledged.Host.Host)
		if actual.id == acknowledged.Host && actual.highest < acknowledged.Revision {
			n.sim.t.Errorf("%s: host %s is known to have %d in force, but it has %d",
				n.name, actual.name, acknowledged.Revision, actual.highest)
		}
	}
	n.spread.ObservePeer(message.From.Host, stamp)
	n.fetch()
}

func (n *node) fetch() {
	s := n.sim
	peer, ok := n.spread.NextFetch(s.Now)
	if !ok {
		return
	}
	var bundle core.Bundle
	n.call(peer, func(other *node) { bundle = other.spread.Bundle() },
		func(*node) { n.apply(n.spread.Fetched(peer, bundle)) },
		func() {
			n.spread.FetchFailed(peer)
			n.fetch()
		})
}

// apply puts an accepted revision in force and sends heartbeats to a few peers at
// once.
func (n *node) apply(decision spread.Decision) {
	if decision.Verdict != spread.VerdictAccepted {
		return
	}
	if decision.Stamp.Revision < n.highest {
		n.sim.t.Errorf("%s went from revision %d to %d", n.name, n.highest, decision.Stamp.Revision)
	}
	n.highest = decision.Stamp.Revision
	n.inForceAt = n.sim.Now
	n.roster = len(decision.Config.Hosts)
	n.member.SetRoster(decision.Config.Hosts)
	n.member.SetSelf(decision.Stamp.Revision, false)
	for _, peer := range n.member.HeartbeatTargets(n.sim.Now) {
		n.exchange(peer)
	}
}

func (n *node) believedAlive() []core.HostName {
	alive := []core.HostName{n.name}
	for _, host := range n.member.Hosts() {
		if n.member.Standing(host) != member.StandingDead {
			alive = append(alive, host)
		}
	}
	return alive
}

// readService makes the next planned call to the service.
func (n *node) readService(runAgain func(time.Duration)) {
	s := n.sim
	plan := n.reads.Next(s.Now, n.believedAlive(), max(n.roster, 1), _budget)
	s.After(plan.At.Sub(s.Now), func() {
		s.service.calls++
		if plan.Kind == spread.ReadWatch && !s.service.down && s.served().version <= n.version {
			n.watch(plan, runAgain)
			return
		}
		n.readValue(runAgain)
	})
}

type servedValue struct {
	bundle  core.Bundle
	version uint64
}

func (s *sim) served() servedValue {
	if s.service.pinned != nil {
		return servedValue{bundle: *s.service.pinned, version: s.service.version}
	}
	return servedValue{bundle: s.service.value, version: s.service.version}
}

func (n *node) watch(plan spread.Read, runAgain func(time.Duration)) {
	done := false
	n.sim.service.watchers = append(n.sim.service.watchers, func() {
		if !done {
			done = true
			n.readValue(runAgain)
		}
	})
	n.sim.After(plan.HoldUntil.Sub(n.sim.Now), func() {
		if !done {
			done = true
			runAgain(0)
		}
	})
}

// readValue reads what the service serves now. The call fails on hosts that are cut
// off from the service.
func (n *node) readValue(runAgain func(time.Duration)) {
	s := n.sim
	if n.pausedUntil.After(s.Now) {
		s.After(n.pausedUntil.Sub(s.Now), func() { n.readValue(runAgain) })
		return
	}
	value := s.served()
	if s.service.down || n.side != 0 || value.bundle.Revision == 0 {
		n.reads.Failed()
		n.spread.ServiceAsked()
		runAgain(time.Second)
		return
	}
	n.version = value.version
	n.apply(n.spread.Offer(value.bundle))
	n.spread.ServiceAsked()
	runAgain(_latency)
}

// inForce counts the live hosts, and those with a revision in force.
func (s *sim) inForce(revision core.Revision) (at, alive int) {
	for _, n := range s.nodes {
		if !n.alive {
			continue
		}
		alive++
		if n.highest == revision {
			at++
		}
	}
	return at, alive
}

// lastInForceAt returns when the last host put its revision in force.
func (s *sim) lastInForceAt() time.Time {
	var latest time.Time
	for _, n := range s.nodes {
		if n.inForceAt.After(latest) {
			latest = n.inForceAt
		}
	}
	return latest
}

// allAcknowledged reports whether every host knows that every other one has a
// revision in force.
func (s *sim) allAcknowledged(revision core.Revision) bool {
	for _, n := range s.nodes {
		known := 0
		for _, acknowledged := range n.member.Acknowledgements() {
			if acknowledged.Revision == revision {
				known++
			}
		}
		if known != len(s.nodes)-1 {
			return false
		}
	}
	return true
}
