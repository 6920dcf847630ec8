// Package length estimates how many tokens a generation will still produce, from
// histograms of the lengths of finished generations.
//
// Each service and model has a shared histogram. To bound the memory, a workspace
// gets its own one only after a number of completions, and the number of those
// histograms is limited. All other workspaces use the shared estimate.
package length

import (
	"math/bits"

	"github.com/HdrHistogram/hdrhistogram-go"

	"apricotproxy/core"
)

const (
	// _maxLength is the largest length that is recorded, in tokens. Longer
	// generations count as this long.
	_maxLength = 1 << 17
	// _significantDigits is the precision of the histograms, in decimal digits.
	_significantDigits = 1
	// _minOwnCompletions is how many completions a workspace needs to get its own
	// histogram, and how many that histogram needs to be used.
	_minOwnCompletions = 32
	// _refreshInterval is how many completions pass between two computations of
	// the estimates.
	_refreshInterval = 16
	// _windowSize is how many completions a histogram holds before a new one
	// replaces it.
	_windowSize = 512
	// _steps is the number of lengths for which the expected remainder is
	// computed: 0, 1, 2, 4, 8, ... tokens.
	_steps = 18
	// _defaultMean is the expected length before the first completion, in tokens.
	_defaultMean = 256
)

// Key identifies a histogram of lengths. The shared one of a service and model
// has an empty workspace.
type Key struct {
	Workspace core.WorkspaceName
	Service   core.ServiceName
	Model     core.ModelName
}

// Estimator estimates the lengths of generations for one host. It is not safe for
// concurrent use.
type Estimator struct {
	shared map[Key]*estimate
	own    map[Key]*estimate
	// counts holds the number of completions of workspaces without their own
	// histogram.
	counts map[Key]uint16
	maxOwn int
	// uses counts the completions recorded in own histograms. It is the clock
	// for the eviction of the least recently used one.
	uses uint64
}

// New returns an estimator with at most maxOwn histograms of single workspaces.
func New(maxOwn int) *Estimator {
	return &Estimator{
		shared: make(map[Key]*estimate),
		own:    make(map[Key]*estimate),
		counts: make(map[Key]uint16),
		maxOwn: maxOwn,
	}
}

// Histograms counts the histograms, shared ones included.
func (e *Estimator) Histograms() int { return len(e.own) + len(e.shared) }

// Record adds the length of a finished generation. It reports whether that shows
// a shift of the workspace's typical length.
func (e *Estimator) Record(key Key, tokens int) (shifted bool) {
	e.sharedEstimate(key).record(tokens)
	own := e.own[key]
	if own == nil {
		own = e.promote(key)
	}
	if own == nil {
		return false
	}
	e.uses++
	own.lastUse = e.uses
	return own.record(tokens)
}

func (e *Estimator) sharedEstimate(key Key) *estimate {
	key.Workspace = ""
	s := e.shared[key]
	if s == nil {
		s = newEstimate()
		s.eager = true
		e.shared[key] = s
	}
	return s
}

// promote counts a completion of a workspace without its own histogram. It
// returns a new histogram if the workspace has enough completions, otherwise nil.
// If there are too many histograms, the new one replaces the least recently used.
func (e *Estimator) promote(key Key) *estimate {
	e.counts[key]++
	if e.counts[key] < _minOwnCompletions {
		e.boundCounts()
		return nil
	}
	delete(e.counts, key)
	if len(e.own) >= e.maxOwn {
		e.evict()
	}
	own := newEstimate()
	e.own[key] = own
	return own
}

// boundCounts clears the counts if there are too many. A workspace that rarely
// completes a generation needs no estimate of its own.
func (e *Estimator) boundCounts() {
	if len(e.counts) > _countsPerHistogram*e.maxOwn {
		clear(e.counts)
	}
}

// _countsPerHistogram limits the number of counts, as a multiple of the number of
// histograms.
const _countsPerHistogram = 16

// evict removes the least recently used histogram of a workspace.
func (e *Estimator) evict() {
	var oldest Key
	oldestUse := uint64(0)
	for key, own := range e.own {
		// All values of lastUse differ, so that the result doesn't depend on the
		// order of the map.
		if oldestUse == 0 || own.lastUse < oldestUse {
			oldest, oldestUse = key, own.lastUse
		}
	}
	delete(e.own, oldest)
}

