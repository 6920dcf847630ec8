// Package gossip decides which hosts a host keeps in touch with and what it does
// with what they say. There is no roster: hosts find each other through seeds
// and through the hosts that they hear of. Within a data centre each host tells
// each other one; between data centres each host tells one host of each other data
// centre what its own data centre does as a whole, so that bytes between them grow
// with the hosts and not with their square. Nothing rests on agreement; a host that
// is gone is forgotten and leaves no trace.
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
	// _near bounds the hosts of its own data centre that a host tells at once;
	// in a larger one it tells a part of them each time.
	_near = 32
	// _liveFor is how long a host counts as live after it was heard.
	_liveFor = 6 * Interval
	// _knownFor is how long a silent host is still sent heartbeats.
	_knownFor = 15 * time.Second
	// _heardFor is how long a host counts among those that may live.
	_heardFor = time.Minute
	// _sample is how many other hosts a heartbeat names, _welcome how many the
	// first one to a host that was not known.
	_sample  = 4
	_welcome = 24
	// _readers is how many hosts read the documents for all: one may
	// be lost without a gap.
	_readers = 2
)

// Contact is how a host is reached.
type Contact struct {
	Host      core.HostName
	Heartbeat string // address for heartbeats
	Documents string // address for documents
	Centre    core.DataCentreName
}

// Level is how far a host knows the documents.
type Level struct {
	AsOf    uint64
	Changed uint64
	// Age is how long ago the store was known to have nothing newer.
	Age time.Duration
}

// Heartbeat is what one host tells another.
type Heartbeat struct {
	From        Contact
	Incarnation int64
	Stopping    bool
	// Reads is true when the host can read the store.
	Reads bool
	Level Level
	// Leaving are endpoints that told the sender that they are leaving.
	Leaving []string
	// Others are hosts that the sender has heard of.
	Others []Contact
}

type member struct {
	contact     Contact
	incarnation int64
	heard       time.Time
	reads       bool
	stopping    bool
	// until is when a host that is only known by name is forgotten.
	until time.Time
}

// State is what a host knows of the others. It is not safe for concurrent use.
type State struct {
	self    Contact
	seeds   []string
	members map[core.HostName]*member
	random  *rand.Rand
}

// New builds a state that knows the seeds' heartbeat addresses only.
func New(self Contact, seeds []string, random *rand.Rand) *State {
	return &State{self: self, seeds: seeds, members: make(map[core.HostName]*member), random: random}
}

// SetSeeds replaces the seeds.
func (s *State) SetSeeds(seeds []string) { s.seeds = seeds }

// Hear takes in a heartbeat. Accepted is false for one of this host's own or of an
// earlier incarnation; first is true when the sender was not known.
func (s *State) Hear(now time.Time, h *Heartbeat) (accepted, first bool) {
	if h.From.Host == s.self.Host {
		return false, false
	}
	m := s.members[h.From.Host]
	first = m == nil || m.heard.IsZero() || h.Incarnation > m.incarnation
	if m != nil && h.Incarnation < m.incarnation {
		return false, false
	}
	s.members[h.From.Host] = &member{
		contact: h.From, incarnation: h.Incarnation, heard: now, reads: h.Reads, stopping: h.Stopping, until: now.Add(_knownFor),
	}
	for _, other := range h.Others {
		if other.Host != s.self.Host && s.members[other.Host] == nil {
			s.members[other.Host] = &member{contact: other, until: now.Add(_knownFor)}
		}
	}
	return true, first
}

// Knows tells whether a host was heard in this incarnation.
func (s *State) Knows(host core.HostName, incarnation int64) bool {
	m := s.members[host]
	return m != nil && m.incarnation == incarnation && !m.heard.IsZero()
}

// Forget drops hosts that have been silent for long.
func (s *State) Forget(now time.Time) {
	for name, m := range s.members {
		if now.After(m.until) && now.Sub(m.heard) > _heardFor {
			delete(s.members, name)
		}
	}
}

func (m *member) live(now time.Time) bool { return now.Sub(m.heard) < _liveFor }

// Live counts the live hosts, this one included.
func (s *State) Live(now time.Time) int {
	n := 1
	for _, m := range s.members {
		if m.live(now) {
			n++
		}
	}
	return n
}

// MayLive counts the hosts that may live, this one included: those heard lately and
// those that others named. In a large deployment it takes long to hear each host.
func (s *State) MayLive(now time.Time) int {
	n := 1
	for _, m := range s.members {
		if now.Sub(m.heard) < _heardFor || m.heard.IsZero() && !now.After(m.until) {
			n++
		}
	}
	return n
}

