// Package spread distributes revisions of the configuration: it decides from where
// an entry host gets a revision and whether the host puts it in force.
//
// The highest valid revision wins, and a revision is never replaced by a lower one.
// An invalid revision is rejected as a whole and the last valid one stays in force.
// A revision number that comes with different content is a conflict: the content
// that was seen first stays in force and operators are alerted.
//
// In a large fleet only a few hosts read the platform's configuration service.
// The others learn from heartbeats that a peer has a higher revision and fetch it
// from that peer.
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

// Digest returns a hash of a bundle's revision and content.
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

// Stamp identifies a revision and its content. The zero value stands for no
// revision.
type Stamp struct {
	Revision core.Revision
	Digest   uint64
}

// StampOf returns the stamp of a bundle.
func StampOf(bundle core.Bundle) Stamp {
	return Stamp{Revision: bundle.Revision, Digest: Digest(bundle)}
}

// Verdict is the result of offering a revision to a host.
type Verdict uint8

// Verdicts.
const (
	VerdictAccepted Verdict = iota + 1
	VerdictSame
	VerdictLower
	VerdictConflict
	VerdictRejected
	// VerdictKnownBad: the revision was rejected before.
	VerdictKnownBad
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	names := [...]string{"Pending", "Accepted", "Same", "Lower", "Conflict", "Rejected", "KnownBad"}
	if int(v) >= len(names) {
		return "Pending"
	}
	return names[v]
}

// Decision is what a host decided on an offered revision.
type Decision struct {
	Verdict Verdict
	Stamp   Stamp
	// Config is set if the revision was accepted.
	Config core.Config
	// Err is the reason if the revision was rejected.
	Err error
	// FirstSeen is true for an accepted revision, and for the first occurrence of a
	// rejection or conflict, so that operators are alerted only once.
	FirstSeen bool
}

// Parse decodes and validates a bundle.
type Parse func(core.Bundle) (core.Config, error)

// Switches disable safeguards, so that tests can show that assertions detect a
// missing safeguard. Only tests set them.
type Switches struct {
	// AcceptLower lets a lower revision replace a higher one.
	AcceptLower bool
}

// Settings are the parameters of New.
type Settings struct {
	Self  core.HostName
	Parse Parse
	// FetchTimeout is how long to wait for a peer's bundle.
	FetchTimeout time.Duration
	// StartTimeout is how long a starting host waits for peers that do not
	// answer.
	StartTimeout time.Duration
	// StartPeers is the number of peers that must answer before a host is ready.
	StartPeers int
	Switches   Switches
}

// Defaults of Settings.
const (
	DefaultFetchTimeout = 5 * time.Second
	DefaultStartTimeout = 10 * time.Second
	DefaultStartPeers   = 3
)

// Spread is the state machine of one host. It is not safe for concurrent use.
type Spread struct {
	settings Settings
	random   *rand.Rand

	inForce  Stamp
	bundle   core.Bundle
	rejected Stamp // of the last invalid bundle
	conflict Stamp // of the last content that conflicted with the bundle in force

	offers  []offer
	fetch   fetch
	startup startup
}

// offer is a peer that has a revision which this host does not have.
type offer struct {
	host  core.HostName
	stamp Stamp
}

// fetch is the one fetch in flight, or zero.
type fetch struct {
	host     core.HostName
	deadline time.Time
}

// New returns a Spread without a revision. Zero settings take their defaults.
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
	return &Spread{settings: settings, random: random, startup: newStartup()}
}

// InForce returns the stamp of the configuration in force.
func (s *Spread) InForce() Stamp { return s.inForce }

// Bundle returns the bundle in force, which peers fetch.
func (s *Spread) Bundle() core.Bundle { return s.bundle }

// Offer decides on a bundle from the service or from a peer, and puts it in force
// if it is valid and has a higher revision.
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
		decision.FirstSeen = s.conflict != stamp
		s.conflict = stamp
	case stamp.Revision < s.inForce.Revision && !s.settings.Switches.AcceptLower:
		decision.Verdict = VerdictLower
	case stamp == s.rejected:
		decision.Verdict = VerdictKnownBad
	default:
		s.apply(bundle, &decision)
	}
	return decision
}

// apply parses a bundle and puts it in force, or records that it was rejected.
func (s *Spread) apply(bundle core.Bundle, decision *Decision) {
	config, err := s.settings.Parse(bundle)
	if err != nil {
		decision.Verdict = VerdictRejected
		decision.Err = err
		decision.FirstSeen = true
		s.rejected = decision.Stamp
		s.pruneOffers()
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
	decision.FirstSeen = true
	s.pruneOffers()
}

// ObservePeer records the stamp that a peer says it has in force. It returns true the
// first time that the peer's content differs from this host's under the same
// revision.
func (s *Spread) ObservePeer(host core.HostName, stamp Stamp) (conflict bool) {
	if stamp.Revision != 0 && stamp.Revision == s.inForce.Revision && stamp != s.inForce {
		conflict = s.conflict != stamp
		s.conflict = stamp
	}
	s.offers = slices.DeleteFunc(s.offers, func(o offer) bool { return o.host == host })
	if s.needsFetch(stamp) {
		s.offers = append(s.offers, offer{host: host, stamp: stamp})
	}
	return conflict
}

// needsFetch reports whether a stamp's revision is higher than the one in force and
// not known to be invalid.
func (s *Spread) needsFetch(stamp Stamp) bool {
	return stamp.Revision > s.inForce.Revision && stamp != s.rejected
}

// Behind reports whether a peer has a revision that this host should fetch.
func (s *Spread) Behind() bool { return len(s.offers) > 0 }

// pruneOffers removes the offers that need no fetch any more.
func (s *Spread) pruneOffers() {
	s.offers = slices.DeleteFunc(s.offers, func(o offer) bool { return !s.needsFetch(o.stamp) })
}

// NextFetch returns the peer to fetch from, if a fetch is due. Only one fetch is in
// flight at a time. If it exceeds its deadline, the next call counts it as failed
// and chooses another peer.
func (s *Spread) NextFetch(now time.Time) (core.HostName, bool) {
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

// bestOffer returns an offer of the highest revision. It chooses among the peers
// with that revision at random, so that not all hosts fetch from the same one.
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

// Fetched ends a fetch and decides on the bundle that the peer returned.
func (s *Spread) Fetched(host core.HostName, bundle core.Bundle) Decision {
	s.endFetch(host)
	return s.Offer(bundle)
}

// FetchFailed ends a failed fetch and drops the peer's offer until its next
// heartbeat. A starting host counts the peer as one that did not answer.
func (s *Spread) FetchFailed(host core.HostName) {
	s.endFetch(host)
	delete(s.startup.answered, host)
	s.startup.failed[host] = true
}

func (s *Spread) endFetch(host core.HostName) {
	if s.fetch.host == host {
		s.fetch = fetch{}
	}
	s.offers = slices.DeleteFunc(s.offers, func(o offer) bool { return o.host == host })
}
