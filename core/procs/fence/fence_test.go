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

func newScheduler(host int) *fence.Scheduler {
	return fence.New(core.HostName(fmt.Sprintf("entry-%d", host)), rand.New(rand.NewPCG(uint64(host), 1)))
}

// engine is a minimal engine, with room for one version.
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

func (e *engine) obey(order core.EngineOrder) {
	if e.checks && order.Fence <= e.fence {
		return
	}
	e.fence = max(e.fence, order.Fence)
	if order.Version != e.version {
		e.changes++
		e.version = order.Version
	}
}

// site has a scheduler for each host, and the engines.
type site struct {
	schedulers []*fence.Scheduler
	engines    map[core.EndpointName]*engine
	loads      []time.Time
}

func (s *site) step(now time.Time) {
	for _, scheduler := range s.schedulers {
		scheduler.ExtendView(now.Add(3 * time.Second))
		for _, name := range scheduler.Endpoints() {
			scheduler.Observe(now, s.engines[name].report(now, name))
		}
		for {
			order, ok := scheduler.Next(now)
			if !ok {
				break
			}
			s.engines[order.Endpoint.Name].obey(order.Order)
			scheduler.Sent(now, order)
			s.loads = append(s.loads, now)
		}
	}
}

func newSite(checks bool) *site {
	s := &site{engines: make(map[core.EndpointName]*engine)}
	for _, endpoint := range config(1, 1, "1", checks).Endpoints {
		s.engines[endpoint.Name] = &engine{checks: checks}
	}
	return s
}

// All engines get loaded. In no 5 minutes do the stewards order more loads than the
// rate allows, plus one for each steward.
func TestLoadsStayBelowTheRate(t *testing.T) {
	const hosts = 9
	s := newSite(true)
	for i := range hosts {
		scheduler := newScheduler(i)
		scheduler.Apply(_start, config(5, hosts, "1", true))
		s.schedulers = append(s.schedulers, scheduler)
	}
	for second := range 1200 {
		s.step(_start.Add(time.Duration(second) * time.Second))
	}
	for name, e := range s.engines {
		if e.version != "1" {
			t.Errorf("engine %s holds %q, want 1", name, e.version)
		}
	}
	for i, at := range s.loads {
		within := 0
		for _, later := range s.loads[i:] {
			if later.Sub(at) < 5*time.Minute {
				within++
			}
		}
		if within > 6*5+hosts {
			t.Errorf("%d loads in 5 minutes from %v, want %d at most", within, at, 6*5+hosts)
		}
	}
}

// Two stewards with different revisions change the model of an engine only a bounded
// number of times, whether or not it checks fencing tokens.
func TestTwoStewardsDoNotFlap(t *testing.T) {
	for _, checks := range []bool{true, false} {
		s := newSite(checks)
		stale, current := newScheduler(0), newScheduler(0)
		stale.Apply(_start, config(5, 1, "1", checks))
		current.Apply(_start, config(6, 1, "2", checks))
		s.schedulers = []*fence.Scheduler{stale, current}
		for second := range 3 * 3600 {
			s.step(_start.Add(time.Duration(second) * time.Second))
		}
		for name, e := range s.engines {
			if checks && (e.version != "2" || e.changes > 2) {
				t.Errorf("engine %s holds %q after %d changes, want 2 after 2 at most", name, e.version, e.changes)
			}
			if e.changes > 6 {
				t.Errorf("engine %s that ignores fencing changed %d times", name, e.changes)
			}
		}
	}
}

// A host sends no order if its view is too old, if the report is too old, or if the
// engine has obeyed an order of a higher revision.
func TestStaleViewsGiveNoOrder(t *testing.T) {
	now := _start.Add(time.Hour)
	cases := []struct {
		name     string
		viewedAt time.Time
		askedAt  time.Time
		fence    uint64
		want     bool
	}{
		{"current", now, now, 0, true},
		{"same revision", now, now, fence.Token(5, 9), true},
		{"view too old", now.Add(-time.Minute), now, 0, false},
		{"report too old", now, now.Add(-time.Minute), 0, false},
		{"higher revision", now, now, fence.Token(6, 1), false},
	}
	for _, c := range cases {
		scheduler := newScheduler(0)
		scheduler.Apply(_start, config(5, 1, "1", false))
		scheduler.ExtendView(c.viewedAt.Add(3 * time.Second))
		scheduler.Observe(now, core.Report{Endpoint: "engine-3", Incarnation: 1, AskedAt: c.askedAt, FencingToken: c.fence})
		order, ok := scheduler.Next(now)
		if ok != c.want {
			t.Errorf("%s: order %v, want %v", c.name, ok, c.want)
		}
		if ok && order.Order.Fence <= c.fence {
			t.Errorf("%s: token %d after %d", c.name, order.Order.Fence, c.fence)
		}
	}
}

// Tokens increase with the revision whatever the counters are, and the steward does
// not depend on the order of the hosts.
func TestTokensAndStewards(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("a higher revision gives a higher token", prop.ForAll(
		func(revision uint32, low, high uint16) bool {
			lower := fence.Token(core.Revision(revision), uint64(high))
			return fence.Token(core.Revision(revision)+1, uint64(low)) > lower
		}, gen.UInt32(), gen.UInt16(), gen.UInt16()))
	properties.Property("the order of the hosts does not matter", prop.ForAll(
		func(endpoint string, seed uint64) bool {
			hosts := config(1, 9, "1", true).Hosts
			want := fence.Steward(core.EndpointName(endpoint), hosts)
			rand.New(rand.NewPCG(seed, 2)).Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
			return fence.Steward(core.EndpointName(endpoint), hosts) == want
		}, gen.AlphaString(), gen.UInt64()))
	properties.TestingRun(t)
}
