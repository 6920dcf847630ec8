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

func site(hosts ...core.HostName) core.Config { return chaos.Site(hosts...) }

func newDecider(host core.HostName) *decide.Decider {
	return decide.New(core.HostID{Host: host, Incarnation: 1}, decide.Options{
		Policy: route.NewProduct(nil), Random: rand.New(rand.NewPCG(1, 1)),
	})
}

func ask(id int, now time.Time) core.Request { return chaos.Request(id, now) }

func TestColdEndpointTakesNoMoreThanItsColdSlots(t *testing.T) {
	d := newDecider("h1")
	now := _start
	d.Apply(now, site("h1"))
	placed := 0
	for i := range 10 {
		placed += len(d.Submit(now, ask(i, now)).Placements)
	}
	if placed != 0 {
		t.Fatalf("%d placed before a report", placed)
	}
	// Other hosts may have seen the endpoint warm for a report's validity of
	// 4 s, and two reports' content may lag by 1 s each.
	now = now.Add(6 * time.Second)
	actions := d.Observe(now, core.Report{Endpoint: "e", Incarnation: 1, Phase: core.PhaseCold, AskedAt: now})
	if len(actions.Placements) != 2 {
		t.Fatalf("%d placed on a cold endpoint of 2 cold slots", len(actions.Placements))
	}
	first := actions.Placements[0]
	if !d.Confirm(now, first) {
		t.Fatal("a fresh placement is not confirmed")
	}
	now = now.Add(time.Second)
	if got := len(d.Finish(now, first, core.ResultCompleted, 5).Placements); got != 1 {
		t.Fatalf("%d placed on one freed slot", got)
	}
	now = now.Add(time.Minute)
	if d.Confirm(now, actions.Placements[1]) {
		t.Fatal("a placement is confirmed after a pause of a minute")
	}
	if got := d.Tick(now); len(got.Placements) != 0 || len(got.Refusals) == 0 {
		t.Fatalf("after the pause %d placed and %d refused", len(got.Placements), len(got.Refusals))
	}
}

// A process that starts on an old revision hears other hosts name a later one.
// They gave up nothing that the old one assigns to it.
func TestLaterRevisionAcknowledgesNothing(t *testing.T) {
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
				placed += len(d.Submit(now, ask(i, now)).Placements)
			}
		}
		if placed != c.placed {
			t.Errorf("others at revision %d: %d placed on 2 cold slots by both hosts, want %d", c.acknowledged, placed, c.placed)
		}
	}
}

func TestSnapshotSparesTheRamp(t *testing.T) {
	config := site("h1")
	warm, now := warmDecider(config)
	encoded, err := warm.Snapshot(now)
	if err != nil {
		t.Fatal(err)
	}
	placed := func(before, after bool) int {
		d := newDecider("h1")
		if before {
			if err := d.Restore(now, encoded); err != nil {
				t.Fatal(err)
			}
		}
		d.Apply(now, config)
		if after {
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
			request := ask(i, later)
			request.MaxTokens = 10
			count += len(d.Submit(later, request).Placements)
		}
		return count
	}
	if got := placed(false, false); got != 4 {
		t.Errorf("%d placed at the second step of the ramp, twice the 2 cold slots wanted", got)
	}
	if before, after := placed(true, false), placed(false, true); before != 8 || after != 8 {
		t.Errorf("%d and %d placed with a snapshot before and after the revision, 8 warm slots wanted", before, after)
	}
	if newDecider("h1").Restore(now, []byte("{")) == nil {
		t.Error("a broken snapshot is accepted")
	}
}
