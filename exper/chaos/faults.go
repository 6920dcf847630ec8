package chaos

import (
	"fmt"
	"time"

	"apricotproxy/core"
)

const (
	_messageLoss = 0.05 // share of messages that are lost or duplicated, each with the same probability
	_arrivalRate = 2    // requests per second at each host
)

// Start starts the hosts of the first revision, the arrival of requests at all hosts
// and the loss and duplication of messages.
func (f *Fleet) Start() {
	f.loss = _messageLoss
	f.recordReports()
	for _, h := range f.hosts {
		if hasHost(f.configs[0], h.name) {
			f.startHost(h, f.configs[0])
		}
		f.submitRequests(h, _arrivalRate)
	}
}

// StartWithFaults starts the fleet with faults: it also schedules the publication of all
// revisions, and random faults for as long as the fleet runs.
func (f *Fleet) StartWithFaults() {
	f.Start()
	for i := 1; i < len(f.configs); i++ {
		f.After(time.Duration(i)*60*time.Second+f.jitter(20*time.Second), f.Publish)
	}
	for _, c := range f.configs[0].Endpoints {
		f.changePhases(f.endpoints[c.Name])
	}
	f.injectFaults()
}

// Run runs the fleet for a span of virtual time.
func (f *Fleet) Run(span time.Duration) { f.RunUntil(f.Now.Add(span)) }

// HostCount returns the number of different hosts in all revisions.
func (f *Fleet) HostCount() int { return len(f.hosts) }

// Pause suspends a host's process. When it resumes, its state is outdated.
func (f *Fleet) Pause(host int, span time.Duration) { f.hosts[host].pausedUntil = f.Now.Add(span) }

// Crash ends a host's process and schedules the start of another one.
func (f *Fleet) Crash(host int) { f.crashAndRestart(f.hosts[host]) }

// Partition splits the network in two: bit i of sides is the side of host i. 0 ends
// the partition.
func (f *Fleet) Partition(sides int) {
	for i, h := range f.hosts {
		h.side = sides >> i & 1
	}
}

// Publish publishes the next revision, if there is one.
func (f *Fleet) Publish() {
	if f.publishedIndex+1 < len(f.configs) {
		f.publishedIndex++
		f.spreadRevision(f.publishedIndex)
	}
}

// SetPhase makes an endpoint warm or cold, which hosts learn only from its reports.
// With restart set, an endpoint that becomes cold drops the requests that run on it.
func (f *Fleet) SetPhase(endpoint int, phase core.Phase, restart bool) {
	e := f.endpoints[f.configs[0].Endpoints[endpoint].Name]
	if phase == core.PhaseWarm {
		e.phase = phase
		return
	}
	f.turnCold(e, restart)
}

// Violation returns a description of a broken promise, empty if there is none: a request
// above the cold slots, or a request answered more than once.
func (f *Fleet) Violation() string {
	if f.ColdOver > 0 {
		return f.ColdOverDetail
	}
	for id := range core.RequestID(f.lastRequestID + 1) {
		if f.answers[id] > 1 {
			return fmt.Sprintf("request %d was answered %d times", id, f.answers[id])
		}
	}
	return ""
}

func hasHost(config core.Config, name core.HostName) bool {
	for _, host := range config.Hosts {
		if host.Name == name {
			return true
		}
	}
	return false
}

// spreadRevision sends a revision to the hosts on side 0, where the configuration
// service is. The others receive it from their peers later. It also starts the hosts
// that are new in the revision.
func (f *Fleet) spreadRevision(i int) {
	config := f.configs[i]
	for _, h := range f.hosts {
		switch {
		case h.alive && h.side == 0:
			f.afterOnHost(h, f.jitter(f.configs[0].Limits.ConfigSpread), func() { f.apply(h, config) })
		case !h.alive && hasHost(config, h.name) && h.decider == nil:
			f.After(f.jitter(5*time.Second), func() { f.startHost(h, config) })
		}
	}
}

// changePhases makes an endpoint warm and cold in turn, at random times.
func (f *Fleet) changePhases(e *simEndpoint) {
	f.After(5*time.Second+f.jitter(30*time.Second), func() {
		if e.phase == core.PhaseCold {
			e.phase = core.PhaseWarm
		} else {
			f.turnCold(e, f.rng.IntN(2) == 0)
		}
		f.changePhases(e)
	})
}

// injectFaults pauses, crashes and partitions hosts at random times.
func (f *Fleet) injectFaults() {
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
		f.injectFaults()
	})
}

// crashAndRestart ends a host's process. Later it starts a new one with the host's last
// revision, or with a higher one if a running host on the same side of the partition
// has it.
func (f *Fleet) crashAndRestart(h *simHost) {
	if !h.alive {
		return
	}
	f.crashHost(h)
	f.After(time.Second+f.jitter(20*time.Second), func() {
		newest := f.configs[h.revision-1]
		for _, other := range f.hosts {
			if other.alive && other.side == h.side && other.revision > newest.Revision {
				newest = f.configs[other.revision-1]
			}
		}
		f.startHost(h, newest)
	})
}
