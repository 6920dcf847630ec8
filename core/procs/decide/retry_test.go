package decide_test

import (
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/decide"
)

// newColdDecider returns a Decider whose only endpoint is cold and has just reported
// itself idle.
func newColdDecider(config core.Config) (*decide.Decider, time.Time) {
	d := newDecider("h1")
	d.Apply(_start, config)
	now := _start.Add(6 * time.Second)
	d.Observe(now, coldReport(now))
	return d, now
}

func coldReport(now time.Time) core.Report {
	return core.Report{Endpoint: "e", Incarnation: 1, Phase: core.PhaseCold, AskedAt: now}
}

// dispatch submits a request that must be placed at once and confirms it.
func dispatch(t *testing.T, d *decide.Decider, now time.Time, id int) core.Placement {
	t.Helper()
	placed := d.Submit(now, newRequest(id, now)).Placements
	if len(placed) != 1 || !d.Confirm(now, placed[0]) {
		t.Fatalf("request %d: %v; want one placement that is confirmed", id, placed)
	}
	return placed[0]
}

// A retry never goes back to the endpoint that failed last. If no other endpoint is
// open, it is refused at once: otherwise it would block its whole class until its
// deadline. The request behind it is placed.
func TestARetryNeverGoesBackToTheEndpointThatFailed(t *testing.T) {
	config := site("h1")
	config.Limits.RetryShare = 0.1
	d, now := newColdDecider(config)
	d.Finish(now, dispatch(t, d, now, 1), core.ResultRefused, 0)
	now = now.Add(time.Second)
	actions := d.Observe(now, coldReport(now))
	if len(actions.Placements) != 0 {
		t.Fatalf("placed %v after the pause; want no retry on the endpoint that failed", actions.Placements)
	}
	if len(actions.Refusals) != 1 || actions.Refusals[0].Err.Outcome != core.OutcomeNotRun || actions.Refusals[0].Err.RetryAt.IsZero() {
		t.Fatalf("refusals %v; want request 1 as NotRun with a time to retry at", actions.Refusals)
	}
	dispatch(t, d, now, 2)
}

// Retries that are withdrawn before they are placed must not use up the retry budget
// of other requests. This happens when an endpoint rejects the request itself: the
// caller gets that answer and nothing waits for the retry.
func TestWithdrawnRetriesDoNotSpendTheBudget(t *testing.T) {
	d, now := newColdDecider(site("h1"))
	for i := range 100 {
		if refused := d.Finish(now, dispatch(t, d, now, i), core.ResultRefused, 0).Refusals; len(refused) != 0 {
			t.Fatalf("request %d: %v; want no refusal before the retry is withdrawn", i, refused[0].Err)
		}
		if !d.Withdraw(now, core.RequestID(i)) {
			t.Fatalf("request %d: Withdraw returns false; want a waiting retry", i)
		}
	}
}

// A placement that was never confirmed was never sent: its slot is free at once, even
// on a cold endpoint that no report has shown idle since.
func TestAnUnconfirmedPlacementLeavesItsSlotFree(t *testing.T) {
	d, now := newColdDecider(site("h1"))
	dispatch(t, d, now, 1)
	unconfirmed := d.Submit(now, newRequest(2, now)).Placements[0]
	d.Finish(now, unconfirmed, core.ResultCancelled, 0)
	dispatch(t, d, now, 3)
}

// A cancelled request that was confirmed may still run on the endpoint, so its slot
// stays taken.
func TestACancelledPlacementKeepsItsSlotIfConfirmed(t *testing.T) {
	d, now := newColdDecider(site("h1"))
	for i := range 2 {
		d.Finish(now, dispatch(t, d, now, i), core.ResultCancelled, 0)
	}
	if placed := d.Submit(now, newRequest(3, now)).Placements; len(placed) != 0 {
		t.Fatalf("%d placed on slots whose requests may still run; want 0", len(placed))
	}
}
