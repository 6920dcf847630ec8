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

// runCluster runs a test of a cluster in virtual time.
func runCluster(t *testing.T, count int, test func(*testing.T, *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, count)
		defer c.stopAll()
		test(t, c)
	})
}

// All nine hosts put a new revision in force within 3 s, and each learns that all others
// have it in force.
func TestRevisionReachesAllHosts(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		c.startAll()
		for name, h := range c.hosts {
			if !h.fleet.Ready() || h.revision() != 7 {
				t.Errorf("host %s: ready %v at revision %d, want ready at 7", name, h.fleet.Ready(), h.revision())
			}
		}
		calls := c.platform.Calls()
		time.Sleep(time.Minute)
		t.Logf("%d calls to the platform in a minute without changes", c.platform.Calls()-calls)
		published := time.Now()
		c.publish(8, "a")
		time.Sleep(14 * time.Second)
		latest := published
		for name, h := range c.hosts {
			if h.revision() != 8 || h.acknowledgedCount(8) != 8 {
				t.Errorf("host %s is at revision %d with %d acknowledgements of revision 8, want 8 with 8", name, h.revision(), h.acknowledgedCount(8))
			}
			inForce := readLocked(h, &h.inForce)
			if inForce.After(latest) {
				latest = inForce
			}
			if late := inForce.Sub(published); late > 3*time.Second {
				t.Errorf("host %s had revision 8 in force after %v, want 3 s at most", name, late)
			}
			if h.fleet.Ready() {
				t.Errorf("host %s is ready in a data centre that is out of service", name)
			}
		}
		t.Logf("in force on all hosts after %v", latest.Sub(published))
	})
}

// A host that starts while the configuration service is down gets the revision and a
// snapshot from its peers, and is not ready before.
func TestStartWhileServiceIsDown(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		c.start("entry-1")
		c.start("entry-2")
		time.Sleep(2 * time.Second)
		c.platform.SetDown(true)
		begun := time.Now()
		late := c.start("entry-3")
		if late.fleet.Ready() {
			t.Error("entry-3 is ready before any peer has answered")
		}
		<-late.fleet.Started()
		t.Logf("ready after %v", time.Since(begun))
		if snapshot := readLocked(late, &late.snapshot); late.revision() != 7 || len(snapshot) == 0 {
			t.Errorf("entry-3 started at revision %d with snapshot %q", late.revision(), snapshot)
		}
	})
}

// A host that starts while the configuration service serves an old revision gets the
// higher revision of its peers before it is ready.
func TestStartWhileServiceIsStale(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		c.startAll()
		c.publish(8, "")
		time.Sleep(3 * time.Second)
		c.hosts["entry-5"].stop()
		c.publish(6, "") // the service lost its newest values
		begun := time.Now()
		late := c.start("entry-5")
		<-late.fleet.Started()
		t.Logf("ready after %v", time.Since(begun))
		if late.revision() != 8 {
			t.Errorf("entry-5 is ready at revision %d, want 8", late.revision())
		}
		time.Sleep(20 * time.Second)
		c.wantRevision(8)
	})
}

// Hosts that a partition cuts off from a new revision stay at the old one. They have the
// new one in force within seconds of the partition's end.
func TestPartitionEnds(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		c.startAll()
		heal := c.partition("entry-8", "entry-9")
		time.Sleep(20 * time.Second)
		c.publish(8, "")
		time.Sleep(10 * time.Second)
		if got := c.hosts["entry-9"].revision(); got != 7 {
			t.Errorf("entry-9 is at revision %d in the partition, want 7", got)
		}
		heal()
		time.Sleep(14 * time.Second)
		c.wantRevision(8)
	})
}

// An invalid revision, and different content under the number of the revision in force,
// change nothing and are audited once.
func TestInvalidAndConflictingRevisionsAreRejected(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		c.startAll()
		c.publishBundle(8, "invalid", "")
		time.Sleep(30 * time.Second)
		c.publish(7, "other content")
		time.Sleep(30 * time.Second)
		for name, h := range c.hosts {
			rejected, conflicts := h.auditCount(core.AuditRevisionRejected), h.auditCount(core.AuditRevisionConflict)
			if h.revision() != 7 || rejected != 1 || conflicts != 1 {
				t.Errorf("host %s: revision %d, %d rejected, %d conflicts; want 7, 1, 1",
					name, h.revision(), rejected, conflicts)
			}
		}
	})
}

