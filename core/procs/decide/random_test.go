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

// seedCount gives the number of seeds: SEEDS, or a few.
func seedCount(few int) int {
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		return n
	}
	return few
}

func TestRandomisedFleetKeepsTheColdLimit(t *testing.T) {
	for seed := range seedCount(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := chaos.New(uint64(seed), slots.Switches{}, chaos.Configs(3, seed%2 == 1))
			f.Chaos()
			f.Run(4 * time.Minute)
			t.Logf("%+v", f.Counts)
			if broken := f.Broken(); broken != "" {
				t.Error(broken)
			}
			if f.ColdWork == 0 {
				t.Error("no request ran on an endpoint known to be cold")
			}
		})
	}
}

// TestFleetChecksBite shows that the count at the endpoints notices each
// safeguard that is switched off.
func TestFleetChecksBite(t *testing.T) {
	cases := []struct {
		name     string
		switches slots.Switches
	}{
		{"NoOwnership", slots.Switches{NoOwnership: true}},
		{"NoLeaseDeadline", slots.Switches{NoLeaseDeadline: true}},
		{"NoGainDeadline", slots.Switches{NoGainDeadline: true}},
	}
	for _, w := range cases {
		t.Run(w.name, func(t *testing.T) {
			for seed := range 8 {
				f := chaos.New(uint64(seed), w.switches, chaos.Configs(3, true))
				f.Chaos()
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
