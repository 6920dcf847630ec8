package budget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"apricotproxy/core/procs/budget"
)

// A dead fleet: every first try wants a retry. No more than the share and the
// saved burst may follow.
func TestRetriesStayWithinTheShare(t *testing.T) {
	const firstTries, share, burst = 10000, 0.1, 10
	b := budget.New(share)
	retries := 0
	for range firstTries {
		b.First()
		if b.Retry() {
			retries++
		}
	}
	if retries > firstTries*share+burst {
		t.Errorf("%d retries of %d first tries at a share of %v", retries, firstTries, share)
	}
}

func TestPauseGrowsAndIsJittered(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	seen := map[time.Duration]bool{}
	for range 20 {
		pause := budget.Pause(random, 1)
		seen[pause] = true
		if pause < 25*time.Millisecond || pause > 75*time.Millisecond {
			t.Errorf("first pause %s", pause)
		}
		if later := budget.Pause(random, 4); later < 200*time.Millisecond || later > 600*time.Millisecond {
			t.Errorf("fourth pause %s", later)
		}
	}
	if len(seen) < 10 {
		t.Error("the pauses are not jittered")
	}
}
