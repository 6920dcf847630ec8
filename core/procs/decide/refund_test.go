package decide_test

import (
	"testing"
	"time"

	"apricotproxy/core"
)

// Requests that an endpoint refuses as they are take nothing from the retries
// of others: they are withdrawn before they are tried again.
func TestWithdrawnRetriesLeaveTheBudgetAlone(t *testing.T) {
	d := newDecider("h1")
	now := _start
	d.Apply(now, site("h1"))
	now = now.Add(6 * time.Second)
	d.Observe(now, core.Report{Endpoint: "e", Incarnation: 1, Phase: core.PhaseCold, AskedAt: now})
	for i := range 100 {
		placed := d.Submit(now, ask(i, now)).Placements
		if len(placed) != 1 || !d.Confirm(now, placed[0]) {
			t.Fatalf("request %d is not placed", i)
		}
		if refused := d.Finish(now, placed[0], core.ResultRefused, 0).Refusals; len(refused) != 0 {
			t.Fatalf("request %d: %v; want the retry that is withdrawn", i, refused[0].Err)
		}
		if !d.Withdraw(now, core.RequestID(i)) {
			t.Fatalf("request %d does not wait", i)
		}
	}
}
