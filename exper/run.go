// Package exper simulates a site in virtual time to compare routing policies. Each
// simulated host runs the Decider used in production, against simple fake engines.
// The same seed gives the same results.
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
	_networkDelay   = time.Millisecond
	_reportInterval = time.Second
	// _progressInterval is how many tokens pass between two calls of
	// Decider.Progress.
	_progressInterval = 32
)

var _epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Setting holds the parameters of one run.
type Setting struct {
	Site   Site
	Policy Policy
	// Load is the arrival rate as a share of Site.Capacity.
	Load   float64
	Length time.Duration
	// WarmUp is the initial part of Length that is not measured.
	WarmUp time.Duration
	Seed   uint64
	// Fault schedules faults of the engines; nil for none.
	Fault func(*run)
}

// Policy is one of the compared routing policies. Build is called once per host.
type Policy struct {
	Name  string
	Build func(random *rand.Rand) core.RoutePolicy
	Roles decide.RolePlan
}

// run is the state of one run.
type run struct {
	*vtime.Clock
	setting     Setting
	config      core.Config
	rng         *rand.Rand
	hosts       []*host
	byName      map[core.HostName]*host
	engines     map[core.EndpointName]*engine
	nextID      core.RequestID
	measureFrom time.Time // end of the warm-up
	result      *Result
}

// Run simulates one run and returns its result.
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
	r.measureFrom = _epoch.Add(setting.WarmUp)
	for _, config := range r.config.Endpoints {
		r.engines[config.Name] = newEngine(r, config)
	}
	for i := range r.config.Hosts {
		r.addHost(i)
	}
	if setting.Fault != nil {
		setting.Fault(r)
	}
	r.After(_settleTime, r.submitNext)
	r.RunUntil(_epoch.Add(setting.Length))
	r.result.finish(setting.Length - setting.WarmUp)
	return r.result
}

// _settleTime is the time before the first arrival, in which the hosts receive their
// first reports.
const _settleTime = 15 * time.Second

// submitNext submits a request at a random host and schedules the next one. The
// times between requests are exponentially distributed.
func (r *run) submitNext() {
	rate := r.setting.Load * r.setting.Site.Capacity()
	r.After(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), r.submitNext)
	r.nextID++
	a := r.setting.Site.drawRequest(r.rng, r.nextID, r.Now)
	r.hosts[r.rng.IntN(len(r.hosts))].submit(a)
}

func (r *run) measuring() bool { return !r.Now.Before(r.measureFrom) }

// recordToken records that a request produced a token.
func (r *run) recordToken(t *try) {
	first := t.produced == 1
	if r.measuring() {
		r.result.recordToken(r.Now, t, first)
	}
	t.lastToken = r.Now
	if first || t.produced%_progressInterval == 0 {
		t.host.decider.Progress(r.Now, t.request.ID, t.produced)
	}
}

func (r *run) recordPreemption() {
	if r.measuring() {
		r.result.Preemptions++
	}
}

// countOverLimit counts an arrival that brings the requests in flight on an engine
// above its warm or cold slots.
func (r *run) countOverLimit(e *engine, inFlight int) {
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

// hasRoom reports whether a warm engine has a free slot and enough memory for the
// request until it ends, within the memory share up to which the production policy
// admits long requests.
func (r *run) hasRoom(a *arrival) bool {
	share := float64(route.DefaultWeights().MemoryShare)
	for _, e := range r.engines {
		inFlight := len(e.running) + len(e.waiting)
		if e.down || e.phase != core.PhaseWarm || inFlight >= e.config.WarmSlots {
			continue
		}
		if float64(e.usedTokens+a.PromptTokens+a.outputTokens) <= share*float64(e.config.MemoryTokens) {
			return true
		}
	}
	return false
}

// host is one simulated entry host. It runs a Decider and carries out its actions by
// scheduled events, as io/shell does in production.
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
	h.execute(h.decider.Apply(r.Now, r.config))
	for j := range r.config.Hosts {
		other := core.HostID{Host: r.config.Hosts[j].Name, Incarnation: 1}
		h.execute(h.decider.Acknowledged(r.Now, other, r.config.Revision))
	}
	for _, config := range r.config.Endpoints {
		e := r.engines[config.Name]
		r.After(time.Duration(r.rng.Int64N(int64(_reportInterval))), func() { h.poll(e) })
	}
}

