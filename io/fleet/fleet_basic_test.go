package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// Nine hosts start, learn a revision, and learn the next one from peers while
// the service is down for all but one of them.
func TestRevisionReachesAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 9)
		defer w.stopAll()
		w.service.publish(w.bundle(7))
		for _, name := range w.names {
			w.start(name)
		}
		time.Sleep(2 * time.Second)
		for name, h := range w.hosts {
			if !h.fleet.Ready() || h.revision() != 7 {
				t.Errorf("host %s: ready %v at revision %d, want ready at 7", name, h.fleet.Ready(), h.revision())
			}
		}
		published := time.Now()
		w.service.publish(w.bundle(8))
		time.Sleep(14 * time.Second)
		for name, h := range w.hosts {
			if h.revision() != 8 {
				t.Errorf("host %s is at revision %d, want 8", name, h.revision())
			}
			if late := h.inForce.Sub(published); late > 3*time.Second {
				t.Errorf("host %s had revision 8 in force after %v, want 3 s at most", name, late)
			}
			if len(h.acked) != 8 {
				t.Errorf("host %s knows %d acknowledgements, want 8", name, len(h.acked))
			}
		}
	})
}

// A host that starts while the service is down learns the revision and a
// snapshot from its peers, and is not ready before.
func TestStartWhileServiceIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		defer w.stopAll()
		w.service.publish(w.bundle(7))
		w.start("entry-1")
		w.start("entry-2")
		time.Sleep(2 * time.Second)
		calls := w.service.callCount()
		w.service.setDown(true)
		late := w.start("entry-3")
		if late.fleet.Ready() {
			t.Error("entry-3 is ready before it has asked anybody")
		}
		time.Sleep(3 * time.Second)
		if !late.fleet.Ready() || late.revision() != 7 {
			t.Errorf("entry-3: ready %v at revision %d, want ready at 7", late.fleet.Ready(), late.revision())
		}
		if len(late.snapshot) == 0 {
			t.Error("entry-3 restored no snapshot")
		}
		if calls == 0 {
			t.Error("nobody read the service while it was up")
		}
	})
}

// A partition keeps two halves apart; the half that cannot reach a host with
// the new revision stays at the old one and learns it when the link is back.
func TestPartitionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		defer w.stopAll()
		w.service.publish(w.bundle(7))
		isolated := newService()
		isolated.publish(w.bundle(7))
		for _, name := range w.names {
			w.start(name)
		}
		time.Sleep(2 * time.Second)
		w.cutOff("entry-4", true)
		w.hosts["entry-4"].platform.set(isolated)
		time.Sleep(20 * time.Second)
		w.service.publish(w.bundle(8))
		time.Sleep(10 * time.Second)
		if got := w.hosts["entry-4"].revision(); got != 7 {
			t.Errorf("entry-4 is at revision %d in the partition, want 7", got)
		}
		w.cutOff("entry-4", false)
		time.Sleep(14 * time.Second)
		if got := w.hosts["entry-4"].revision(); got != 8 {
			t.Errorf("entry-4 is at revision %d after the partition, want 8", got)
		}
	})
}
