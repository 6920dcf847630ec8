// Package gossip decides which other hosts a host sends heartbeats to and what it keeps
// of theirs. There is no central list of hosts: they find each other through seeds and
// through the hosts named in heartbeats. Within a data centre each host sends to every
// other one. Between data centres each host sends the load of its own data centre as a
// whole to one host of each other data centre, so that the bytes between them grow with
// the number of hosts and not with its square. Nothing depends on agreement between
// hosts, and a host that is gone is forgotten.
package gossip

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

const (
	// Interval is how often a host sends heartbeats.
	Interval = 250 * time.Millisecond
	// _maxLocalTargets bounds the hosts of its own data centre that a host sends to at
	// once; in a larger data centre it sends to a random part of them each time.
	_maxLocalTargets = 32
	// _liveTimeout is how long a host counts as live after its last heartbeat.
	_liveTimeout = 6 * Interval
	// _contactTimeout is how long heartbeats are still sent to a silent host.
	_contactTimeout = 15 * time.Second
	// _mayLiveTimeout is how long a silent host counts among those that may be live.
	_mayLiveTimeout = time.Minute
	// _seedInterval is how often a host sends a heartbeat to a seed that it does not hear
	// from. Data centres that lost each other for longer than _contactTimeout find each
	// other again this way.
	_seedInterval = 5 * time.Second
	// _sampleSize is how many other hosts a heartbeat names, _welcomeSize how many
	// hosts of the receiver's data centre the first one to a new host names.
	_sampleSize  = 4
	_welcomeSize = 24
	// _readerCount is how many hosts read the documents on behalf of all: with two, one
	// may fail without an interruption.
	_readerCount = 2
	// _copies is how many other hosts receive a copy.
	_copies = 3
)

// Contact identifies a host and its addresses.
type Contact struct {
	Host       core.HostName
	Heartbeat  string // address for heartbeats
	Documents  string // address for documents
	DataCentre core.DataCentreName
}

// SyncStatus is the position up to which a host knows the documents.
type SyncStatus struct {
	// Epoch is the store's epoch, to which the revisions belong.
	Epoch uint64
	// AsOf is the revision up to which no document is missing, Changed the highest
	// revision that changed anything but a heartbeat.
	AsOf    uint64
	Changed uint64
	// CompleteSince is the revision since which all changes are known.
	CompleteSince uint64
	// Version is the version of the routing table in force; 0 for none.
	Version uint64
	// Kept is the number of documents that the store lost and the host keeps for a while.
	Kept int
	// Age is the time since the store was known to have nothing newer.
	Age time.Duration
}

// Heartbeat is the state that one host sends to another.
type Heartbeat struct {
	From        Contact
	Incarnation int64
	Stopping    bool
	// CanReadStore is true when the host can read the store.
	CanReadStore bool
	SyncStatus   SyncStatus
	// Leaving lists the endpoints that reported that they are leaving.
	Leaving []core.EndpointKey
	// KnownHosts names hosts that the sender knows of.
	KnownHosts []Contact
	// Reaches is true when the host reaches endpoints, so that others may relay requests to it.
	Reaches bool
}

type member struct {
	contact      Contact
	incarnation  int64
	lastHeard    time.Time
	canReadStore bool
	stopping     bool
	// contactUntil is the time until which heartbeats are sent to the host. A host that
	// is known only from others' heartbeats is forgotten then.
	contactUntil time.Time
}

// State is what a host knows of the other hosts. It is not safe for concurrent use.
type State struct {
	self    Contact
	seeds   []string
	members map[core.HostName]*member
	random  *rand.Rand
	// nextSeedAt is when a heartbeat is next sent to a silent seed.
	nextSeedAt time.Time
}

// New returns a state that knows only the heartbeat addresses of the seeds.
func New(self Contact, seeds []string, random *rand.Rand) *State {
	return &State{self: self, seeds: seeds, members: make(map[core.HostName]*member), random: random}
}

