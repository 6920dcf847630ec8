package know_test

import (
	"errors"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/versn/table"
)

var _start = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

// at returns the time that many seconds after the start.
func at(seconds float64) time.Time {
	return _start.Add(time.Duration(seconds * float64(time.Second)))
}

// contents decodes test documents: the decoded content is registered under the name and
// value of its document.
type contents map[string]know.Content

func (f contents) decode(d core.Document) (know.Content, error) {
	if string(d.Value) == "unreadable" {
		return know.Content{}, errors.New("unreadable")
	}
	return f[d.Name+string(d.Value)], nil
}

// newState returns an empty state that decodes documents by f, or those of a script if f
// is nil.
func newState(f contents) *know.State {
	decode := decodeScript
	if f != nil {
		decode = f.decode
	}
	return know.New(decode, outagePolicy(2*time.Second))
}

func outagePolicy(minOutage time.Duration) know.OutagePolicy {
	return know.OutagePolicy{MinOutage: minOutage, RecoveryPeriod: 5 * time.Second, RenewalGrace: 2 * time.Second, RewriteGrace: 10 * time.Second}
}

func endpoint(id string, sequence uint64) know.Content {
	return know.Content{Endpoint: &core.RoutedEndpoint{ID: id, Service: "drafting", Address: "10.0.0.1:80", Sequence: sequence}}
}

func update(t *testing.T, s *know.State, seconds float64, asOf uint64, documents ...core.Document) bool {
	t.Helper()
	changed, err := s.Update(at(seconds), core.Documents{Documents: documents, AsOf: asOf}, at(seconds))
	if err != nil {
		t.Fatalf("at %v s: %v", seconds, err)
	}
	return changed
}

func ids(s *know.State) string {
	out := ""
	for _, e := range s.View().Endpoints {
		out += e.ID
		if e.Draining {
			out += "(leaving)"
		}
		out += " "
	}
	return out
}

// While a host cannot read the store itself but other hosts pass on its documents, no
// documents expire: a document that is deleted then means that the endpoint is gone.
// When this counted as an outage, a leaving endpoint stayed in use for 2.1 s.
func TestDeletionWhileTheStoreServesOthersRemovesEndpoint(t *testing.T) {
	s := newState(contents{"a1": endpoint("a", 1)})
	update(t, s, 0, 1, core.Document{Name: "a", Revision: 1, Value: []byte("1")})
	for second := 1.0; second < 10; second++ {
		if s.CompareStatus(know.SyncStatus{AsOf: uint64(second), Changed: 1, FreshAt: at(second)}) {
			t.Fatal("behind another host that has the same documents")
		}
	}
	update(t, s, 10, 20, core.Document{Name: "a", Revision: 20, Deleted: true})
	if got := ids(s); got != "" {
		t.Errorf("endpoints %q, want none: the store was up all the time", got)
	}
}

// After an outage documents of running endpoints expire and are renewed.
func TestEndpointExpiredByAnOutageIsKeptForAWhile(t *testing.T) {
	s := newState(contents{"a1": endpoint("a", 1)})
	update(t, s, 0, 1, core.Document{Name: "a", Revision: 1, Value: []byte("1")})
	update(t, s, 5, 2)
	update(t, s, 5.1, 3, core.Document{Name: "a", Revision: 3, Deleted: true})
	if got := ids(s); got != "a " {
		t.Errorf("endpoints %q right after the outage, want a", got)
	}
	if s.Expire(at(7)); ids(s) != "a " {
		t.Errorf("endpoints %q within the grace period, want a", ids(s))
	}
	if s.Expire(at(7.2)); ids(s) != "" {
		t.Errorf("endpoints %q after the grace period, want none", ids(s))
	}
}

// An endpoint that announced that it leaves is not kept.
func TestLeavingEndpointIsNotKept(t *testing.T) {
	leaving := endpoint("a", 2)
	leaving.Endpoint.Draining = true
	s := newState(contents{"a1": endpoint("a", 1), "a2": leaving})
	update(t, s, 0, 1, core.Document{Name: "a", Revision: 1, Value: []byte("1")})
	update(t, s, 5, 2, core.Document{Name: "a", Revision: 2, Value: []byte("2")})
	if got := ids(s); got != "a(leaving) " {
		t.Errorf("endpoints %q, want a, leaving", got)
	}
	update(t, s, 5.1, 3, core.Document{Name: "a", Revision: 3, Deleted: true})
	if got := ids(s); got != "" {
		t.Errorf("endpoints %q, want none", got)
	}
}

