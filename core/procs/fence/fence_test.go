package fence_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"apricotproxy/core"
	"apricotproxy/core/procs/fence"
)

const _engines = 20

var _start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func config(revision core.Revision, hosts int, version core.VersionName, checks bool) core.Config {
	c := core.Config{
		Revision: revision,
		Services: []core.Service{{Name: "s", Kind: core.ServiceEngine, Model: "m", Version: version}},
		Limits:   core.Limits{ConfigSpread: 14 * time.Second, WeightLoads: 6},
	}
	for i := range hosts {
		c.Hosts = append(c.Hosts, core.Host{Name: core.HostName(fmt.Sprintf("entry-%d", i))})
	}
	for i := range _engines {
		name := core.EndpointName(fmt.Sprintf("engine-%d", i))
		c.Endpoints = append(c.Endpoints, core.Endpoint{Name: name, Service: "s", ChecksFencing: checks})
	}
	return c
}

func keeper(host int) *fence.Keeper {
	return fence.New(core.HostName(fmt.Sprintf("entry-%d", host)), rand.New(rand.NewPCG(uint64(host), 1)))
}

// engine is the least of an engine: it has room for one version.
type engine struct {
	checks  bool
	fence   uint64
	version core.VersionName
	changes int
}

func (e *engine) report(now time.Time, name core.EndpointName) core.Report {
	r := core.Report{Endpoint: name, Incarnation: 1, AskedAt: now, FencingToken: e.fence}
	if e.version != "" {
		r.Models = []core.LoadedModel{{Model: "m", Version: e.version}}
	}
	return r
}

func (e *engine) take(order core.EngineOrder) {
	if e.checks && order.Fence <= e.fence {
		return
	}
	e.fence = max(e.fence, order.Fence)
	if order.Version != e.version {
		e.changes++
		e.version = order.Version
	}
}

// bench is a site of keepers and engines.
type bench struct {
	keepers []*fence.Keeper
	engines map[core.EndpointName]*engine
	loads   []time.Time
}

func (b *bench) step(now time.Time) {
	for _, k := range b.keepers {
		k.Confirm(now.Add(3 * time.Second))
		for _, name := range k.Endpoints() {
			k.Observe(now, b.engines[name].report(now, name))
		}
		for {
			order, ok := k.Next(now)
			if !ok {
				break
			}
			b.engines[order.Endpoint.Name].take(order.Order)
			k.Sent(now, order)
			b.loads = append(b.loads, now)
		}
	}
}

func newBench(checks bool) *bench {
	b := &bench{engines: make(map[core.EndpointName]*engine)}
	for _, endpoint := range config(1, 1, "1", checks).Endpoints {
		b.engines[endpoint.Name] = &engine{checks: checks}
	}
	return b
}

// All engines are loaded, and in no minute more loads leave than the rate, the
// first of each steward's aside.
func TestLoadsStayBelowTheRate(t *testing.T) {
	const hosts = 9
	b := newBench(true)
	for i := range hosts {
		k := keeper(i)
		k.Apply(_start, config(5, hosts, "1", true))
		b.keepers = append(b.keepers, k)
	}
	for second := range 1200 {
		b.step(_start.Add(time.Duration(second) * time.Second))
	}
	for name, e := range b.engines {
		if e.version != "1" {
			t.Errorf("engine %s holds %q, want 1", name, e.version)
		}
	}
	for i, at := range b.loads {
		within := 0
		for _, later := range b.loads[i:] {
			if later.Sub(at) < 5*time.Minute {
				within++
			}
		}
		if within > 6*5+hosts {
			t.Errorf("%d loads in 5 minutes from %v, want %d at most", within, at, 6*5+hosts)
		}
	}
}

// Two stewards with different views of one engine change what it holds a
// bounded number of times, whether or not it checks fencing.
func TestTwoStewardsDoNotFlap(t *testing.T) {
	for _, checks := range []bool{true, false} {
		b := newBench(checks)
		stale, current := keeper(0), keeper(0)
		stale.Apply(_start, config(5, 1, "1", checks))
		current.Apply(_start, config(6, 1, "2", checks))
		b.keepers = []*fence.Keeper{stale, current}
		for second := range 3 * 3600 {
			b.step(_start.Add(time.Duration(second) * time.Second))
		}
		for name, e := range b.engines {
			if checks && (e.version != "2" || e.changes > 2) {
				t.Errorf("engine %s holds %q after %d changes, want 2 after 2 at most", name, e.version, e.changes)
			}
			if e.changes > 6 {
				t.Errorf("engine %s that ignores fencing changed %d times", name, e.changes)
			}
		}
	}
}

// A host whose view was not confirmed gives no order, nor after a report that
// is old, nor to an engine that has obeyed a higher revision.
func TestOldViewsGiveNoOrder(t *testing.T) {
	now := _start.Add(time.Hour)
	cases := []struct {
		name     string
		viewedAt time.Time
		askedAt  time.Time
		fence    uint64
		want     bool
	}{
		{"current", now, now, 0, true},
		{"same revision", now, now, fence.Number(5, 9), true},
		{"view too old", now.Add(-time.Minute), now, 0, false},
		{"report too old", now, now.Add(-time.Minute), 0, false},
		{"higher revision", now, now, fence.Number(6, 1), false},
	}
	for _, c := range cases {
		k := keeper(0)
		k.Apply(_start, config(5, 1, "1", false))
		k.Confirm(c.viewedAt.Add(3 * time.Second))
		k.Observe(now, core.Report{Endpoint: "engine-3", Incarnation: 1, AskedAt: c.askedAt, FencingToken: c.fence})
		order, ok := k.Next(now)
		if ok != c.want {
			t.Errorf("%s: order %v, want %v", c.name, ok, c.want)
		}
		if ok && order.Order.Fence <= c.fence {
			t.Errorf("%s: number %d after %d", c.name, order.Order.Fence, c.fence)
		}
	}
}

// Numbers rise with the revision whatever the counters are, and one steward is
// computed alike from any order of the roster.
func TestNumbersAndStewards(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("a higher revision gives a higher number", prop.ForAll(
		func(revision uint32, low, high uint16) bool {
			lower := fence.Number(core.Revision(revision), uint64(high))
			return fence.Number(core.Revision(revision)+1, uint64(low)) > lower
		}, gen.UInt32(), gen.UInt16(), gen.UInt16()))
	properties.Property("the roster's order does not matter", prop.ForAll(
		func(endpoint string, seed uint64) bool {
			hosts := config(1, 9, "1", true).Hosts
			want := fence.Steward(core.EndpointName(endpoint), hosts)
			rand.New(rand.NewPCG(seed, 2)).Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
			return fence.Steward(core.EndpointName(endpoint), hosts) == want
		}, gen.AlphaString(), gen.UInt64()))
	properties.TestingRun(t)
}
