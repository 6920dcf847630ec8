// Package place decides on which endpoint a routed request runs. It counts the
// work of this host itself and takes in what other hosts say of theirs, so that
// it needs no load reports: all work of an endpoint comes from entry hosts.
//
// An engine's memory is what runs out first: a run takes its prompt and all that
// it will have produced. A request is placed where its prompt is read soonest
// and where everything still fits when it is at its largest. What fits nowhere
// waits here, where it can still go anywhere, and not at an engine that may
// leave.
package place

import (
	"math/rand/v2"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/versn/table"
)

const (
	// _runTokens is what a running generation costs another one's first token,
	// in tokens of prompt: its share of each step.
	_runTokens = 60
	// _remoteTokens is what another data centre costs, in tokens of prompt: what
	// its hosts may have placed since they last told of it.
	_remoteTokens = 2500
	// _grownShare is the part of its output that a run is planned to hold in memory:
	// the runs of an engine are at different points of theirs, half way on average.
	_grownShare = 0.7
	// _memoryMargin is the part of an engine's memory that is planned with.
	// Lengths are estimates.
	_memoryMargin = 0.95
	// _remoteMargin is the same for another data centre's engines, whose hosts may
	// have placed more since they last told of it.
	_remoteMargin = 0.8
	// _prefillAhead is how many prompt tokens may wait at an engine before it gets no
	// more: what it reads, at 14 a millisecond (docs/platform.md), until this host
	// hears that it has read them. What waits here can still go anywhere.
	_prefillAhead = 3500
	// _fullTokens is what an engine whose memory is taken costs more than an empty
	// one, in tokens of prompt.
	_fullTokens = 240
)

// Costs of a plain endpoint, in shares of its slots.
const (
	// _idleCost is the cost of an idle endpoint, which its failures multiply.
	_idleCost = 0.1
	// _remoteCost is what another data centre costs: it breaks ties.
	_remoteCost = 0.05
	// _doubtCost puts an endpoint in doubt behind all others.
	_doubtCost = 1
	// _chanceCost is by how much chance moves requests between equal endpoints.
	_chanceCost = 0.02
)

