package decide_test

import (
	"testing"
	"time"

	"apricotproxy/core"
)

// A retry goes to another endpoint. Where no other is open it goes to the same
// one again: it would hold up its whole class until its deadline otherwise.
func TestARetryGoesBackToTheOnlyOpenEndpoint(t *testing.T) {
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
	placed := d.Observe(now, core.Report{Endpoint: "e", Incarnation: 1, Phase: core.PhaseCold, AskedAt: now}).Placements
	if len(placed) != 1 || placed[0].Request != 1 {
		t.Fatalf("placed %v after the pause; want the retry of request 1", placed)
	}
}
