package decide_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/decide"
	"apricotproxy/core/procs/route"
	"apricotproxy/exper/chaos"
)

var _start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func site(hosts ...core.HostName) core.Config { return chaos.SiteConfig(hosts...) }

func newDecider(host core.HostName) *decide.Decider {
	return decide.New(core.HostID{Host: host, Incarnation: 1}, decide.Options{
		Policy: route.NewProduct(nil), Random: rand.New(rand.NewPCG(1, 1)),
	})
}

func newRequest(id int, now time.Time) core.Request { return chaos.NewRequest(id, now) }

func TestColdEndpointTakesNoMoreThanItsColdSlots(t *testing.T) {
	d := newDecider("h1")
	now := _start
	d.Apply(now, site("h1"))
	placed := 0
	for i := range 10 {
		placed += len(d.Submit(now, newRequest(i, now)).Placements)
	}
	if placed != 0 {
		t.Fatalf("%d placed before the first report; want 0", placed)
	}
	// Other hosts may have taken the endpoint for warm during a report's validity
	// of 4 s, and the content of two reports may lag by 1 s each.
	now = now.Add(6 * time.Second)
	actions := d.Observe(now, core.Report{Endpoint: "e", Incarnation: 1, Phase: core.PhaseCold, AskedAt: now})
	if len(actions.Placements) != 2 {
		t.Fatalf("%d placed on a cold endpoint; want its 2 cold slots", len(actions.Placements))
	}
	first := actions.Placements[0]
	if !d.Confirm(now, first) {
		t.Fatal("new placement not confirmed")
	}
	now = now.Add(time.Second)
	if got := len(d.Finish(now, first, core.ResultCompleted, 5).Placements); got != 1 {
		t.Fatalf("%d placed after one slot was freed; want 1", got)
	}
	now = now.Add(time.Minute)
	if d.Confirm(now, actions.Placements[1]) {
		t.Fatal("placement confirmed a minute after it was made")
	}
	if got := d.Tick(now); len(got.Placements) != 0 || len(got.Refusals) == 0 {
		t.Fatalf("%d placed and %d refused after a minute without reports; want 0 and at least 1", len(got.Placements), len(got.Refusals))
	}
}

// A process starts on an old revision while the other hosts are at a later one. Their
// acknowledgement of the later revision must not end the quarantine of the slots that
// the old one assigns to this host: the other hosts may use these slots.
func TestLaterRevisionDoesNotAcknowledgeEarlier(t *testing.T) {
	for _, c := range []struct {
		acknowledged core.Revision
		placed       int
	}{
		{acknowledged: 1, placed: 2},
		{acknowledged: 2, placed: 0},
	} {
		placed := 0
		for _, host := range []core.HostName{"h1", "h2"} {
			d := newDecider(host)
			now := _start
			d.Apply(now, site("h1", "h2"))
			other := core.HostName("h1")
			if host == other {
				other = "h2"
			}
			d.Acknowledged(now, core.HostID{Host: other, Incarnation: 1}, c.acknowledged)
			now = now.Add(10 * time.Second)
			d.Observe(now, core.Report{Endpoint: "e", Incarnation: 1, Phase: core.PhaseCold, AskedAt: now})
			for i := range 10 {
				placed += len(d.Submit(now, newRequest(i, now)).Placements)
			}
		}
		if placed != c.placed {
			t.Errorf("other host at revision %d: both hosts placed %d on 2 cold slots; want %d", c.acknowledged, placed, c.placed)
		}
	}
}

func TestSnapshotSkipsTheRamp(t *testing.T) {
	config := site("h1")
	warm, now := warmDecider(config)
	encoded, err := warm.Snapshot(now)
	if err != nil {
		t.Fatal(err)
	}
	countPlaced := func(restoreBefore, restoreAfter bool) int {
		d := newDecider("h1")
		if restoreBefore {
			if err := d.Restore(now, encoded); err != nil {
				t.Fatal(err)
			}
		}
		d.Apply(now, config)
		if restoreAfter {
			if err := d.Restore(now, encoded); err != nil {
				t.Fatal(err)
			}
		}
		later := now
		for range 6 {
			later = later.Add(time.Second)
			d.Observe(later, core.Report{
				Endpoint: "e", Incarnation: 1, Phase: core.PhaseWarm, AskedAt: later, FreeTokens: 100000, TotalTokens: 100000,
			})
		}
		count := 0
		for i := range 10 {
			request := newRequest(i, later)
			request.MaxTokens = 10
			count += len(d.Submit(later, request).Placements)
		}
		return count
	}
	if got := countPlaced(false, false); got != 4 {
		t.Errorf("%d placed at the second step of the ramp; want 4, twice the cold slots", got)
	}
	if before, after := countPlaced(true, false), countPlaced(false, true); before != 8 || after != 8 {
		t.Errorf("%d and %d placed with a snapshot restored before and after the revision; want the 8 warm slots", before, after)
	}
	if newDecider("h1").Restore(now, []byte("{")) == nil {
		t.Error("Restore accepts a truncated snapshot")
	}
}
