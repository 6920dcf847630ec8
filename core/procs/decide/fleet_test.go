package decide_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/decide"
	"apricotproxy/core/procs/route"
	"apricotproxy/core/procs/slots"
)

// The fleet is a randomised world of Deciders and endpoints in virtual time.
// What is on an endpoint is counted at the endpoint, whatever hosts believe.

const (
	_reportLag   = time.Second
	_arrivalGap  = 20 * time.Millisecond // at most, from Confirm to the endpoint
	_reportEvery = time.Second
)

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	if !q[a].at.Equal(q[b].at) {
		return q[a].at.Before(q[b].at)
	}
	return q[a].seq < q[b].seq
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

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

type fleet struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Time
	queue     eventQueue
	seq       int
	hosts     []*simHost
	endpoints map[core.EndpointName]*simEndpoint
	configs   []core.Config
	loss      float64
	weakness  slots.Weakness
	nextWork  int
	nextID    int

	coldOver, warmOver, dispatched, refused, coldWork int
	answered                                          map[core.RequestID]int
	submitted                                         int
	violation                                         string
}

func newFleet(t *testing.T, seed uint64, weakness slots.Weakness, configs []core.Config) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: _start, configs: configs, weakness: weakness,
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
		f.endpoints[e.Name] = &simEndpoint{config: e, phase: core.PhaseCold, incarnation: 1, coldSince: f.now, inFlight: map[int]string{}}
	}
	return f
}

func (f *fleet) at(delay time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{at: f.now.Add(delay), seq: f.seq, run: run})
}

func (f *fleet) jitter(most time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(most) + 1))
}

