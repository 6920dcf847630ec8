// Package pace learns how long the engines of one service pause between the events of a
// stream, and answers how probable it is that a stream has a pause above its goal at an engine.
//
// The pauses of all engines are described together: by a usual pause, which depends on the
// engine's load, and by how pauses spread around it (the shape). Of each incarnation of an engine
// only sums are kept, which tell how much slower it is than usual and how often its pauses exceeded
// the goal where others' would have. So a few pauses suffice to know an engine that is new or
// rarely used. Old observations lose weight.
package pace

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"apricotproxy/core"
)

const (
	// _halfLife is the time in which what was seen of an engine loses half of its weight: about
	// that of a long run, so that each run is placed by what the runs before it met.
	_halfLife = 20 * time.Second
	// _priorPauses is the number of pauses that the assumption counts for that an engine keeps the
	// usual pace. It is what a stream of a few tokens brings.
	_priorPauses = 4
	// _priorExceeded is the number of expected pauses above the goal that the assumption
	// counts for that an engine exceeds it as often as its pace lets expect.
	_priorExceeded = 5
	// _maxCorrection bounds what is learnt from how often an engine exceeded the goal: pauses
	// above it come in groups.
	_maxCorrection = 4
	// _shapePauses caps the number of pauses that the shape and the usual pause are learnt from, so
	// that they follow about that many of the latest: that of some ten long streams.
	_shapePauses = 2000
	// _minPauses is the number of pauses from which anything is told of engines: one stream of
	// some tens of tokens.
	_minPauses = 8
	// _priorShape is the number of pauses that the assumed shape counts for, _priorSpread its
	// standard deviation, as a logarithm: a factor of 1.5.
	_priorShape  = 20
	_priorSpread = 0.4
	// _binWidth is the width of the bins of the shape, as a logarithm; _bins is their number and
	// _firstBin the logarithm at which they begin: from a seventh to twenty times the usual pause.
	_binWidth = 0.1
	_bins     = 50
	_firstBin = -2
	// _longWeight is the weight of the latest pause in the average length of streams.
	_longWeight = 0.005
)

// Load is the work in flight at an engine while it pauses.
type Load struct {
	// Runs counts the streams.
	Runs int
	// Reading is the share of the time in which the engine reads prompts.
	Reading float64
}

// Sums are what was seen of the pauses at an engine. Sums of different hosts can be added.
type Sums struct {
	// Pauses is their number.
	Pauses float64
	// LogPause, Runs and Reading are the sums of the logarithms of their lengths in
	// milliseconds and of the loads during them.
	LogPause, Runs, Reading float64
	// Exceeded counts those above the goal of their streams, Expected those that were expected to
	// be by the engine's pace.
	Exceeded, Expected float64
}

func (s *Sums) add(o Sums) {
	s.Pauses += o.Pauses
	s.LogPause += o.LogPause
	s.Runs += o.Runs
	s.Reading += o.Reading
	s.Exceeded += o.Exceeded
	s.Expected += o.Expected
}

func (s *Sums) scale(factor float64) {
	s.Pauses *= factor
	s.LogPause *= factor
	s.Runs *= factor
	s.Reading *= factor
	s.Exceeded *= factor
	s.Expected *= factor
}

func (s *Sums) load() Load {
	return Load{Runs: int(s.Runs/s.Pauses + 0.5), Reading: s.Reading / s.Pauses}
}

// Engine is what is known of an incarnation of an engine.
type Engine struct {
	// sums are of all hosts, and have lost weight until at.
	sums Sums
	at   time.Time
	// unreported holds what this host saw and has not told others yet, by whom it is told.
	unreported [_scopes]Sums
	// offset is the logarithm of how much slower than usual the engine is, correction the factor
	// by which it exceeds the goal more often than its pace lets expect. Both are derived
	// from sums.
	offset, correction float64
	// posterior is the distribution of its offset; the engine counts in the population with
	// the weight counted.
	posterior offsetShares
	counted   float64
	// classes are the paces that it may have.
	classes []Class
}

