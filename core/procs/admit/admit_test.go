package admit_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"apricotproxy/core/procs/admit"
)

func ExampleLoad_Peak() {
	load := admit.Load{Used: 10 * 500, Remaining: 10 * 1000}
	fmt.Printf("%.0f\n", load.Peak())
	// Output: 6065
}

// Peak's closed form agrees with the maximum of n*(c+t)*exp(-t/m) over time.
func TestPeakIsTheMaximumOverTime(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("Peak returns the maximum over time", prop.ForAll(
		func(used, remaining float64) bool {
			largest := 0.0
			for step := 0.0; step <= 10; step += 0.001 {
				elapsed := step * remaining
				largest = max(largest, (used+elapsed)*math.Exp(-elapsed/remaining))
			}
			got := float64(admit.Load{Used: float32(used), Remaining: float32(remaining)}.Peak())
			return math.Abs(got-largest) <= 0.001*largest
		},
		gen.Float64Range(1, 1e6), gen.Float64Range(1, 1e6),
	))
	properties.TestingRun(t)
}