func TestHeartbeatsAreNoChange(t *testing.T) {
	s := newState(contents{"a1": endpoint("a", 1), "a2": endpoint("a", 2)})
	if !update(t, s, 0, 1, core.Document{Name: "a", Revision: 1, Value: []byte("1")}) {
		t.Error("Update reports no change for a new endpoint, want one")
	}
	if update(t, s, 1, 2, core.Document{Name: "a", Revision: 2, Value: []byte("2")}) {
		t.Error("Update reports a change for a heartbeat, want none")
	}
	if status := s.SyncStatus(); status.Changed != 1 || status.AsOf != 2 {
		t.Errorf("sync status %+v, want Changed 1 and AsOf 2", status)
	}
}

// A late copy of an earlier heartbeat does not bring a leaving endpoint back.
func TestLateCopyOfAHeartbeatIsIgnored(t *testing.T) {
	leaving := endpoint("a", 5)
	leaving.Endpoint.Draining = true
	s := newState(contents{"a5": leaving, "a4": endpoint("a", 4)})
	update(t, s, 0, 1, core.Document{Name: "a", Revision: 1, Value: []byte("5")})
	update(t, s, 1, 2, core.Document{Name: "a", Revision: 2, Value: []byte("4")})
	if got := ids(s); got != "a(leaving) " {
		t.Errorf("endpoints %q, want a, leaving", got)
	}
}

func TestVersionsNeverGoBack(t *testing.T) {
	build := func(version uint64) know.Content {
		built, err := table.Build(table.Source{Version: version})
		if err != nil {
			t.Fatal(err)
		}
		return know.Content{Table: built}
	}
	s := newState(contents{"c7": build(7), "c8": build(8)})
	update(t, s, 0, 20, core.Document{Name: "c", Revision: 20, Value: []byte("8")})
	update(t, s, 1, 10, core.Document{Name: "c", Revision: 10, Value: []byte("7")})
	update(t, s, 2, 30, core.Document{Name: "c", Revision: 30, Value: []byte("7")})
	if got := s.View().Table.Version(); got != 8 {
		t.Errorf("version %d, want 8", got)
	}
	if got := s.SyncStatus().AsOf; got != 30 {
		t.Errorf("AsOf is %d, want 30", got)
	}
}

// A document that cannot be decoded does not affect the others.
func TestUnreadableDocumentDoesNotAffectOthers(t *testing.T) {
	s := newState(contents{"a1": endpoint("a", 1), "b1": endpoint("b", 1)})
	changed, err := s.Update(at(0), core.Documents{AsOf: 3, Documents: []core.Document{
		{Name: "a", Revision: 1, Value: []byte("1")},
		{Name: "x", Revision: 2, Value: []byte("unreadable")},
		{Name: "b", Revision: 3, Value: []byte("1")},
	}}, at(0))
	if !changed || err == nil {
		t.Errorf("changed %v, error %v; want both", changed, err)
	}
	if got := ids(s); got != "a b " {
		t.Errorf("endpoints %q, want a and b", got)
	}
}

// A host that asks another one for the documents that it lacks ends up with the same
// view.
func TestSinceBringsAnotherHostUpToDate(t *testing.T) {
	f := contents{"a1": endpoint("a", 1), "b1": endpoint("b", 1), "o1": {OutOfService: "waco"}}
	s, other := newState(f), newState(f)
	update(t, s, 0, 1, core.Document{Name: "a", Revision: 1, Value: []byte("1")})
	documents, whole := s.Since(know.SyncStatus{})
	if !whole {
		t.Error("a host without documents gets only changes, want all documents")
	}
	if _, err := other.Replace(at(0), documents, at(0)); err != nil {
		t.Fatal(err)
	}
	update(t, s, 1, 4, core.Document{Name: "b", Revision: 2, Value: []byte("1")},
		core.Document{Name: "a", Revision: 3, Deleted: true}, core.Document{Name: "o", Revision: 4, Value: []byte("1")})
	documents, whole = s.Since(other.SyncStatus())
	if whole || len(documents.Documents) != 3 {
		t.Errorf("%d documents, whole %v; want the 3 that changed", len(documents.Documents), whole)
	}
	if _, err := other.Update(at(1), documents, at(1)); err != nil {
		t.Fatal(err)
	}
	if got := ids(other); got != "b " || !other.View().OutOfService["waco"] {
		t.Errorf("endpoints %q, out of service %v; want b, and waco out of service", got, other.View().OutOfService)
	}
}