// SetSeeds replaces the seeds.
func (s *State) SetSeeds(seeds []string) { s.seeds = seeds }

// Receive processes a heartbeat. accepted is false for one from this host or from an
// earlier incarnation of its sender; first is true when this incarnation of the sender
// was not known.
func (s *State) Receive(now time.Time, h *Heartbeat) (accepted, first bool) {
	if h.From.Host == s.self.Host {
		return false, false
	}
	m := s.members[h.From.Host]
	first = m == nil || m.lastHeard.IsZero() || h.Incarnation > m.incarnation
	if m != nil && h.Incarnation < m.incarnation {
		return false, false
	}
	s.members[h.From.Host] = &member{
		contact: h.From, incarnation: h.Incarnation, lastHeard: now, canReadStore: h.CanReadStore, stopping: h.Stopping, contactUntil: now.Add(_contactTimeout),
	}
	for _, other := range h.KnownHosts {
		if other.Host != s.self.Host && s.members[other.Host] == nil {
			s.members[other.Host] = &member{contact: other, contactUntil: now.Add(_contactTimeout)}
		}
	}
	return true, first
}

// Knows reports whether a heartbeat of this incarnation of a host has been received.
func (s *State) Knows(host core.HostName, incarnation int64) bool {
	m := s.members[host]
	return m != nil && m.incarnation == incarnation && !m.lastHeard.IsZero()
}

// Forget drops hosts that have been silent for too long.
func (s *State) Forget(now time.Time) {
	for name, m := range s.members {
		if now.After(m.contactUntil) && now.Sub(m.lastHeard) > _mayLiveTimeout {
			delete(s.members, name)
		}
	}
}

func (m *member) live(now time.Time) bool { return now.Sub(m.lastHeard) < _liveTimeout }

// CountLive returns the number of live hosts, including this one.
func (s *State) CountLive(now time.Time) int {
	n := 1
	for _, m := range s.members {
		if m.live(now) {
			n++
		}
	}
	return n
}

// CountMayLive returns the number of hosts that may be live, including this one: those
// that sent a heartbeat lately and those that others named. In a large deployment it
// takes long to receive a heartbeat from every host.
func (s *State) CountMayLive(now time.Time) int {
	n := 1
	for _, m := range s.members {
		if m.mayLive(now) {
			n++
		}
	}
	return n
}

func (m *member) mayLive(now time.Time) bool {
	return now.Sub(m.lastHeard) < _mayLiveTimeout || m.lastHeard.IsZero() && !now.After(m.contactUntil)
}

// MayLive returns the names of the hosts that CountMayLive counts, in order, and the number of those
// of whose load nothing is heard: for hosts of another data centre any host there tells it.
func (s *State) MayLive(now time.Time) (names []core.HostName, unheard int) {
	names = []core.HostName{s.self.Host}
	heard := make(map[core.DataCentreName]bool)
	for _, m := range s.members {
		heard[m.contact.DataCentre] = heard[m.contact.DataCentre] || m.live(now)
	}
	for name, m := range s.members {
		if !m.mayLive(now) {
			continue
		}
		names = append(names, name)
		if !m.live(now) && (m.contact.DataCentre == s.self.DataCentre || !heard[m.contact.DataCentre]) {
			unheard++
		}
	}
	slices.Sort(names)
	return names, unheard
}

// LocalTargets returns the heartbeat addresses of hosts of the own data centre to send to.
func (s *State) LocalTargets(now time.Time) []string {
	var targets []string
	for _, m := range s.members {
		if m.contact.DataCentre == s.self.DataCentre && !now.After(m.contactUntil) {
			targets = append(targets, m.contact.Heartbeat)
		}
	}
	s.shuffle(targets)
	return targets[:min(len(targets), _maxLocalTargets)]
}

