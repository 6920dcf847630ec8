// Package spread decides how a revision of the configuration reaches an entry
// host and whether it is put in force.
//
// The highest valid revision wins and none is ever replaced by a lower one. A
// revision that is invalid is rejected whole and the last good one stays. The
// same number with another content is a conflict: the first content stays and
// operators are told.
//
// Few hosts read the platform's service (see Reads). The others learn from
// heartbeats that a peer has a higher revision, and fetch it from there.
package spread

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
	"apricotproxy/core/invar"
)

// Digest identifies the content of a revision.
func Digest(bundle core.Bundle) uint64 {
	hash := xxhash.New()
	var lengths [16]byte
	binary.LittleEndian.PutUint64(lengths[:8], uint64(bundle.Revision))
	binary.LittleEndian.PutUint64(lengths[8:], uint64(len(bundle.Base)))
	_, _ = hash.Write(lengths[:])
	_, _ = hash.WriteString(bundle.Base)
	_, _ = hash.WriteString(bundle.Overlay)
	return hash.Sum64()
}

// Stamp is a revision with the digest of its content. The zero value stands
// for no revision.
type Stamp struct {
	Revision core.Revision
	Digest   uint64
}

// StampOf gives the stamp of a bundle.
func StampOf(bundle core.Bundle) Stamp {
	return Stamp{Revision: bundle.Revision, Digest: Digest(bundle)}
}

// Verdict is what became of an offered revision.
type Verdict uint8

// Verdicts.
const (
	VerdictAccepted Verdict = iota + 1
	VerdictSame
	VerdictLower
	VerdictConflict
	VerdictRejected
	// VerdictKnownBad is a revision that was rejected before.
	VerdictKnownBad
)

// String names the verdict as the audit trail does.
func (v Verdict) String() string {
	names := [...]string{"Pending", "Accepted", "Same", "Lower", "Conflict", "Rejected", "KnownBad"}
	if int(v) >= len(names) {
		return "Pending"
	}
	return names[v]
}

// Decision is the answer to an offered revision.
type Decision struct {
	Verdict Verdict
	Stamp   Stamp
	// Config is set when the revision was accepted.
	Config core.Config
	// Err tells why the revision was rejected.
	Err error
	// News is false when the same alarm was raised before.
	News bool
}

// Parse turns a bundle into a configuration or tells what is wrong with it.
type Parse func(core.Bundle) (core.Config, error)

// Switches turn safeguards off, so that tests can show that the assertions
// behind them notice. Nothing but a test sets them.
type Switches struct {
	// TakeLower lets a lower revision replace a higher one.
	TakeLower bool
}

// Settings are the bounds of a Spread.
type Settings struct {
	Self  core.HostName
	Parse Parse
	// FetchTimeout is the longest wait for a peer's bundle.
	FetchTimeout time.Duration
	// StartTimeout is the longest time that a starting host waits for peers
	// that do not answer.
	StartTimeout time.Duration
	// StartPeers is the number of peers whose answers make a host ready.
	StartPeers int
	Switches   Switches
}

// Defaults of Settings.
const (
	DefaultFetchTimeout = 5 * time.Second
	DefaultStartTimeout = 10 * time.Second
	DefaultStartPeers   = 3
)

// Spread is the state machine. It is not safe for concurrent use.
type Spread struct {
	settings Settings
	random   *rand.Rand

	inForce  Stamp
	bundle   core.Bundle
	rejected Stamp
	conflict Stamp

	offers []offer
	fetch  fetch
	start  start
}

// offer is a peer that has a revision which this host lacks.
type offer struct {
	host  core.HostName
	stamp Stamp
}

// fetch is the one fetch in flight.
type fetch struct {
	host     core.HostName
	deadline time.Time
}

// New builds a spread that holds nothing. Zero settings take the defaults.
func New(settings Settings, random *rand.Rand) *Spread {
	if settings.FetchTimeout == 0 {
		settings.FetchTimeout = DefaultFetchTimeout
	}
	if settings.StartTimeout == 0 {
		settings.StartTimeout = DefaultStartTimeout
	}
	if settings.StartPeers == 0 {
		settings.StartPeers = DefaultStartPeers
	}
	return &Spread{settings: settings, random: random, start: newStart()}
}

// InForce gives the stamp of the configuration in force.
func (s *Spread) InForce() Stamp { return s.inForce }

// Bundle gives the bundle in force, as FetchRevision answers it.
func (s *Spread) Bundle() core.Bundle { return s.bundle }

