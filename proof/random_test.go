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

// fault is an event that disturbs a running fleet. A do function that starts a lasting
// disturbance ends it before it returns.
type fault struct {
	name string
	// planned is true for planned operations, which must not interrupt any request.
	planned bool
	do      func(c *cluster)
}

// _faults are the faults under which the fleet must keep its promises.
var _faults = []fault{
	{name: "host dies", do: hostDies},
	{name: "host pauses", do: hostPauses},
	{name: "link stalls", do: linkStalls},
	{name: "connections go silent", do: connectionsGoSilent},
	{name: "partition", do: partition},
	{name: "configuration service down", do: configServiceDown},
	{name: "configuration service stale", do: configServiceStale},
	{name: "configuration service serves an old value", do: configServiceServesOldValue},
	{name: "endpoint reclaimed", do: endpointReclaimed},
	{name: "engine dies", do: engineDies},
	{name: "warm engine turns cold", do: warmTurnsCold},
	{name: "wrong tokens", do: wrongTokens},
	{name: "data centre out and in", planned: true, do: dataCentreOutAndIn},
	{name: "rolling replacement", planned: true, do: rollingReplacement},
}

func (c *cluster) randomHost() int { return c.randomInt(len(c.hosts)) }

func (c *cluster) randomEngine() (string, *engine.Engine) {
	machine := engineMachines(c.randomInt(len(_dataCentres)))[c.randomInt(2)]
	return machine, c.engines[machine]
}

func hostDies(c *cluster) {
	i := c.randomHost()
	c.replacing[i] <- struct{}{}
	defer func() { <-c.replacing[i] }()
	c.addTrace("host %d dies", i)
	c.kill(i)
	time.Sleep(time.Duration(1+c.randomInt(10)) * time.Second)
	c.addTrace("host %d is replaced", i)
	c.start(i)
	c.publishHosts()
}

