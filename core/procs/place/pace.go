package place

import (
	"math"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/pace"
)

// A stream is late if one of its pauses exceeds its route's GapGoal. What that costs is expressed
// in prompt tokens like the rest of an engine's cost: a stream that would surely be late at an
// engine accepts at another one the wait that still lets it be in time.
const (
	// _shortShare is the share of that cost at which a short stream leaves an engine that keeps
	// the pace of long ones to these, while all memory is in use. It rather risks one pause
	// in four.
	_shortShare = 0.25
	// _minCopyWeight scales the free memory of an engine where a stream would surely be late when
	// the target of a copy is picked: a stream that goes on there is better than none.
	_minCopyWeight = 0.005
	// _copyWeightPower is the power of the probability to be in time by which that memory is
	// scaled: engines that have just started have most of it, and their pace is not known.
	_copyWeightPower = 4
)

// lastPause is what RecordPause knows of a run's pause before.
type lastPause struct {
	// reading is true if the engine read a prompt at its end.
	reading bool
	// wasLong is true if it was above the goal.
	wasLong bool
}

func (p *Placer) paceEstimator(service core.ServiceName) *pace.Estimator {
	s := p.paces[service]
	if s == nil {
		s = pace.NewEstimator()
		s.IgnorePopulation(p.switches.IgnorePaceMix)
		p.paces[service] = s
	}
	return s
}

// applyPaces forgets the incarnations of engines that are gone.
func (p *Placer) applyPaces() {
	for _, s := range p.paces {
		s.Retain(func(key core.EndpointKey) bool {
			e := p.endpoints[key.ID]
			return e != nil && e.Key() == key
		})
	}
	for _, e := range p.endpoints {
		e.pace = nil
		if e.engine != nil {
			e.pace = p.paceEstimator(e.service).Engine(e.Key())
		}
	}
}

// RecordPause records the time between two events that a run brought one after the other.
func (p *Placer) RecordPause(now time.Time, run *Run, request *core.RoutedRequest, took time.Duration) {
	e := p.endpointOf(run)
	if e == nil || e.pace == nil || request.Route == nil || request.Route.GapGoal <= 0 || run.ended {
		return
	}
	load, before := e.load(), run.pauses
	run.pauses = lastPause{reading: load.Prefill > 0, wasLong: took > request.Route.GapGoal}
	p.paceEstimator(e.service).Record(now, e.pace, pace.Pause{
		Took: took, Goal: request.Route.GapGoal, Of: p.expectedPauses(e.engine, request), AfterLong: before.wasLong,
		Load: pace.Load{Runs: load.Runs, Reading: (share(before.reading) + share(run.pauses.reading)) / 2},
	})
}

func share(isSo bool) float64 {
	if isSo {
		return 1
	}
	return 0
}

// expectedPauses returns the number of pauses that a stream is expected to have: one less than
// events.
func (p *Placer) expectedPauses(engine *core.EngineSpec, request *core.RoutedRequest) float64 {
	return max(float64(p.lengths.expectedTokens(request))/float64(max(engine.EventTokens, 1))-1, 0)
}

// paceKeeper weighs the paces of engines for a request. It is nil where there is no pace to keep.
type paceKeeper struct {
	now       time.Time
	estimator *pace.Estimator
	goal      time.Duration
	// pauses is the number of pauses that the stream is expected to have, prompt that of its
	// prompt tokens.
	pauses, prompt float64
	// worth is the cost of a stream that is late, in prompt tokens.
	worth float64
	// spare is the share of worth at which the stream leaves an engine to long ones.
	spare float64
	// read tells how long the first event takes, firstEventIn is by when it must come.
	read         *readEstimate
	firstEventIn time.Duration
}

// paceKeeper returns how the paces of engines are weighed for a request; nil if the request has no
// pace to keep, or can't be in time, or nothing is known.
func (p *Placer) paceKeeper(now time.Time, spec *Spec) *paceKeeper {
	request := &spec.Request
	s := p.paces[request.Service]
	if p.switches.IgnorePace || s == nil || !s.IsKnown() || request.Route == nil || request.Route.GapGoal <= 0 || request.Prompt.Tokens == 0 {
		return nil
	}
	engine := p.engineOf(request.Service)
	if engine == nil {
		return nil
	}
	k := &paceKeeper{
		now: now, estimator: s, goal: request.Route.GapGoal, pauses: p.expectedPauses(engine, request), prompt: float64(request.Prompt.Tokens),
		read: p.readEstimate(request.Service),
	}
	left := p.LatestStart(request).Sub(now)
	if spec.Continues {
		left = max(left, time.Duration(_minStartShare*float64(request.Route.Goal)))
	} else {
		k.firstEventIn = request.Route.Goal - now.Sub(firstAsked(request))
	}
	if left <= 0 {
		return nil
	}
	k.worth = float64(left) / math.Exp(k.read.mean)
	if long := s.LongPauses(); long > k.pauses {
		k.spare = _shortShare * (1 - k.pauses/long) * p.memoryUse(now, request.Service)
	}
	return k
}

// engineOf returns the engines of a service; nil if it has none.
func (p *Placer) engineOf(service core.ServiceName) *core.EngineSpec {
	if all := p.services[service]; len(all) > 0 {
		return all[0].engine
	}
	return nil
}

