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

// TestChecksNotice switches off one safeguard at a time. The run must fail, or
// its checks would be worth nothing.
func TestChecksNotice(t *testing.T) {
	needsSeeds(t)
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
			fault:    fault{name: "service serves an old value", do: serviceServesOld},
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
			if len(result.broken) == 0 {
				t.Fatalf("no check noticed: %s", result.summary)
			}
			t.Logf("%d broken promises, the first: %s", len(result.broken), result.broken[0])
		})
	}
}