// Near gives the heartbeat addresses of the hosts of the own data centre.
func (s *State) Near(now time.Time) []string {
	var near []string
	for _, m := range s.members {
		if m.contact.Centre == s.self.Centre && !now.After(m.until) {
			near = append(near, m.contact.Heartbeat)
		}
	}
	s.shuffle(near)
	return near[:min(len(near), _near)]
}

// Far gives the heartbeat address of one host of each other data centre, and the
// seeds while hardly anybody is known.
func (s *State) Far(now time.Time) []string {
	centres := make(map[core.DataCentreName][]string)
	for _, m := range s.members {
		if m.contact.Centre != s.self.Centre && !now.After(m.until) {
			centres[m.contact.Centre] = append(centres[m.contact.Centre], m.contact.Heartbeat)
		}
	}
	var far []string
	for _, centre := range slices.Sorted(maps.Keys(centres)) {
		hosts := centres[centre]
		s.shuffle(hosts)
		far = append(far, hosts[0])
	}
	if s.Live(now) <= len(s.seeds) {
		for _, seed := range s.seeds {
			if seed != s.self.Heartbeat && !slices.Contains(far, seed) {
				far = append(far, seed)
			}
		}
	}
	return far
}

func (s *State) shuffle(addresses []string) {
	slices.Sort(addresses)
	s.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

// Others gives a sample of the live hosts, to be named in a heartbeat.
func (s *State) Others(now time.Time) []Contact {
	return s.live(now, func(Contact) bool { return true }, _sample)
}

// Welcome gives hosts to be named to one that was not known: those of its own data
// centre, and one or two of each other.
func (s *State) Welcome(now time.Time, centre core.DataCentreName) []Contact {
	named := s.live(now, func(c Contact) bool { return c.Centre == centre }, _welcome)
	return append(named, s.live(now, func(c Contact) bool { return c.Centre != centre }, _sample)...)
}

func (s *State) live(now time.Time, wanted func(Contact) bool, most int) []Contact {
	var live []Contact
	for _, m := range s.members {
		if m.live(now) && !m.stopping && wanted(m.contact) {
			live = append(live, m.contact)
		}
	}
	slices.SortFunc(live, func(a, b Contact) int { return cmp.Compare(a.Host, b.Host) })
	s.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(len(live), most)]
}

// Reader tells whether this host is one of those that read the documents for all:
// one host in each of two data centres, or two where there is one. Every host hears
// of all hosts of its own data centre, and of some of each other one, so that all
// agree in calm times. When views differ, a few more or fewer read for a while, and
// a host whose knowledge grows old reads for itself. reads tells whether this host
// could read the store lately; those that could not count only if nobody could.
func (s *State) Reader(now time.Time, reads bool) bool {
	centres := make(map[core.DataCentreName]bool) // whether a host there reads
	centres[s.self.Centre] = reads
	for _, m := range s.members {
		if m.live(now) && !m.stopping {
			centres[m.contact.Centre] = centres[m.contact.Centre] || m.reads
		}
	}
	nobody := true
	for _, read := range centres {
		nobody = nobody && !read
	}
	if !reads && !nobody {
		return false
	}
	before := 0
	for centre, read := range centres {
		if (read || nobody) && rank(core.HostName(centre)) < rank(core.HostName(s.self.Centre)) {
			before++
		}
	}
	hosts := _readers
	if len(centres) > 1 {
		hosts = 1
	}
	return before < _readers && s.readersBefore(now, nobody) < hosts
}

// readersBefore counts the hosts of the own data centre that read before this one.
func (s *State) readersBefore(now time.Time, nobody bool) int {
	before, own := 0, rank(s.self.Host)
	for name, m := range s.members {
		if m.contact.Centre == s.self.Centre && m.live(now) && !m.stopping && (m.reads || nobody) && rank(name) < own {
			before++
		}
	}
	return before
}

// Asks tells whether it is for this host to ask an endpoint for its state: one
// live host does for all.
func (s *State) Asks(now time.Time, endpoint string) bool {
	own := rank(s.self.Host + core.HostName(endpoint))
	for name, m := range s.members {
		if m.live(now) && !m.stopping && rank(name+core.HostName(endpoint)) < own {
			return false
		}
	}
	return true
}

func rank(host core.HostName) uint64 { return xxhash.Sum64String(string(host)) }
