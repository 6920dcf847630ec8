package entry_test

import (
	"fmt"
	"testing"
	"time"

	"apricotproxy/fakes/store"
)

// renew writes an endpoint's document again, as its heartbeats do, n times.
func (s *site) renew(name, address string, n int) {
	for range n {
		s.store.Put(name, address)
	}
}

// newSiteBeforeRestore starts three hosts, the last of which cannot read the store. It
// returns a copy of the store that lacks the change to the route /b/, which all hosts
// have applied.
func newSiteBeforeRestore(t *testing.T) (*site, store.Copy) {
	t.Helper()
	s := newSite(t, 3)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
	e := s.endpoint("e1", okHandler("one"))
	s.eventually("all serve", 2*time.Second, s.allServe("/a/", "one"))
	s.Clients[2].SetDown(true)
	older := s.store.Copy()
	s.renew("e1", e.Address, 20)
	s.store.Put("config", `{"Version":2,"Prefix":"/b/"}`)
	s.eventually("version 2 is in force", 2*time.Second, s.allServe("/b/", "one"))
	return s, older
}

// The store is restored from a copy and gives out revisions again. A change that is
// confirmed afterwards comes into force on every host, whatever its revision.
func TestChangeAfterStoreRestoreIsInForce(t *testing.T) {
	s, older := newSiteBeforeRestore(t)
	s.store.Restore(older)
	s.store.Put("config", `{"Version":2,"Prefix":"/b/"}`)
	s.store.Put("config", `{"Version":3,"Prefix":"/c/"}`)
	s.eventually("version 3 is in force", _leavingSpread, s.allServe("/c/", "one"))
}

// While operators write again what a restored store lost, no host goes back to an older
// configuration.
func TestStoreRestoreUndoesNoChange(t *testing.T) {
	s, older := newSiteBeforeRestore(t)
	s.store.Restore(older)
	for end := time.Now().Add(_leavingSpread); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !s.allServe("/b/", "one")() {
			t.Fatal("version 2 is no longer in force")
		}
	}
}

// A data centre that is taken out of service after a restore receives no requests, and
// receives them again when it is back in service.
func TestDataCentreOutAfterStoreRestore(t *testing.T) {
	s, older := newSiteBeforeRestore(t)
	s.store.Put("out/b", "")
	refused := func() bool {
		for _, address := range s.front {
			if status, _ := s.get(address, "/b/"); status != 503 {
				return false
			}
		}
		return true
	}
	s.eventually("no endpoint is in service", 2*time.Second, refused)
	s.store.Restore(older)
	if !refused() {
		t.Fatal("an endpoint got a request after the restore")
	}
	s.store.Put("config", `{"Version":2,"Prefix":"/b/"}`)
	s.store.Put("out/b", "")
	time.Sleep(time.Second)
	s.store.Delete("out/b")
	s.eventually("the data centre is back in service", _leavingSpread, s.allServe("/b/", "one"))
}

// Hosts that are restarted after a restore, or could read no store at all, agree with
// the others.
func TestHostStartedAfterStoreRestore(t *testing.T) {
	s, older := newSiteBeforeRestore(t)
	s.stopAndWait(0)
	s.store.Restore(older)
	s.start(0)
	s.store.Put("config", `{"Version":2,"Prefix":"/b/"}`)
	for version := 3; version < 6; version++ {
		prefix := fmt.Sprintf("/v%d/", version)
		s.store.Put("config", fmt.Sprintf(`{"Version":%d,"Prefix":%q}`, version, prefix))
		s.eventually("version "+prefix+" is in force", _leavingSpread, s.allServe(prefix, "one"))
	}
}

// A host that starts before operators have written the newest version again learns it
// from the other hosts.
func TestHostStartedBeforeRewriteHasNewestVersion(t *testing.T) {
	s, older := newSiteBeforeRestore(t)
	s.stopAndWait(0)
	s.store.Restore(older)
	s.start(0)
	s.eventually("version 2 is in force", _leavingSpread, s.allServe("/b/", "one"))
}

// So it does of a data centre that was taken out of service after the copy.
func TestHostStartedBeforeRewriteKeepsDataCentreOut(t *testing.T) {
	s, older := newSiteBeforeRestore(t)
	s.store.Put("out/b", "")
	refused := func() bool {
		status, _ := s.get(s.front[0], "/b/")
		return status == 503
	}
	s.eventually("the data centre is out of service", 2*time.Second, refused)
	s.stopAndWait(0)
	s.store.Restore(older)
	s.start(0)
	s.eventually("the host is ready", _leavingSpread, func() bool {
		status, _ := s.get(s.ready[0], "/ready")
		return status == 200
	})
	time.Sleep(_leavingSpread)
	if !refused() {
		t.Error("the host that started sends requests to the data centre")
	}
}

// A write that is carried out late leaves an older version in the store. A host that
// starts afterwards has the newest one.
func TestHostStartedAfterLateWriteHasNewestVersion(t *testing.T) {
	s, _ := newSiteBeforeRestore(t)
	s.stopAndWait(0)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
	s.start(0)
	s.eventually("version 2 is in force", _leavingSpread, s.allServe("/b/", "one"))
}
