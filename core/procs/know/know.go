// Package know holds what a host believes of the published documents: the
// routing table in force, the data centres out of service and the endpoints.
// Documents come from the store or from other hosts, in any order and more than
// once. Nothing ever goes back: for each name the highest revision counts, and a
// group is complete up to a revision that only rises.
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

// _tombstones is how many deleted documents a group remembers for hosts that
// ask what changed. A host that is further behind gets the whole group.
const _tombstones = 512

// Fact is what one document says. It is empty for a document that concerns
// nothing here.
type Fact struct {
	Table        *table.Table
	OutOfService core.DataCentreName
	Endpoint     *core.RoutedEndpoint
}

// Decode tells what a document says.
type Decode func(core.Document) (Fact, error)

// Endpoint is an endpoint with what follows from when it was heard of.
type Endpoint struct {
	core.RoutedEndpoint
	// ColdUntil is when the endpoint's own estimate of its cold phase ends.
	ColdUntil time.Time
	// Heard is when this host first heard of this incarnation.
	Heard time.Time
	// DropAt is when an endpoint whose document lapsed counts as gone; zero
	// while its document stands.
	DropAt time.Time
}

// View is everything known at one moment. It is never written after it was made.
type View struct {
	Table     *table.Table
	Out       map[core.DataCentreName]bool
	Endpoints []Endpoint
}

// Level tells how far the documents are known.
type Level struct {
	// AsOf is the revision up to which nothing is missing.
	AsOf uint64
	// Changed is the highest revision at which anything but a heartbeat changed.
	Changed uint64
	// FreshAt is when the store was last known to have nothing newer than AsOf.
	FreshAt time.Time
}

type item struct {
	document core.Document
	fact     Fact
	endpoint Endpoint
}

// State is what a host believes. It is not safe for concurrent use.
type State struct {
	decode Decode
	items  map[string]*item
	level  Level
	// horizon is the highest revision of a forgotten tombstone.
	horizon uint64
	lapse   Lapse
	// lapsing is until when a missing document may mean that the store was down
	// and not that the endpoint is gone.
	lapsing time.Time
	table   *table.Table
	view    *View
}

// Lapse says how documents of live endpoints go missing: an endpoint renews its
// document, and cannot while the store is down.
type Lapse struct {
	// Outage is the shortest outage after which documents may be missing.
	Outage time.Duration
	// Term is how long after an outage they may still go missing.
	Term time.Duration
	// Grace is how long an endpoint may take to renew one that went missing.
	Grace time.Duration
}

// New builds a state that knows nothing.
func New(decode Decode, lapse Lapse) *State {
	return &State{decode: decode, lapse: lapse, items: make(map[string]*item)}
}

// Level tells how far the documents are known.
func (s *State) Level() Level { return s.level }

// Confirm takes in that nothing is missing up to a revision, and that there was
// nothing newer at a moment.
func (s *State) Confirm(asOf uint64, freshAt time.Time) {
	level := &s.level
	if asOf < level.AsOf {
		return
	}
	level.AsOf = asOf
	if !freshAt.After(level.FreshAt) {
		return
	}
	if !level.FreshAt.IsZero() && freshAt.Sub(level.FreshAt) > s.lapse.Outage {
		s.lapsing = freshAt.Add(s.lapse.Term)
	}
	level.FreshAt = freshAt
}

// Update takes in documents that changed. It reports whether anything but
// heartbeats changed, and what could not be read.
func (s *State) Update(now time.Time, documents core.Documents, freshAt time.Time) (bool, error) {
	changed := false
	var faults []error
	s.Confirm(documents.AsOf, freshAt)
	for _, d := range documents.Documents {
		did, err := s.take(now, d)
		changed = changed || did
		if err != nil {
			faults = append(faults, fmt.Errorf("document %s: %w", d.Name, err))
		}
	}
	s.forget()
	if changed {
		s.view = nil
	}
	return changed, errors.Join(faults...)
}

// Replace takes in all documents: what is not among the documents and is not
// newer was deleted.
func (s *State) Replace(now time.Time, documents core.Documents, freshAt time.Time) (bool, error) {
	listed := make(map[string]bool, len(documents.Documents))
	for _, d := range documents.Documents {
		listed[d.Name] = true
	}
	for name, it := range s.items {
		if !listed[name] && !it.document.Deleted && it.document.Revision <= documents.AsOf {
			documents.Documents = append(documents.Documents, core.Document{Name: name, Revision: documents.AsOf, Deleted: true})
		}
	}
	return s.Update(now, documents, freshAt)
}

// Since gives what changed after a revision. Whole tells that the documents are
// all there are instead.
func (s *State) Since(after uint64) (documents core.Documents, whole bool) {
	whole = after < s.horizon || after == 0
	for _, it := range s.items {
		if (whole && !it.document.Deleted) || (!whole && it.document.Revision > after) {
			documents.Documents = append(documents.Documents, it.document)
		}
	}
	documents.AsOf = s.level.AsOf
	return documents, whole
}

