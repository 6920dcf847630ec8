// Package place decides on which endpoint a routed request runs. It counts this host's
// own work and the work that other hosts report. It needs no load reports from the
// endpoints, since all work of an endpoint comes from entry hosts.
//
// The scarcest resource of an engine is its memory: a run needs room for its prompt and
// for all tokens that it will have produced. A request is placed where the engine is
// expected to read its prompt (the prefill) soonest and where all runs still fit when
// they are at their largest. A request that fits nowhere waits in this host, from where
// it can still go to any endpoint, and not at an engine that may leave.
package place

import (
	"math/rand/v2"
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/pace"
	"apricotproxy/core/versn/table"
)

const (
	// _runCostTokens is what a running generation adds to the time to another one's
	// first token, in prompt tokens: its share of each engine step.
	_runCostTokens = 60
	// _remoteCostTokens is the cost of another data centre, in prompt tokens: its hosts
	// may have placed work since they last reported their loads.
	_remoteCostTokens = 2500
	// _plannedOutputShare is the share of its expected output for which a run is given
	// memory: the runs of an engine are at different points of their output, half way
	// on average.
	_plannedOutputShare = 0.7
	// _memoryShare is the share of an engine's memory that is planned with, since
	// output lengths are estimates.
	_memoryShare = 0.95
	// _remoteMemoryShare is the same for the engines of another data centre, whose
	// hosts may have placed work since they last reported their loads.
	_remoteMemoryShare = 0.8
	// _displacedMemoryShare is the same for a host whose own data centre has no engine that
	// accepts work, as while it is out of service: there is no nearer room that it leaves to
	// others, and they would take all up to their own share.
	_displacedMemoryShare = 0.9
	// _maxQueuedPrefill is the number of unread prompt tokens at which an engine gets
	// no more prompts but those that yield to others (reading.go). It is what an engine
	// reads, at 14 tokens per millisecond, in the time until this host learns that a
	// prompt has been read. Requests that wait in this host can still go to any endpoint.
	_maxQueuedPrefill = 3500
	// _fullMemoryCostTokens is what an engine with full memory costs more than an empty
	// one, in prompt tokens.
	_fullMemoryCostTokens = 240
)

// Costs of a plain endpoint, in shares of its slots.
const (
	// _idleCost is the cost of an idle endpoint. It is above 0 so that the factor for
	// failures affects idle endpoints too.
	_idleCost = 0.1
	// _remoteCost is the cost of another data centre; it only breaks ties.
	_remoteCost = 0.05
	// _unconfirmedCost ranks unconfirmed endpoints behind all others.
	_unconfirmedCost = 1
	// _jitterCost is the range of the random cost that spreads requests over equal
	// endpoints.
	_jitterCost = 0.02
)

// Load is the work in flight at an endpoint.
type Load struct {
	Runs int
	// Tokens is the memory that the runs need at their largest, including copies of
	// other engines' runs.
	Tokens int
	// Prefill counts the prompt tokens that are not known to have been read.
	Prefill int
}

func (l *Load) add(o Load) {
	l.Runs += o.Runs
	l.Tokens += o.Tokens
	l.Prefill += o.Prefill
}

func (l *Load) remove(o Load) {
	l.Runs -= o.Runs
	l.Tokens -= o.Tokens
	l.Prefill -= o.Prefill
}

// Spec describes a request to place and the constraints on its endpoint.
type Spec struct {
	Request core.RoutedRequest
	// Exclude lists the IDs of endpoints that must not be used.
	Exclude []string
	// OneBuild is true if only endpoints of Build may be used, since the stream was begun at
	// one.
	OneBuild bool
	Build    core.BuildName
	// SourceDataCentre is the data centre from which a copy is sent: links within one
	// data centre are faster.
	SourceDataCentre core.DataCentreName
	// Continues is true for a request of which the caller has a part of the answer.
	Continues bool
}

// allows reports whether the constraints allow an endpoint.
func (s *Spec) allows(e *endpoint) bool {
	return s.allowsBuild(e) && !slices.Contains(s.Exclude, e.ID)
}

