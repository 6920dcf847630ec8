package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/io/fleet"
)

// bubble runs a test of a fleet under virtual time.
func bubble(t *testing.T, count int, test func(*testing.T, *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, count)
		defer w.stopAll()
		test(t, w)
	})
}

// Nine hosts put a revision in force within seconds and all know of all that
// they have done so.
func TestRevisionReachesAllHosts(t *testing.T) {
	bubble(t, 9, func(t *testing.T, w *world) {
		w.startAll()
		for name, h := range w.hosts {
			if !h.fleet.Ready() || h.revision() != 7 {
				t.Errorf("host %s: ready %v at revision %d, want ready at 7", name, h.fleet.Ready(), h.revision())
			}
		}
		calls := w.platform.Calls()
		time.Sleep(time.Minute)
		t.Logf("%d calls of the service in a calm minute", w.platform.Calls()-calls)
		published := time.Now()
		w.publish(8, "a")
		time.Sleep(14 * time.Second)
		latest := published
		for name, h := range w.hosts {
			if h.revision() != 8 || h.ackedAt(8) != 8 {
				t.Errorf("host %s is at revision %d and knows it of %d others", name, h.revision(), h.ackedAt(8))
			}
			inForce := locked(h, &h.inForce)
			if inForce.After(latest) {
				latest = inForce
			}
			if late := inForce.Sub(published); late > 3*time.Second {
				t.Errorf("host %s had revision 8 in force after %v, want 3 s at most", name, late)
			}
			if h.fleet.Ready() {
				t.Errorf("host %s is ready in a data centre that is out", name)
			}
		}
		t.Logf("in force on all hosts after %v", latest.Sub(published))
	})
}

// A host that starts while the service is down learns the revision and a
// snapshot from its peers, and is not ready before.
func TestStartWhileServiceIsDown(t *testing.T) {
	bubble(t, 3, func(t *testing.T, w *world) {
		w.start("entry-1")
		w.start("entry-2")
		time.Sleep(2 * time.Second)
		w.platform.SetDown(true)
		begun := time.Now()
		late := w.start("entry-3")
		if late.fleet.Ready() {
			t.Error("entry-3 is ready before it has asked anybody")
		}
		<-late.fleet.Started()
		t.Logf("ready after %v", time.Since(begun))
		if snapshot := locked(late, &late.snapshot); late.revision() != 7 || len(snapshot) == 0 {
			t.Errorf("entry-3 started at revision %d with snapshot %q", late.revision(), snapshot)
		}
	})
}

// A host that starts while the service is stale takes the higher revision of
// its peers before it is ready.
func TestStartWhileServiceIsStale(t *testing.T) {
	bubble(t, 5, func(t *testing.T, w *world) {
		w.startAll()
		w.publish(8, "")
		time.Sleep(3 * time.Second)
		w.hosts["entry-5"].stop()
		w.publish(6, "") // the service lost its newest values
		begun := time.Now()
		late := w.start("entry-5")
		<-late.fleet.Started()
		t.Logf("ready after %v", time.Since(begun))
		if late.revision() != 8 {
			t.Errorf("entry-5 is ready at revision %d, want 8", late.revision())
		}
		time.Sleep(20 * time.Second)
		w.wantRevision(8)
	})
}

// The half of a partition without the new revision stays at the old one and
// takes the new one within seconds of the partition's end.
func TestPartitionEnds(t *testing.T) {
	bubble(t, 9, func(t *testing.T, w *world) {
		w.startAll()
		heal := w.partition("entry-8", "entry-9")
		time.Sleep(20 * time.Second)
		w.publish(8, "")
		time.Sleep(10 * time.Second)
		if got := w.hosts["entry-9"].revision(); got != 7 {
			t.Errorf("entry-9 is at revision %d in the partition, want 7", got)
		}
		heal()
		time.Sleep(14 * time.Second)
		w.wantRevision(8)
	})
}

// An invalid revision and a second content of one number change nothing and
// are told once.
func TestBadRevisionsAreRefused(t *testing.T) {
	bubble(t, 3, func(t *testing.T, w *world) {
		w.startAll()
		w.publishText(8, "invalid", "")
		time.Sleep(30 * time.Second)
		w.publish(7, "other content")
		time.Sleep(30 * time.Second)
		for name, h := range w.hosts {
			rejected, conflicts := h.audited(core.AuditRevisionRejected), h.audited(core.AuditRevisionConflict)
			if h.revision() != 7 || rejected != 1 || conflicts != 1 {
				t.Errorf("host %s: revision %d, %d rejected, %d conflicts; want 7, 1, 1",
					name, h.revision(), rejected, conflicts)
			}
		}
	})
}