// poll fetches an engine's report and schedules the next poll.
func (h *host) poll(e *engine) {
	askedAt := h.run.Now
	h.run.After(_reportInterval, func() { h.poll(e) })
	if e.down {
		return
	}
	report := e.report
	report.AskedAt = askedAt
	h.run.After(2*_networkDelay, func() { h.execute(h.decider.Observe(h.run.Now, report)) })
}

func (h *host) submit(a *arrival) {
	h.waiting[a.ID] = a
	if h.run.measuring() {
		h.run.result.Submitted++
	}
	h.execute(h.decider.Submit(h.run.Now, a.Request))
}

// execute carries out the actions of a decision.
func (h *host) execute(actions core.Actions) {
	r := h.run
	for _, placement := range actions.Placements {
		r.After(0, func() { h.dispatch(placement) })
	}
	for _, refusal := range actions.Refusals {
		if r.measuring() {
			r.result.recordRefusal(refusal.Err.Cause)
			if r.hasRoom(h.waiting[refusal.Request]) {
				r.result.RefusedWithRoom++
			}
		}
		delete(h.waiting, refusal.Request)
	}
	for _, slotRequest := range actions.SlotRequests {
		h.requestSlot(slotRequest)
	}
	for _, leaseReturn := range actions.LeaseReturns {
		owner := r.byName[leaseReturn.Lease.Owner.Host]
		r.After(_networkDelay, func() { owner.execute(owner.decider.Returned(r.Now, leaseReturn.Lease)) })
	}
	if at := actions.WakeAt; !at.IsZero() && (!h.wakeAt.After(r.Now) || at.Before(h.wakeAt)) {
		h.wakeAt = at
		r.After(max(at.Sub(r.Now), time.Millisecond), func() { h.execute(h.decider.Tick(r.Now)) })
	}
}

func (h *host) requestSlot(slotRequest core.SlotRequest) {
	r := h.run
	r.result.Borrowings++
	owner := r.byName[slotRequest.Owner]
	r.After(_networkDelay, func() {
		owner.decider.Reconcile(r.Now, h.id, slotRequest.HeldLeases)
		lease, granted := owner.decider.Lend(r.Now, h.id, slotRequest.Endpoint, slotRequest.BorrowerRevision)
		if granted {
			r.result.Leases++
		}
		r.After(_networkDelay, func() { h.execute(h.decider.Borrowed(r.Now, slotRequest, lease, granted)) })
	})
}

func (h *host) dispatch(placement core.Placement) {
	r := h.run
	if !h.decider.Confirm(r.Now, placement) {
		h.execute(h.decider.Tick(r.Now))
		return
	}
	a := h.waiting[placement.Request]
	e := r.engines[placement.Endpoint]
	t := &try{request: a, placement: placement, host: h, promptTokens: a.PromptTokens}
	r.After(_networkDelay, func() { e.receive(t) })
}

func (h *host) handleCompletion(t *try) {
	delete(h.waiting, t.request.ID)
	if h.run.measuring() {
		h.run.result.recordCompletion(t)
	}
	h.execute(h.decider.Finish(h.run.Now, t.placement, core.ResultCompleted, t.produced))
}

func (h *host) handleFailure(t *try, result core.Result) {
	if h.run.measuring() {
		h.run.result.Lost++
	}
	if result == core.ResultCut {
		delete(h.waiting, t.request.ID)
	}
	h.execute(h.decider.Finish(h.run.Now, t.placement, result, t.produced))
}