func (s *Spec) allowsBuild(e *endpoint) bool { return !s.OneBuild || e.Build == s.Build }

// Run is a request placed on an endpoint, or a copy of its memory there. End must be
// called once.
type Run struct {
	Endpoint know.Endpoint
	// PriorLoad is the load that the endpoint was assumed to have when it was picked,
	// from this host's own runs and those that other hosts reported.
	PriorLoad Load
	// MaxConnections is how many connections this host may keep to the endpoint; 0 for
	// no limit.
	MaxConnections int

	load Load
	// isMove is true for a copy that takes a slot.
	isMove    bool
	startedAt time.Time
	ended     bool
	// pauses is what RecordPause knows of the run's latest pause.
	pauses lastPause
}

// Verdict is the result of an attempt to place a request.
type Verdict uint8

// Verdicts.
const (
	Placed Verdict = iota + 1
	// Full: endpoints accept work, but none has room now.
	Full
	// NoEndpoint: no endpoint accepts work.
	NoEndpoint
)

type endpoint struct {
	know.Endpoint
	engine       *core.EngineSpec
	service      core.ServiceName
	ownLoad      Load
	peerLoad     Load
	health       health
	coldRequests window
	// notice is what the incarnation said of itself.
	notice notice
	// hostRank gives this host's share of the slots while the endpoint is brittle. ownMoves are
	// copies of this host's runs that take a slot, unanswered the runs that may go on unanswered.
	hostRank   hostRank
	ownMoves   int
	unanswered window
	// pace is what is known of the engine's pauses.
	pace *pace.Engine
}

// load returns the load of all hosts, as far as this one knows.
func (e *endpoint) load() Load {
	load := e.ownLoad
	load.add(e.peerLoad)
	return load
}

// Placer places the requests of one host. It is not safe for concurrent use.
type Placer struct {
	self         core.HostName
	dataCentre   core.DataCentreName
	bounds       core.EntryBounds
	random       *rand.Rand
	endpoints    map[string]*endpoint
	notices      notices
	departures   departures
	services     map[core.ServiceName][]*endpoint
	table        *table.Table
	outOfService map[core.DataCentreName]bool
	peers        map[Source]peerReport
	// hostsBound is an upper bound on the number of live hosts; see SetHosts.
	hostsBound int
	// hosts are those that may live; isOnlyHost is true where the settings name no other.
	hosts      liveHosts
	isOnlyHost bool
	// othersKnown is true once other hosts are known. From settledAt on this host knows
	// how many hosts there may be; settledAt is zero until that time is known.
	othersKnown bool
	settledAt   time.Time
	// brittleServices holds when endpoints of each service said that they are brittle.
	brittleServices map[core.ServiceName]brittleService
	retryBudgets    map[core.ServiceName]*retryBudget
	// retryExtraFrom is when the host knows all retries within the window again after it grew.
	retryExtraFrom time.Time
	lengths        lengthEstimator
	// readEstimates holds what was seen of each service's engines.
	readEstimates map[core.ServiceName]*readEstimate
	// mixes holds what each service was asked for lately.
	mixes map[core.ServiceName]*mix
	// paces holds what was seen of the pauses of each service's engines.
	paces map[core.ServiceName]*pace.Estimator
	// freed holds the endpoints on which runs of this host freed room since TakeFreed.
	freed []*endpoint
	// unreported holds the endpoints on which this host's load changed since it was
	// last reported.
	unreported map[string]bool

	switches Switches
}

// Switches turn safeguards off, to verify that tests detect their absence.
type Switches struct {
	// UseLeaving places work on endpoints that are leaving.
	UseLeaving bool
	// UseOutOfService places work on endpoints of data centres that are out of service.
	UseOutOfService bool
	// ServeByArrival gives hosts of data centres without engines no more room than others.
	ServeByArrival bool
	// IgnorePace places streams as if all engines had the same pace.
	IgnorePace bool
	// ReadAlike bounds the unread tokens of an engine alike for all prompts.
	ReadAlike bool
	// IgnorePaceMix takes an engine of which little is known for one of the usual pace.
	IgnorePaceMix bool
}

