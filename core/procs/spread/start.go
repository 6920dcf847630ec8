package spread

import (
	"time"

	"apricotproxy/core"
)

// start is the progress of a host that has just started and holds nothing.
type start struct {
	deadline time.Time
	service  bool // the service answered or failed to
	ready    bool
	answered map[core.HostName]bool
	failed   map[core.HostName]bool
}

func newStart() start {
	return start{answered: make(map[core.HostName]bool), failed: make(map[core.HostName]bool)}
}

// Begin starts the clock of a starting host.
func (s *Spread) Begin(now time.Time) { s.start.deadline = now.Add(s.settings.StartTimeout) }

// ServiceAsked takes in that the service answered or failed to.
func (s *Spread) ServiceAsked() { s.start.service = true }

// PeerAnswered takes in that a peer told what it has in force.
func (s *Spread) PeerAnswered(host core.HostName) {
	s.start.answered[host] = true
	delete(s.start.failed, host)
}

// PeerFailed takes in that a peer did not answer.
func (s *Spread) PeerFailed(host core.HostName) {
	if !s.start.answered[host] {
		s.start.failed[host] = true
	}
}

// Unasked gives the known peers that have neither answered nor failed.
func (s *Spread) Unasked(peers []core.HostName) []core.HostName {
	var unasked []core.HostName
	for _, peer := range peers {
		if !s.start.answered[peer] && !s.start.failed[peer] {
			unasked = append(unasked, peer)
		}
	}
	return unasked
}

// Ready tells whether the host holds the highest revision that it can learn:
// the service was asked, enough of the known peers have answered, and no
// higher revision is on offer. Peers that cannot be reached are waited for
// until all have failed or the start deadline has passed. Once ready, a host
// stays so.
//
// Example: with 8 peers known, 3 answers suffice. With 8 peers known of which
// 2 answer and 6 fail, the host is ready when the sixth has failed.
func (s *Spread) Ready(now time.Time, peers []core.HostName) bool {
	if s.start.ready {
		return true
	}
	if s.inForce.Revision == 0 || !s.start.service || len(s.offers) > 0 {
		return false
	}
	s.start.ready = s.peersAsked(peers) || !now.Before(s.start.deadline)
	return s.start.ready
}

func (s *Spread) peersAsked(peers []core.HostName) bool {
	answered := 0
	for _, peer := range peers {
		if s.start.answered[peer] {
			answered++
		}
	}
	return answered >= s.settings.StartPeers || len(s.Unasked(peers)) == 0
}