// take takes in one document and reports whether it changed what is believed.
func (s *State) take(now time.Time, d core.Document) (bool, error) {
	before := s.items[d.Name]
	if before != nil && d.Revision <= before.document.Revision {
		return false, nil
	}
	if d.Deleted && before == nil {
		return false, nil
	}
	fact, err := s.decode(d)
	if err != nil {
		return false, err
	}
	if fact.Endpoint != nil || (before != nil && before.endpoint.ID != "") {
		return s.takeEndpoint(now, before, d, fact), nil
	}
	s.items[d.Name] = &item{document: d, fact: fact}
	s.level.Changed = max(s.level.Changed, d.Revision)
	if fact.Table != nil && (s.table == nil || fact.Table.Version() > s.table.Version()) {
		s.table = fact.Table
	}
	return true, nil
}

func (s *State) takeEndpoint(now time.Time, before *item, d core.Document, fact Fact) bool {
	if d.Deleted {
		s.level.Changed = max(s.level.Changed, d.Revision)
		if before.document.Deleted {
			before.document = d
			return false
		}
		gone := &item{document: d, endpoint: before.endpoint}
		if now.Before(s.lapsing) && !before.endpoint.Draining {
			gone.endpoint.DropAt = now.Add(s.lapse.Grace)
		}
		s.items[d.Name] = gone
		return true
	}
	if fact.Endpoint == nil {
		return false
	}
	e := *fact.Endpoint
	next := &item{document: d, fact: fact, endpoint: Endpoint{RoutedEndpoint: e, Heard: now}}
	if e.Cold > 0 {
		next.endpoint.ColdUntil = now.Add(e.Cold)
	}
	if before == nil {
		s.items[d.Name] = next
		s.level.Changed = max(s.level.Changed, d.Revision)
		return true
	}
	known := before.endpoint
	if e.Born.Before(known.Born) || (e.Born.Equal(known.Born) && !before.document.Deleted && e.Sequence < known.Sequence) {
		return false // a late copy of an earlier heartbeat
	}
	same := e.Born.Equal(known.Born)
	if same {
		next.endpoint.Heard = known.Heard
	}
	if same && !before.document.Deleted && sameBelief(known.RoutedEndpoint, e) {
		// A heartbeat: the document that made the difference is kept for others.
		before.endpoint.Sequence = e.Sequence
		return false
	}
	s.items[d.Name] = next
	s.level.Changed = max(s.level.Changed, d.Revision)
	return true
}

// sameBelief tells whether two documents of one incarnation differ in heartbeats
// only. The cold phase runs out by itself, so that only its start counts.
func sameBelief(known, heard core.RoutedEndpoint) bool {
	coldAgain := heard.Cold > known.Cold
	heard.Sequence, heard.Cold = known.Sequence, known.Cold
	return heard == known && !coldAgain
}

// forget drops the oldest tombstones beyond the bound.
func (s *State) forget() {
	var dead []string
	for name, it := range s.items {
		if it.document.Deleted {
			dead = append(dead, name)
		}
	}
	if len(dead) <= _tombstones {
		return
	}
	slices.SortFunc(dead, func(a, b string) int {
		return int(int64(s.items[a].document.Revision) - int64(s.items[b].document.Revision))
	})
	for _, name := range dead[:len(dead)-_tombstones/2] {
		s.horizon = max(s.horizon, s.items[name].document.Revision)
		delete(s.items, name)
	}
}

// Expire drops endpoints whose documents lapsed and did not come back. It
// reports whether there were any.
func (s *State) Expire(now time.Time) bool {
	changed := false
	for _, it := range s.items {
		if drop := it.endpoint.DropAt; !drop.IsZero() && !now.Before(drop) {
			it.endpoint.DropAt = time.Time{}
			changed = true
		}
	}
	if changed {
		s.view = nil
	}
	return changed
}

// View gives everything known. The same view is given until something changes.
func (s *State) View() *View {
	if s.view != nil {
		return s.view
	}
	v := &View{Table: s.table, Out: make(map[core.DataCentreName]bool)}
	for _, it := range s.items {
		if it.fact.OutOfService != "" && !it.document.Deleted {
			v.Out[it.fact.OutOfService] = true
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

// Compare tells which endpoints of a view are new, which began to leave and which
// are gone since an earlier one; the earlier one may be nil.
func Compare(before, after *View) (joined, leaving, gone []string) {
	known := make(map[string]bool)
	if before != nil {
		for _, e := range before.Endpoints {
			known[e.ID] = e.Draining
		}
	}
	for _, e := range after.Endpoints {
		left, ok := known[e.ID]
		switch {
		case !ok:
			joined = append(joined, e.ID)
		case e.Draining && !left:
			leaving = append(leaving, e.ID)
		}
		delete(known, e.ID)
	}
	return joined, leaving, slices.Sorted(maps.Keys(known))
}