// Remainder returns how many more tokens a generation is expected to produce
// after those that it has produced.
func (e *Estimator) Remainder(key Key, produced int) float64 {
	return e.find(key).remainder(produced)
}

// find returns the estimate that applies to a key, nil if there is none.
func (e *Estimator) find(key Key) *estimate {
	if own := e.own[key]; own != nil && own.total >= _minOwnCompletions {
		return own
	}
	key.Workspace = ""
	return e.shared[key]
}

// estimate is the histogram of a key, and the expected remainders computed from
// it.
type estimate struct {
	recent *hdrhistogram.Histogram
	// previous holds the completions of the window before. Both count for the
	// estimate, so that a new window discards no more than half of them.
	previous     *hdrhistogram.Histogram
	total        int64 // completions ever recorded
	sinceRefresh int   // completions since the last refresh
	lastUse      uint64
	// eager is true if each of the first completions refreshes the estimate.
	eager bool
	mean  [_steps]float64 // expected remainder at each step
	shift shiftDetector
}

func newEstimate() *estimate {
	return &estimate{
		recent:   hdrhistogram.New(1, _maxLength, _significantDigits),
		previous: hdrhistogram.New(1, _maxLength, _significantDigits),
	}
}

func (s *estimate) record(tokens int) bool {
	tokens = min(max(tokens, 1), _maxLength)
	// This can't fail, as the value is within the histogram's range.
	_ = s.recent.RecordValue(int64(tokens))
	s.total++
	shifted := s.shift.observe(tokens)
	if shifted {
		s.restart()
	}
	if s.recent.TotalCount() >= _windowSize {
		s.recent, s.previous = s.previous, s.recent
		s.recent.Reset()
	}
	s.sinceRefresh++
	// An eager estimate uses each of its first completions at once: there is no
	// better estimate that could be used instead.
	if s.sinceRefresh >= _refreshInterval || (s.eager && s.total < _refreshInterval) || shifted {
		s.refresh()
	}
	return shifted
}

// restart discards the completions before a shift and keeps those that showed it.
func (s *estimate) restart() {
	s.recent.Reset()
	s.previous.Reset()
	for _, tokens := range s.shift.recentLengths() {
		_ = s.recent.RecordValue(int64(tokens))
	}
}

// stepOf returns the number of the highest step at or below a length.
func stepOf(tokens int) int { return min(bits.Len(uint(max(tokens, 0))), _steps-1) }

// stepStart returns the length at a step: 0, 1, 2, 4, 8, ...
func stepStart(step int) int64 {
	if step == 0 {
		return 0
	}
	return 1 << (step - 1)
}

// refresh computes the expected remainder at each step: the mean of what the
// generations that got beyond the step's length still produced after it.
func (s *estimate) refresh() {
	s.sinceRefresh = 0
	var count, sum [_steps]float64
	for _, histogram := range []*hdrhistogram.Histogram{s.previous, s.recent} {
		for _, bar := range histogram.Distribution() {
			if bar.Count == 0 {
				continue
			}
			length := float64(bar.From+bar.To) / 2
			// These generations got beyond every step below their length.
			for step := range _steps {
				start := float64(stepStart(step))
				if length <= start {
					break
				}
				count[step] += float64(bar.Count)
				sum[step] += float64(bar.Count) * (length - start)
			}
		}
	}
	for step := range _steps {
		s.mean[step] = fallbackRemainder(step)
		if count[step] >= _minReached {
			s.mean[step] = sum[step] / count[step]
		}
	}
}

// _minReached is how many generations must have got beyond a step for their mean
// remainder to be used.
const _minReached = 3

// fallbackRemainder returns the expected remainder at a step that too few
// generations have got beyond: as many tokens again.
func fallbackRemainder(step int) float64 { return max(float64(stepStart(step)), 1) }

// remainder returns the expected remainder after the tokens produced. It
// interpolates between two steps.
func (s *estimate) remainder(produced int) float64 {
	if s == nil || s.total == 0 {
		return max(_defaultMean, float64(produced))
	}
	step := stepOf(produced)
	next := min(step+1, _steps-1)
	start, end := float64(stepStart(step)), float64(stepStart(next))
	if end <= start {
		return s.mean[step]
	}
	fraction := (float64(produced) - start) / (end - start)
	return s.mean[step] + fraction*(s.mean[next]-s.mean[step])
}
