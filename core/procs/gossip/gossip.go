// Package gossip decides which hosts a host keeps in touch with and what it does
// with what they say. There is no roster: hosts find each other through seeds
// and through the hosts that they hear of. Nothing rests on agreement; a host
// that is gone is forgotten and leaves no trace.
package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

const (
	// Interval is how often a host sends heartbeats.
	Interval = 250 * time.Millisecond
	// _fanout is to how many hosts a heartbeat goes.
	_fanout = 10
	// _near is how many of them are in the host's own data centre, where bytes
	// cost nothing.
	_near = 4
	// _liveFor is how long a host counts as live after it was heard.
	_liveFor = 6 * Interval
	// _knownFor is how long a silent host is still sent heartbeats.
	_knownFor = 15 * time.Second
	// _heardFor is how long a host counts among those that may live.
	_heardFor = time.Minute
	// _sample is how many other hosts a heartbeat names.
	_sample = 8
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

// Hear takes in a heartbeat. It is false for one of this host's own or of an
// earlier incarnation.
func (s *State) Hear(now time.Time, h *Heartbeat) bool {
	if h.From.Host == s.self.Host {
		return false
	}
	m := s.members[h.From.Host]
	if m == nil {
		m = &member{}
		s.members[h.From.Host] = m
	}
	if h.Incarnation < m.incarnation {
		return false
	}
	*m = member{contact: h.From, incarnation: h.Incarnation, heard: now, reads: h.Reads, stopping: h.Stopping, until: now.Add(_knownFor)}
	for _, other := range h.Others {
		if other.Host != s.self.Host && s.members[other.Host] == nil {
			s.members[other.Host] = &member{contact: other, until: now.Add(_knownFor)}
		}
	}
	return true
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

// Heard counts the hosts that may live, this one included.
func (s *State) Heard(now time.Time) int {
	n := 1
	for _, m := range s.members {
		if !m.heard.IsZero() && now.Sub(m.heard) < _heardFor {
			n++
		}
	}
	return n
}

// Targets gives the heartbeat addresses to send to: hosts near by first, the
// rest at random, and seeds while hardly anybody is known.
func (s *State) Targets(now time.Time) []string {
	var near, far []string
	for _, m := range s.members {
		switch {
		case now.After(m.until):
		case m.contact.Centre == s.self.Centre:
			near = append(near, m.contact.Heartbeat)
		default:
			far = append(far, m.contact.Heartbeat)
		}
	}
	s.shuffle(near)
	s.shuffle(far)
	if len(near)+len(far) > _fanout {
		near = near[:min(len(near), max(_near, _fanout-len(far)))]
		far = far[:min(len(far), _fanout-len(near))]
	}
	targets := append(near, far...)
	if s.Live(now) <= len(s.seeds) {
		for _, seed := range s.seeds {
			if seed != s.self.Heartbeat && !slices.Contains(targets, seed) {
				targets = append(targets, seed)
			}
		}
	}
	return targets
}

func (s *State) shuffle(addresses []string) {
	slices.Sort(addresses)
	s.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}

// Others gives a sample of the live hosts, to be named in a heartbeat.
func (s *State) Others(now time.Time) []Contact {
	var live []Contact
	for _, m := range s.members {
		if m.live(now) && !m.stopping {
			live = append(live, m.contact)
		}
	}
	slices.SortFunc(live, func(a, b Contact) int { return cmp.Compare(a.Host, b.Host) })
	s.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(len(live), _sample)]
}

// Documents gives the address at which a live host gives out documents.
func (s *State) Documents(now time.Time) []string {
	var addresses []string
	for _, m := range s.members {
		if m.live(now) {
			addresses = append(addresses, m.contact.Documents)
		}
	}
	s.shuffle(addresses)
	return addresses
}

// Reader tells whether this host is one of those that read the
// documents for all. Each host works it out from whom it hears; when views
// differ, a few more or fewer read for a while, and a host whose knowledge grows
// old reads for itself.
func (s *State) Reader(now time.Time, reads bool) bool {
	if !reads {
		return true // it has to try, to find out
	}
	before := 0
	own := rank(s.self.Host)
	for name, m := range s.members {
		if m.live(now) && m.reads && !m.stopping && rank(name) < own {
			before++
		}
	}
	return before < _readers
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
