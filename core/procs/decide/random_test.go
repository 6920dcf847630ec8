package decide_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"apricotproxy/core/procs/slots"
	"apricotproxy/exper/chaos"
)

// seedCount returns the number of seeds to run: the environment variable SEEDS, or
// the default.
func seedCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		return n
	}
	return defaultCount
}

func TestRandomisedFleetKeepsTheColdLimit(t *testing.T) {
	for seed := range seedCount(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := chaos.New(uint64(seed), slots.Switches{}, chaos.Configs(3, seed%2 == 1))
			f.StartWithFaults()
			f.Run(4 * time.Minute)
			t.Logf("%+v", f.Counts)
			if broken := f.Violation(); broken != "" {
				t.Error(broken)
			}
			if f.ColdWork == 0 {
				t.Error("no request ran on an endpoint known to be cold")
			}
		})
	}
}

// TestFleetDetectsMissingSafeguards checks that the simulated endpoints count requests
// above the cold limit when a single safeguard is turned off.
func TestFleetDetectsMissingSafeguards(t *testing.T) {
	cases := []struct {
		name     string
		switches slots.Switches
	}{
		{"NoOwnership", slots.Switches{NoOwnership: true}},
		{"NoLeaseDeadline", slots.Switches{NoLeaseDeadline: true}},
		{"NoGainDeadline", slots.Switches{NoGainDeadline: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range 8 {
				f := chaos.New(uint64(seed), c.switches, chaos.Configs(3, true))
				f.StartWithFaults()
				f.Run(4 * time.Minute)
				if f.ColdOver > 0 {
					t.Logf("seed %d: %d times over the cold limit", seed, f.ColdOver)
					return
				}
			}
			t.Error("no seed exceeded the cold limit without the safeguard")
		})
	}
}
