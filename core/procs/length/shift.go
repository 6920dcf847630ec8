package length

import "math"

const (
	// _latest is how many completions are compared with the long run. A shift
	// of the typical length by a factor of two is noticed within as many.
	_latest = 32
	// _baseAtLeast is how many completions the long run must have.
	_baseAtLeast = 2 * _latest
	// _significance is how many standard errors the latest mean must be off.
	_significance = 5
	// _leastFactor is the smallest change of the typical length, as a factor,
	// that counts as a shift.
	_leastFactor = 1.5
)

// shift compares the logarithms of the latest lengths with the long run's. In
// logarithms heavy tails do not drown the typical length.
type shift struct {
	ring [_latest]int
	// logs and sum hold the logarithms of the ring.
	logs  [_latest]float64
	sum   float64
	next  int
	full  bool
	count float64
	mean  float64
	m2    float64
}

// observe takes in a length and reports whether the typical length has shifted.
// After a shift the comparison starts anew.
func (s *shift) observe(tokens int) bool {
	leaving := s.logs[s.next]
	if s.full {
		s.learn(leaving)
	}
	value := math.Log(float64(tokens))
	s.sum += value - s.logs[s.next]
	s.ring[s.next], s.logs[s.next] = tokens, value
	s.next = (s.next + 1) % _latest
	s.full = s.full || s.next == 0
	if !s.full || s.count < _baseAtLeast || !s.differs() {
		return false
	}
	s.count, s.mean, s.m2 = 0, 0, 0
	return true
}

// learn adds the logarithm of a length to the long run.
func (s *shift) learn(value float64) {
	s.count++
	delta := value - s.mean
	s.mean += delta / s.count
	s.m2 += delta * (value - s.mean)
}

func (s *shift) differs() bool {
	difference := math.Abs(s.sum/_latest - s.mean)
	deviation := math.Sqrt(s.m2 / s.count)
	return difference > math.Log(_leastFactor) && difference > _significance*deviation/math.Sqrt(_latest)
}

// latest gives the lengths that made up the shift.
func (s *shift) latest() []int { return s.ring[:] }
