// Package member tracks what an entry host knows about the other entry hosts:
// their latest incarnations, the revisions that they have in force, which of them
// are stopping, and who holds the order ledger of a host that has stopped. Hosts
// exchange this knowledge by gossip: every heartbeat and its answer carries news.
//
// Whether a host is suspected or believed dead affects only which hosts are
// contacted first and which of them read the configuration service. The ownership
// of slots never depends on it.
//
// Each heartbeat goes to a few peers and carries a bounded number of news items,
// so the cost for a host does not grow with the fleet. Items that have been sent
// least often go first. An item that has been sent often enough is still repeated
// in a slow rotation, which makes up for lost messages.
package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"apricotproxy/core"
)

// Defaults of Settings.
const (
	DefaultFanout     = 3
	DefaultMaxNews    = 32
	DefaultMaxOldNews = 3

	// A news item is new until it has been sent this many times the binary
	// logarithm of the fleet's size.
	_sendFactor = 2
	// Consecutive failures after which a host is believed dead, not just suspected.
	_failuresUntilDead = 3
	// In a larger fleet a host sends heartbeats to this many partners, so that it
	// can reuse their connections. Dialling for each heartbeat would cost more
	// than the heartbeat itself, above all with TLS.
	_partnerCount = 16
	// Number of heartbeat intervals between two probes of a host believed dead.
	_deadProbeIntervals = 8
)

// Settings are the parameters of New.
type Settings struct {
	Self core.HostID
	// Fanout is the number of heartbeats sent in each interval.
	Fanout int
	// MaxNews is the maximum number of news items in a message.
	MaxNews int
	// MaxOldNews is the maximum number of items in a message that are repeated
	// although they have been sent often enough.
	MaxOldNews int
	Interval   time.Duration
	// LedgerTerm is how long the holder of a moved ledger is remembered.
	LedgerTerm time.Duration
}

// Standing is the believed liveness of a host.
type Standing uint8

// Standings, best first.
const (
	StandingAlive Standing = iota + 1
	StandingUnknown
	StandingSuspected
	StandingDead
)

// String returns the name of the standing, as in /statusz.
func (s Standing) String() string {
	switch s {
	case StandingAlive:
		return "Alive"
	case StandingSuspected:
		return "Suspected"
	case StandingDead:
		return "Dead"
	default:
		return "Unknown"
	}
}

// peerState is what is known about one other host.
type peerState struct {
	id        core.HostID
	revision  core.Revision
	draining  bool // stopping, according to its own messages
	leaving   bool // stopping, according to the platform's list
	seenAt    time.Time
	failures  int       // consecutive failures to answer
	probeAt   time.Time // no heartbeats go to a host believed dead before this time
	timesSent int
	isFresh   bool // whether the peer is in the list of fresh peers
}

// Membership is the state machine of one host's membership view. It is not safe for
// concurrent use.
type Membership struct {
	settings Settings
	random   *rand.Rand
	revision core.Revision
	draining bool

	roster     map[core.HostName]bool // the hosts of the configuration in force
	listed     map[core.HostName]bool // the hosts of the platform's list
	peers      map[core.HostName]*peerState
	names      []core.HostName // keys of peers, sorted
	rotation   []core.HostName // shuffled; the next heartbeats go to these
	partners   []core.HostName // used in a large fleet
	fresh      []*peerState    // peers with news that has not been sent often enough
	ledgers    []*movedLedger  // in the order of arrival
	superseded core.HostID
	nextOld    int // index in names of the last peer considered as old news
}

// New returns a Membership without other hosts. Zero settings take their defaults.
func New(settings Settings, random *rand.Rand) *Membership {
	settings.Fanout = cmp.Or(settings.Fanout, DefaultFanout)
	settings.MaxNews = cmp.Or(settings.MaxNews, DefaultMaxNews)
	settings.MaxOldNews = cmp.Or(settings.MaxOldNews, DefaultMaxOldNews)
	settings.Interval = cmp.Or(settings.Interval, time.Second)
	settings.LedgerTerm = cmp.Or(settings.LedgerTerm, time.Hour)
	return &Membership{
		settings: settings,
		random:   random,
		roster:   make(map[core.HostName]bool),
		listed:   make(map[core.HostName]bool),
		peers:    make(map[core.HostName]*peerState),
	}
}

