package length

import "math"

const (
	// _recentCount is how many recent completions are compared with the baseline.
	// A shift of the typical length by a factor of two is detected within as many.
	_recentCount = 32
	// _minBaselineCount is how many completions the baseline needs.
	_minBaselineCount = 2 * _recentCount
	// _minStandardErrors is how many standard errors the recent mean must differ
	// from the baseline's.
	_minStandardErrors = 5
	// _minShiftFactor is the smallest factor between the typical lengths that
	// counts as a shift.
	_minShiftFactor = 1.5
)

// shiftDetector detects shifts of the typical length. It compares the most recent
// lengths with the baseline, which is all lengths before them. It uses logarithms
// because the few very large lengths of a heavy-tailed distribution would dominate
// a mean of the lengths themselves.
type shiftDetector struct {
	// lengths is a ring of the most recent lengths. logs holds their logarithms,
	// and sum is the sum of those.
	lengths [_recentCount]int
	logs    [_recentCount]float64
	sum     float64
	next    int // index in the ring of the next length
	full    bool
	// The baseline's number of values, their mean and the sum of their squared
	// differences from it, updated by Welford's method.
	count float64
	mean  float64
	m2    float64
}

// observe adds a length and reports whether the typical length has shifted. After
// a shift it starts a new baseline.
func (s *shiftDetector) observe(tokens int) bool {
	oldest := s.logs[s.next]
	if s.full {
		s.addToBaseline(oldest)
	}
	value := math.Log(float64(tokens))
	s.sum += value - s.logs[s.next]
	s.lengths[s.next], s.logs[s.next] = tokens, value
	s.next = (s.next + 1) % _recentCount
	s.full = s.full || s.next == 0
	if !s.full || s.count < _minBaselineCount || !s.hasShifted() {
		return false
	}
	s.count, s.mean, s.m2 = 0, 0, 0
	return true
}

// addToBaseline adds the logarithm of a length to the baseline.
func (s *shiftDetector) addToBaseline(value float64) {
	s.count++
	delta := value - s.mean
	s.mean += delta / s.count
	s.m2 += delta * (value - s.mean)
}

func (s *shiftDetector) hasShifted() bool {
	difference := math.Abs(s.sum/_recentCount - s.mean)
	deviation := math.Sqrt(s.m2 / s.count)
	return difference > math.Log(_minShiftFactor) && difference > _minStandardErrors*deviation/math.Sqrt(_recentCount)
}

// recentLengths returns the lengths in the ring, in no particular order. When a
// shift is detected they are those that showed it.
func (s *shiftDetector) recentLengths() []int { return s.lengths[:] }
