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
	for _, sofar := range []int{0, 256, 512} {
		got := estimates.Remainder(key, sofar)
		if math.Abs(got-float64(1000-sofar)) > 100 {
			t.Errorf("after %d of 1000 tokens %.0f are expected to remain", sofar, got)
		}
	}
	if got := estimates.Remainder(key, 4096); got < 2048 {
		t.Errorf("beyond all lengths seen only %.0f tokens are expected to remain", got)
	}
}

// A shift of the typical length by a factor of two is to be noticed within 64
// completions, and stationary heavy-tailed lengths are not to be taken for one.
func TestShiftIsNoticed(t *testing.T) {
	const withinCompletions = 64
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		estimates := length.New(10)
		key := length.Key{Workspace: "w", Service: "s"}
		for i := range 2000 {
			if estimates.Record(key, logNormal(rng, 400, 0.6)) {
				t.Fatalf("seed %d: a shift is seen at stationary completion %d", seed, i)
			}
		}
		noticed := -1
		for i := range withinCompletions {
			if estimates.Record(key, logNormal(rng, 800, 0.6)) {
				noticed = i
				break
			}
		}
		if noticed < 0 {
			t.Errorf("seed %d: the shift is not noticed", seed)
		}
	}
}

func TestMemoryIsBoundedAtManyWorkspaces(t *testing.T) {
	const most = 500
	estimates := length.New(most)
	for round := range 40 {
		for w := range 7500 {
			key := length.Key{Workspace: core.WorkspaceName(fmt.Sprint(w)), Service: "s"}
			estimates.Record(key, 100+round)
		}
	}
	if got := estimates.Histograms(); got > most+1 {
		t.Errorf("%d histograms are kept, at most %d wanted", got, most+1)
	}
	unknown := length.Key{Workspace: "new", Service: "s"}
	if got := estimates.Remainder(unknown, 0); math.Abs(got-120) > 30 {
		t.Errorf("a new workspace does not share the service's estimate: %.0f", got)
	}
}