// SetTimings changes the heartbeat interval and how long the holders of moved ledgers
// are remembered. A zero value leaves the setting unchanged.
func (m *Membership) SetTimings(interval, ledgerTerm time.Duration) {
	m.settings.Interval = cmp.Or(interval, m.settings.Interval)
	m.settings.LedgerTerm = cmp.Or(ledgerTerm, m.settings.LedgerTerm)
}

// SetRoster sets the hosts of the configuration in force.
func (m *Membership) SetRoster(hosts []core.Host) {
	m.roster = make(map[core.HostName]bool, len(hosts))
	for _, host := range hosts {
		m.roster[host.Name] = true
	}
	m.rebuild()
}

// SetListed sets the hosts of the platform's list.
func (m *Membership) SetListed(hosts []core.ListedHost) {
	m.listed = make(map[core.HostName]bool, len(hosts))
	for _, host := range hosts {
		m.listed[host.Host] = true
	}
	m.rebuild()
	for _, host := range hosts {
		if known, ok := m.peers[host.Host]; ok {
			known.leaving = host.Leaving
		}
	}
}

// rebuild drops the state of hosts that are not in the roster, and adds the missing
// ones. While the roster is empty, the platform's list is used instead.
func (m *Membership) rebuild() {
	wanted := m.roster
	if len(wanted) == 0 {
		wanted = m.listed
	}
	peers := make(map[core.HostName]*peerState, len(wanted))
	names := make([]core.HostName, 0, len(wanted))
	for name := range wanted {
		if name == m.settings.Self.Host {
			continue
		}
		names = append(names, name)
		known, ok := m.peers[name]
		if !ok {
			known = &peerState{id: core.HostID{Host: name}}
		}
		peers[name] = known
	}
	slices.Sort(names)
	if !slices.Equal(names, m.names) {
		m.rotation = nil
		m.partners = slices.DeleteFunc(m.partners, func(name core.HostName) bool { return !wanted[name] })
	}
	m.peers, m.names = peers, names
	m.fresh = slices.DeleteFunc(m.fresh, func(p *peerState) bool { return peers[p.id.Host] != p })
}

// markFresh makes a peer's state new again, after a change.
func (m *Membership) markFresh(known *peerState) {
	known.timesSent = 0
	if !known.isFresh {
		known.isFresh = true
		m.fresh = append(m.fresh, known)
	}
}

// SetSelf sets what this host's messages say about itself.
func (m *Membership) SetSelf(revision core.Revision, draining bool) {
	m.revision, m.draining = revision, draining
}

// Superseded returns the newer incarnation of this host, if one has been seen.
func (m *Membership) Superseded() (core.HostID, bool) {
	return m.superseded, m.superseded.Incarnation != 0
}

// HeartbeatTargets returns the hosts to send heartbeats to in this interval.
func (m *Membership) HeartbeatTargets(now time.Time) []core.HostName {
	return m.pickTargets(now, m.settings.Fanout)
}

// pickTargets takes the next hosts from the rotation. It skips a host believed dead
// until the next probe of it is due.
func (m *Membership) pickTargets(now time.Time, count int) []core.HostName {
	var picked []core.HostName
	for range len(m.names) {
		if len(picked) == count {
			break
		}
		name := m.nextTarget()
		if m.peers[name].probeAt.After(now) || slices.Contains(picked, name) {
			continue
		}
		picked = append(picked, name)
	}
	return picked
}

