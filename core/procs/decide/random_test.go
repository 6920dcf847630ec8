package decide_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/slots"
)

const (
	_fleetHosts     = 9
	_fleetEndpoints = 4
)

// fleetConfigs gives revisions that move slots. One host leaves the roster and
// comes back; with replace set, every second revision replaces all hosts.
func fleetConfigs(revisions int, replace bool) []core.Config {
	var configs []core.Config
	for r := range revisions {
		var hosts []core.HostName
		for i := range _fleetHosts {
			number := i + 1
			if replace {
				number += (r + i) % 2 * 10
			}
			hosts = append(hosts, core.HostName(fmt.Sprintf("h%d", number)))
		}
		config := site(hosts[:_fleetHosts-r%2]...)
		config.Revision = core.Revision(r + 1)
		config.Endpoints = nil
		for i := range _fleetEndpoints {
			config.Endpoints = append(config.Endpoints, core.Endpoint{
				Name: core.EndpointName(fmt.Sprintf("e%d", i)), Service: "s", DataCentre: "a",
				ColdSlots: 2, WarmSlots: 12, MemoryTokens: 1000,
			})
		}
		configs = append(configs, config)
	}
	return configs
}

// seedCount gives the number of seeds: SEEDS, or a few.
func seedCount(few int) int {
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		return n
	}
	return few
}

// chaos schedules the faults of a run.
func (f *fleet) chaos() {
	f.loss = 0.05
	f.publish()
	for _, h := range f.hosts {
		if contains(f.configs[0], h.name) {
			f.start(h, f.configs[0])
		} else {
			h.decider = nil
		}
		f.arrivals(h, 2)
	}
	for i := 1; i < len(f.configs); i++ {
		f.at(time.Duration(i)*60*time.Second+f.jitter(20*time.Second), func() { f.publishRevision(i) })
	}
	for _, c := range f.configs[0].Endpoints {
		f.phases(f.endpoints[c.Name])
	}
	f.faults()
}

func contains(config core.Config, name core.HostName) bool {
	for _, host := range config.Hosts {
		if host.Name == name {
			return true
		}
	}
	return false
}

// publishRevision spreads a revision to the hosts on the service's side of a
// partition; the others learn it from peers later.
func (f *fleet) publishRevision(i int) {
	config := f.configs[i]
	for _, h := range f.hosts {
		switch {
		case h.alive && h.side == 0:
			f.onHost(h, f.jitter(f.configs[0].Limits.ConfigSpread), func() { f.apply(h, config) })
		case !h.alive && contains(config, h.name) && h.decider == nil:
			f.at(f.jitter(5*time.Second), func() { f.start(h, config) })
		}
	}
}

// phases turns an endpoint warm and cold at random.
func (f *fleet) phases(e *simEndpoint) {
	f.at(5*time.Second+f.jitter(30*time.Second), func() {
		if e.phase == core.PhaseCold {
			e.phase = core.PhaseWarm
		} else {
			f.turnCold(e, f.rng.IntN(2) == 0)
		}
		f.phases(e)
	})
}

// faults pauses, crashes and partitions hosts.
func (f *fleet) faults() {
	f.at(3*time.Second+f.jitter(12*time.Second), func() {
		h := f.hosts[f.rng.IntN(len(f.hosts))]
		switch f.rng.IntN(4) {
		case 0:
			h.pausedUntil = f.now.Add(f.jitter(60 * time.Second))
		case 1:
			f.crashAndRestart(h)
		case 2:
			for _, other := range f.hosts {
				other.side = f.rng.IntN(2)
			}
		default:
			for _, other := range f.hosts {
				other.side = 0
			}
		}
		f.faults()
	})
}

func (f *fleet) crashAndRestart(h *simHost) {
	if !h.alive {
		return
	}
	f.crash(h)
	f.at(time.Second+f.jitter(20*time.Second), func() {
		best := f.configs[h.revision-1]
		for _, other := range f.hosts {
			if other.alive && other.side == h.side && other.revision > best.Revision {
				best = f.configs[other.revision-1]
			}
		}
		f.start(h, best)
	})
}

func TestRandomisedFleetKeepsTheColdLimit(t *testing.T) {
	for seed := range seedCount(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, uint64(seed), slots.Weakness{}, fleetConfigs(3, seed%2 == 1))
			f.chaos()
			f.run(4 * time.Minute)
			t.Logf("dispatched %d, on known cold endpoints %d, cold over %d, warm over %d, refused %d of %d",
				f.dispatched, f.coldWork, f.coldOver, f.warmOver, f.refused, f.submitted)
			if f.coldOver > 0 {
				t.Errorf("cold limit exceeded %d times, last: %s", f.coldOver, f.violation)
			}
			if f.coldWork == 0 {
				t.Error("no request ran on an endpoint known to be cold")
			}
			for id, times := range f.answered {
				if times > 1 {
					t.Errorf("request %d was answered %d times", id, times)
				}
			}
		})
	}
}

// TestFleetChecksBite shows that the count at the endpoints notices each
// safeguard that is switched off.
func TestFleetChecksBite(t *testing.T) {
	weaknesses := []struct {
		name     string
		weakness slots.Weakness
	}{
		{"NoOwnership", slots.Weakness{NoOwnership: true}},
		{"NoLeaseDeadline", slots.Weakness{NoLeaseDeadline: true}},
		{"NoGainDeadline", slots.Weakness{NoGainDeadline: true}},
	}
	for _, w := range weaknesses {
		t.Run(w.name, func(t *testing.T) {
			for seed := range 8 {
				f := newFleet(t, uint64(seed), w.weakness, fleetConfigs(3, true))
				f.chaos()
				f.run(4 * time.Minute)
				if f.coldOver > 0 {
					t.Logf("seed %d: %d times over the cold limit", seed, f.coldOver)
					return
				}
			}
			t.Error("no seed exceeded the cold limit without the safeguard")
		})
	}
}
