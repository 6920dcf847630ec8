// Package member keeps what one entry host knows of the others: their newest
// incarnations, the revisions that they have in force, who is stopping, and
// who holds the order ledger of a host that has stopped.
//
// Whether a host is suspected decides only whom to ask. Ownership of slots
// never depends on it.
//
// Each heartbeat goes to a few peers and carries a few pieces of news, so the
// cost of a host does not grow with the fleet. News that has been told least
// often goes first; a piece that was told often enough takes its turn in a
// slow rotation, which repairs what lost messages left out.
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
	DefaultFanout       = 3
	DefaultNewsAtMost   = 32
	DefaultNewsRotation = 3

	// A piece of news is told this many times the logarithm of the fleet.
	_tellFactor = 2
	// Failures in a row after which a host is dead rather than suspected.
	_deadFailures = 3
	// Of a larger roster a host exchanges heartbeats with this many partners, so
	// that their connections are used again. Dialling anew each time would cost
	// more than the heartbeats themselves, with TLS above all.
	_partners = 16
	// Intervals between two heartbeats to a host believed dead.
	_deadProbeIntervals = 8
)

// Settings are the bounds of a Member.
type Settings struct {
	Self core.HostID
	// Fanout is the number of heartbeats in an interval.
	Fanout int
	// NewsAtMost bounds the pieces of news in a message.
	NewsAtMost int
	// NewsRotation bounds the pieces of old news in a message.
	NewsRotation int
	Interval     time.Duration
	// LedgerTerm is how long the holder of a ledger is remembered.
	LedgerTerm time.Duration
}

// Standing is what a host is believed to be, for whom to ask only.
type Standing uint8

// Standings, best first.
const (
	StandingAlive Standing = iota + 1
	StandingUnknown
	StandingSuspected
	StandingDead
)

// String names the standing as /statusz does.
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

// position is what is known of one host.
type position struct {
	id       core.HostID
	revision core.Revision
	draining bool
	leaving  bool
	seenAt   time.Time
	failures int
	probeAt  time.Time
	told     int
	fresh    bool // in Member.fresh
}

// Member is the state machine. It is not safe for concurrent use.
type Member struct {
	settings Settings
	random   *rand.Rand
	revision core.Revision
	draining bool

	roster     map[core.HostName]bool
	listed     map[core.HostName]bool
	positions  map[core.HostName]*position
	names      []core.HostName // of positions, in name order
	rotation   []core.HostName // shuffled; whom to send heartbeats next
	partners   []core.HostName // of a large roster
	fresh      []*position     // with news that was not told often enough
	ledgers    []*ledger       // in the order of arrival
	superseded core.HostID
	nextTold   int
}

// New builds a member that knows nobody. Zero settings take the defaults.
func New(settings Settings, random *rand.Rand) *Member {
	settings.Fanout = cmp.Or(settings.Fanout, DefaultFanout)
	settings.NewsAtMost = cmp.Or(settings.NewsAtMost, DefaultNewsAtMost)
	settings.NewsRotation = cmp.Or(settings.NewsRotation, DefaultNewsRotation)
	settings.Interval = cmp.Or(settings.Interval, time.Second)
	settings.LedgerTerm = cmp.Or(settings.LedgerTerm, time.Hour)
	return &Member{
		settings:  settings,
		random:    random,
		roster:    make(map[core.HostName]bool),
		listed:    make(map[core.HostName]bool),
		positions: make(map[core.HostName]*position),
	}
}

// SetTerms changes the interval of heartbeats and how long ledgers are
// remembered, as a revision asks.
func (m *Member) SetTerms(interval, ledgerTerm time.Duration) {
	m.settings.Interval = cmp.Or(interval, m.settings.Interval)
	m.settings.LedgerTerm = cmp.Or(ledgerTerm, m.settings.LedgerTerm)
}

// SetRoster takes the positions of the configuration in force.
func (m *Member) SetRoster(hosts []core.Host) {
	m.roster = make(map[core.HostName]bool, len(hosts))
	for _, host := range hosts {
		m.roster[host.Name] = true
	}
	m.rebuild()
}

// SetListed takes the platform's list.
func (m *Member) SetListed(hosts []core.ListedHost) {
	m.listed = make(map[core.HostName]bool, len(hosts))
	for _, host := range hosts {
		m.listed[host.Host] = true
	}
	m.rebuild()
	for _, host := range hosts {
		if known, ok := m.positions[host.Host]; ok {
			known.leaving = host.Leaving
		}
	}
}

// rebuild keeps what is known of the hosts of the roster and, while there is
// no roster, of the listed ones.
func (m *Member) rebuild() {
	wanted := m.roster
	if len(wanted) == 0 {
		wanted = m.listed
	}
	positions := make(map[core.HostName]*position, len(wanted))
	names := make([]core.HostName, 0, len(wanted))
	for name := range wanted {
		if name == m.settings.Self.Host {
			continue
		}
		names = append(names, name)
		known, ok := m.positions[name]
		if !ok {
			known = &position{id: core.HostID{Host: name}}
		}
		positions[name] = known
	}
	slices.Sort(names)
	if !slices.Equal(names, m.names) {
		m.rotation = nil
		m.partners = slices.DeleteFunc(m.partners, func(name core.HostName) bool { return !wanted[name] })
	}
	m.positions, m.names = positions, names
	m.fresh = slices.DeleteFunc(m.fresh, func(p *position) bool { return positions[p.id.Host] != p })
}