// A process that still runs when its host has a newer incarnation learns of that and
// stops being ready. Its messages are refused.
func TestOldIncarnationIsRefused(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		c.startAll()
		old := c.hosts["entry-3"]
		c.network.Kill("entry-3") // closes its listener, so that the new process can listen on its address
		fresh := c.start("entry-3")
		time.Sleep(5 * time.Second)
		if newer := readLocked(old, &old.supersededBy); newer != fresh.fleet.Self() || old.fleet.Ready() {
			t.Errorf("the old incarnation is superseded by %v and ready %v; want the new incarnation and not ready", newer, old.fleet.Ready())
		}
		if err := c.hosts["entry-1"].fleet.CheckSender(old.fleet.Self()); err == nil {
			t.Error("entry-1 accepts messages of the old incarnation of entry-3")
		}
		old.stop()
	})
}

// In a planned stop a host accepts requests for the notice period and then refuses them.
// It exits when no request runs and its peers know the new holder of its ledger.
func TestPlannedStop(t *testing.T) {
	runCluster(t, 5, func(t *testing.T, c *cluster) {
		c.startAll()
		h := c.hosts["entry-1"]
		h.holder = c.hosts["entry-2"].fleet.Self()
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
		for _, name := range c.names[1:] {
			if got := c.hosts[name].fleet.Holder(h.fleet.Self()); got != h.holder {
				t.Errorf("host %s believes that %v holds the ledger of entry-1, want %v", name, got, h.holder)
			}
		}
	})
}

// A host that exits without draining violates the promise GracefulStop.
func TestSkippedDrainViolatesPromise(t *testing.T) {
	violations := 0
	defer invar.SetHandler(func(*invar.Violation) { violations++ })()
	h := &testHost{running: 1}
	f := fleet.New(fleet.Settings{Parse: parse, Switches: fleet.Switches{SkipDrain: true}})
	if err := f.Drain(context.Background(), h); err != nil || violations != 1 {
		t.Errorf("%d violations with error %v, want 1", violations, err)
	}
}

// All open connections to the platform go silent at once. A revision that is published
// then is still in force in time, because watches are restarted on new connections.
func TestAllPlatformConnectionsGoSilent(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		c.startAll()
		for _, name := range c.names {
			c.network.Silence(_platform, name)
		}
		c.publish(8, "")
		time.Sleep(14 * time.Second)
		c.wantRevision(8)
	})
}

// All open connections between two hosts go silent, in both directions. Heartbeats
// continue over new connections, so that neither host is believed dead for long.
func TestPeerConnectionsGoSilent(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		c.startAll()
		c.network.Silence("entry-1", "entry-2")
		c.network.Silence("entry-2", "entry-1")
		time.Sleep(20 * time.Second)
		for _, status := range c.hosts["entry-1"].fleet.Status() {
			if status.Standing != "Alive" {
				t.Errorf("entry-1 regards %s as %s, want Alive", status.Name, status.Standing)
			}
		}
	})
}

// The configuration service is down for an hour. A revision that is published when it is
// back comes into force, and all hosts are ready.
func TestServiceDownForAnHour(t *testing.T) {
	runCluster(t, 2, func(t *testing.T, c *cluster) {
		c.startAll()
		c.platform.SetDown(true)
		time.Sleep(time.Hour)
		c.platform.SetDown(false)
		up := time.Now()
		c.publish(8, "")
		time.Sleep(14 * time.Second)
		for name, h := range c.hosts {
			if h.revision() != 8 || !h.fleet.Ready() {
				t.Errorf("host %s: ready %v at revision %d, want ready at 8", name, h.fleet.Ready(), h.revision())
			}
			if late := readLocked(h, &h.inForce).Sub(up); late > 14*time.Second {
				t.Errorf("host %s had revision 8 in force after %v", name, late)
			}
		}
	})
}

// A process that was suspended may not dispatch requests when it resumes. It may again
// within 4 s: after its peers have answered and it has the revision that they announced,
// or after its heartbeats have failed if it is partitioned from all peers.
func TestSuspendedProcessAsksPeersFirst(t *testing.T) {
	runCluster(t, 3, func(t *testing.T, c *cluster) {
		c.startAll()
		h := c.hosts["entry-3"]
		for _, partitioned := range []bool{false, true} {
			heal := func() {}
			if partitioned {
				heal = c.partition("entry-3")
			}
			if !h.fleet.MayDispatch(time.Now()) {
				t.Fatal("a process that was not suspended may not dispatch")
			}
			h.fleet.Suspend()
			if h.fleet.MayDispatch(time.Now()) {
				t.Error("a process may dispatch as soon as it resumes")
			}
			time.Sleep(4 * time.Second)
			if !h.fleet.MayDispatch(time.Now()) {
				t.Errorf("a process may not dispatch 4 s after it resumed, partitioned %v", partitioned)
			}
			heal()
		}
	})
}
