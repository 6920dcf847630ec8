package spread

import (
	"time"

	"apricotproxy/core"
)

// startup tracks which peers have reported their revision to a starting host, and
// whether the service has been called.
type startup struct {
	deadline     time.Time
	serviceAsked bool // the service has answered, or a call to it has failed
	ready        bool
	answered     map[core.HostName]bool
	failed       map[core.HostName]bool
}

func newStartup() startup {
	return startup{answered: make(map[core.HostName]bool), failed: make(map[core.HostName]bool)}
}

// Begin sets the start deadline. It is called when the host starts.
func (s *Spread) Begin(now time.Time) { s.startup.deadline = now.Add(s.settings.StartTimeout) }

// ServiceAsked records that the service answered, or that a call to it failed.
func (s *Spread) ServiceAsked() { s.startup.serviceAsked = true }

// PeerAnswered records that a peer reported the revision that it has in force.
func (s *Spread) PeerAnswered(host core.HostName) {
	s.startup.answered[host] = true
	delete(s.startup.failed, host)
}

// PeerFailed records that a peer did not answer.
func (s *Spread) PeerFailed(host core.HostName) {
	if !s.startup.answered[host] {
		s.startup.failed[host] = true
	}
}

// PendingPeers returns the peers that have neither answered nor failed.
func (s *Spread) PendingPeers(peers []core.HostName) []core.HostName {
	var pending []core.HostName
	for _, peer := range peers {
		if !s.startup.answered[peer] && !s.startup.failed[peer] {
			pending = append(pending, peer)
		}
	}
	return pending
}

// Ready reports whether the host has the highest revision that it can learn of:
// it has a revision, the service has answered or a call to it has failed, enough
// of the known peers have answered, and no peer offers a higher revision. The host
// waits for unreachable peers until all have failed or the start deadline has
// passed. Once ready, a host stays ready.
//
// For example, with 8 known peers 3 answers are enough. If 2 of the 8 answer and 6
// fail, the host is ready when the sixth has failed.
func (s *Spread) Ready(now time.Time, peers []core.HostName) bool {
	if s.startup.ready {
		return true
	}
	if s.inForce.Revision == 0 || !s.startup.serviceAsked || len(s.offers) > 0 {
		return false
	}
	s.startup.ready = s.enoughPeersAsked(peers) || !now.Before(s.startup.deadline)
	return s.startup.ready
}

// enoughPeersAsked reports whether enough peers have answered, or all have answered
// or failed.
func (s *Spread) enoughPeersAsked(peers []core.HostName) bool {
	answered := 0
	for _, peer := range peers {
		if s.startup.answered[peer] {
			answered++
		}
	}
	return answered >= s.settings.StartPeers || len(s.PendingPeers(peers)) == 0
}
