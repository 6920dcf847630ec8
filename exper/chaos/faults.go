package chaos

import (
	"fmt"
	"time"

	"apricotproxy/core"
)

const (
	_loss        = 0.05
	_arrivalRate = 2 // requests a second at each host
)

// Begin starts the hosts of the first revision, the arrivals at all of them and
// the loss of messages.
func (f *Fleet) Begin() {
	f.loss = _loss
	f.publish()
	for _, h := range f.hosts {
		if contains(f.configs[0], h.name) {
			f.start(h, f.configs[0])
		}
		f.arrivals(h, _arrivalRate)
	}
}

// Chaos begins, and schedules revisions and faults for as long as the fleet
// runs.
func (f *Fleet) Chaos() {
	f.Begin()
	for i := 1; i < len(f.configs); i++ {
		f.After(time.Duration(i)*60*time.Second+f.jitter(20*time.Second), f.Publish)
	}
	for _, c := range f.configs[0].Endpoints {
		f.phases(f.endpoints[c.Name])
	}
	f.faults()
}

// Run goes on for a time.
func (f *Fleet) Run(length time.Duration) { f.RunUntil(f.Now.Add(length)) }

// Hosts counts the roster positions of all revisions.
func (f *Fleet) Hosts() int { return len(f.hosts) }

// Pause holds a host's process; it wakes up with an old view.
func (f *Fleet) Pause(host int, length time.Duration) { f.hosts[host].pausedUntil = f.Now.Add(length) }

// Crash ends a host's process; another one starts at its position later.
func (f *Fleet) Crash(host int) { f.crashAndRestart(f.hosts[host]) }

// Partition puts host i on the side of bit i; 0 heals.
func (f *Fleet) Partition(sides int) {
	for i, h := range f.hosts {
		h.side = sides >> i & 1
	}
}

// Publish publishes the next revision, if there is one.
func (f *Fleet) Publish() {
	if f.published+1 < len(f.configs) {
		f.published++
		f.publishRevision(f.published)
	}
}

// SetPhase turns an endpoint warm or cold, unannounced; a restart ends its work.
func (f *Fleet) SetPhase(endpoint int, phase core.Phase, restart bool) {
	e := f.endpoints[f.configs[0].Endpoints[endpoint].Name]
	if phase == core.PhaseWarm {
		e.phase = phase
		return
	}
	f.turnCold(e, restart)
}

// Broken describes a broken promise; empty for none.
func (f *Fleet) Broken() string {
	if f.ColdOver > 0 {
		return f.Violation
	}
	for id := range core.RequestID(f.nextID + 1) {
		if f.answered[id] > 1 {
			return fmt.Sprintf("request %d was answered %d times", id, f.answered[id])
		}
	}
	return ""
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
func (f *Fleet) publishRevision(i int) {
	config := f.configs[i]
	for _, h := range f.hosts {
		switch {
		case h.alive && h.side == 0:
			f.onHost(h, f.jitter(f.configs[0].Limits.ConfigSpread), func() { f.apply(h, config) })
		case !h.alive && contains(config, h.name) && h.decider == nil:
			f.After(f.jitter(5*time.Second), func() { f.start(h, config) })
		}
	}
}

// phases turns an endpoint warm and cold at random.
func (f *Fleet) phases(e *simEndpoint) {
	f.After(5*time.Second+f.jitter(30*time.Second), func() {
		if e.phase == core.PhaseCold {
			e.phase = core.PhaseWarm
		} else {
			f.turnCold(e, f.rng.IntN(2) == 0)
		}
		f.phases(e)
	})
}

// faults pauses, crashes and partitions hosts.
func (f *Fleet) faults() {
	f.After(3*time.Second+f.jitter(12*time.Second), func() {
		i := f.rng.IntN(len(f.hosts))
		switch f.rng.IntN(4) {
		case 0:
			f.Pause(i, f.jitter(60*time.Second))
		case 1:
			f.Crash(i)
		case 2:
			f.Partition(f.rng.IntN(1 << len(f.hosts)))
		default:
			f.Partition(0)
		}
		f.faults()
	})
}

func (f *Fleet) crashAndRestart(h *simHost) {
	if !h.alive {
		return
	}
	f.crash(h)
	f.After(time.Second+f.jitter(20*time.Second), func() {
		best := f.configs[h.revision-1]
		for _, other := range f.hosts {
			if other.alive && other.side == h.side && other.revision > best.Revision {
				best = f.configs[other.revision-1]
			}
		}
		f.start(h, best)
	})
}
