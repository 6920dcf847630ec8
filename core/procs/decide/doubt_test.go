package decide_test

import (
	"testing"
	"time"

	"apricotproxy/core"
)

// A placement that was never confirmed has sent nothing: its slot is free at
// once, also on a cold endpoint that is never seen idle.
func TestAnUnconfirmedPlacementLeavesItsSlotFree(t *testing.T) {
	d := newDecider("h1")
	now := _start
	d.Apply(now, site("h1"))
	now = now.Add(6 * time.Second)
	d.Observe(now, core.Report{Endpoint: "e", Incarnation: 1, Phase: core.PhaseCold, AskedAt: now})
	busy := d.Submit(now, ask(1, now)).Placements[0]
	if !d.Confirm(now, busy) {
		t.Fatal("a fresh placement is not confirmed")
	}
	left := d.Submit(now, ask(2, now)).Placements[0]
	d.Finish(now, left, core.ResultCancelled, 0)
	if placed := d.Submit(now, ask(3, now)).Placements; len(placed) != 1 {
		t.Fatalf("%d placed on the slot of a caller that left before the first byte; want 1", len(placed))
	}
}

// One that was confirmed may go on on the endpoint.
func TestAConfirmedPlacementLeavesItsSlotInDoubt(t *testing.T) {
	d := newDecider("h1")
	now := _start
	d.Apply(now, site("h1"))
	now = now.Add(6 * time.Second)
	d.Observe(now, core.Report{Endpoint: "e", Incarnation: 1, Phase: core.PhaseCold, AskedAt: now})
	for i := range 2 {
		placed := d.Submit(now, ask(i, now)).Placements[0]
		if !d.Confirm(now, placed) {
			t.Fatal("a fresh placement is not confirmed")
		}
		d.Finish(now, placed, core.ResultCancelled, 0)
	}
	if placed := d.Submit(now, ask(3, now)).Placements; len(placed) != 0 {
		t.Fatalf("%d placed on slots whose work may go on; want none", len(placed))
	}
}