// Estimator holds what is known of the engines of one service. It is not safe for concurrent
// use.
type Estimator struct {
	engines map[core.EndpointKey]*Engine
	usual   usual
	// population is the distribution of the engines' offsets, split the bin at which it is
	// divided into classes, as of splitAt.
	population population
	split      int
	splitAt    time.Time
	// ignorePopulation takes each engine for a usual one until its pauses tell otherwise.
	ignorePopulation bool
	// meanOffset is the average of the engines' offsets over the latest pauses.
	meanOffset float64
	// shape holds how many of the latest pauses were how much longer than usual at their engine,
	// shaped is their number.
	shape  [_bins]float64
	shaped float64
	// from holds how many are in each bin or above, if isSummed.
	from     [_bins + 1]float64
	isSummed bool
	// spread is the variance of the shape, if isSummed.
	spread float64
	// exceeded and groups count the latest pauses above the goal, and those of them that
	// followed one below it.
	exceeded, groups float64
	// longPauses is the number of pauses of a long stream: the average over all pauses of the
	// length of their streams. goal is the goal of the latest of them.
	longPauses float64
	goal       time.Duration
}

// NewEstimator returns an estimator that has seen nothing.
func NewEstimator() *Estimator {
	s := &Estimator{engines: make(map[core.EndpointKey]*Engine), shaped: _priorShape}
	for i := range s.shape {
		low := _firstBin + float64(i)*_binWidth
		s.shape[i] = _priorShape * (normal((low+_binWidth)/_priorSpread) - normal(low/_priorSpread))
	}
	return s
}

// normal returns the probability that a standard normal variable is below x.
func normal(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }

// Engine returns what is known of an incarnation of an engine.
func (s *Estimator) Engine(key core.EndpointKey) *Engine {
	e := s.engines[key]
	if e == nil {
		e = &Engine{correction: 1, classes: []Class{{Weight: 1}}}
		s.engines[key] = e
	}
	return e
}

// IgnorePopulation sets whether each engine is taken for a usual one until its pauses tell
// otherwise, to show what the distribution of paces brings.
func (s *Estimator) IgnorePopulation(ignore bool) { s.ignorePopulation = ignore }

// Retain forgets the incarnations for which keep returns false.
func (s *Estimator) Retain(keep func(core.EndpointKey) bool) {
	var gone []core.EndpointKey
	for key := range s.engines {
		if !keep(key) {
			gone = append(gone, key)
		}
	}
	slices.SortFunc(gone, compareKeys) // sums of floating-point numbers depend on the order
	for _, key := range gone {
		s.population.retire(s.engines[key])
		delete(s.engines, key)
	}
}

func compareKeys(a, b core.EndpointKey) int {
	return cmp.Or(strings.Compare(a.ID, b.ID), a.Born.Compare(b.Born))
}

// IsKnown reports whether enough pauses were seen to tell anything.
func (s *Estimator) IsKnown() bool { return s.usual.count >= _minPauses }

// LongPauses returns the number of pauses of a long stream of the service.
func (s *Estimator) LongPauses() float64 { return s.longPauses }

// Goal returns the goal for the pauses of the latest stream.
func (s *Estimator) Goal() time.Duration { return s.goal }

// Pause is a pause between two events of a stream.
type Pause struct {
	Took time.Duration
	// Goal is the longest pause that is in time.
	Goal time.Duration
	// Load is that of the engine during the pause, with the stream itself.
	Load Load
	// Of is the number of pauses that the whole stream was expected to have.
	Of float64
	// AfterLong is true if the pause before it was above the goal too.
	AfterLong bool
}

// Record adds a pause that this host saw.
func (s *Estimator) Record(now time.Time, e *Engine, p Pause) {
	milliseconds := float64(p.Took) / float64(time.Millisecond)
	if milliseconds <= 0 {
		return
	}
	seen := Sums{Pauses: 1, LogPause: math.Log(milliseconds), Runs: float64(p.Load.Runs), Reading: p.Load.Reading}
	if s.IsKnown() {
		if p.Took > p.Goal {
			seen.Exceeded = 1
		}
		seen.Expected = s.exceeds(e, p.Load, p.Goal)
	}
	s.age(now, e)
	known := e.sums.Pauses >= _priorPauses && e.isClear()
	e.sums.add(seen)
	for scope := range e.unreported {
		e.unreported[scope].add(seen)
	}
	s.usual.record(milliseconds/math.Exp(e.offset-s.meanOffset), p.Load, 1)
	s.derive(e)
	if known {
		s.recordShape(seen.LogPause - math.Log(s.usual.pause(p.Load)) - e.offset)
		s.meanOffset += (e.offset - s.meanOffset) / s.shaped
	}
	if p.Took > p.Goal {
		s.exceeded++
		if !p.AfterLong {
			s.groups++
		}
	}
	if s.longPauses == 0 {
		s.longPauses = p.Of
	}
	s.longPauses += _longWeight * (p.Of - s.longPauses)
	s.goal = p.Goal
}

