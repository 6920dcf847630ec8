package proof_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"apricotproxy/fakes/engine"
	"apricotproxy/io/host"
)

// fault is one thing that happens to a running fleet. It ends what it began.
type fault struct {
	name string
	// planned faults may cut nothing.
	planned bool
	do      func(c *cluster)
}

// _faults is the brief's list.
var _faults = []fault{
	{name: "host dies", do: hostDies},
	{name: "host pauses", do: hostPauses},
	{name: "link stalls", do: linkStalls},
	{name: "connections go silent", do: connectionsGoSilent},
	{name: "partition", do: partition},
	{name: "service down", do: serviceDown},
	{name: "service stale", do: serviceStale},
	{name: "service serves an old value", do: serviceServesOld},
	{name: "endpoint reclaimed", do: endpointReclaimed},
	{name: "engine dies", do: engineDies},
	{name: "warm turns cold", do: warmTurnsCold},
	{name: "wrong tokens", do: wrongTokens},
	{name: "data centre out and in", planned: true, do: dataCentreOutAndIn},
	{name: "rolling replacement", planned: true, do: rollingReplacement},
}

func (c *cluster) anyPosition() int { return c.draw(len(c.hosts)) }

func (c *cluster) anyEngine() (string, *engine.Engine) {
	machine := engineMachines(c.draw(len(_dataCentres)))[c.draw(2)]
	return machine, c.engines[machine]
}

func hostDies(c *cluster) {
	i := c.anyPosition()
	c.busy[i] <- struct{}{}
	defer func() { <-c.busy[i] }()
	c.note("host %d dies", i)
	c.kill(i)
	time.Sleep(time.Duration(1+c.draw(10)) * time.Second)
	c.note("host %d is replaced", i)
	c.start(i)
	c.list()
}

// hostPauses holds all traffic of a host. Its timers go on, so that it decides
// on what it knew before; a pause of the decisions themselves is the decision
// core's own randomised run.
func hostPauses(c *cluster) {
	i := c.anyPosition()
	machine := c.machine(i)
	others := c.otherMachines(machine)
	c.note("host %d pauses", i)
	heal := c.network.Partition([]string{machine}, others)
	time.Sleep(60 * time.Second)
	c.note("host %d wakes up", i)
	heal()
}

func (c *cluster) otherMachines(except ...string) []string {
	all := []string{"10.0.0.9"}
	for i := range c.hosts {
		all = append(all, c.machine(i))
	}
	for machine := range c.engines {
		all = append(all, machine)
	}
	for machine := range c.desks {
		all = append(all, machine)
	}
	for i := range _callers {
		all = append(all, fmt.Sprintf("10.9.0.%d", i+1))
	}
	var others []string
	for _, machine := range all {
		if !contains(except, machine) {
			others = append(others, machine)
		}
	}
	return others
}

func contains(list []string, item string) bool {
	for _, x := range list {
		if x == item {
			return true
		}
	}
	return false
}

func linkStalls(c *cluster) {
	host := c.machine(c.anyPosition())
	machine, _ := c.anyEngine()
	c.note("link %s %s stalls", host, machine)
	c.network.Stall(host, machine)
	time.Sleep(time.Duration(5+c.draw(20)) * time.Second)
	c.note("link %s %s heals", host, machine)
	c.network.Heal(host, machine)
}

func connectionsGoSilent(c *cluster) {
	machine, _ := c.anyEngine()
	for i := range c.hosts {
		c.network.Silence(machine, c.machine(i))
	}
	a, b := c.anyPosition(), c.anyPosition()
	c.note("connections from %s to all hosts and from host %d to %d go silent", machine, a, b)
	c.network.Silence(c.machine(a), c.machine(b))
}

// partition separates one data centre's hosts from the others. Both parts reach
// callers and endpoints.
func partition(c *cluster) {
	dc := c.draw(len(_dataCentres))
	var left, right []string
	for i := range c.hosts {
		if i/3 == dc {
			left = append(left, c.machine(i))
		} else {
			right = append(right, c.machine(i))
		}
	}
	if c.draw(2) == 0 {
		left = append(left, "10.0.0.9") // the platform stays with the small part
	}
	c.note("partition of %v", left)
	heal := c.network.Partition(left, right)
	time.Sleep(40 * time.Second)
	c.note("partition heals")
	heal()
}

func serviceDown(c *cluster) {
	c.note("service down")
	c.platform.SetDown(true)
	time.Sleep(50 * time.Second)
	c.platform.SetDown(false)
	c.note("service up")
}

func serviceStale(c *cluster) {
	c.note("service stale")
	c.platform.SetStale(true)
	c.publish()
	time.Sleep(50 * time.Second)
	c.platform.SetStale(false)
	c.note("service serves the newest value")
}

// serviceServesOld puts a revision in force and takes it back at the service.
// Hosts that start meanwhile must not go back to it.
func serviceServesOld(c *cluster) {
	c.publish()
	time.Sleep(10 * time.Second)
	c.note("service serves an old value")
	c.platform.ServeOld()
	time.Sleep(15 * time.Second)
	hostDies(c)
	time.Sleep(15 * time.Second)
	c.platform.SetStale(false)
	c.note("service serves the newest value")
}

// endpointReclaimed gives notice in reports, and then the engine dies.
func endpointReclaimed(c *cluster) {
	machine, e := c.anyEngine()
	c.note("engine %s is leaving", machine)
	e.SetLeaving(true)
	time.Sleep(15 * time.Second)
	from := time.Now().Add(c.settle() - 15*time.Second)
	e.Kill()
	c.note("engine %s is reclaimed", machine)
	c.addMove(move{machines: []string{machine}, from: from, until: time.Now()})
	time.Sleep(10 * time.Second)
	e.SetLeaving(false)
	e.Restart()
}