// A host that has just listed the documents does not know which were deleted before, so it
// does not confirm that a host knows of them all that lacks a deletion.
func TestListConfirmsNoDeletion(t *testing.T) {
	f := contents{"o1": {OutOfService: "waco"}, "a1": endpoint("a", 1)}
	s, started := newState(f), newState(f)
	update(t, s, 0, 5, core.Document{Name: "a", Revision: 4, Value: []byte("1")}, core.Document{Name: "o", Revision: 5, Value: []byte("1")})
	list := core.Documents{AsOf: 6, Documents: []core.Document{{Name: "a", Revision: 4, Value: []byte("1")}}}
	if _, err := started.Replace(at(1), list, at(1)); err != nil {
		t.Fatal(err)
	}
	if s.CompareStatus(started.SyncStatus()) {
		t.Error("behind a host that knows of no other change")
	}
	if got := s.SyncStatus().AsOf; got != 5 {
		t.Errorf("AsOf is %d, want 5: the deletion in revision 6 is not known", got)
	}
	if _, whole := started.Since(s.SyncStatus()); !whole {
		t.Error("the host that has just started gives changes without deletions, want all documents")
	}
}

// A document that a listing lacks was deleted, unless it is newer than the listing.
func TestListingDeletesUnlistedDocuments(t *testing.T) {
	s := newState(contents{"a1": endpoint("a", 1), "b1": endpoint("b", 1)})
	update(t, s, 0, 2, core.Document{Name: "a", Revision: 1, Value: []byte("1")}, core.Document{Name: "b", Revision: 9, Value: []byte("1")})
	if _, err := s.Replace(at(1), core.Documents{AsOf: 5}, at(1)); err != nil {
		t.Fatal(err)
	}
	if got := ids(s); got != "b " {
		t.Errorf("endpoints %q, want b", got)
	}
}

// A listing that arrives after later documents does not bring back a document that was
// deleted meanwhile.
func TestLateListBringsNothingBack(t *testing.T) {
	f := contents{"o1": {OutOfService: "waco"}, "a1": endpoint("a", 1)}
	s := newState(f)
	later := core.Documents{AsOf: 6, Documents: []core.Document{{Name: "a", Revision: 4, Value: []byte("1")}}}
	earlier := core.Documents{AsOf: 5, Documents: []core.Document{{Name: "a", Revision: 4, Value: []byte("1")}, {Name: "o", Revision: 5, Value: []byte("1")}}}
	for _, list := range []core.Documents{later, earlier} {
		if _, err := s.Replace(at(1), list, at(1)); err != nil {
			t.Fatal(err)
		}
	}
	if s.View().OutOfService["waco"] {
		t.Error("the data centre is out of service, though its document was deleted before revision 6")
	}
}

// A host that learns of a deletion without having known the document tells other hosts,
// which may know it.
func TestDeletionOfAnUnknownDocumentIsRelayed(t *testing.T) {
	f := contents{"o1": {OutOfService: "waco"}, "a1": endpoint("a", 1)}
	s, other := newState(f), newState(f)
	update(t, s, 0, 5, core.Document{Name: "a", Revision: 4, Value: []byte("1")})
	update(t, other, 0, 6, core.Document{Name: "a", Revision: 4, Value: []byte("1")}, core.Document{Name: "o", Revision: 6, Value: []byte("1")})
	update(t, s, 1, 7, core.Document{Name: "o", Revision: 7, Deleted: true})
	if !other.CompareStatus(s.SyncStatus()) {
		t.Fatalf("not behind a host that knows of a deletion; status %+v", s.SyncStatus())
	}
	documents, _ := s.Since(other.SyncStatus())
	if _, err := other.Update(at(1), documents, at(1)); err != nil {
		t.Fatal(err)
	}
	if other.View().OutOfService["waco"] {
		t.Error("the data centre is out of service, though its document was deleted")
	}
}