// Load is work in flight at an endpoint.
type Load struct {
	Runs int
	// Tokens is the memory that the runs take at their largest, copies of other
	// engines' runs included.
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

// Want is what is to be placed.
type Want struct {
	Request core.RoutedRequest
	// Exclude names endpoints that are not to be used.
	Exclude []string
	// Near is the data centre that a copy comes from: links within one are faster.
	Near core.DataCentreName
}

// Run is a request placed on an endpoint, or a copy of its memory there. End
// must be called once.
type Run struct {
	Endpoint know.Endpoint
	// Found is the load that the endpoint was believed to have when it was picked,
	// by this host's own runs and by those that others told of.
	Found Load
	// MaxConnections is how many connections this host may keep to the endpoint;
	// 0 for no bound.
	MaxConnections int

	load  Load
	ended bool
}

// Verdict tells how placing went.
type Verdict uint8

// Verdicts.
const (
	Placed Verdict = iota + 1
	// Full: endpoints exist and none has room now.
	Full
	// None: no endpoint takes work.
	None
)

type endpoint struct {
	know.Endpoint
	engine  *core.EngineShape
	service core.ServiceName
	own     Load
	peers   Load
	health  health
	cold    window
	// leaving is what the endpoint's own report said.
	leaving bool
}

// Placer places the requests of one host. It is not safe for concurrent use.
type Placer struct {
	self       core.HostName
	dataCentre core.DataCentreName
	bounds     core.EntryBounds
	random     *rand.Rand
	endpoints  map[string]*endpoint
	services   map[core.ServiceName][]*endpoint
	table      *table.Table
	out        map[core.DataCentreName]bool
	peers      map[Source]peerLoad
	hosts      int
	// heard is true once other hosts are known, settled when their number is.
	heard   bool
	settled time.Time
	budgets map[core.ServiceName]*budget
	lengths lengths
	waiting []*Waiter
	// freed are endpoints on which runs of this host made room since the last Release.
	freed []*endpoint
	// changed are the endpoints whose change of this host's load was not told.
	changed map[string]bool

	switches Switches
}

// Switches turn safeguards off, to show that tests notice.
type Switches struct {
	// UseLeaving gives work to endpoints that are leaving, UseOut to those of data
	// centres that are out of service.
	UseLeaving bool
	UseOut     bool
}

// SetSwitches turns safeguards off.
func (p *Placer) SetSwitches(switches Switches) { p.switches = switches }

// New builds a placer that knows no endpoint.
func New(self core.HostName, dataCentre core.DataCentreName, bounds core.EntryBounds, random *rand.Rand) *Placer {
	return &Placer{
		self:       self,
		dataCentre: dataCentre,
		bounds:     bounds,
		random:     random,
		endpoints:  make(map[string]*endpoint),
		services:   make(map[core.ServiceName][]*endpoint),
		peers:      make(map[Source]peerLoad),
		budgets:    make(map[core.ServiceName]*budget),
		changed:    make(map[string]bool),
		hosts:      _hostsUnknown,
	}
}

// Apply takes in a view. Runs on endpoints that are gone stay counted until
// they end.
func (p *Placer) Apply(view *know.View) {
	p.table, p.out = view.Table, view.Out
	known := make(map[string]*endpoint, len(view.Endpoints))
	services := make(map[core.ServiceName][]*endpoint)
	for _, e := range view.Endpoints {
		state := p.endpoints[e.ID]
		if state == nil || !state.Born.Equal(e.Born) {
			state = &endpoint{}
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
	p.sumPeers()
}

// SetBounds replaces the deployment's bounds.
func (p *Placer) SetBounds(bounds core.EntryBounds) { p.bounds = bounds }

// need is the load that a request will be.
func (p *Placer) need(request *core.RoutedRequest) Load {
	prompt := request.Prompt
	if prompt.Tokens == 0 {
		return Load{Runs: 1}
	}
	return Load{Runs: 1, Tokens: prompt.Tokens + int(_grownShare*float64(p.lengths.expect(request))), Prefill: prompt.Tokens}
}

// Place picks the endpoint that serves a request soonest.
func (p *Placer) Place(now time.Time, want *Want) (*Run, Verdict) {
	e, verdict := p.pick(now, want)
	if e == nil {
		return nil, verdict
	}
	if p.outranked(now, want) {
		return nil, Full
	}
	return p.begin(now, e, p.need(&want.Request)), Placed
}

// pick gives the endpoint that serves a request soonest; nil, and why, when there is
// none.
func (p *Placer) pick(now time.Time, want *Want) (*endpoint, Verdict) {
	need := p.need(&want.Request)
	var best *endpoint
	bestCost, found := 0.0, false
	for _, e := range p.services[want.Request.Service] {
		if !p.open(now, e, want.Exclude) {
			continue
		}
		found = true
		if !p.fits(now, e, need) {
			continue
		}
		cost := p.cost(now, e)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	switch {
	case best != nil:
		return best, Placed
	case found:
		return nil, Full
	default:
		return nil, None
	}
}

func (p *Placer) begin(now time.Time, e *endpoint, need Load) *Run {
	invar.Check(invar.DataCentreOut, !p.out[e.DataCentre], "a run on %s in %s, which is out of service", e.ID, e.DataCentre)
	invar.Check(invar.EndpointLeaving, !e.Draining && !e.leaving, "a run on %s, which is leaving", e.ID)
	found := e.own
	found.add(e.peers)
	e.own.add(need)
	p.changed[e.ID] = true
	if now.Before(e.ColdUntil) {
		e.cold.add(now, _coldWindow)
	}
	return &Run{Endpoint: e.Endpoint, Found: found, MaxConnections: p.maxConnections(e.Service), load: need}
}

// open tells whether an endpoint takes new work.
func (p *Placer) open(now time.Time, e *endpoint, exclude []string) bool {
	if (e.Draining || e.leaving) && !p.switches.UseLeaving || p.out[e.DataCentre] && !p.switches.UseOut || e.health.barred(now) {
		return false
	}
	for _, id := range exclude {
		if id == e.ID {
			return false
		}
	}
	return true
}

// fits tells whether an endpoint has room.
func (p *Placer) fits(now time.Time, e *endpoint, need Load) bool {
	if now.Before(e.ColdUntil) && !p.coldAllows(now, e) {
		return false
	}
	if e.DataCentre != p.dataCentre && !e.ColdUntil.IsZero() && now.Before(e.ColdUntil.Add(_remoteStagger)) {
		return false
	}
	runs := e.own.Runs + e.peers.Runs
	if e.Slots > 0 && runs >= e.Slots {
		return false
	}
	if most := p.maxConnections(e.Service); most > 0 && e.own.Runs >= most {
		return false
	}
	if e.engine == nil || e.engine.MemoryTokens == 0 {
		return true
	}
	if e.own.Prefill+e.peers.Prefill >= _prefillAhead {
		return false
	}
	used := e.own.Tokens + e.peers.Tokens
	margin := _memoryMargin
	if e.DataCentre != p.dataCentre {
		margin = _remoteMargin
	}
	return used == 0 || used+need.Tokens <= int(float64(e.engine.MemoryTokens)*margin)
}

// cost estimates what a request would wait at an endpoint, in tokens of prompt
// for an engine and in shares of its slots otherwise.
func (p *Placer) cost(now time.Time, e *endpoint) float64 {
	runs := e.own.Runs + e.peers.Runs
	if e.engine == nil {
		cost := _idleCost + float64(runs)/float64(max(e.Slots, 1))
		if e.doubtful() {
			cost += _doubtCost
		}
		if e.DataCentre != p.dataCentre {
			cost += _remoteCost
		}
		return cost*e.health.slowdown() + p.random.Float64()*_chanceCost
	}
	cost := float64(e.own.Prefill+e.peers.Prefill) + float64(runs)*_runTokens
	cost += _runTokens + p.random.Float64()*_runTokens
	if e.DataCentre != p.dataCentre {
		cost += _remoteTokens
	}
	if now.Before(e.ColdUntil) || e.doubtful() {
		cost += float64(e.engine.MemoryTokens)
	}
	used := float64(e.own.Tokens+e.peers.Tokens) / float64(max(e.engine.MemoryTokens, 1))
	return (cost + used*_fullTokens) * e.health.slowdown()
}

// Usable tells whether an endpoint still takes work.
func (p *Placer) Usable(now time.Time, id string) bool {
	e := p.endpoints[id]
	return e != nil && p.open(now, e, nil)
}

// Read tells that a run's prompt has been read: its first event came.
func (p *Placer) Read(run *Run) {
	if e := p.state(run); e != nil && !run.ended {
		e.own.Prefill -= run.load.Prefill
		p.changed[e.ID] = true
		p.freed = append(p.freed, e)
	}
	run.load.Prefill = 0
}

// End ends a run.
func (p *Placer) End(run *Run) {
	if run == nil || run.ended {
		return
	}
	run.ended = true
	if e := p.state(run); e != nil {
		e.own.remove(run.load)
		p.changed[e.ID] = true
		p.freed = append(p.freed, e)
	}
}

func (p *Placer) state(run *Run) *endpoint {
	e := p.endpoints[run.Endpoint.ID]
	if e == nil || !e.Born.Equal(run.Endpoint.Born) {
		return nil
	}
	return e
}
