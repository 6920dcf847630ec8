package budget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"apricotproxy/core/procs/budget"
)

// If every first try fails, as with all endpoints down, no more retries are
// allowed than the share of the first tries and the initial burst.
func TestRetriesStayWithinTheShare(t *testing.T) {
	const firstTries, share, burst = 10000, 0.1, 10
	b := budget.New(share)
	retries := 0
	for range firstTries {
		b.Deposit()
		if b.TryWithdraw() {
			retries++
		}
	}
	if retries > firstTries*share+burst {
		t.Errorf("%d retries for %d first tries exceed a share of %v and the burst", retries, firstTries, share)
	}
}

func TestPauseGrowsAndIsJittered(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	seen := map[time.Duration]bool{}
	for range 20 {
		pause := budget.Backoff(random, 1)
		seen[pause] = true
		if pause < 25*time.Millisecond || pause > 75*time.Millisecond {
			t.Errorf("the first pause is %s, want 25ms to 75ms", pause)
		}
		if later := budget.Backoff(random, 4); later < 200*time.Millisecond || later > 600*time.Millisecond {
			t.Errorf("the fourth pause is %s, want 200ms to 600ms", later)
		}
	}
	if len(seen) < 10 {
		t.Error("the pauses are not random: fewer than 10 of 20 differ")
	}
}
