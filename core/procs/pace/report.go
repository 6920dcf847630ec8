package pace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"apricotproxy/core"
)

// Scope is to whom a host reports what it saw.
type Scope int

// Scopes. Each observation is reported once to all hosts of its own data centre, and to one host of
// each other one, which reports it to those there. So it counts once at each host.
const (
	SameDataCentre Scope = iota
	OtherDataCentres
	_scopes
)

// Report is what a host saw of an incarnation of an engine and has not reported before.
type Report struct {
	Key  core.EndpointKey
	Sums Sums
}

const (
	// MaxReports bounds the engines of one report, so that it fits into a datagram.
	MaxReports = 256
	// _noticeable is the change of the logarithm of an engine's pace from which others are told
	// at once: about 5 in 100.
	_noticeable = 0.05
	// _maxMerged bounds the number of pauses that one report counts for in the usual pause.
	_maxMerged = 50
	// _minReported is the least number of pauses worth a report.
	_minReported = 1
)

// Report returns what this host saw of engines and has not reported yet: what changes their pace
// noticeably or, if all is true, everything. Those with most pauses come first.
func (s *Estimator) Report(now time.Time, scope Scope, all bool) []Report {
	var fresh []core.EndpointKey
	for key, e := range s.engines {
		if e.unreported[scope].Pauses >= _minReported {
			fresh = append(fresh, key)
		}
	}
	slices.SortFunc(fresh, compareKeys) // the distribution of paces depends on the order
	var reports []Report
	for _, key := range fresh {
		if e := s.engines[key]; all || s.isNoticeable(now, e, e.unreported[scope]) {
			reports = append(reports, Report{Key: key, Sums: e.unreported[scope]})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Sums.Pauses, a.Sums.Pauses), compareKeys(a.Key, b.Key))
	})
	reports = reports[:min(len(reports), MaxReports)]
	for _, r := range reports {
		s.engines[r.Key].unreported[scope] = Sums{}
	}
	return reports
}

// isNoticeable reports whether what this host saw lately changes what hosts that lack it think of
// the engine.
func (s *Estimator) isNoticeable(now time.Time, e *Engine, fresh Sums) bool {
	s.refresh(now, e)
	if s.usual.count == 0 {
		return false
	}
	if s.population.isKnown() && !s.ignorePopulation {
		return s.tellsClass(e, fresh)
	}
	pace := fresh.LogPause/fresh.Pauses - math.Log(s.usual.pause(fresh.load()))
	without := max(e.sums.Pauses-fresh.Pauses, 0) + _priorPauses
	before := (e.offset*(e.sums.Pauses+_priorPauses) - pace*fresh.Pauses) / without
	return math.Abs(e.offset-before) > _noticeable
}

// tellsClass reports whether what this host saw lately changes noticeably of which class, or how slow,
// the engine is for hosts that lack it.
func (s *Estimator) tellsClass(e *Engine, fresh Sums) bool {
	without := Engine{sums: e.sums, posterior: e.posterior, counted: e.counted, classes: []Class{{}}}
	fresh.scale(-1)
	if without.sums.add(fresh); without.sums.Pauses < _minReported {
		without.sums = Sums{}
	}
	known := s.population
	s.derive(&without)
	s.population = known
	return math.Abs(e.offset-without.offset) > _noticeable
}

// Merge adds what another host saw. If passOn is true it is reported to the hosts of the own data
// centre. What cannot be right is ignored.
func (s *Estimator) Merge(now time.Time, r Report, passOn bool) {
	e, known := s.engines[r.Key]
	if !known || !r.Sums.isValid() {
		return
	}
	s.age(now, e)
	sums := r.Sums
	s.usual.record(math.Exp(sums.LogPause/sums.Pauses-e.offset+s.meanOffset), sums.load(), min(sums.Pauses, _maxMerged))
	e.sums.add(sums)
	if passOn {
		e.unreported[SameDataCentre].add(sums)
	}
	s.derive(e)
}

// _maxLogPause bounds the logarithm of a pause in milliseconds: e to the 16th, over two hours.
const _maxLogPause = 16

func (s *Sums) isValid() bool {
	for _, v := range []float64{s.Pauses, s.LogPause, s.Runs, s.Reading, s.Exceeded, s.Expected} {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return s.Pauses > 0 && math.Abs(s.LogPause) <= _maxLogPause*s.Pauses && s.Runs >= 0 &&
		s.Reading >= 0 && s.Reading <= s.Pauses && s.Exceeded >= 0 && s.Exceeded <= s.Pauses && s.Expected >= 0 && s.Expected <= s.Pauses
}
