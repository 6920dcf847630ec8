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
	"apricotproxy/exper/chaos"
)

// The tests in this file inject random faults into a simulated fleet as gopter
// commands. gopter shrinks a failing sequence and prints it.

const (
	_commandSeed = 20261204
	_maxCommands = 24 // commands per sequence
	_settleTime  = 8 * time.Second
)

func newFleet(switches slots.Switches) *chaos.Fleet {
	f := chaos.New(_commandSeed, switches, chaos.Configs(6, true))
	f.Start()
	f.Run(15 * time.Second)
	return f
}

// faultCommand injects one fault and then lets the fleet run for _settleTime.
type faultCommand struct {
	name   string
	inject func(*chaos.Fleet)
}

// outcome is what was observed after a command.
type outcome struct {
	violation string
}

func (c faultCommand) String() string                                { return c.name }
func (c faultCommand) PreCondition(commands.State) bool              { return true }
func (c faultCommand) NextState(state commands.State) commands.State { return state }

func (c faultCommand) Run(system commands.SystemUnderTest) commands.Result {
	f := system.(*chaos.Fleet)
	c.inject(f)
	f.Run(_settleTime)
	return outcome{violation: f.Violation()}
}

func (c faultCommand) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if violation := result.(outcome).violation; violation != "" {
		return gopter.NewPropResult(false, violation)
	}
	return gopter.NewPropResult(true, "")
}

func pauseHost(index int) faultCommand {
	return faultCommand{name: fmt.Sprintf("Pause(%d)", index), inject: func(f *chaos.Fleet) {
		f.Pause(index, 60*time.Second)
	}}
}

func crashHost(index int) faultCommand {
	return faultCommand{name: fmt.Sprintf("Crash(%d)", index), inject: func(f *chaos.Fleet) {
		f.Crash(index)
	}}
}

// partitionHosts partitions the network: bit i of sides is the side of host i.
func partitionHosts(sides int) faultCommand {
	return faultCommand{name: fmt.Sprintf("Partition(%b)", sides), inject: func(f *chaos.Fleet) {
		f.Partition(sides)
	}}
}

func publishNext() faultCommand {
	return faultCommand{name: "Publish", inject: (*chaos.Fleet).Publish}
}

func changePhase(index int, phase core.Phase, restart bool) faultCommand {
	return faultCommand{name: fmt.Sprintf("Phase(e%d, %s, restart %t)", index, phase, restart), inject: func(f *chaos.Fleet) {
		f.SetPhase(index, phase, restart)
	}}
}

func anyFault(commands.State) gopter.Gen {
	hosts := chaos.New(0, slots.Switches{}, chaos.Configs(6, true)).HostCount()
	command := func(build func(int) faultCommand, highest int) gopter.Gen {
		return gen.IntRange(0, highest).Map(func(i int) commands.Command { return build(i) })
	}
	return gen.OneGenOf(
		command(pauseHost, hosts-1),
		command(crashHost, hosts-1),
		command(partitionHosts, 1<<hosts-1),
		command(func(int) faultCommand { return partitionHosts(0) }, 0),
		command(func(int) faultCommand { return publishNext() }, 0),
		command(func(i int) faultCommand { return changePhase(i, core.PhaseWarm, false) }, chaos.EndpointCount-1),
		command(func(i int) faultCommand { return changePhase(i, core.PhaseCold, false) }, chaos.EndpointCount-1),
		command(func(i int) faultCommand { return changePhase(i, core.PhaseCold, true) }, chaos.EndpointCount-1),
	)
}

// runCommands runs random sequences of faults and returns the result.
func runCommands(switches slots.Switches, sequences int) *gopter.TestResult {
	parameters := gopter.DefaultTestParametersWithSeed(_commandSeed)
	parameters.MinSuccessfulTests = sequences
	parameters.MaxSize = _maxCommands
	parameters.Workers = 1
	property := commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newFleet(switches) },
		InitialStateGen:        gen.Const(0),
		GenCommandFunc:         anyFault,
	})
	return property.Check(parameters)
}

func TestFaultSequencesKeepTheColdLimit(t *testing.T) {
	result := runCommands(slots.Switches{}, seedCount(6))
	if !result.Passed() {
		t.Errorf("seed %d: %s %v", _commandSeed, result.Status, result.Args)
	}
	t.Logf("%d sequences", result.Succeeded)
}

func TestFaultSequencesDetectMissingOwnership(t *testing.T) {
	result := runCommands(slots.Switches{NoOwnership: true}, 6)
	if result.Passed() {
		t.Fatal("no sequence broke the cold limit without slot ownership")
	}
	t.Logf("after %d sequences: %v", result.Succeeded, result.Args)
}