// hostPauses holds back all traffic of a host. The host's timers continue, so it
// decides on outdated information. Pauses of the whole process, decisions included,
// are covered by the randomised test of core/procs/decide.
func hostPauses(c *cluster) {
	i := c.randomHost()
	machine := c.machine(i)
	others := c.otherMachines(machine)
	c.addTrace("host %d pauses", i)
	heal := c.network.Partition([]string{machine}, others)
	time.Sleep(60 * time.Second)
	c.addTrace("host %d resumes", i)
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
	for machine := range c.plainServices {
		all = append(all, machine)
	}
	for i := range _callerCount {
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
	host := c.machine(c.randomHost())
	machine, _ := c.randomEngine()
	c.addTrace("link %s %s stalls", host, machine)
	c.network.Stall(host, machine)
	time.Sleep(time.Duration(5+c.randomInt(20)) * time.Second)
	c.addTrace("link %s %s heals", host, machine)
	c.network.Heal(host, machine)
}

func connectionsGoSilent(c *cluster) {
	machine, _ := c.randomEngine()
	for i := range c.hosts {
		c.network.Silence(machine, c.machine(i))
	}
	a, b := c.randomHost(), c.randomHost()
	c.addTrace("connections from %s to all hosts and from host %d to %d go silent", machine, a, b)
	c.network.Silence(c.machine(a), c.machine(b))
}

// partition separates the hosts of one data centre from the other hosts. Both parts
// can still reach callers and endpoints.
func partition(c *cluster) {
	dc := c.randomInt(len(_dataCentres))
	var left, right []string
	for i := range c.hosts {
		if i/3 == dc {
			left = append(left, c.machine(i))
		} else {
			right = append(right, c.machine(i))
		}
	}
	if c.randomInt(2) == 0 {
		left = append(left, "10.0.0.9") // the platform is on the side of the single data centre
	}
	c.addTrace("partition of %v", left)
	heal := c.network.Partition(left, right)
	time.Sleep(40 * time.Second)
	c.addTrace("partition heals")
	heal()
}

func configServiceDown(c *cluster) {
	c.addTrace("configuration service down")
	c.platform.SetDown(true)
	time.Sleep(50 * time.Second)
	c.platform.SetDown(false)
	c.addTrace("configuration service up")
}

func configServiceStale(c *cluster) {
	c.addTrace("configuration service stale")
	c.platform.SetStale(true)
	c.publish()
	time.Sleep(50 * time.Second)
	c.platform.SetStale(false)
	c.addTrace("configuration service serves the newest value")
}

// configServiceServesOldValue puts a revision in force, after which the configuration
// service serves the previous one. A host that starts meanwhile must not go back to
// the previous revision.
func configServiceServesOldValue(c *cluster) {
	c.publish()
	time.Sleep(10 * time.Second)
	c.addTrace("configuration service serves an old value")
	c.platform.ServePrevious()
	time.Sleep(15 * time.Second)
	hostDies(c)
	time.Sleep(15 * time.Second)
	c.platform.SetStale(false)
	c.addTrace("configuration service serves the newest value")
}

// endpointReclaimed lets an engine report that it is leaving, and kills it 15 s
// later. Once the reaction time has passed since the notice, the engine must receive
// no new requests.
func endpointReclaimed(c *cluster) {
	machine, e := c.randomEngine()
	c.addTrace("engine %s is leaving", machine)
	e.SetLeaving(true)
	time.Sleep(15 * time.Second)
	from := time.Now().Add(c.reactionTime() - 15*time.Second)
	e.Kill()
	c.addTrace("engine %s is reclaimed", machine)
	c.addExclusion(exclusion{machines: []string{machine}, from: from, until: time.Now()})
	time.Sleep(10 * time.Second)
	e.SetLeaving(false)
	e.Restart()
}

func engineDies(c *cluster) {
	machine, e := c.randomEngine()
	c.addTrace("engine %s dies", machine)
	e.Kill()
	time.Sleep(time.Duration(c.randomInt(10)) * time.Second)
	e.Restart()
	c.addTrace("engine %s is back", machine)
}

func warmTurnsCold(c *cluster) {
	machine, e := c.randomEngine()
	c.addTrace("engine %s turns cold", machine)
	e.TurnCold()
}

func wrongTokens(c *cluster) {
	for range 12 {
		_, e := c.randomEngine()
		e.InjectTokenFault([]engine.TokenFault{engine.TokenTwice, engine.TokenMissing, engine.TokenForeign}[c.randomInt(3)])
		time.Sleep(time.Second)
	}
}

// _outOfServiceBound is the time after which a data centre that was taken out of
// service must receive no new requests.
const _outOfServiceBound = 3 * time.Second

// dataCentreOutAndIn takes a data centre out of service and puts it back. With
// planned faults only, it must receive no new requests after _outOfServiceBound.
// Otherwise the bound is 70 s, so that faults that delay the spread of the revision
// can end first.
func dataCentreOutAndIn(c *cluster) {
	dc := c.randomInt(len(_dataCentres))
	bound := _outOfServiceBound
	if c.unplannedFaults {
		bound = 70 * time.Second
	}
	c.addTrace("data centre %s is taken out of service", _dataCentres[dc])
	from := time.Now().Add(bound)
	c.changeSite(func(changes siteChanges) { changes.out[_dataCentres[dc]] = true })
	time.Sleep(bound + 20*time.Second)
	c.addTrace("data centre %s is put back in service", _dataCentres[dc])
	c.addExclusion(exclusion{machines: engineMachines(dc), from: from, until: time.Now()})
	c.changeSite(func(changes siteChanges) { delete(changes.out, _dataCentres[dc]) })
}

func rollingReplacement(c *cluster) {
	for i := range c.hosts {
		c.replacing[i] <- struct{}{}
		c.addTrace("planned stop of host %d", i)
		c.replace(i)
		c.addTrace("host %d is replaced", i)
		<-c.replacing[i]
		time.Sleep(2 * time.Second)
	}
}

const (
	_callerCount = 20
	_warmUp      = 15 * time.Second
	_runLength   = 75 * time.Second
)

// runResult is the result of one run.
type runResult struct {
	violations []string
	trace      []string
	summary    string
}

// runFleet runs a fleet in virtual time with random callers and the given faults.
func runFleet(t *testing.T, seed uint64, switches host.Switches, faults ...fault) runResult {
	var result runResult
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, switches)
		defer recordBrokenPromises(c)()
		time.Sleep(_warmUp)
		cs := &callers{cluster: c, plannedFaultsOnly: true}
		for _, f := range faults {
			c.unplannedFaults = c.unplannedFaults || !f.planned
		}
		cs.plannedFaultsOnly = !c.unplannedFaults
		end := time.Now().Add(_runLength)
		cs.run(_callerCount, end)
		for _, f := range faults {
			time.Sleep(time.Duration(c.randomInt(8000)) * time.Millisecond)
			cs.group.Go(func() { f.do(c) })
		}
		cs.group.Wait()
		c.stop()
		c.checkPromises(cs)
		result = runResult{violations: c.violations, trace: c.trace, summary: cs.summary()}
	})
	return result
}

