package length_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"apricotproxy/core"
	"apricotproxy/core/procs/length"
)

func logNormal(rng *rand.Rand, median, sigma float64) int {
	return int(median*math.Exp(sigma*rng.NormFloat64())) + 1
}

func TestRemainderFollowsTheLengths(t *testing.T) {
	estimates := length.New(10)
	key := length.Key{Workspace: "w", Service: "s", Model: "m"}
	for range 100 {
		estimates.Record(key, 1000)
	}
	for _, produced := range []int{0, 256, 512} {
		got := estimates.Remainder(key, produced)
		if math.Abs(got-float64(1000-produced)) > 100 {
			t.Errorf("after %d of 1000 tokens the expected remainder is %.0f", produced, got)
		}
	}
	if got := estimates.Remainder(key, 4096); got < 2048 {
		t.Errorf("after 4096 tokens, more than any recorded length, the expected remainder is %.0f, want at least 2048", got)
	}
}

// A shift of the typical length by a factor of two is detected within 64
// completions, and heavy-tailed lengths without a shift are not mistaken for one.
func TestShiftIsNoticed(t *testing.T) {
	const withinCompletions = 64
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		estimates := length.New(10)
		key := length.Key{Workspace: "w", Service: "s"}
		for i := range 2000 {
			if estimates.Record(key, logNormal(rng, 400, 0.6)) {
				t.Fatalf("seed %d: a shift is detected at completion %d, but there is none", seed, i)
			}
		}
		detectedAt := -1
		for i := range withinCompletions {
			if estimates.Record(key, logNormal(rng, 800, 0.6)) {
				detectedAt = i
				break
			}
		}
		if detectedAt < 0 {
			t.Errorf("seed %d: the shift is not detected", seed)
		}
	}
}

func TestMemoryIsBoundedAtManyWorkspaces(t *testing.T) {
	const maxOwn = 500
	estimates := length.New(maxOwn)
	for round := range 40 {
		for w := range 7500 {
			key := length.Key{Workspace: core.WorkspaceName(fmt.Sprint(w)), Service: "s"}
			estimates.Record(key, 100+round)
		}
	}
	if got := estimates.Histograms(); got > maxOwn+1 {
		t.Errorf("there are %d histograms, want at most %d", got, maxOwn+1)
	}
	unknown := length.Key{Workspace: "new", Service: "s"}
	if got := estimates.Remainder(unknown, 0); math.Abs(got-120) > 30 {
		t.Errorf("the estimate for a new workspace is %.0f, want the shared one of about 120", got)
	}
}
