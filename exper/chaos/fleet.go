// Package chaos simulates a fleet of Deciders in virtual time under random faults:
// lost, late and duplicated messages, pauses, crashes, partitions, new revisions, and
// endpoints that become warm and cold. Requests in flight are counted at the endpoint,
// independently of the hosts' own state. The same seed repeats a run exactly.
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
	_reportLag        = time.Second           // greatest age of the state in a report
	_maxDispatchDelay = 20 * time.Millisecond // from Confirm to the arrival at the endpoint
	_reportInterval   = time.Second
)

// simHost is one host and the process that currently runs under its name.
type simHost struct {
	name        core.HostName
	id          core.HostID
	decider     *decide.Decider
	alive       bool
	pausedUntil time.Time
	side        int // the side of a partition; other sides are unreachable
	revision    core.Revision
	starts      int // number of starts; events of an earlier start are ignored
	unanswered  map[core.RequestID]int
	wakeAt      time.Time
}

// simEndpoint is the actual state of one endpoint, which hosts see only in reports.
type simEndpoint struct {
	config      core.Endpoint
	phase       core.Phase
	incarnation core.Incarnation
	coldSince   time.Time
	inFlight    map[int]string // descriptions of the requests in flight
	reports     []core.Report
}

// Counts holds the numbers of events in a run.
type Counts struct {
	Submitted  int
	Refused    int
	Dispatched int
	// ColdWork counts requests that arrived at a cold endpoint when no host could have
	// a valid report that showed it warm, ColdOver those of them that exceeded its cold
	// slots. WarmOver counts requests that exceeded the warm slots of a warm endpoint.
	ColdWork int
	ColdOver int
	WarmOver int
	// ColdOverDetail describes the last request that ColdOver counts.
	ColdOverDetail string
}

// Fleet simulates hosts, each with a Decider, and endpoints, with random delays and
// faults. It is not safe for concurrent use.
type Fleet struct {
	*vtime.Clock
	Counts

	rng            *rand.Rand
	hosts          []*simHost
	endpoints      map[core.EndpointName]*simEndpoint
	configs        []core.Config
	publishedIndex int     // index of the last published revision
	loss           float64 // share of messages that are lost or duplicated
	switches       slots.Switches
	lastRunID      int
	lastRequestID  int
	answers        map[core.RequestID]int // number of answers to each request
}

// New returns a fleet with the hosts of all revisions. It starts with the first
// revision; switches turn off safeguards of the Deciders.
func New(seed uint64, switches slots.Switches, configs []core.Config) *Fleet {
	f := &Fleet{
		Clock: vtime.NewClock(_epoch), rng: rand.New(rand.NewPCG(seed, 7)), configs: configs, switches: switches,
		endpoints: map[core.EndpointName]*simEndpoint{}, answers: map[core.RequestID]int{},
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

// jitter returns a random duration between 0 and limit.
func (f *Fleet) jitter(limit time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(limit) + 1))
}

// afterOnHost calls run after a delay in the host's current process. If the process is
// paused by then, it calls run when the process resumes; if it has ended, never.
func (f *Fleet) afterOnHost(h *simHost, delay time.Duration, run func()) {
	starts := h.starts
	f.After(delay, func() {
		if !h.alive || h.starts != starts {
			return
		}
		if f.Now.Before(h.pausedUntil) {
			f.afterOnHost(h, h.pausedUntil.Sub(f.Now)+f.jitter(time.Millisecond), run)
			return
		}
		run()
	})
}

// send calls run on the receiving host after a random delay. The message may be lost
// or duplicated, and does not cross a partition.
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
			f.afterOnHost(to, delay, run)
		}
	}
}

func (f *Fleet) hostByName(name core.HostName) *simHost {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// startHost starts a new process of a host with the given configuration.
func (f *Fleet) startHost(h *simHost, config core.Config) {
	h.starts++
	h.alive = true
	h.pausedUntil = time.Time{}
	h.unanswered = map[core.RequestID]int{}
	h.wakeAt = time.Time{}
	h.id = core.HostID{Host: h.name, Incarnation: core.Incarnation(f.Now.UnixNano())}
	h.decider = decide.New(h.id, decide.Options{
		Policy: route.NewProduct(nil), Random: rand.New(rand.NewPCG(f.rng.Uint64(), 1)), Switches: f.switches,
	})
	h.revision = 0
	f.apply(h, config)
	f.every(h, _reportInterval, func() { f.poll(h) })
	f.every(h, 500*time.Millisecond, func() { f.heartbeat(h) })
}

// every calls run on the host's current process at a regular interval.
func (f *Fleet) every(h *simHost, interval time.Duration, run func()) {
	var tick func()
	tick = func() {
		run()
		f.afterOnHost(h, interval, tick)
	}
	f.afterOnHost(h, f.jitter(interval), tick)
}

func (f *Fleet) crashHost(h *simHost) {
	h.alive = false
	for id := range h.unanswered {
		f.answers[id]++ // the caller sees the connection fail
	}
}

func (f *Fleet) apply(h *simHost, config core.Config) {
	if config.Revision > h.revision {
		h.revision = config.Revision
		f.execute(h, h.decider.Apply(f.Now, config))
	}
}

func (f *Fleet) heartbeat(h *simHost) {
	for _, peer := range f.hosts {
		id, revision := h.id, h.revision
		if peer == h || !peer.alive {
			continue
		}
		f.send(h, peer, func() {
			f.execute(peer, peer.decider.Acknowledged(f.Now, id, revision))
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
		askedAt := f.Now
		e := f.endpoints[name]
		f.afterOnHost(h, time.Millisecond+f.jitter(20*time.Millisecond), func() {
			report := e.reportSince(f.Now.Add(-f.jitter(_reportLag)))
			report.AskedAt = askedAt
			f.execute(h, h.decider.Observe(f.Now, report))
		})
	}
}