func engineDies(c *cluster) {
	machine, e := c.anyEngine()
	c.note("engine %s dies", machine)
	e.Kill()
	time.Sleep(time.Duration(c.draw(10)) * time.Second)
	e.Restart()
	c.note("engine %s is back", machine)
}

func warmTurnsCold(c *cluster) {
	machine, e := c.anyEngine()
	c.note("engine %s turns cold", machine)
	e.TurnCold()
}

func wrongTokens(c *cluster) {
	for range 12 {
		_, e := c.anyEngine()
		e.InjectTokenFault([]engine.TokenFault{engine.TokenTwice, engine.TokenMissing, engine.TokenForeign}[c.draw(3)])
		time.Sleep(time.Second)
	}
}

// _outBound is how soon a data centre that was taken out gets no new work.
const _outBound = 3 * time.Second

// dataCentreOutAndIn is judged from the stated bound on when only planned
// faults take place; else faults of the spread are given time to end.
func dataCentreOutAndIn(c *cluster) {
	dc := c.draw(len(_dataCentres))
	bound := _outBound
	if c.faulty {
		bound = 70 * time.Second
	}
	c.note("data centre %s out", _dataCentres[dc])
	from := time.Now().Add(bound)
	c.changeSite(func(changes siteChanges) { changes.out[_dataCentres[dc]] = true })
	time.Sleep(bound + 20*time.Second)
	c.note("data centre %s in", _dataCentres[dc])
	c.addMove(move{machines: engineMachines(dc), from: from, until: time.Now()})
	c.changeSite(func(changes siteChanges) { delete(changes.out, _dataCentres[dc]) })
}

func rollingReplacement(c *cluster) {
	for i := range c.hosts {
		c.busy[i] <- struct{}{}
		c.note("host %d stops as planned", i)
		c.replace(i)
		c.note("host %d is replaced", i)
		<-c.busy[i]
		time.Sleep(2 * time.Second)
	}
}

const (
	_callers   = 20
	_warmUp    = 15 * time.Second
	_runLength = 75 * time.Second
)

// outcome is the verdict of one run.
type outcome struct {
	broken  []string
	trace   []string
	summary string
}

// runFleet runs a fleet in virtual time under a list of faults.
func runFleet(t *testing.T, seed uint64, switches host.Switches, faults ...fault) outcome {
	var result outcome
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, switches)
		defer collectBroken(c)()
		time.Sleep(_warmUp)
		cs := &callers{cluster: c, strict: true}
		for _, f := range faults {
			c.faulty = c.faulty || !f.planned
		}
		cs.strict = !c.faulty
		end := time.Now().Add(_runLength)
		cs.run(_callers, end)
		for _, f := range faults {
			time.Sleep(time.Duration(c.draw(8000)) * time.Millisecond)
			cs.group.Go(func() { f.do(c) })
		}
		cs.group.Wait()
		c.stop()
		c.judge(cs)
		result = outcome{broken: c.broken, trace: c.trace, summary: cs.summary()}
	})
	return result
}

// require fails the test with a short trace and the seed.
func (o outcome) require(t *testing.T, seed uint64) {
	t.Helper()
	t.Log(o.summary)
	if len(o.broken) == 0 {
		return
	}
	const most = 5
	t.Errorf("seed %d: %d broken promises, the first of them:\n  %s\ntrace:\n  %s", seed, len(o.broken),
		strings.Join(o.broken[:min(most, len(o.broken))], "\n  "), strings.Join(o.trace, "\n  "))
}

// soakSeeds gives the number of seeds that SEEDS asks for; 0 without it. The
// plain `go test` runs a few cases, `make random` the fixed list of CI, and
// `make soak SEEDS=n` as many as wanted.
func soakSeeds() int {
	n, err := strconv.Atoi(os.Getenv("SEEDS"))
	if err != nil {
		return 0
	}
	return n
}

// needsSeeds leaves a long test to `make random`, which CI runs as well.
func needsSeeds(t *testing.T) int {
	t.Helper()
	n := soakSeeds()
	if n == 0 {
		t.Skip("part of `make random`")
	}
	return n
}

func TestFleetWithoutFaults(t *testing.T) {
	runFleet(t, 1, host.Switches{}).require(t, 1)
}

func TestFleetUnderFault(t *testing.T) {
	runFleet(t, 2, host.Switches{}, fault{name: "host dies", do: hostDies}).require(t, 2)
}

func TestFleetUnderPlannedFaults(t *testing.T) {
	const seed = 3
	runFleet(t, seed, host.Switches{}, fault{name: "rolling replacement", planned: true, do: rollingReplacement},
		fault{name: "data centre out and in", planned: true, do: dataCentreOutAndIn}).require(t, seed)
}

func TestFleetUnderEachFault(t *testing.T) {
	needsSeeds(t)
	for i, f := range _faults {
		seed := uint64(i + 1)
		t.Run(f.name, func(t *testing.T) { runFleet(t, seed, host.Switches{}, f).require(t, seed) })
	}
}

// TestFleetUnderPairs runs pairs of faults, the second often while the first
// goes on.
func TestFleetUnderPairs(t *testing.T) {
	for n := range needsSeeds(t) {
		seed := uint64(100 + n)
		first := _faults[n%len(_faults)]
		second := _faults[(n+1+n/len(_faults)*5)%len(_faults)]
		t.Run(fmt.Sprintf("%d %s, %s", seed, first.name, second.name), func(t *testing.T) {
			runFleet(t, seed, host.Switches{}, first, second).require(t, seed)
		})
	}
}
