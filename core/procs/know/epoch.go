package know

import (
	"time"

	"apricotproxy/core"
)

// A store that is restored from a copy lacks what was written since the copy, until
// operators and endpoints write it again, and gives out the revisions of that time again.
// Its epoch tells the two histories apart.

// beginEpoch begins a later epoch of the store. What is known from earlier epochs and not
// in the store now was probably lost and is kept for a while, so that no confirmed change
// is undone before it is written again.
func (s *State) beginEpoch(now time.Time, epoch uint64) {
	s.status.Epoch, s.status.AsOf, s.status.Changed, s.status.CompleteSince = epoch, 0, 0, 0
	s.recoveryUntil = now.Add(s.outagePolicy.RecoveryPeriod)
	for _, it := range s.items {
		if it.unconfirmed(epoch) {
			it.confirmUntil = now.Add(s.outagePolicy.RewriteGrace)
		}
	}
}

// countKept sets the number of documents that are kept although the store lost them.
func (s *State) countKept() {
	s.status.Kept = 0
	for _, it := range s.items {
		if !it.confirmUntil.IsZero() {
			s.status.Kept++
		}
	}
}

// unconfirmed reports whether the item takes a data centre out of service by a document
// that the store is not known to have in the given epoch.
func (it *item) unconfirmed(epoch uint64) bool {
	return it.content.OutOfService != "" && !it.document.Deleted && it.document.Epoch < epoch
}

// isKept reports whether a document in another host's list is one that the host keeps
// although the store lost it.
func (s *State) isKept(d core.Document, epoch uint64) bool {
	if d.Epoch == epoch {
		return false
	}
	content, err := s.decode(d)
	return err == nil && content.OutOfService != ""
}

// outlivesList reports whether the item stays when a list lacks it: a routing table is in
// force until there is one with a higher version, and documents that a restore lost are
// kept for a while.
func (it *item) outlivesList() bool { return it.content.Table != nil || !it.confirmUntil.IsZero() }

// precedes reports whether an endpoint's document of a later epoch describes a state of
// the endpoint before the known one: the store had it from the copy. The endpoint's own
// count of heartbeats tells.
func precedes(d core.Document, e core.RoutedEndpoint, known *item) bool {
	return d.Epoch > known.document.Epoch && e.Born.Equal(known.endpoint.Born) && e.Sequence <= known.endpoint.Sequence &&
		known.document.Deleted && known.endpoint.DropAt.IsZero()
}