func (f *fleet) run(length time.Duration) {
	end := f.now.Add(length)
	for f.queue.Len() > 0 && f.queue[0].at.Before(end) {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// onHost runs something on the present process of a host; a paused process
// does it when it wakes up, a dead one never.
func (f *fleet) onHost(h *simHost, delay time.Duration, run func()) {
	life := h.life
	f.at(delay, func() {
		if !h.alive || h.life != life {
			return
		}
		if f.now.Before(h.pausedUntil) {
			f.onHost(h, h.pausedUntil.Sub(f.now)+f.jitter(time.Millisecond), run)
			return
		}
		run()
	})
}

// send carries a message between hosts, with delay, loss and duplication.
func (f *fleet) send(from, to *simHost, run func()) {
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

func (f *fleet) host(name core.HostName) *simHost {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// start begins a new life at a position, with the highest revision at hand.
func (f *fleet) start(h *simHost, config core.Config) {
	h.life++
	h.alive = true
	h.pausedUntil = time.Time{}
	h.open = map[core.RequestID]int{}
	h.wake = time.Time{}
	h.id = core.HostID{Host: h.name, Incarnation: core.Incarnation(f.now.UnixNano())}
	h.decider = decide.New(h.id, decide.Options{
		Policy: route.NewProduct(nil), Random: rand.New(rand.NewPCG(f.rng.Uint64(), 1)), Weakness: f.weakness,
	})
	h.revision = 0
	f.apply(h, config)
	f.every(h, _reportEvery, func() { f.poll(h) })
	f.every(h, 500*time.Millisecond, func() { f.heartbeat(h) })
}

func (f *fleet) every(h *simHost, interval time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		f.onHost(h, interval, again)
	}
	f.onHost(h, f.jitter(interval), again)
}

func (f *fleet) crash(h *simHost) {
	h.alive = false
	for id := range h.open {
		f.answered[id]++ // the caller sees the connection break
	}
}

func (f *fleet) apply(h *simHost, config core.Config) {
	if config.Revision > h.revision {
		h.revision = config.Revision
		f.act(h, h.decider.Apply(f.now, config))
	}
}

func (f *fleet) heartbeat(h *simHost) {
	for _, peer := range f.hosts {
		id, revision := h.id, h.revision
		if peer == h || !peer.alive {
			continue
		}
		f.send(h, peer, func() {
			f.act(peer, peer.decider.Acknowledged(f.now, id, revision))
			if revision > peer.revision {
				f.apply(peer, f.configs[revision-1])
			}
		})
	}
}

func (f *fleet) poll(h *simHost) {
	names := make([]core.EndpointName, 0, len(f.endpoints))
	for _, e := range f.configs[0].Endpoints {
		names = append(names, e.Name)
	}
	for _, name := range names {
		asked := f.now
		e := f.endpoints[name]
		f.onHost(h, time.Millisecond+f.jitter(20*time.Millisecond), func() {
			report := e.lagging(f.now.Add(-f.jitter(_reportLag)))
			report.AskedAt = asked
			f.act(h, h.decider.Observe(f.now, report))
		})
	}
}

// publish keeps the endpoint's state for reports that lag.
func (f *fleet) publish() {
	for _, c := range f.configs[0].Endpoints {
		e := f.endpoints[c.Name]
		e.published = append(e.published, core.Report{
			Endpoint: c.Name, Incarnation: e.incarnation, Phase: e.phase, Running: len(e.inFlight),
			FreeTokens: 100000, TotalTokens: 100000, AskedAt: f.now,
		})
		if len(e.published) > 100 {
			e.published = e.published[50:]
		}
	}
	f.at(50*time.Millisecond, f.publish)
}

// lagging gives the first state at or after a time: never older than asked for.
func (e *simEndpoint) lagging(since time.Time) core.Report {
	for _, report := range e.published {
		if !report.AskedAt.Before(since) {
			return report
		}
	}
	return core.Report{Endpoint: e.config.Name, Incarnation: e.incarnation, Phase: e.phase, Running: len(e.inFlight)}
}

func (f *fleet) turnCold(e *simEndpoint, restart bool) {
	if restart {
		e.incarnation++
		clear(e.inFlight)
	}
	if e.phase == core.PhaseWarm || restart {
		e.coldSince = f.now
	}
	e.phase = core.PhaseCold
}

// arrive counts a request at the endpoint.
func (f *fleet) arrive(e *simEndpoint, who string, lasts time.Duration) {
	f.nextWork++
	work := f.nextWork
	incarnation := e.incarnation
	e.inFlight[work] = who
	f.dispatched++
	terms := slots.TermsOf(f.configs[0].Limits)
	known := f.now.Sub(e.coldSince) > terms.Validity+terms.Lag+2*_arrivalGap
	if e.phase == core.PhaseCold && known {
		f.coldWork++
		if len(e.inFlight) > e.config.ColdSlots {
			f.coldOver++
			f.violation = fmt.Sprintf("%s: %d in flight on cold %s of %d, cold for %s: %v",
				f.now.Sub(_start), len(e.inFlight), e.config.Name, e.config.ColdSlots, f.now.Sub(e.coldSince), e.inFlight)
		}
	}
	if e.phase == core.PhaseWarm && len(e.inFlight) > e.config.WarmSlots {
		f.warmOver++
	}
	f.at(lasts, func() {
		if e.incarnation == incarnation {
			delete(e.inFlight, work)
		}
	})
}

// act carries out what a Decider wants, as the shell does.
func (f *fleet) act(h *simHost, actions core.Actions) {
	for _, placement := range actions.Placements {
		f.onHost(h, f.jitter(50*time.Millisecond), func() { f.dispatch(h, placement) })
	}
	for _, refusal := range actions.Refusals {
		f.refused++
		f.answer(h, refusal.Request)
	}
	for _, borrowing := range actions.Borrowings {
		f.borrow(h, borrowing)
	}
	for _, returning := range actions.Returnings {
		owner := f.host(returning.Lease.Owner.Host)
		lease := returning.Lease
		f.send(h, owner, func() { f.act(owner, owner.decider.Returned(f.now, lease)) })
	}
	f.wakeAt(h, actions.WakeAt)
}

func (f *fleet) wakeAt(h *simHost, at time.Time) {
	if at.IsZero() || (h.wake.After(f.now) && !at.Before(h.wake)) {
		return
	}
	h.wake = at
	f.onHost(h, max(at.Sub(f.now), time.Millisecond), func() { f.act(h, h.decider.Tick(f.now)) })
}

func (f *fleet) answer(h *simHost, id core.RequestID) {
	f.answered[id]++
	delete(h.open, id)
}

func (f *fleet) borrow(h *simHost, borrowing core.Borrowing) {
	owner := f.host(borrowing.Owner)
	borrower := h.id
	refuse := func() { f.act(h, h.decider.Borrowed(f.now, borrowing, core.Lease{}, false)) }
	if owner == nil || !owner.alive || owner.side != h.side {
		f.onHost(h, time.Second, refuse)
		return
	}
	f.send(h, owner, func() {
		owner.decider.Reconcile(f.now, borrower, borrowing.Holding)
		lease, granted := owner.decider.Lend(f.now, borrower, borrowing.Endpoint, borrowing.Seen)
		f.send(owner, h, func() { f.act(h, h.decider.Borrowed(f.now, borrowing, lease, granted)) })
	})
}

func (f *fleet) dispatch(h *simHost, placement core.Placement) {
	if !h.decider.Confirm(f.now, placement) {
		f.act(h, h.decider.Tick(f.now))
		return
	}
	e := f.endpoints[placement.Endpoint]
	if f.rng.IntN(40) == 0 {
		f.finish(h, placement, core.ResultDialFailed, 10*time.Millisecond)
		return
	}
	lasts := 200*time.Millisecond + time.Duration(f.rng.ExpFloat64()*float64(3*time.Second))
	who := fmt.Sprintf("%s life %d revision %d slot %d at %s", h.name, h.life, h.revision, placement.Slot.Position, f.now.Sub(_start))
	f.at(f.jitter(_arrivalGap), func() { f.arrive(e, who, lasts) })
	results := []core.Result{core.ResultLost, core.ResultCut, core.ResultCancelled}
	if f.rng.IntN(25) == 0 {
		f.finish(h, placement, results[f.rng.IntN(len(results))], f.jitter(lasts))
		return
	}
	f.finish(h, placement, core.ResultCompleted, lasts+_arrivalGap+f.jitter(_arrivalGap))
}

func (f *fleet) finish(h *simHost, placement core.Placement, result core.Result, after time.Duration) {
	f.onHost(h, after, func() {
		if result == core.ResultCompleted || result == core.ResultCut || result == core.ResultCancelled {
			f.answer(h, placement.Request)
		}
		f.act(h, h.decider.Finish(f.now, placement, result, 10))
	})
}

// arrivals submits requests at every host.
func (f *fleet) arrivals(h *simHost, rate float64) {
	gap := time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
	f.at(gap, func() {
		f.arrivals(h, rate)
		if !h.alive || f.now.Before(h.pausedUntil) {
			return
		}
		f.nextID++
		f.submitted++
		request := ask(f.nextID, f.now)
		request.Repeatable = f.rng.IntN(3) > 0
		h.open[request.ID] = 1
		f.act(h, h.decider.Submit(f.now, request))
	})
}
