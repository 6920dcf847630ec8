// Package know holds what a host knows of the published documents: the routing table in
// force, the data centres out of service and the endpoints. Documents come from the
// store or from other hosts, in any order and possibly more than once. Nothing moves
// backwards: for each name the document with the highest epoch and revision counts, and
// the position up to which the documents are complete only rises.
package know

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/versn/table"
)

// _maxTombstones is how many deleted documents are kept for hosts that request the
// changes since a revision. A host that is further behind gets all documents.
const _maxTombstones = 512

// Content is the decoded content of one document. It is empty for a document
// that entry hosts do not use.
type Content struct {
	Table        *table.Table
	OutOfService core.DataCentreName
	Endpoint     *core.RoutedEndpoint
}

// Decode returns the decoded content of a document.
type Decode func(core.Document) (Content, error)

// Endpoint is a registered endpoint, with the times that this host computed by its own
// clock when it received the endpoint's documents.
type Endpoint struct {
	core.RoutedEndpoint
	// ColdUntil is when the cold phase ends by the endpoint's own estimate.
	ColdUntil time.Time
	// FirstSeen is when this host first learned of this incarnation.
	FirstSeen time.Time
	// DropAt is when an endpoint whose document expired is dropped; zero while its
	// document exists.
	DropAt time.Time
}

// View is a snapshot of everything known. It is immutable.
type View struct {
	Table        *table.Table
	OutOfService map[core.DataCentreName]bool
	Endpoints    []Endpoint
}

// Version returns the version of the routing table in force; 0 for none. The view may be
// nil.
func (v *View) Version() uint64 {
	if v == nil || v.Table == nil {
		return 0
	}
	return v.Table.Version()
}

// SyncStatus is the position up to which the documents are known.
type SyncStatus struct {
	// Epoch is the store's epoch, to which the revisions belong.
	Epoch uint64
	// AsOf is the revision up to which no document is missing.
	AsOf uint64
	// Changed is the highest revision that changed anything but a heartbeat.
	Changed uint64
	// CompleteSince is the revision since which all changes are known. Deletions before it
	// are not known.
	CompleteSince uint64
	// Version is the version of the routing table in force; 0 for none.
	Version uint64
	// Kept is the number of documents that a restore of the store lost and that count
	// until operators write them again.
	Kept int
	// FreshAt is when the store was last known to have nothing newer than AsOf.
	FreshAt time.Time
}

// Age returns how long ago the store was known to have nothing newer; 0 while no
// document is known.
func (s SyncStatus) Age(now time.Time) time.Duration {
	if s.FreshAt.IsZero() {
		return 0
	}
	return now.Sub(s.FreshAt)
}

type item struct {
	document core.Document
	content  Content
	endpoint Endpoint
	// confirmUntil is the time by which the store must have a document again that a
	// restore lost; zero if it has it.
	confirmUntil time.Time
}

// State is a host's copy of the documents. It is not safe for concurrent use.
type State struct {
	decode       Decode
	items        map[string]*item
	status       SyncStatus
	outagePolicy OutagePolicy
	// recoveryUntil is the time until which a deleted document may mean that the store was
	// down and not that the endpoint is gone.
	recoveryUntil time.Time
	table         *table.Table
	view          *View
}

// OutagePolicy describes how documents of running endpoints can expire: an endpoint has to
// renew its document, and cannot while the store is down.
type OutagePolicy struct {
	// MinOutage is the shortest outage of the store after which documents may have
	// expired.
	MinOutage time.Duration
	// RecoveryPeriod is how long after an outage a document may be missing because of it.
	RecoveryPeriod time.Duration
	// RenewalGrace is how long an endpoint may take to renew an expired document, or one
	// that a restore of the store lost.
	RenewalGrace time.Duration
	// RewriteGrace is how long operators may take to write again what a restore lost.
	RewriteGrace time.Duration
}

// New returns a state without documents.
func New(decode Decode, outagePolicy OutagePolicy) *State {
	return &State{decode: decode, outagePolicy: outagePolicy, items: make(map[string]*item)}
}

