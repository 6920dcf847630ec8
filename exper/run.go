// Package exper measures the decision core against small fake engines in
// virtual time: every host runs the Decider that serves, and the same seed
// gives the same figures.
package exper

import (
	"math/rand/v2"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/decide"
	"apricotproxy/core/procs/route"
	"apricotproxy/exper/vtime"
)

const (
	_networkDelay = time.Millisecond
	_reportEvery  = time.Second
	// _progressEvery is how many tokens pass between two calls of Progress.
	_progressEvery = 32
)

var _epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Setting is one run.
type Setting struct {
	Site   Site
	Policy Policy
	// Load is the arrival rate as a share of the site's capacity.
	Load   float64
	Length time.Duration
	// WarmUp is not measured.
	WarmUp time.Duration
	Seed   uint64
	// Fault is done to the engines during the run; none when nil.
	Fault func(*run)
}

// Policy builds what is compared, one per host.
type Policy struct {
	Name  string
	Build func(random *rand.Rand) core.RoutePolicy
	Roles decide.RolePlan
}

// run is one run in progress.
type run struct {
	*vtime.Clock
	setting  Setting
	config   core.Config
	rng      *rand.Rand
	hosts    []*host
	byName   map[core.HostName]*host
	engines  map[core.EndpointName]*engine
	nextID   core.RequestID
	measured time.Time // from when on
	result   *Result
}

// Run does one run.
func Run(setting Setting) *Result {
	r := &run{
		setting: setting,
		config:  setting.Site.Config(),
		rng:     rand.New(rand.NewPCG(setting.Seed, 1)),
		Clock:   vtime.NewClock(_epoch),
		byName:  make(map[core.HostName]*host),
		engines: make(map[core.EndpointName]*engine),
		result:  newResult(setting),
	}
	r.measured = _epoch.Add(setting.WarmUp)
	for _, config := range r.config.Endpoints {
		r.engines[config.Name] = newEngine(r, config)
	}
	for i := range r.config.Hosts {
		r.addHost(i)
	}
	if setting.Fault != nil {
		setting.Fault(r)
	}
	r.After(_settleTime, r.arrive)
	r.RunUntil(_epoch.Add(setting.Length))
	r.result.finish(setting.Length - setting.WarmUp)
	return r.result
}

// _settleTime is how long hosts and reports settle before the first arrival.
const _settleTime = 15 * time.Second

// arrive submits a request at a random host and plans the next arrival.
func (r *run) arrive() {
	rate := r.setting.Load * r.setting.Site.Capacity()
	r.After(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), r.arrive)
	r.nextID++
	a := r.setting.Site.draw(r.rng, r.nextID, r.Now)
	r.hosts[r.rng.IntN(len(r.hosts))].submit(a)
}

func (r *run) measuring() bool { return !r.Now.Before(r.measured) }

// token takes in a token of a request.
func (r *run) token(w *work) {
	first := w.produced == 1
	if r.measuring() {
		r.result.token(r.Now, w, first)
	}
	w.lastToken = r.Now
	if first || w.produced%_progressEvery == 0 {
		w.host.decider.Progress(r.Now, w.request.ID, w.produced)
	}
}

func (r *run) preempted() {
	if r.measuring() {
		r.result.Preemptions++
	}
}

// count takes in how many requests are in flight on an engine.
func (r *run) count(e *engine, inFlight int) {
	if !r.measuring() {
		return
	}
	if inFlight > e.config.WarmSlots {
		r.result.OverWarm++
	}
	if e.phase == core.PhaseCold && inFlight > e.config.ColdSlots {
		r.result.OverCold++
	}
}

// room tells whether some warm engine has a slot and memory for the whole of a
// request, with the memory share that the product leaves for growth.
func (r *run) room(a *arrival) bool {
	share := float64(route.DefaultWeights().MemoryShare)
	for _, e := range r.engines {
		inFlight := len(e.running) + len(e.waiting)
		if e.down || e.phase != core.PhaseWarm || inFlight >= e.config.WarmSlots {
			continue
		}
		if float64(e.used+a.PromptTokens+a.length) <= share*float64(e.config.MemoryTokens) {
			return true
		}
	}
	return false
}

// host is one entry host: the Decider with the shell's part done by events.
type host struct {
	run     *run
	id      core.HostID
	decider *decide.Decider
	waiting map[core.RequestID]*arrival
	wakeAt  time.Time
}