// SetSwitches turns safeguards off.
func (p *Placer) SetSwitches(switches Switches) {
	p.switches = switches
	for _, s := range p.paces {
		s.IgnorePopulation(switches.IgnorePaceMix)
	}
}

// New returns a placer that knows no endpoints.
func New(self core.HostName, dataCentre core.DataCentreName, bounds core.EntryBounds, random *rand.Rand) *Placer {
	return &Placer{
		self:            self,
		dataCentre:      dataCentre,
		bounds:          bounds,
		random:          random,
		endpoints:       make(map[string]*endpoint),
		notices:         notices{byKey: make(map[core.EndpointKey]notice)},
		services:        make(map[core.ServiceName][]*endpoint),
		peers:           make(map[Source]peerReport),
		retryBudgets:    make(map[core.ServiceName]*retryBudget),
		unreported:      make(map[string]bool),
		readEstimates:   make(map[core.ServiceName]*readEstimate),
		paces:           make(map[core.ServiceName]*pace.Estimator),
		brittleServices: make(map[core.ServiceName]brittleService),
		mixes:           make(map[core.ServiceName]*mix),
		hostsBound:      _initialHosts,
	}
}

// Apply replaces the routing table and the endpoints by those of a view. An endpoint
// keeps its state unless it has a new incarnation.
func (p *Placer) Apply(view *know.View) {
	p.table, p.outOfService = view.Table, view.OutOfService
	known := make(map[string]*endpoint, len(view.Endpoints))
	services := make(map[core.ServiceName][]*endpoint)
	for _, e := range view.Endpoints {
		state := p.endpoints[e.ID]
		if state == nil || !state.Born.Equal(e.Born) {
			state = &endpoint{notice: p.notices.byKey[e.Key()]}
		}
		state.Endpoint, state.service, state.engine = e, e.Service, nil
		if p.table != nil {
			if s, ok := p.table.Service(e.Service); ok {
				state.engine = s.Engine
			}
		}
		known[e.ID] = state
		services[e.Service] = append(services[e.Service], state)
	}
	p.endpoints, p.services = known, services
	p.applyPaces()
	p.recountPeers()
}

