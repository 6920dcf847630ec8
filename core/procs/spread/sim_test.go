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
	_latency  = time.Millisecond
	_timeout  = time.Second
	_interval = time.Second
	_budget   = 20.0
	_idleTerm = 30 * time.Second // as in io/peers
	// Bytes of the HTTP headers of one exchange, both ways.
	_headerBytes = 420
)

var _epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sim runs the state machines of many hosts over a network that loses, delays
// and partitions, with a configuration service that fails.
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
	// dials counts exchanges between hosts whose connection has been idle for
	// longer than it is kept.
	dials  int
	talked map[[2]core.HostName]time.Time
}

type simService struct {
	value    core.Bundle
	pinned   *core.Bundle // what a stale service serves
	version  uint64
	down     bool
	calls    int
	watchers []func()
}

// node is one host.
type node struct {
	sim    *sim
	name   core.HostName
	member *member.Member
	spread *spread.Spread
	reads  *spread.Reads
	id     core.HostID

	version     uint64
	side        int  // hosts on other sides of a partition are not reached
	mute        bool // what it sends is lost
	alive       bool
	pausedUntil time.Time
	highest     core.Revision // of this incarnation
	inForceAt   time.Time
	life        int // a restart ends the events of the life before
	roster      int
}

func newSim(t *testing.T, count int, seed uint64, loss float64) *sim {
	s := &sim{Clock: vtime.NewClock(_epoch), t: t, random: rand.New(rand.NewPCG(seed, 7)), loss: loss}
	s.byName = make(map[core.HostName]*node)
	s.talked = make(map[[2]core.HostName]time.Time)
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

// start starts an incarnation that knows nothing but the platform's list.
func (n *node) start() {
	s := n.sim
	n.life++
	n.alive = true
	n.highest, n.version = 0, 0
	n.id = core.HostID{Host: n.name, Incarnation: core.Incarnation(s.Now.UnixNano()) + core.Incarnation(n.life)}
	random := rand.New(rand.NewPCG(s.random.Uint64(), 1))
	n.member = member.New(member.Settings{Self: n.id, Interval: _interval}, random)
	n.spread = spread.New(spread.Settings{Self: n.name, Parse: s.parse}, random)
	n.reads = spread.NewReads(n.name, random)
	n.spread.Begin(s.Now)
	var listed []core.ListedHost
	for _, other := range s.nodes {
		listed = append(listed, core.ListedHost{Host: other.name})
	}
	n.member.SetListed(listed)
	n.loop(time.Duration(random.Float64()*float64(_interval)), n.beat)
	n.loop(0, n.read)
}

// loop runs an activity of this life again and again, each time after the
// pause that it gives.
func (n *node) loop(first time.Duration, activity func(again func(time.Duration))) {
	life := n.life
	var turn func()
	turn = func() {
		switch {
		case n.life != life || !n.alive:
		case n.pausedUntil.After(n.sim.Now):
			n.sim.After(n.pausedUntil.Sub(n.sim.Now), turn)
		default:
			activity(func(pause time.Duration) { n.sim.After(pause, turn) })
		}
	}
	n.sim.After(first, turn)
}

func (n *node) beat(again func(time.Duration)) {
	for _, peer := range n.member.Beat(n.sim.Now) {
		n.exchange(peer)
	}
	again(_interval)
}

// send carries a message with its latency, or loses it.
func (s *sim) send(from, to *node, arrive func()) bool {
	lost := s.random.Float64() < s.loss
	if lost || from.mute || from.side != to.side || !to.alive || to.pausedUntil.After(s.Now) {
		return false
	}
	s.After(_latency+time.Duration(s.random.Int64N(int64(_latency))), arrive)
	return true
}

func (s *sim) find(name core.HostName) *node {
	return s.byName[name]
}

// call sends a request and hands on the answer, or the failure at the timeout.
func (n *node) call(peer core.HostName, serve func(*node), answered func(*node), failed func()) {
	s, life := n.sim, n.life
	guard := func(then func()) func() {
		return func() {
			if n.life == life && n.alive && !n.pausedUntil.After(s.Now) {
				then()
			}
		}
	}
	other := s.find(peer)
	otherLife := other.life
	fail := func() { s.After(_timeout, guard(failed)) }
	sent := s.send(n, other, func() {
		if other.life != otherLife || !other.alive {
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
	request := n.member.Message(s.Now)
	stamp := n.spread.InForce()
	var reply member.Message
	var replyStamp spread.Stamp
	n.call(peer, func(other *node) {
		reply = other.member.Message(s.Now)
		replyStamp = other.spread.InForce()
		if !other.member.Old(request.From) {
			other.heard(request, stamp)
		}
	}, func(*node) {
		s.exchanges++
		s.countDial(n.name, peer)
		s.bytes += _headerBytes + size(s.Now, request, stamp) + size(s.Now, reply, replyStamp)
		n.heard(reply, replyStamp)
		n.spread.PeerAnswered(peer)
	}, func() {
		n.member.Failed(s.Now, peer)
		n.spread.PeerFailed(peer)
	})
}

func (s *sim) countDial(from, to core.HostName) {
	pair := [2]core.HostName{from, to}
	if s.Now.Sub(s.talked[pair]) > _idleTerm {
		s.dials++
	}
	s.talked[pair] = s.Now
}

func size(now time.Time, message member.Message, stamp spread.Stamp) int {
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

func (n *node) heard(message member.Message, stamp spread.Stamp) {
	change := n.member.Heard(n.sim.Now, message)
	for _, acknowledged := range change.Acknowledged {
		truth := n.sim.find(acknowledged.Host.Host)
		if truth.id == acknowledged.Host && truth.highest < acknowledged.Revision {
			n.sim.t.Errorf("%s: %s is said to have %d in force, has %d",
				n.name, truth.name, acknowledged.Revision, truth.highest)
		}
	}
	n.spread.Heard(message.From.Host, stamp)
	n.fetch()
}

func (n *node) fetch() {
	s := n.sim
	peer, ok := n.spread.Fetch(s.Now)
	if !ok {
		return
	}
	var bundle core.Bundle
	n.call(peer, func(other *node) { bundle = other.spread.Bundle() },
		func(*node) { n.settle(n.spread.Fetched(peer, bundle)) },
		func() {
			n.spread.FetchFailed(peer)
			n.fetch()
		})
}

// settle puts an accepted revision in force and tells a few peers at once.
func (n *node) settle(decision spread.Decision) {
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
	for _, peer := range n.member.Beat(n.sim.Now) {
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

// read makes the next call of the service as planned.
func (n *node) read(again func(time.Duration)) {
	s := n.sim
	plan := n.reads.Next(s.Now, n.believedAlive(), max(n.roster, 1), _budget)
	s.After(plan.At.Sub(s.Now), func() {
		s.service.calls++
		if plan.Kind == spread.ReadWatch && !s.service.down && s.served().version <= n.version {
			n.watch(plan, again)
			return
		}
		n.answer(again)
	})
}

type served struct {
	bundle  core.Bundle
	version uint64
}

func (s *sim) served() served {
	if s.service.pinned != nil {
		return served{bundle: *s.service.pinned, version: s.service.version}
	}
	return served{bundle: s.service.value, version: s.service.version}
}

func (n *node) watch(plan spread.Read, again func(time.Duration)) {
	done := false
	n.sim.service.watchers = append(n.sim.service.watchers, func() {
		if !done {
			done = true
			n.answer(again)
		}
	})
	n.sim.After(plan.HoldUntil.Sub(n.sim.Now), func() {
		if !done {
			done = true
			again(0)
		}
	})
}

// answer takes what the service serves now. Hosts cut off from it fail.
func (n *node) answer(again func(time.Duration)) {
	s := n.sim
	if n.pausedUntil.After(s.Now) {
		s.After(n.pausedUntil.Sub(s.Now), func() { n.answer(again) })
		return
	}
	value := s.served()
	if s.service.down || n.side != 0 || value.bundle.Revision == 0 {
		n.reads.Failed()
		n.spread.ServiceAsked()
		again(time.Second)
		return
	}
	n.version = value.version
	n.settle(n.spread.Offer(value.bundle))
	n.spread.ServiceAsked()
	again(_latency)
}

// inForce counts the living hosts at a revision.
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

// latest gives the time at which the last host put its revision in force.
func (s *sim) latest() time.Time {
	var latest time.Time
	for _, n := range s.nodes {
		if n.inForceAt.After(latest) {
			latest = n.inForceAt
		}
	}
	return latest
}

// allAcknowledged tells whether every host knows that every other one has a
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