// CopyTargets returns the heartbeat addresses of the hosts that receive copies of what this host
// must not be the only one to know: always the same ones while they live, those of the own
// data centre first.
func (s *State) CopyTargets(now time.Time) []string {
	var live []Contact
	for _, m := range s.members {
		if m.live(now) && !m.stopping {
			live = append(live, m.contact)
		}
	}
	isRemote := func(c Contact) int {
		if c.DataCentre == s.self.DataCentre {
			return 0
		}
		return 1
	}
	slices.SortFunc(live, func(a, b Contact) int {
		return cmp.Or(isRemote(a)-isRemote(b), cmp.Compare(rank(s.self.Host+a.Host), rank(s.self.Host+b.Host)))
	})
	var targets []string
	for _, c := range live[:min(len(live), _copies)] {
		targets = append(targets, c.Heartbeat)
	}
	return targets
}

// HeartbeatAddress returns the heartbeat address of a host.
func (s *State) HeartbeatAddress(host core.HostName) (address string, known bool) {
	m, known := s.members[host]
	if !known {
		return "", false
	}
	return m.contact.Heartbeat, true
}

// QuestionTargets returns the heartbeat addresses of the hosts to ask for what one of them may
// know: all live ones, or in a large deployment those of the own data centre. allKnown is false
// for a host that knows no other one yet and asks the seeds.
func (s *State) QuestionTargets(now time.Time) (targets []string, allKnown bool) {
	var local, remote []string
	for _, m := range s.members {
		switch {
		case !m.live(now):
		case m.contact.DataCentre == s.self.DataCentre:
			local = append(local, m.contact.Heartbeat)
		default:
			remote = append(remote, m.contact.Heartbeat)
		}
	}
	if len(local)+len(remote) == 0 {
		seeds := slices.Clone(s.seeds)
		return slices.DeleteFunc(seeds, func(seed string) bool { return seed == s.self.Heartbeat }), false
	}
	s.shuffle(local)
	s.shuffle(remote)
	targets = slices.Concat(local, remote)
	return targets[:min(len(targets), _maxLocalTargets)], true
}

// RemoteTargets returns the heartbeat address of one host of each other data centre, now
// and then that of a silent seed, and all seeds while no more hosts are live than there are
// seeds.
func (s *State) RemoteTargets(now time.Time) []string {
	dataCentres := make(map[core.DataCentreName][]string)
	for _, m := range s.members {
		if m.contact.DataCentre != s.self.DataCentre && !now.After(m.contactUntil) {
			dataCentres[m.contact.DataCentre] = append(dataCentres[m.contact.DataCentre], m.contact.Heartbeat)
		}
	}
	var targets []string
	for _, dataCentre := range slices.Sorted(maps.Keys(dataCentres)) {
		addresses := dataCentres[dataCentre]
		s.shuffle(addresses)
		targets = append(targets, addresses[0])
	}
	seeds := s.seeds
	if s.CountLive(now) > len(s.seeds) {
		seeds = s.silentSeed(now)
	}
	for _, seed := range seeds {
		if seed != s.self.Heartbeat && !slices.Contains(targets, seed) {
			targets = append(targets, seed)
		}
	}
	return targets
}

// silentSeed returns a random one of the seeds that heartbeats are not sent to any more, or
// none if it is not yet time for the next one.
func (s *State) silentSeed(now time.Time) []string {
	if now.Before(s.nextSeedAt) {
		return nil
	}
	s.nextSeedAt = now.Add(_seedInterval)
	contacted := map[string]bool{s.self.Heartbeat: true}
	for _, m := range s.members {
		contacted[m.contact.Heartbeat] = contacted[m.contact.Heartbeat] || !now.After(m.contactUntil)
	}
	silent := slices.DeleteFunc(slices.Clone(s.seeds), func(seed string) bool { return contacted[seed] })
	s.shuffle(silent)
	return silent[:min(len(silent), 1)]
}

