package decide_test

import (
	"testing"
	"time"

	"apricotproxy/core"
)

// A retry never goes back to the endpoint that failed last. Where no other is
// open it is refused at once: it would hold up its whole class until its deadline
// otherwise. The request behind it is placed.
func TestARetryNeverGoesBackToTheEndpointThatFailed(t *testing.T) {
	d := newDecider("h1")
	now := _start
	config := site("h1")
	config.Limits.RetryShare = 0.1
	d.Apply(now, config)
	now = now.Add(6 * time.Second)
	d.Observe(now, core.Report{Endpoint: "e", Incarnation: 1, Phase: core.PhaseCold, AskedAt: now})
	first := d.Submit(now, ask(1, now)).Placements
	if len(first) != 1 || !d.Confirm(now, first[0]) {
		t.Fatalf("%d placed on an idle endpoint; want one that is confirmed", len(first))
	}
	d.Finish(now, first[0], core.ResultRefused, 0)
	now = now.Add(time.Second)
	actions := d.Observe(now, core.Report{Endpoint: "e", Incarnation: 1, Phase: core.PhaseCold, AskedAt: now})
	if len(actions.Placements) != 0 {
		t.Fatalf("placed %v after the pause; want no retry on the endpoint that failed", actions.Placements)
	}
	if len(actions.Refusals) != 1 || actions.Refusals[0].Err.Outcome != core.OutcomeNotRun || actions.Refusals[0].Err.RetryAt.IsZero() {
		t.Fatalf("refusals %v; want request 1 as NotRun with a time to come back", actions.Refusals)
	}
	if behind := d.Submit(now, ask(2, now)).Placements; len(behind) != 1 || behind[0].Request != 2 {
		t.Fatalf("placed %v; want request 2", behind)
	}
}
