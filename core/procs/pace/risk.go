package pace

import (
	"math"
	"time"
)

// Classes returns the paces that an engine may have. The caller must not change them.
func (s *Estimator) Classes(now time.Time, e *Engine) []Class {
	s.refresh(now, e)
	return e.classes
}

// Slowness returns by what factor an engine is slower than usual: the mean of the logarithm,
// where it may have different paces.
func (s *Estimator) Slowness(now time.Time, e *Engine) float64 {
	s.refresh(now, e)
	return math.Exp(e.offset)
}

// exceeds returns the probability that one pause exceeds the goal, by the engine's pace.
func (s *Estimator) exceeds(e *Engine, load Load, goal time.Duration) float64 {
	share := 0.0
	for _, c := range e.classes {
		share += c.Weight * s.classExceeds(c, load, goal)
	}
	return share
}

func (s *Estimator) classExceeds(c Class, load Load, goal time.Duration) float64 {
	of := math.Log(float64(goal)/float64(time.Millisecond)) - c.offset
	share := 0.0
	if load.Reading > 0 {
		share += load.Reading * s.above(of-math.Log(s.usual.pause(Load{Runs: load.Runs, Reading: 1})))
	}
	if load.Reading < 1 {
		share += (1 - load.Reading) * s.above(of-math.Log(s.usual.pause(Load{Runs: load.Runs})))
	}
	return share
}

// Exceeds returns the probability that one pause at an engine exceeds the goal, if the engine is of
// a class.
func (s *Estimator) Exceeds(e *Engine, c Class, load Load, goal time.Duration) float64 {
	return min(s.classExceeds(c, load, goal)*e.correction, 1)
}

// Risk returns the probability that a stream has a pause above the goal at an engine, of so many
// at that load, the stream itself included.
func (s *Estimator) Risk(now time.Time, e *Engine, load Load, pauses float64, goal time.Duration) float64 {
	risk := 0.0
	for _, c := range s.Classes(now, e) {
		risk += c.Weight * s.RiskOf(s.Exceeds(e, c, load, goal), pauses)
	}
	return risk
}

// RiskOf returns the probability that any of some pauses exceeds the goal, if one does with a
// probability. Pauses above the goal come in groups, so that many pauses count as fewer.
func (s *Estimator) RiskOf(one, pauses float64) float64 {
	if pauses <= 0 {
		return 0
	}
	if pauses > 1 {
		pauses = 1 + (pauses-1)/s.GroupSize()
	}
	return 1 - math.Pow(1-one, pauses)
}

// GroupSize returns how many pauses above the goal follow each other.
func (s *Estimator) GroupSize() float64 { return (s.exceeded + 1) / (min(s.groups, s.exceeded) + 1) }

// UsualPause returns how long an engine of the usual pace pauses at a load.
func (s *Estimator) UsualPause(load Load) time.Duration {
	return time.Duration(s.usual.pause(load) * float64(time.Millisecond))
}

// Reading returns the share of the time in which an engine reads prompts: the usual one, or
// its own where that is more. An engine that is avoided reads few, but more once it is used.
func (s *Estimator) Reading(e *Engine) float64 {
	share := s.usual.reading()
	if e.sums.Pauses > 0 {
		share = max(share, (e.sums.Reading+_priorPauses*share)/(e.sums.Pauses+_priorPauses))
	}
	return min(share, 1)
}