// SetOutagePolicy replaces the policy for later outages. A recovery that is under way keeps its end.
func (s *State) SetOutagePolicy(policy OutagePolicy) { s.outagePolicy = policy }

// SyncStatus returns the position up to which the documents are known.
func (s *State) SyncStatus() SyncStatus { return s.status }

// CompareStatus compares the status of another host with that of this one. It reports
// whether the other host has changes that this one lacks. If it has none, knows all changes
// since this host's position and is at least as recent, it confirms that this host's
// documents are up to date. The status of a host in an earlier epoch is ignored.
func (s *State) CompareStatus(theirs SyncStatus) (behind bool) {
	mine := s.status
	switch {
	case theirs.AsOf == 0 || theirs.Epoch < mine.Epoch:
		return false
	case mine.AsOf == 0 || theirs.Epoch > mine.Epoch || theirs.Changed > mine.AsOf:
		return true
	case theirs.Version > mine.Version || theirs.Kept > mine.Kept:
		return true
	}
	if theirs.CompleteSince <= mine.AsOf {
		s.confirm(theirs.AsOf, theirs.FreshAt)
	}
	return false
}

// confirm records that no document is missing up to the revision asOf of the present
// epoch, and that the store had nothing newer at freshAt.
func (s *State) confirm(asOf uint64, freshAt time.Time) {
	status := &s.status
	if asOf < status.AsOf {
		return
	}
	status.AsOf = asOf
	if !freshAt.After(status.FreshAt) {
		return
	}
	if !status.FreshAt.IsZero() && freshAt.Sub(status.FreshAt) > s.outagePolicy.MinOutage {
		s.recoveryUntil = freshAt.Add(s.outagePolicy.RecoveryPeriod)
	}
	status.FreshAt = freshAt
}

// Update applies documents that changed. It reports whether anything but heartbeats
// changed, and returns the errors of documents that could not be decoded. Documents of
// another epoch than the known one are ignored, unless no document is known.
func (s *State) Update(now time.Time, documents core.Documents, freshAt time.Time) (bool, error) {
	if s.status.AsOf == 0 {
		s.status.Epoch = documents.Epoch
	}
	if documents.Epoch != s.status.Epoch {
		return false, nil
	}
	changed := false
	var errs []error
	known := s.status.AsOf
	s.confirm(documents.AsOf, freshAt)
	for _, d := range documents.Documents {
		if documents.AsOf < known && s.isKnown(d) {
			continue
		}
		applied, err := s.apply(now, d)
		changed = changed || applied
		if err != nil {
			errs = append(errs, fmt.Errorf("document %s: %w", d.Name, err))
		}
	}
	s.compact()
	s.countKept()
	if changed {
		s.view = nil
	}
	return changed, errors.Join(errs...)
}

// isKnown reports whether a document of a late answer is known, or was deleted since. A
// routing table may still have a higher version than the one in force.
func (s *State) isKnown(d core.Document) bool {
	content, err := s.decode(d)
	return err == nil && content.Table == nil && d.Epoch == s.status.Epoch && d.Revision <= s.status.AsOf
}

// Replace applies a complete list of documents: a known document that is not listed and
// is not newer than the list was deleted. A list of an earlier epoch is ignored; one of a
// later epoch begins that epoch.
func (s *State) Replace(now time.Time, documents core.Documents, freshAt time.Time) (bool, error) {
	if documents.Epoch < s.status.Epoch {
		return false, nil
	}
	listed := make(map[string]bool, len(documents.Documents))
	for _, d := range documents.Documents {
		listed[d.Name] = !s.isKept(d, documents.Epoch)
	}
	if documents.Epoch > s.status.Epoch && s.status.AsOf > 0 {
		s.beginEpoch(now, documents.Epoch)
	}
	// A list does not tell which documents were written and deleted before it.
	s.status.CompleteSince = max(s.status.CompleteSince, documents.AsOf)
	last := core.Document{Epoch: documents.Epoch, Revision: documents.AsOf, Deleted: true}
	for name, it := range s.items {
		if !listed[name] && !it.document.Deleted && !it.document.NewerThan(last) && !it.outlivesList() {
			deleted := last
			deleted.Name = name
			documents.Documents = append(documents.Documents, deleted)
		}
	}
	return s.Update(now, documents, freshAt)
}

