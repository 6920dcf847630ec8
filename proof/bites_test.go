package proof_test

import (
	"testing"

	"apricotproxy/core/procs/decide"
	"apricotproxy/core/procs/slots"
	"apricotproxy/core/procs/spread"
	"apricotproxy/core/procs/ticket"
	"apricotproxy/io/fleet"
	"apricotproxy/io/host"
	"apricotproxy/io/runs"
)

// TestChecksDetectDisabledSafeguards turns off one safeguard at a time and adds a
// fault against which it protects. The checks of the run must then find a
// violation; if they did not, a run without violations would prove nothing.
func TestChecksDetectDisabledSafeguards(t *testing.T) {
	requireSeeds(t)
	for _, c := range []struct {
		name     string
		switches host.Switches
		fault    fault
	}{
		{
			name:     "slot ownership",
			switches: host.Switches{Decider: decide.Options{Switches: slots.Switches{NoOwnership: true}}},
			fault:    fault{name: "engine dies", do: engineDies},
		},
		{
			name:     "order ledger",
			switches: host.Switches{Tickets: ticket.Switches{RunRepeats: true}},
			fault:    fault{name: "connections go silent", do: connectionsGoSilent},
		},
		{
			name:     "resume filter",
			switches: host.Switches{Runs: runs.Switches{NoResumeFilter: true}},
			fault:    fault{name: "wrong tokens", do: wrongTokens},
		},
		{
			name:     "revision check",
			switches: host.Switches{Fleet: fleet.Switches{Spread: spread.Switches{AcceptLower: true}}},
			fault:    fault{name: "configuration service serves an old value", do: configServiceServesOldValue},
		},
		{
			name:     "drain",
			switches: host.Switches{Fleet: fleet.Switches{SkipDrain: true}},
			fault:    fault{name: "rolling replacement", planned: true, do: rollingReplacement},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			const seed = 7
			result := runFleet(t, seed, c.switches, c.fault)
			if len(result.violations) == 0 {
				t.Fatalf("no check detected the disabled safeguard: %s", result.summary)
			}
			t.Logf("%d violations, the first: %s", len(result.violations), result.violations[0])
		})
	}
}
