// Package chaos runs a fleet of decision cores through random faults in virtual
// time: lost, late and repeated messages, pauses, crashes, partitions, new
// revisions, and endpoints that turn warm and cold. What is on an endpoint is
// counted at the endpoint, whatever hosts believe. A seed replays a run exactly.
package chaos

import (
	"math/rand/v2"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/decide"
	"apricotproxy/core/procs/route"
	"apricotproxy/core/procs/slots"
	"apricotproxy/exper/vtime"
)

var _epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	_reportLag   = time.Second
	_arrivalGap  = 20 * time.Millisecond // at most, from Confirm to the endpoint
	_reportEvery = time.Second
)

// simHost is one roster position and the process that stands at it.
type simHost struct {
	name        core.HostName
	id          core.HostID
	decider     *decide.Decider
	alive       bool
	pausedUntil time.Time
	side        int // of the partition
	revision    core.Revision
	life        int // distinguishes events of earlier processes
	open        map[core.RequestID]int
	wake        time.Time
}

// simEndpoint is the truth about one endpoint.
type simEndpoint struct {
	config      core.Endpoint
	phase       core.Phase
	incarnation core.Incarnation
	coldSince   time.Time
	inFlight    map[int]string
	published   []core.Report
}

// Counts is what happened in a run.
type Counts struct {
	Submitted  int
	Refused    int
	Dispatched int
	// ColdWork counts arrivals at endpoints that hosts could know to be cold,
	// ColdOver those of them above the cold slots, WarmOver arrivals above the
	// warm slots.
	ColdWork int
	ColdOver int
	WarmOver int
	// Violation describes the last arrival above the cold slots.
	Violation string
}

// Fleet is a randomised world of Deciders and endpoints. It is not safe for
// concurrent use.
type Fleet struct {
	*vtime.Clock
	Counts

	rng       *rand.Rand
	hosts     []*simHost
	endpoints map[core.EndpointName]*simEndpoint
	configs   []core.Config
	published int // index of the last revision published
	loss      float64
	switches  slots.Switches
	nextWork  int
	nextID    int
	answered  map[core.RequestID]int
}

// New builds a fleet over the given revisions, the first of which is in force at
// the start. Switches turn safeguards off.
func New(seed uint64, switches slots.Switches, configs []core.Config) *Fleet {
	f := &Fleet{
		Clock: vtime.NewClock(_epoch), rng: rand.New(rand.NewPCG(seed, 7)), configs: configs, switches: switches,
		endpoints: map[core.EndpointName]*simEndpoint{}, answered: map[core.RequestID]int{},
	}
	names := map[core.HostName]bool{}
	for _, config := range configs {
		for _, host := range config.Hosts {
			if !names[host.Name] {
				names[host.Name] = true
				f.hosts = append(f.hosts, &simHost{name: host.Name})
			}
		}
	}
	for _, e := range configs[0].Endpoints {
		f.endpoints[e.Name] = &simEndpoint{config: e, phase: core.PhaseCold, incarnation: 1, coldSince: f.Now, inFlight: map[int]string{}}
	}
	return f
}

func (f *Fleet) jitter(most time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(most) + 1))
}

// onHost runs something on the present process of a host; a paused process
// does it when it wakes up, a dead one never.
func (f *Fleet) onHost(h *simHost, delay time.Duration, run func()) {
	life := h.life
	f.After(delay, func() {
		if !h.alive || h.life != life {
			return
		}
		if f.Now.Before(h.pausedUntil) {
			f.onHost(h, h.pausedUntil.Sub(f.Now)+f.jitter(time.Millisecond), run)
			return
		}
		run()
	})
}

// send carries a message between hosts, with delay, loss and duplication.
func (f *Fleet) send(from, to *simHost, run func()) {
	copies := 1
	if f.rng.Float64() < f.loss {
		copies = 2 * f.rng.IntN(2)
	}
	for range copies {
		delay := time.Millisecond + f.jitter(30*time.Millisecond)
		if f.rng.IntN(50) == 0 {
			delay += f.jitter(4 * time.Second)
		}
		if from.side == to.side {
			f.onHost(to, delay, run)
		}
	}
}

func (f *Fleet) host(name core.HostName) *simHost {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// start begins a new life at a position, with the highest revision at hand.
func (f *Fleet) start(h *simHost, config core.Config) {
	h.life++
	h.alive = true
	h.pausedUntil = time.Time{}
	h.open = map[core.RequestID]int{}
	h.wake = time.Time{}
	h.id = core.HostID{Host: h.name, Incarnation: core.Incarnation(f.Now.UnixNano())}
	h.decider = decide.New(h.id, decide.Options{
		Policy: route.NewProduct(nil), Random: rand.New(rand.NewPCG(f.rng.Uint64(), 1)), Switches: f.switches,
	})
	h.revision = 0
	f.apply(h, config)
	f.every(h, _reportEvery, func() { f.poll(h) })
	f.every(h, 500*time.Millisecond, func() { f.heartbeat(h) })
}

func (f *Fleet) every(h *simHost, interval time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		f.onHost(h, interval, again)
	}
	f.onHost(h, f.jitter(interval), again)
}

func (f *Fleet) crash(h *simHost) {
	h.alive = false
	for id := range h.open {
		f.answered[id]++ // the caller sees the connection break
	}
}

func (f *Fleet) apply(h *simHost, config core.Config) {
	if config.Revision > h.revision {
		h.revision = config.Revision
		f.act(h, h.decider.Apply(f.Now, config))
	}
}

func (f *Fleet) heartbeat(h *simHost) {
	for _, peer := range f.hosts {
		id, revision := h.id, h.revision
		if peer == h || !peer.alive {
			continue
		}
		f.send(h, peer, func() {
			f.act(peer, peer.decider.Acknowledged(f.Now, id, revision))
			if revision > peer.revision {
				f.apply(peer, f.configs[revision-1])
			}
		})
	}
}

func (f *Fleet) poll(h *simHost) {
	names := make([]core.EndpointName, 0, len(f.endpoints))
	for _, e := range f.configs[0].Endpoints {
		names = append(names, e.Name)
	}
	for _, name := range names {
		asked := f.Now
		e := f.endpoints[name]
		f.onHost(h, time.Millisecond+f.jitter(20*time.Millisecond), func() {
			report := e.lagging(f.Now.Add(-f.jitter(_reportLag)))
			report.AskedAt = asked
			f.act(h, h.decider.Observe(f.Now, report))
		})
	}
}