func (s *State) shuffle(addresses []string) {
	slices.Sort(addresses)
	s.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

// SampleHosts returns a random sample of the live hosts, to be named in a heartbeat.
func (s *State) SampleHosts(now time.Time) []Contact {
	return s.sampleLive(now, func(Contact) bool { return true }, _sampleSize)
}

// WelcomeHosts returns hosts to be named to a host that was not known: hosts of its own
// data centre and a few of the others.
func (s *State) WelcomeHosts(now time.Time, dataCentre core.DataCentreName) []Contact {
	contacts := s.sampleLive(now, func(c Contact) bool { return c.DataCentre == dataCentre }, _welcomeSize)
	return append(contacts, s.sampleLive(now, func(c Contact) bool { return c.DataCentre != dataCentre }, _sampleSize)...)
}

// sampleLive returns a random sample of the live hosts that match and are not stopping.
func (s *State) sampleLive(now time.Time, match func(Contact) bool, limit int) []Contact {
	var live []Contact
	for _, m := range s.members {
		if m.live(now) && !m.stopping && match(m.contact) {
			live = append(live, m.contact)
		}
	}
	slices.SortFunc(live, func(a, b Contact) int { return cmp.Compare(a.Host, b.Host) })
	s.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(len(live), limit)]
}

// IsReader reports whether this host is one of those that read the documents on behalf of
// all: one host in each of two data centres, or two hosts where there is only one data
// centre. Every host knows of all hosts of its own data centre and of some of each
// other one, so in a stable fleet all agree on the readers. When their views differ, a
// few more or fewer hosts read for a while, and a host whose documents become outdated
// reads the store itself. canReadStore says whether this host could read the store
// lately; hosts that could not are readers only if no host could.
func (s *State) IsReader(now time.Time, canReadStore bool) bool {
	dataCentres := make(map[core.DataCentreName]bool) // whether a host there can read the store
	dataCentres[s.self.DataCentre] = canReadStore
	for _, m := range s.members {
		if m.live(now) && !m.stopping {
			dataCentres[m.contact.DataCentre] = dataCentres[m.contact.DataCentre] || m.canReadStore
		}
	}
	noneCanRead := true
	for _, canRead := range dataCentres {
		noneCanRead = noneCanRead && !canRead
	}
	if !canReadStore && !noneCanRead {
		return false
	}
	ahead := 0
	for dataCentre, canRead := range dataCentres {
		if (canRead || noneCanRead) && rank(core.HostName(dataCentre)) < rank(core.HostName(s.self.DataCentre)) {
			ahead++
		}
	}
	readersPerCentre := _readerCount
	if len(dataCentres) > 1 {
		readersPerCentre = 1
	}
	return ahead < _readerCount && s.readersBefore(now, noneCanRead) < readersPerCentre
}

// readersBefore returns the number of hosts of the own data centre that rank before
// this one as readers.
func (s *State) readersBefore(now time.Time, noneCanRead bool) int {
	ahead, ownRank := 0, rank(s.self.Host)
	for name, m := range s.members {
		if m.contact.DataCentre == s.self.DataCentre && m.live(now) && !m.stopping && (m.canReadStore || noneCanRead) && rank(name) < ownRank {
			ahead++
		}
	}
	return ahead
}

// ShouldAsk reports whether this host is the one that asks an endpoint for its state, so
// that one live host asks on behalf of all.
func (s *State) ShouldAsk(now time.Time, endpoint string) bool {
	ownRank := rank(s.self.Host + core.HostName(endpoint))
	for name, m := range s.members {
		if m.live(now) && !m.stopping && rank(name+core.HostName(endpoint)) < ownRank {
			return false
		}
	}
	return true
}

// rank orders hosts by a hash, so that hosts that know of the same hosts pick the same
// ones without exchanging messages.
func rank(host core.HostName) uint64 { return xxhash.Sum64String(string(host)) }