// A process that is still there when its position has a newer incarnation
// learns so, and its messages are refused.
func TestOldIncarnationIsRefused(t *testing.T) {
	bubble(t, 3, func(t *testing.T, w *world) {
		w.startAll()
		old := w.hosts["entry-3"]
		w.network.Kill("entry-3") // its listener goes to the new process
		fresh := w.start("entry-3")
		time.Sleep(5 * time.Second)
		if newer := locked(old, &old.newer); newer != fresh.fleet.Self() || old.fleet.Ready() {
			t.Errorf("the old incarnation knows %v and is ready %v", newer, old.fleet.Ready())
		}
		if err := w.hosts["entry-1"].fleet.CheckSender(old.fleet.Self()); err == nil {
			t.Error("entry-1 takes messages of the old incarnation of entry-3")
		}
		old.stop()
	})
}

// A planned stop accepts for the notice, refuses then, waits for what runs,
// and leaves when its peers know where its ledger is.
func TestPlannedStop(t *testing.T) {
	bubble(t, 5, func(t *testing.T, w *world) {
		w.startAll()
		h := w.hosts["entry-1"]
		h.holder = w.hosts["entry-2"].fleet.Self()
		h.setRunning(2)
		begun := time.Now()
		time.AfterFunc(40*time.Second, func() { h.setRunning(0) })
		time.AfterFunc(4*time.Second, func() {
			if h.isRefusing() || h.fleet.Ready() {
				t.Errorf("after 4 s: refusing %v, ready %v; want neither", h.isRefusing(), h.fleet.Ready())
			}
		})
		if err := h.fleet.Drain(t.Context(), h); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begun); !h.isRefusing() || took < 40*time.Second {
			t.Errorf("the stop took %v with refusing %v", took, h.isRefusing())
		}
		h.stop()
		time.Sleep(10 * time.Second)
		for _, name := range w.names[1:] {
			if got := w.hosts[name].fleet.Holder(h.fleet.Self()); got != h.holder {
				t.Errorf("host %s believes that %v holds the ledger of entry-1, want %v", name, got, h.holder)
			}
		}
	})
}

// Without the drain the assertion notices.
func TestSkippedDrainIsNoticed(t *testing.T) {
	noticed := 0
	defer invar.SetHandler(func(*invar.Violation) { noticed++ })()
	h := &entry{running: 1}
	f := fleet.New(fleet.Settings{Parse: parse, Switches: fleet.Switches{SkipDrain: true}})
	if err := f.Drain(context.Background(), h); err != nil || noticed != 1 {
		t.Errorf("noticed %d with error %v, want 1", noticed, err)
	}
}

// Every open connection to the platform goes silent at once; a revision
// published then is in force in time, because watches are asked anew.
func TestAllWatchesGoSilent(t *testing.T) {
	bubble(t, 9, func(t *testing.T, w *world) {
		w.startAll()
		for _, name := range w.names {
			w.network.Silence(_platform, name)
		}
		w.publish(8, "")
		time.Sleep(14 * time.Second)
		w.wantRevision(8)
	})
}

// Every open connection between two hosts goes silent one way; heartbeats go
// on over new ones, and nobody is believed dead for long.
func TestPeerConnectionsGoSilent(t *testing.T) {
	bubble(t, 3, func(t *testing.T, w *world) {
		w.startAll()
		w.network.Silence("entry-1", "entry-2")
		w.network.Silence("entry-2", "entry-1")
		time.Sleep(20 * time.Second)
		for _, status := range w.hosts["entry-1"].fleet.Status() {
			if status.Standing != "Alive" {
				t.Errorf("entry-1 believes %s %s", status.Name, status.Standing)
			}
		}
	})
}

// The service is down for an hour and then has a new revision.
func TestServiceDownForAnHour(t *testing.T) {
	bubble(t, 2, func(t *testing.T, w *world) {
		w.startAll()
		w.platform.SetDown(true)
		time.Sleep(time.Hour)
		w.platform.SetDown(false)
		up := time.Now()
		w.publish(8, "")
		time.Sleep(14 * time.Second)
		for name, h := range w.hosts {
			if h.revision() != 8 || !h.fleet.Ready() {
				t.Errorf("host %s: ready %v at revision %d, want ready at 8", name, h.fleet.Ready(), h.revision())
			}
			if late := locked(h, &h.inForce).Sub(up); late > 14*time.Second {
				t.Errorf("host %s had revision 8 in force after %v", name, late)
			}
		}
	})
}

// A process that slept is not current until its peers have answered and it has
// the revision that they told of; one that reaches nobody becomes current after
// its heartbeats have failed.
func TestSleptProcessAsksFirst(t *testing.T) {
	bubble(t, 3, func(t *testing.T, w *world) {
		w.startAll()
		h := w.hosts["entry-3"]
		for _, cut := range []bool{false, true} {
			heal := func() {}
			if cut {
				heal = w.partition("entry-3")
			}
			if !h.fleet.Current(time.Now()) {
				t.Fatal("a process that did not sleep is not current")
			}
			h.fleet.Sleep()
			if h.fleet.Current(time.Now()) {
				t.Error("a process is current as soon as it wakes")
			}
			time.Sleep(4 * time.Second)
			if !h.fleet.Current(time.Now()) {
				t.Errorf("a process is not current 4 s after it woke, partition %v", cut)
			}
			heal()
		}
	})
}