// SetBounds replaces the deployment's bounds.
func (p *Placer) SetBounds(now time.Time, bounds core.EntryBounds) {
	if longer := bounds.RetryWindow - p.bounds.RetryWindow; longer > 0 {
		// The shorter window has forgotten retries that still count in the longer one.
		p.retryExtraFrom = later(p.retryExtraFrom, now.Add(longer))
	}
	p.bounds = bounds
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// requestLoad returns the load that a request puts on an endpoint.
func (p *Placer) requestLoad(request *core.RoutedRequest) Load {
	prompt := request.Prompt
	if prompt.Tokens == 0 {
		return Load{Runs: 1}
	}
	return Load{Runs: 1, Tokens: prompt.Tokens + int(_plannedOutputShare*float64(p.lengths.expectedTokens(request))), Prefill: prompt.Tokens}
}

// Place picks the endpoint that is expected to serve a request soonest and counts the
// run there.
func (p *Placer) Place(now time.Time, spec *Spec) (*Run, Verdict) {
	choice, verdict := p.Pick(now, spec, Claim{})
	if verdict != Placed {
		return nil, verdict
	}
	return p.Start(now, spec, choice), Placed
}

// Pick returns the endpoint that is expected to serve a request soonest within its claim, or the
// reason when there is none.
func (p *Placer) Pick(now time.Time, spec *Spec, claim Claim) (Choice, Verdict) {
	need := p.requestLoad(&spec.Request)
	remoteShare := p.remoteMemoryShare(now, spec.Request.Service)
	keeper, reading := p.paceKeeper(now, spec), p.Reading(now, spec)
	var best *endpoint
	bestCost, anyAccepts := 0.0, false
	for _, e := range p.services[spec.Request.Service] {
		if !spec.allows(e) || !p.accepts(now, e) {
			continue
		}
		anyAccepts = true
		if !p.fits(now, e, need, remoteShare, &reading) || !claim.allows(e, need, p.memoryShare(e, remoteShare)) {
			continue
		}
		cost := p.cost(now, e)
		if best != nil && cost >= bestCost {
			continue
		}
		if cost += keeper.cost(e); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	switch {
	case best != nil:
		return Choice{best}, Placed
	case anyAccepts:
		return Choice{}, Full
	default:
		return Choice{}, NoEndpoint
	}
}

func (p *Placer) startRun(now time.Time, e *endpoint, need Load) *Run {
	invar.Check(invar.DataCentreOut, !p.outOfService[e.DataCentre], "a run on %s in %s, which is out of service", e.ID, e.DataCentre)
	invar.Check(invar.EndpointLeaving, !e.Draining && !e.notice.leaving, "a run on %s, which is leaving", e.ID)
	priorLoad := e.load()
	e.ownLoad.add(need)
	p.unreported[e.ID] = true
	if now.Before(e.ColdUntil) {
		e.coldRequests.add(now, _coldWindow)
	}
	if p.isRateLimited(now, e) {
		p.usePermit(now, e)
	}
	return &Run{Endpoint: e.Endpoint, PriorLoad: priorLoad, MaxConnections: p.maxConnections(e.Service), load: need, startedAt: now}
}

// accepts reports whether an endpoint accepts new work.
func (p *Placer) accepts(now time.Time, e *endpoint) bool {
	return !e.isClosed(now) && p.acceptsWhenOpen(now, e)
}

// acceptsWhenOpen reports whether an endpoint accepts new work, unless it asked for none.
func (p *Placer) acceptsWhenOpen(now time.Time, e *endpoint) bool {
	return p.stays(e) && !e.health.inBackoff(now)
}

// stays reports whether an endpoint is neither leaving nor out of service.
func (p *Placer) stays(e *endpoint) bool {
	return (!e.Draining && !e.notice.leaving || p.switches.UseLeaving) && (!p.outOfService[e.DataCentre] || p.switches.UseOutOfService)
}

// Usable reports whether an incarnation of an endpoint still accepts work.
func (p *Placer) Usable(now time.Time, key core.EndpointKey) bool {
	e := p.endpoints[key.ID]
	return e != nil && e.Key() == key && p.accepts(now, e)
}

// RecordPrefillDone records that a run's prompt has been read: its first event arrived.
func (p *Placer) RecordPrefillDone(now time.Time, run *Run) {
	if run.load.Prefill > 0 {
		p.readEstimate(run.Endpoint.Service).record(run.PriorLoad.Prefill+run.load.Prefill, now.Sub(run.startedAt))
	}
	p.ForgetPrefill(run)
}

// ForgetPrefill removes a run's prompt from the load of its endpoint.
func (p *Placer) ForgetPrefill(run *Run) {
	if e := p.endpointOf(run); e != nil && !run.ended {
		e.ownLoad.Prefill -= run.load.Prefill
		p.unreported[e.ID] = true
		p.freed = append(p.freed, e)
	}
	run.load.Prefill = 0
}

// End removes a run from its endpoint's load.
func (p *Placer) End(run *Run) {
	if run == nil || run.ended {
		return
	}
	run.ended = true
	if e := p.endpointOf(run); e != nil {
		e.ownLoad.remove(run.load)
		if run.isMove {
			e.ownMoves--
		}
		p.unreported[e.ID] = true
		p.freed = append(p.freed, e)
	}
}

// endpointOf returns the state of a run's endpoint, or nil when that incarnation is
// gone.
func (p *Placer) endpointOf(run *Run) *endpoint {
	e := p.endpoints[run.Endpoint.ID]
	if e == nil || !e.Born.Equal(run.Endpoint.Born) {
		return nil
	}
	return e
}