// Since returns the documents that a host with the given status lacks: those that changed
// since, the routing table if it has a higher version, and what a restore of the store
// lost. If the deletions since then are not known, or the host knows nothing, whole is true
// and all documents are returned instead.
func (s *State) Since(theirs SyncStatus) (documents core.Documents, whole bool) {
	whole = theirs.Epoch != s.status.Epoch || theirs.AsOf < s.status.CompleteSince || theirs.AsOf == 0
	for _, it := range s.items {
		changed := it.document.Epoch == s.status.Epoch && it.document.Revision > theirs.AsOf ||
			it.content.Table != nil && it.content.Table.Version() > theirs.Version || !it.confirmUntil.IsZero()
		if (whole && !it.document.Deleted) || (!whole && changed) {
			documents.Documents = append(documents.Documents, it.document)
		}
	}
	documents.Epoch, documents.AsOf = s.status.Epoch, s.status.AsOf
	return documents, whole
}

// apply applies one document and reports whether it changed anything but a heartbeat.
func (s *State) apply(now time.Time, d core.Document) (bool, error) {
	before := s.items[d.Name]
	newer := before == nil || d.NewerThan(before.document)
	if !newer && before.content.Table == nil {
		return false, nil
	}
	if d.Deleted && before == nil {
		// Another host may know the document, and must learn of its deletion.
		s.items[d.Name] = &item{document: d}
		s.noteChange(d)
		return false, nil
	}
	content, err := s.decode(d)
	if err != nil {
		return false, err
	}
	if content.Endpoint != nil || (before != nil && before.endpoint.ID != "") {
		return s.applyEndpoint(now, before, d, content), nil
	}
	if content.Table != nil && !s.replacesTable(content.Table, newer) {
		return false, nil // the document in force is kept, to be sent to other hosts
	}
	next := &item{document: d, content: content}
	if next.unconfirmed(s.status.Epoch) {
		next.confirmUntil = now.Add(s.outagePolicy.RewriteGrace)
	}
	s.items[d.Name] = next
	s.noteChange(d)
	if content.Table != nil {
		s.table = content.Table
		s.status.Version = s.table.Version()
	}
	return true, nil
}

// replacesTable reports whether a table replaces the one in force. Versions only rise, so
// the version decides: after a restore, or after a write that was carried out late, the
// store may hold an older table in a newer document.
func (s *State) replacesTable(next *table.Table, newer bool) bool {
	return s.table == nil || next.Version() > s.table.Version() || (newer && next.Version() == s.table.Version())
}

// noteChange records that a document changed anything but a heartbeat.
func (s *State) noteChange(d core.Document) {
	if d.Epoch == s.status.Epoch {
		s.status.Changed = max(s.status.Changed, d.Revision)
	}
}