// cost returns what the pace of an engine costs a stream, and those that run there, in prompt
// tokens: 0 or more.
func (k *paceKeeper) cost(e *endpoint) float64 {
	if k == nil || e.pace == nil {
		return 0
	}
	s, load := k.estimator, e.load()
	after := pace.Load{Runs: load.Runs + 1, Reading: s.Reading(e.pace)}
	cost := 0.0
	for _, class := range s.Classes(k.now, e.pace) {
		one := s.Exceeds(e.pace, class, after, k.goal)
		long := s.RiskOf(one, s.LongPauses())
		slowness := class.Slowness()
		lost := s.RiskOf(one, k.pauses) + k.spare*(1-long) + k.harm(e, class, load, long) + k.firstEventRisk(load, slowness)
		cost += class.Weight * (lost*k.worth + max(slowness-1, 0)*float64(load.Prefill))
	}
	return cost
}

// harm returns how many of the streams that run at an engine of a class are expected to be late
// because of the stream: of those that would otherwise be in time. Long is the probability that a
// long stream is late there.
func (k *paceKeeper) harm(e *endpoint, class pace.Class, load Load, long float64) float64 {
	if load.Runs <= 0 {
		return 0
	}
	s, runs := k.estimator, load.Runs
	exceeds := func(runs int, reading float64) float64 {
		return s.Exceeds(e.pace, class, pace.Load{Runs: runs, Reading: reading}, k.goal)
	}
	reading := s.Reading(e.pace)
	more := exceeds(runs+1, reading) - exceeds(runs, reading)
	whileRead := exceeds(runs+1, 1) - exceeds(runs+1, 0)
	pausesWhileRead := k.prompt * math.Exp(k.read.mean) / float64(max(s.UsualPause(pace.Load{Runs: runs, Reading: 1}), 1))
	// Runs are halfway through on average.
	pauses := max(more, 0)*s.LongPauses()/2 + max(whileRead, 0)*pausesWhileRead
	return float64(runs) * (1 - long) * (1 - math.Exp(-pauses/s.GroupSize()))
}

// firstEventRisk returns how much more probable it is than at an engine of the usual pace that the
// first event is late.
func (k *paceKeeper) firstEventRisk(load Load, slowness float64) float64 {
	if k.firstEventIn <= 0 {
		return 0
	}
	spread := math.Sqrt(max(k.read.variance, 1e-4))
	at := (k.read.mean + math.Log(float64(load.Prefill)+k.prompt) - math.Log(float64(k.firstEventIn))) / spread
	return max(normal(at+math.Log(slowness)/spread)-normal(at), 0)
}

// normal returns the probability that a standard normal variable is below x.
func normal(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }

// copyWeight scales the free memory of an engine when the target of a copy is picked.
func (k *paceKeeper) copyWeight(e *endpoint) float64 {
	if k == nil || e.pace == nil {
		return 1
	}
	s := k.estimator
	after := pace.Load{Runs: e.load().Runs + 1, Reading: s.Reading(e.pace)}
	return max(math.Pow(1-s.Risk(k.now, e.pace, after, k.pauses, k.goal), _copyWeightPower), _minCopyWeight)
}

// Pace is what a host knows of the pace of an engine, for the log.
type Pace struct {
	// Slowness is the factor by which the engine is slower than usual.
	Slowness float64
	// Risk is the probability that the request has a pause above its GapGoal there; 0 if it has
	// none or nothing is known.
	Risk float64
}

// Pace returns what is known of the pace of a run's engine for its request.
func (p *Placer) Pace(now time.Time, run *Run, request *core.RoutedRequest) Pace {
	e := p.endpointOf(run)
	if e == nil || e.pace == nil {
		return Pace{Slowness: 1}
	}
	s := p.paceEstimator(e.service)
	known := Pace{Slowness: s.Slowness(now, e.pace)}
	if request.Route != nil && request.Route.GapGoal > 0 && s.IsKnown() {
		load := pace.Load{Runs: e.load().Runs, Reading: s.Reading(e.pace)}
		known.Risk = s.Risk(now, e.pace, load, p.expectedPauses(e.engine, request), request.Route.GapGoal)
	}
	return known
}

// PaceSummary is what a host knows of the paces of all engines.
type PaceSummary struct {
	// Slowest is by what factor the slowest engine is slower than usual.
	Slowest float64
	// TooSlow counts the engines where a long stream would more probably than not have a pause
	// above its goal.
	TooSlow int
}

// PaceSummary returns what is known of the paces of all engines.
func (p *Placer) PaceSummary(now time.Time) PaceSummary {
	summary := PaceSummary{Slowest: 1}
	for _, e := range p.endpoints {
		if e.pace == nil {
			continue
		}
		s := p.paceEstimator(e.service)
		summary.Slowest = max(summary.Slowest, s.Slowness(now, e.pace))
		load := pace.Load{Runs: e.load().Runs + 1, Reading: s.Reading(e.pace)}
		if s.IsKnown() && s.Risk(now, e.pace, load, s.LongPauses(), s.Goal()) > 0.5 {
			summary.TooSlow++
		}
	}
	return summary
}

// PaceReports returns what this host saw of the paces of engines and has not reported yet; see
// pace.Estimator.Report.
func (p *Placer) PaceReports(now time.Time, scope pace.Scope, all bool) []pace.Report {
	var reports []pace.Report
	for _, s := range p.paces {
		reports = append(reports, s.Report(now, scope, all)...)
	}
	return reports
}

// MergePaces adds what a host of a data centre saw of the paces of engines. Incarnations that this
// host does not know are left out.
func (p *Placer) MergePaces(now time.Time, from core.DataCentreName, reports []pace.Report) {
	for _, r := range reports {
		if e := p.endpoints[r.Key.ID]; e != nil && e.pace != nil && e.Key() == r.Key {
			p.paceEstimator(e.service).Merge(now, r, from != p.dataCentre)
		}
	}
}