// renew makes what is known of a host news again.
func (m *Member) renew(known *position) {
	known.told = 0
	if !known.fresh {
		known.fresh = true
		m.fresh = append(m.fresh, known)
	}
}

// SetSelf tells the member what this host says of itself.
func (m *Member) SetSelf(revision core.Revision, draining bool) {
	m.revision, m.draining = revision, draining
}

// Superseded gives the newer incarnation at this host's own position.
func (m *Member) Superseded() (core.HostID, bool) {
	return m.superseded, m.superseded.Incarnation != 0
}

// Beat gives the hosts that get this interval's heartbeats.
func (m *Member) Beat(now time.Time) []core.HostName { return m.pick(now, m.settings.Fanout) }

// pick takes the next few hosts of the rotation. A host believed dead is
// passed over until its probe is due.
func (m *Member) pick(now time.Time, count int) []core.HostName {
	var picked []core.HostName
	for range len(m.names) {
		if len(picked) == count {
			break
		}
		name := m.turn()
		if m.positions[name].probeAt.After(now) || slices.Contains(picked, name) {
			continue
		}
		picked = append(picked, name)
	}
	return picked
}

// turn gives the next host of the rotation and shuffles anew at its end, so
// that each host is reached once a round but in another order.
func (m *Member) turn() core.HostName {
	if len(m.rotation) == 0 {
		m.rotation = m.round()
		m.shuffle(m.rotation)
	}
	name := m.rotation[0]
	m.rotation = m.rotation[1:]
	return name
}

func (m *Member) shuffle(hosts []core.HostName) {
	m.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
}

// round gives the hosts of the next round: all of a small roster, or the
// partners. In each round one partner, and each that is believed dead, gives
// way to another host drawn at random, so that in time everybody is met.
func (m *Member) round() []core.HostName {
	if len(m.names) <= _partners {
		return slices.Clone(m.names)
	}
	m.partners = slices.DeleteFunc(m.partners, func(name core.HostName) bool {
		return m.Standing(name) == StandingDead
	})
	if len(m.partners) == _partners {
		m.partners = slices.Delete(m.partners, 0, 1)
	}
	for tries := 0; len(m.partners) < _partners && tries < 2*len(m.names); tries++ {
		drawn := m.names[m.random.IntN(len(m.names))]
		if !slices.Contains(m.partners, drawn) {
			m.partners = append(m.partners, drawn)
		}
	}
	return slices.Clone(m.partners)
}

// Failed takes in that a host did not answer.
func (m *Member) Failed(now time.Time, host core.HostName) {
	known, ok := m.positions[host]
	if !ok {
		return
	}
	known.failures++
	if known.failures >= _deadFailures {
		known.probeAt = now.Add(_deadProbeIntervals * m.settings.Interval)
	}
}

// Known gives the newest incarnation seen of a host.
func (m *Member) Known(host core.HostName) (core.HostID, bool) {
	known, ok := m.positions[host]
	if !ok || known.id.Incarnation == 0 {
		return core.HostID{Host: host}, false
	}
	return known.id, true
}

// Old tells whether an incarnation has been replaced at its position.
func (m *Member) Old(host core.HostID) bool {
	if host.Host == m.settings.Self.Host {
		return host.Incarnation < m.settings.Self.Incarnation
	}
	known, ok := m.positions[host.Host]
	return ok && host.Incarnation < known.id.Incarnation
}

// Standing tells what a host is believed to be.
func (m *Member) Standing(host core.HostName) Standing {
	known, ok := m.positions[host]
	switch {
	case !ok:
		return StandingUnknown
	case known.failures >= _deadFailures:
		return StandingDead
	case known.failures > 0:
		return StandingSuspected
	case known.id.Incarnation == 0:
		return StandingUnknown
	default:
		return StandingAlive
	}
}

// Draining tells whether a host is stopping, by its own word or the list's.
func (m *Member) Draining(host core.HostName) bool {
	known, ok := m.positions[host]
	return ok && (known.draining || known.leaving)
}

// Hosts gives all other hosts in name order. The result is not to be written.
func (m *Member) Hosts() []core.HostName { return m.names }

// Ask gives at most count hosts to ask for something, best first: alive before
// unknown before suspected, and hosts that are stopping last. Equal ones come
// in random order, so that askers spread over the fleet.
func (m *Member) Ask(count int) []core.HostName {
	hosts := slices.Clone(m.names)
	m.shuffle(hosts)
	slices.SortStableFunc(hosts, func(a, b core.HostName) int { return cmp.Compare(m.askRank(a), m.askRank(b)) })
	return hosts[:min(count, len(hosts))]
}

func (m *Member) askRank(host core.HostName) int {
	rank := int(m.Standing(host))
	if m.Draining(host) {
		rank += int(StandingDead)
	}
	return rank
}