func (s *State) applyEndpoint(now time.Time, before *item, d core.Document, content Content) bool {
	if d.Deleted {
		s.noteChange(d)
		if before.document.Deleted {
			before.document = d
			return false
		}
		gone := &item{document: d, endpoint: before.endpoint}
		if now.Before(s.recoveryUntil) && !before.endpoint.Draining {
			// Nobody renews a document later than the others.
			gone.endpoint.DropAt = earlier(now.Add(s.outagePolicy.RenewalGrace), s.recoveryUntil)
		}
		s.items[d.Name] = gone
		return true
	}
	if content.Endpoint == nil {
		return false
	}
	e := *content.Endpoint
	next := &item{document: d, content: content, endpoint: Endpoint{RoutedEndpoint: e, FirstSeen: now}}
	if e.Cold > 0 {
		next.endpoint.ColdUntil = now.Add(e.Cold)
	}
	if before == nil {
		s.items[d.Name] = next
		s.noteChange(d)
		return true
	}
	known := before.endpoint
	if precedes(d, e, before) {
		return false // a copy from before the store was restored
	}
	if e.Born.Before(known.Born) || (e.Born.Equal(known.Born) && !before.document.Deleted && e.Sequence < known.Sequence) {
		return false // a late copy of an earlier heartbeat
	}
	sameIncarnation := e.Born.Equal(known.Born)
	if sameIncarnation {
		next.endpoint.FirstSeen = known.FirstSeen
	}
	if sameIncarnation && !before.document.Deleted && !coldAgain(now, known, e.Cold) && onlyHeartbeatDiffers(known.RoutedEndpoint, e) {
		// A heartbeat: the document that made the last change is kept, to be sent to
		// other hosts.
		before.endpoint.Sequence = e.Sequence
		return false
	}
	s.items[d.Name] = next
	s.noteChange(d)
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// _coldJitter is by how much later the end of one cold phase may seem in a heartbeat that is read
// later than another after it was written: about a pause between readings of the store.
const _coldJitter = 300 * time.Millisecond

// coldAgain reports whether an endpoint that is cold for some more time began another cold phase since
// the one that is known.
func coldAgain(now time.Time, known Endpoint, cold time.Duration) bool {
	return cold > 0 && now.Add(cold).After(known.ColdUntil.Add(_coldJitter))
}

// onlyHeartbeatDiffers reports whether two documents of one incarnation differ only in
// their heartbeats. The cold phase ends by itself.
func onlyHeartbeatDiffers(known, received core.RoutedEndpoint) bool {
	received.Sequence, received.Cold = known.Sequence, known.Cold
	return received == known
}

// compact drops the oldest tombstones once there are more than _maxTombstones, so that
// half of that number remain.
func (s *State) compact() {
	var tombstones []string
	for name, it := range s.items {
		if it.document.Deleted {
			tombstones = append(tombstones, name)
		}
	}
	if len(tombstones) <= _maxTombstones {
		return
	}
	slices.SortFunc(tombstones, func(a, b string) int { return s.items[a].document.Compare(s.items[b].document) })
	for _, name := range tombstones[:len(tombstones)-_maxTombstones/2] {
		// Hosts that know the present epoch know of no document that was deleted before.
		if d := s.items[name].document; d.Epoch == s.status.Epoch {
			s.status.CompleteSince = max(s.status.CompleteSince, d.Revision)
		}
		delete(s.items, name)
	}
}

// Expire drops endpoints whose documents expired and were not renewed in time, and
// documents that a restore of the store lost and that were not written again in time. It
// reports whether there were any.
func (s *State) Expire(now time.Time) bool {
	changed := false
	for _, it := range s.items {
		if drop := it.endpoint.DropAt; !drop.IsZero() && !now.Before(drop) {
			it.endpoint.DropAt = time.Time{}
			changed = true
		}
		if until := it.confirmUntil; !until.IsZero() && !now.Before(until) {
			it.confirmUntil = time.Time{}
			it.document.Deleted = true
			changed = true
		}
	}
	if changed {
		s.countKept()
		s.view = nil
	}
	return changed
}

// View returns a snapshot of everything known. The snapshot is kept until something
// changes.
func (s *State) View() *View {
	if s.view != nil {
		return s.view
	}
	v := &View{Table: s.table, OutOfService: make(map[core.DataCentreName]bool)}
	for _, it := range s.items {
		if it.content.OutOfService != "" && !it.document.Deleted {
			v.OutOfService[it.content.OutOfService] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.items)) {
		it := s.items[name]
		if it.endpoint.ID == "" {
			continue
		}
		if !it.document.Deleted || !it.endpoint.DropAt.IsZero() {
			v.Endpoints = append(v.Endpoints, it.endpoint)
		}
	}
	s.view = v
	return v
}

// Compare returns the IDs of the endpoints of a view that are new, that began to leave
// and that are gone since an earlier view, which may be nil.
func Compare(before, after *View) (joined, leaving, gone []string) {
	known := make(map[string]bool)
	if before != nil {
		for _, e := range before.Endpoints {
			known[e.ID] = e.Draining
		}
	}
	for _, e := range after.Endpoints {
		wasLeaving, ok := known[e.ID]
		switch {
		case !ok:
			joined = append(joined, e.ID)
		case e.Draining && !wasLeaving:
			leaving = append(leaving, e.ID)
		}
		delete(known, e.ID)
	}
	return joined, leaving, slices.Sorted(maps.Keys(known))
}