func (r *run) addHost(i int) {
	id := core.HostID{Host: r.config.Hosts[i].Name, Incarnation: 1}
	h := &host{run: r, id: id, waiting: make(map[core.RequestID]*arrival)}
	random := rand.New(rand.NewPCG(r.setting.Seed, uint64(i)+2))
	h.decider = decide.New(id, decide.Options{
		Policy: r.setting.Policy.Build(random),
		Random: random,
		Roles:  r.setting.Policy.Roles,
	})
	r.hosts = append(r.hosts, h)
	r.byName[id.Host] = h
	h.act(h.decider.Apply(r.Now, r.config))
	for j := range r.config.Hosts {
		other := core.HostID{Host: r.config.Hosts[j].Name, Incarnation: 1}
		h.act(h.decider.Acknowledged(r.Now, other, r.config.Revision))
	}
	for _, config := range r.config.Endpoints {
		e := r.engines[config.Name]
		r.After(time.Duration(r.rng.Int64N(int64(_reportEvery))), func() { h.poll(e) })
	}
}

// poll asks an engine for its report, again and again.
func (h *host) poll(e *engine) {
	asked := h.run.Now
	h.run.After(_reportEvery, func() { h.poll(e) })
	if e.down {
		return
	}
	report := e.report
	report.AskedAt = asked
	h.run.After(2*_networkDelay, func() { h.act(h.decider.Observe(h.run.Now, report)) })
}

func (h *host) submit(a *arrival) {
	h.waiting[a.ID] = a
	if h.run.measuring() {
		h.run.result.Submitted++
	}
	h.act(h.decider.Submit(h.run.Now, a.Request))
}

// act carries out a decision.
func (h *host) act(actions core.Actions) {
	r := h.run
	for _, placement := range actions.Placements {
		r.After(0, func() { h.dispatch(placement) })
	}
	for _, refusal := range actions.Refusals {
		if r.measuring() {
			r.result.refused(refusal.Err.Cause)
			if r.room(h.waiting[refusal.Request]) {
				r.result.RefusedWithRoom++
			}
		}
		delete(h.waiting, refusal.Request)
	}
	for _, borrowing := range actions.SlotRequests {
		h.borrow(borrowing)
	}
	for _, returning := range actions.LeaseReturns {
		owner := r.byName[returning.Lease.Owner.Host]
		r.After(_networkDelay, func() { owner.act(owner.decider.Returned(r.Now, returning.Lease)) })
	}
	if at := actions.WakeAt; !at.IsZero() && (!h.wakeAt.After(r.Now) || at.Before(h.wakeAt)) {
		h.wakeAt = at
		r.After(max(at.Sub(r.Now), time.Millisecond), func() { h.act(h.decider.Tick(r.Now)) })
	}
}

func (h *host) borrow(borrowing core.SlotRequest) {
	r := h.run
	r.result.Borrowings++
	owner := r.byName[borrowing.Owner]
	r.After(_networkDelay, func() {
		owner.decider.Reconcile(r.Now, h.id, borrowing.HeldLeases)
		lease, granted := owner.decider.Lend(r.Now, h.id, borrowing.Endpoint, borrowing.BorrowerRevision)
		if granted {
			r.result.Leases++
		}
		r.After(_networkDelay, func() { h.act(h.decider.Borrowed(r.Now, borrowing, lease, granted)) })
	})
}

func (h *host) dispatch(placement core.Placement) {
	r := h.run
	if !h.decider.Confirm(r.Now, placement) {
		h.act(h.decider.Tick(r.Now))
		return
	}
	a := h.waiting[placement.Request]
	e := r.engines[placement.Endpoint]
	w := &work{request: a, placement: placement, host: h, prompt: a.PromptTokens}
	r.After(_networkDelay, func() { e.receive(w) })
}

func (h *host) completed(w *work) {
	delete(h.waiting, w.request.ID)
	if h.run.measuring() {
		h.run.result.completed(w)
	}
	h.act(h.decider.Finish(h.run.Now, w.placement, core.ResultCompleted, w.produced))
}

func (h *host) failed(w *work, result core.Result) {
	if h.run.measuring() {
		h.run.result.Lost++
	}
	if result == core.ResultCut {
		delete(h.waiting, w.request.ID)
	}
	h.act(h.decider.Finish(h.run.Now, w.placement, result, w.produced))
}