// recordShape counts the logarithm of the factor by which a pause was longer than usual at its
// engine.
func (s *Estimator) recordShape(deviation float64) {
	if s.shaped >= _shapePauses {
		const keep = 1 - 1.0/_shapePauses
		for i := range s.shape {
			s.shape[i] *= keep
		}
		s.shaped *= keep
		s.exceeded *= keep
		s.groups *= keep
	}
	s.shape[min(max(int(math.Floor((deviation-_firstBin)/_binWidth)), 0), _bins-1)]++
	s.shaped++
	s.isSummed = false
}

// above returns the share of pauses of which the logarithm is more than that above what is usual
// at their engine.
func (s *Estimator) above(deviation float64) float64 {
	at := (deviation - _firstBin) / _binWidth
	switch {
	case at <= 0:
		return 1
	case at >= _bins:
		return 0
	}
	s.sumShape()
	first := int(at)
	return (s.from[first+1] + s.shape[first]*(1-(at-float64(first)))) / s.shaped
}

// sumShape derives from the shape what is asked of it often.
func (s *Estimator) sumShape() {
	if s.isSummed {
		return
	}
	sum, squares := 0.0, 0.0
	for i := _bins - 1; i >= 0; i-- {
		s.from[i] = s.from[i+1] + s.shape[i]
		at := _firstBin + (float64(i)+0.5)*_binWidth
		sum += s.shape[i] * at
		squares += s.shape[i] * at * at
	}
	mean := sum / s.shaped
	s.spread = max(squares/s.shaped-mean*mean, _offsetError*_offsetError)
	s.isSummed = true
}

// age lets the sums of an engine lose weight.
func (s *Estimator) age(now time.Time, e *Engine) {
	if passed := now.Sub(e.at); passed > 0 && !e.at.IsZero() {
		left := math.Exp2(-float64(passed) / float64(_halfLife))
		e.sums.scale(left)
		for scope := range e.unreported {
			e.unreported[scope].scale(left)
		}
	}
	e.at = now
}

// derive derives an engine's pace from its sums.
func (s *Estimator) derive(e *Engine) {
	e.offset, e.correction = 0, 1
	mean, pauses := 0.0, 0.0
	if sums := &e.sums; sums.Pauses > 0 && s.usual.count > 0 {
		mean = sums.LogPause/sums.Pauses - math.Log(s.usual.pause(sums.load()))
		pauses = sums.independent()
		e.offset = mean * sums.Pauses / (sums.Pauses + _priorPauses)
		e.correction = min(max((sums.Exceeded+_priorExceeded)/(sums.Expected+_priorExceeded), 1.0/_maxCorrection), _maxCorrection)
	}
	if s.ignorePopulation {
		e.classes = append(e.classes[:0], Class{Weight: 1, offset: e.offset})
		return
	}
	s.sumShape()
	s.population.update(e, mean, pauses, s.spread)
	if !s.population.isKnown() {
		e.classes = append(e.classes[:0], Class{Weight: 1, offset: e.offset})
		return
	}
	e.classes = e.posterior.classes(s.split)
	e.offset = 0
	for _, c := range e.classes {
		e.offset += c.Weight * c.offset
	}
}

// independent returns how many independent pauses tell as much as those that were seen: streams that
// run beside each other at an engine pause together.
func (s *Sums) independent() float64 {
	if s.Pauses <= 0 {
		return 0
	}
	return max(s.Pauses/(max(s.Runs/s.Pauses, 1)*_pausesTogether), min(s.Pauses, 1))
}

// isClear reports whether it is clear of which class the engine is.
func (e *Engine) isClear() bool {
	for _, c := range e.classes {
		if c.Weight >= _clearWeight {
			return true
		}
	}
	return false
}

// _refreshInterval is how often what is derived from the sums of an engine is renewed: its
// observations lose less than one in a hundred of their weight meanwhile.
const _refreshInterval = 250 * time.Millisecond

// refresh renews what is derived from an engine's sums, now and then.
func (s *Estimator) refresh(now time.Time, e *Engine) {
	if now.Sub(s.splitAt) >= _refreshInterval {
		s.splitAt, s.split = now, s.population.split()
	}
	if now.Sub(e.at) >= _refreshInterval {
		s.age(now, e)
		s.derive(e)
	}
}