// Offer takes in a bundle from the service or from a peer.
func (s *Spread) Offer(bundle core.Bundle) Decision {
	stamp := StampOf(bundle)
	decision := Decision{Stamp: stamp}
	switch {
	case stamp.Revision == 0:
		decision.Verdict = VerdictLower
	case stamp == s.inForce:
		decision.Verdict = VerdictSame
	case stamp.Revision == s.inForce.Revision:
		decision.Verdict = VerdictConflict
		decision.News = s.conflict != stamp
		s.conflict = stamp
	case stamp.Revision < s.inForce.Revision && !s.settings.Switches.TakeLower:
		decision.Verdict = VerdictLower
	case stamp == s.rejected:
		decision.Verdict = VerdictKnownBad
	default:
		s.examine(bundle, &decision)
	}
	return decision
}

// examine parses a revision that would replace the one in force.
func (s *Spread) examine(bundle core.Bundle, decision *Decision) {
	config, err := s.settings.Parse(bundle)
	if err != nil {
		decision.Verdict = VerdictRejected
		decision.Err = err
		decision.News = true
		s.rejected = decision.Stamp
		s.dropOffers()
		return
	}
	invar.Check(invar.RevisionNeverLower, decision.Stamp.Revision >= s.inForce.Revision,
		"host %s: revision %d would replace %d", s.settings.Self, decision.Stamp.Revision, s.inForce.Revision)
	config.Revision = decision.Stamp.Revision
	config.Digest = decision.Stamp.Digest
	s.inForce = decision.Stamp
	s.bundle = bundle
	decision.Verdict = VerdictAccepted
	decision.Config = config
	decision.News = true
	s.dropOffers()
}

// Heard takes in the stamp that a peer says it has in force. It tells whether
// the peer has another content under the number in force, for the first time.
func (s *Spread) Heard(host core.HostName, stamp Stamp) (conflict bool) {
	if stamp.Revision != 0 && stamp.Revision == s.inForce.Revision && stamp != s.inForce {
		conflict = s.conflict != stamp
		s.conflict = stamp
	}
	s.offers = slices.DeleteFunc(s.offers, func(o offer) bool { return o.host == host })
	if s.lacks(stamp) {
		s.offers = append(s.offers, offer{host: host, stamp: stamp})
	}
	return conflict
}

// lacks tells whether a stamp is worth a fetch.
func (s *Spread) lacks(stamp Stamp) bool {
	return stamp.Revision > s.inForce.Revision && stamp != s.rejected
}

// Behind tells whether a peer has offered a revision that this host lacks.
func (s *Spread) Behind() bool { return len(s.offers) > 0 }

func (s *Spread) dropOffers() {
	s.offers = slices.DeleteFunc(s.offers, func(o offer) bool { return !s.lacks(o.stamp) })
}

// Fetch gives the peer to fetch from now, if any. One fetch is in flight at a
// time; a later call after its deadline goes to another peer.
func (s *Spread) Fetch(now time.Time) (core.HostName, bool) {
	if s.fetch.host != "" {
		if now.Before(s.fetch.deadline) {
			return "", false
		}
		s.FetchFailed(s.fetch.host)
	}
	if len(s.offers) == 0 {
		return "", false
	}
	best := s.bestOffer()
	s.fetch = fetch{host: best.host, deadline: now.Add(s.settings.FetchTimeout)}
	return best.host, true
}

// bestOffer picks the highest revision, and at random among its holders, so
// that not every host fetches from the same one.
func (s *Spread) bestOffer() offer {
	var best []offer
	for _, candidate := range s.offers {
		switch {
		case len(best) == 0 || candidate.stamp.Revision > best[0].stamp.Revision:
			best = append(best[:0], candidate)
		case candidate.stamp.Revision == best[0].stamp.Revision:
			best = append(best, candidate)
		}
	}
	return best[s.random.IntN(len(best))]
}

// Fetched takes in a peer's bundle.
func (s *Spread) Fetched(host core.HostName, bundle core.Bundle) Decision {
	s.endFetch(host)
	return s.Offer(bundle)
}

// FetchFailed forgets what a peer offered; its next heartbeat offers anew. A
// starting host counts the peer as not having answered.
func (s *Spread) FetchFailed(host core.HostName) {
	s.endFetch(host)
	delete(s.start.answered, host)
	s.start.failed[host] = true
}

func (s *Spread) endFetch(host core.HostName) {
	if s.fetch.host == host {
		s.fetch = fetch{}
	}
	s.offers = slices.DeleteFunc(s.offers, func(o offer) bool { return o.host == host })
}
