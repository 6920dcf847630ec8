package decide_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"apricotproxy/core"
	"apricotproxy/core/procs/slots"
)

// Faults of a fleet as gopter's commands: a failing sequence is shrunk to a
// short one and printed.

const (
	_commandSeed     = 20261204
	_commandMost     = 24 // commands in a sequence
	_commandSettling = 8 * time.Second
)

// commandedFleet is a fleet whose faults come from commands.
type commandedFleet struct {
	*fleet
	published int
}

func newCommandedFleet(weakness slots.Weakness) *commandedFleet {
	f := newFleet(nil, _commandSeed, weakness, fleetConfigs(6, true))
	f.loss = 0.05
	f.publish()
	for _, h := range f.hosts {
		if contains(f.configs[0], h.name) {
			f.start(h, f.configs[0])
		}
		f.arrivals(h, 2)
	}
	f.run(15 * time.Second)
	return &commandedFleet{fleet: f}
}

// faultCommand is one fault; the fleet runs on for a while after it.
type faultCommand struct {
	name string
	do   func(*commandedFleet)
}

// outcome is what a command shows of the fleet.
type outcome struct {
	violation string
}

func (c faultCommand) String() string                                { return c.name }
func (c faultCommand) PreCondition(commands.State) bool              { return true }
func (c faultCommand) NextState(state commands.State) commands.State { return state }

func (c faultCommand) Run(system commands.SystemUnderTest) commands.Result {
	f := system.(*commandedFleet)
	c.do(f)
	f.run(_commandSettling)
	return outcome{violation: f.broken()}
}

func (c faultCommand) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if violation := result.(outcome).violation; violation != "" {
		return gopter.NewPropResult(false, violation)
	}
	return gopter.NewPropResult(true, "")
}

// broken names a broken promise; empty for none.
func (f *commandedFleet) broken() string {
	if f.coldOver > 0 {
		return f.violation
	}
	for id := range core.RequestID(f.nextID + 1) {
		if f.answered[id] > 1 {
			return fmt.Sprintf("request %d was answered %d times", id, f.answered[id])
		}
	}
	return ""
}

func pauseHost(index int) faultCommand {
	return faultCommand{name: fmt.Sprintf("Pause(%d)", index), do: func(f *commandedFleet) {
		f.hosts[index].pausedUntil = f.now.Add(60 * time.Second)
	}}
}

func crashHost(index int) faultCommand {
	return faultCommand{name: fmt.Sprintf("Crash(%d)", index), do: func(f *commandedFleet) {
		f.crashAndRestart(f.hosts[index])
	}}
}

// partitionHosts puts host i on the side of bit i.
func partitionHosts(sides int) faultCommand {
	return faultCommand{name: fmt.Sprintf("Partition(%b)", sides), do: func(f *commandedFleet) {
		for i, h := range f.hosts {
			h.side = sides >> i & 1
		}
	}}
}

func publishNext() faultCommand {
	return faultCommand{name: "Publish", do: func(f *commandedFleet) {
		if f.published+1 < len(f.configs) {
			f.published++
			f.publishRevision(f.published)
		}
	}}
}

func changePhase(index int, phase core.Phase, restart bool) faultCommand {
	return faultCommand{name: fmt.Sprintf("Phase(e%d, %s, restart %t)", index, phase, restart), do: func(f *commandedFleet) {
		e := f.endpoints[f.configs[0].Endpoints[index].Name]
		if phase == core.PhaseWarm {
			e.phase = phase
			return
		}
		f.turnCold(e, restart)
	}}
}

func anyFault(commands.State) gopter.Gen {
	hosts := len(newFleet(nil, 0, slots.Weakness{}, fleetConfigs(6, true)).hosts)
	command := func(build func(int) faultCommand, most int) gopter.Gen {
		return gen.IntRange(0, most).Map(func(i int) commands.Command { return build(i) })
	}
	return gen.OneGenOf(
		command(pauseHost, hosts-1),
		command(crashHost, hosts-1),
		command(partitionHosts, 1<<hosts-1),
		command(func(int) faultCommand { return partitionHosts(0) }, 0),
		command(func(int) faultCommand { return publishNext() }, 0),
		command(func(i int) faultCommand { return changePhase(i, core.PhaseWarm, false) }, _fleetEndpoints-1),
		command(func(i int) faultCommand { return changePhase(i, core.PhaseCold, false) }, _fleetEndpoints-1),
		command(func(i int) faultCommand { return changePhase(i, core.PhaseCold, true) }, _fleetEndpoints-1),
	)
}

// runCommands runs random sequences of faults and gives the result.
func runCommands(weakness slots.Weakness, sequences int) *gopter.TestResult {
	parameters := gopter.DefaultTestParametersWithSeed(_commandSeed)
	parameters.MinSuccessfulTests = sequences
	parameters.MaxSize = _commandMost
	parameters.Workers = 1
	property := commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newCommandedFleet(weakness) },
		InitialStateGen:        gen.Const(0),
		GenCommandFunc:         anyFault,
	})
	return property.Check(parameters)
}

func TestCommandedFleetKeepsTheColdLimit(t *testing.T) {
	result := runCommands(slots.Weakness{}, seedCount(6))
	if !result.Passed() {
		t.Errorf("seed %d: %s %v", _commandSeed, result.Status, result.Args)
	}
	t.Logf("%d sequences", result.Succeeded)
}

func TestCommandsNoticeAWeakness(t *testing.T) {
	result := runCommands(slots.Weakness{NoOwnership: true}, 6)
	if result.Passed() {
		t.Fatal("no sequence broke the cold limit without slot ownership")
	}
	t.Logf("after %d sequences: %v", result.Succeeded, result.Args)
}