// requireNoViolations fails the test if there are violations, and prints the seed,
// the first violations and the trace.
func (r runResult) requireNoViolations(t *testing.T, seed uint64) {
	t.Helper()
	t.Log(r.summary)
	if len(r.violations) == 0 {
		return
	}
	const maxPrinted = 5
	t.Errorf("seed %d: %d violations, the first of them:\n  %s\ntrace:\n  %s", seed, len(r.violations),
		strings.Join(r.violations[:min(maxPrinted, len(r.violations))], "\n  "), strings.Join(r.trace, "\n  "))
}

// seedCount returns the number of seeds to run, from the environment variable SEEDS;
// 0 if it is not set. Plain `go test` runs a few cases, `make random` runs the seeds
// that CI runs, and `make soak SEEDS=n` runs n seeds.
func seedCount() int {
	n, err := strconv.Atoi(os.Getenv("SEEDS"))
	if err != nil {
		return 0
	}
	return n
}

// requireSeeds returns the number of seeds, and skips a long test if there are none.
// CI sets the number through `make random`.
func requireSeeds(t *testing.T) int {
	t.Helper()
	n := seedCount()
	if n == 0 {
		t.Skip("SEEDS is not set; run `make random`")
	}
	return n
}

func TestFleetWithoutFaults(t *testing.T) {
	runFleet(t, 1, host.Switches{}).requireNoViolations(t, 1)
}

func TestFleetUnderFault(t *testing.T) {
	runFleet(t, 2, host.Switches{}, fault{name: "host dies", do: hostDies}).requireNoViolations(t, 2)
}

func TestFleetUnderPlannedFaults(t *testing.T) {
	const seed = 3
	runFleet(t, seed, host.Switches{}, fault{name: "rolling replacement", planned: true, do: rollingReplacement},
		fault{name: "data centre out and in", planned: true, do: dataCentreOutAndIn}).requireNoViolations(t, seed)
}

func TestFleetUnderEachFault(t *testing.T) {
	requireSeeds(t)
	for i, f := range _faults {
		seed := uint64(i + 1)
		t.Run(f.name, func(t *testing.T) { runFleet(t, seed, host.Switches{}, f).requireNoViolations(t, seed) })
	}
}

// TestFleetUnderPairs runs pairs of faults. The second often begins while the first
// is still going on.
func TestFleetUnderPairs(t *testing.T) {
	for n := range requireSeeds(t) {
		seed := uint64(100 + n)
		first := _faults[n%len(_faults)]
		second := _faults[(n+1+n/len(_faults)*5)%len(_faults)]
		t.Run(fmt.Sprintf("%d %s, %s", seed, first.name, second.name), func(t *testing.T) {
			runFleet(t, seed, host.Switches{}, first, second).requireNoViolations(t, seed)
		})
	}
}