// nextTarget returns the next host of the rotation. At the end of a round it
// shuffles the next one, so that a round reaches each host once, in a random order.
func (m *Membership) nextTarget() core.HostName {
	if len(m.rotation) == 0 {
		m.rotation = m.newRound()
		m.shuffle(m.rotation)
	}
	name := m.rotation[0]
	m.rotation = m.rotation[1:]
	return name
}

func (m *Membership) shuffle(hosts []core.HostName) {
	m.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
}

// newRound returns the hosts of the next round: all hosts of a small fleet, or the
// partners in a large one. In each round the partners that are believed dead, or
// else the oldest one, are replaced by hosts drawn at random, so that over time
// every pair of hosts exchanges heartbeats.
func (m *Membership) newRound() []core.HostName {
	if len(m.names) <= _partnerCount {
		return slices.Clone(m.names)
	}
	m.partners = slices.DeleteFunc(m.partners, func(name core.HostName) bool {
		return m.Standing(name) == StandingDead
	})
	if len(m.partners) == _partnerCount {
		m.partners = slices.Delete(m.partners, 0, 1)
	}
	for tries := 0; len(m.partners) < _partnerCount && tries < 2*len(m.names); tries++ {
		drawn := m.names[m.random.IntN(len(m.names))]
		if !slices.Contains(m.partners, drawn) {
			m.partners = append(m.partners, drawn)
		}
	}
	return slices.Clone(m.partners)
}

// RecordFailure records that a host did not answer.
func (m *Membership) RecordFailure(now time.Time, host core.HostName) {
	known, ok := m.peers[host]
	if !ok {
		return
	}
	known.failures++
	if known.failures >= _failuresUntilDead {
		known.probeAt = now.Add(_deadProbeIntervals * m.settings.Interval)
	}
}

// LatestIncarnation returns the latest known incarnation of a host, and false if none is known.
func (m *Membership) LatestIncarnation(host core.HostName) (core.HostID, bool) {
	known, ok := m.peers[host]
	if !ok || known.id.Incarnation == 0 {
		return core.HostID{Host: host}, false
	}
	return known.id, true
}

// IsReplaced reports whether a newer incarnation of the host is known.
func (m *Membership) IsReplaced(host core.HostID) bool {
	if host.Host == m.settings.Self.Host {
		return host.Incarnation < m.settings.Self.Incarnation
	}
	known, ok := m.peers[host.Host]
	return ok && host.Incarnation < known.id.Incarnation
}

// Standing returns the believed liveness of a host.
func (m *Membership) Standing(host core.HostName) Standing {
	known, ok := m.peers[host]
	switch {
	case !ok:
		return StandingUnknown
	case known.failures >= _failuresUntilDead:
		return StandingDead
	case known.failures > 0:
		return StandingSuspected
	case known.id.Incarnation == 0:
		return StandingUnknown
	default:
		return StandingAlive
	}
}

// Draining reports whether a host is stopping, according to its own messages or to
// the platform's list.
func (m *Membership) Draining(host core.HostName) bool {
	known, ok := m.peers[host]
	return ok && (known.draining || known.leaving)
}

// Hosts returns all other hosts in name order. The caller must not modify the
// result.
func (m *Membership) Hosts() []core.HostName { return m.names }

// PeersToAsk returns at most count hosts to send a request to, best first: alive, unknown,
// suspected, then dead hosts, and stopping hosts after all others. Hosts of equal
// rank come in random order, which spreads the requests of all hosts over the
// fleet.
func (m *Membership) PeersToAsk(count int) []core.HostName {
	hosts := slices.Clone(m.names)
	m.shuffle(hosts)
	slices.SortStableFunc(hosts, func(a, b core.HostName) int { return cmp.Compare(m.askRank(a), m.askRank(b)) })
	return hosts[:min(count, len(hosts))]
}

func (m *Membership) askRank(host core.HostName) int {
	rank := int(m.Standing(host))
	if m.Draining(host) {
		rank += int(StandingDead)
	}
	return rank
}
