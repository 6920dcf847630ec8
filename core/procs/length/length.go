// Package length estimates how many tokens a generation will still produce,
// from histograms of finished ones per workspace, service and model.
//
// Memory is bounded: a workspace has its own histogram only after a number of
// completions, and only so many have one; all others share their service's
// estimate.
package length

import (
	"math/bits"

	"github.com/HdrHistogram/hdrhistogram-go"

	"apricotproxy/core"
)

const (
	// _longest is the largest length that is told apart, in tokens.
	_longest = 1 << 17
	// _digits is the number of significant digits of the histograms.
	_digits = 1
	// _ownAfter is how many completions give a workspace its own histogram.
	_ownAfter = 32
	// _refresh is how many completions pass between two computations of the
	// estimates.
	_refresh = 16
	// _window is how many completions a histogram holds before it is aged.
	_window = 512
	// _steps is the number of lengths so far that a remainder is kept for:
	// 0, 1, 2, 4, 8, ... tokens.
	_steps = 18
	// _unknownMean is the expected length before the first completion.
	_unknownMean = 256
)

// Key names what lengths are counted for. An empty workspace stands for the
// service's shared estimate.
type Key struct {
	Workspace core.WorkspaceName
	Service   core.ServiceName
	Model     core.ModelName
}

// Estimates holds the estimates of one host. It is not safe for concurrent use.
type Estimates struct {
	shared map[Key]*estimate
	own    map[Key]*estimate
	// counts holds the completions of workspaces without a histogram.
	counts map[Key]uint16
	most   int
	clock  uint64
}

// New builds estimates with at most so many histograms of workspaces.
func New(most int) *Estimates {
	return &Estimates{
		shared: make(map[Key]*estimate),
		own:    make(map[Key]*estimate),
		counts: make(map[Key]uint16),
		most:   most,
	}
}

// Histograms counts the histograms that are kept.
func (e *Estimates) Histograms() int { return len(e.own) + len(e.shared) }

// Record takes in the length of a finished generation. It reports whether the
// lengths of the key are found to have shifted.
func (e *Estimates) Record(key Key, tokens int) (shifted bool) {
	e.sharedOf(key).record(tokens)
	own := e.own[key]
	if own == nil {
		own = e.promote(key)
	}
	if own == nil {
		return false
	}
	e.clock++
	own.used = e.clock
	return own.record(tokens)
}

func (e *Estimates) sharedOf(key Key) *estimate {
	key.Workspace = ""
	s := e.shared[key]
	if s == nil {
		s = newEstimate()
		s.eager = true
		e.shared[key] = s
	}
	return s
}

// promote gives a workspace its own histogram once it has enough completions,
// in place of the one that was used longest ago.
func (e *Estimates) promote(key Key) *estimate {
	e.counts[key]++
	if e.counts[key] < _ownAfter {
		e.boundCounts()
		return nil
	}
	delete(e.counts, key)
	if len(e.own) >= e.most {
		e.evict()
	}
	own := newEstimate()
	e.own[key] = own
	return own
}

// boundCounts forgets the counts when there are too many: a workspace that
// completes rarely needs no estimate of its own.
func (e *Estimates) boundCounts() {
	if len(e.counts) > _countsPerHistogram*e.most {
		clear(e.counts)
	}
}

// _countsPerHistogram bounds the counted workspaces without a histogram.
const _countsPerHistogram = 16

func (e *Estimates) evict() {
	var oldest Key
	used := uint64(0)
	for key, own := range e.own {
		// The use counts are distinct, so that the order of the map is of no
		// consequence.
		if used == 0 || own.used < used {
			oldest, used = key, own.used
		}
	}
	delete(e.own, oldest)
}

// Remainder gives the tokens that a generation is expected to produce beyond
// those so far.
func (e *Estimates) Remainder(key Key, sofar int) float64 {
	return e.find(key).remainder(sofar)
}

func (e *Estimates) find(key Key) *estimate {
	if own := e.own[key]; own != nil && own.total >= _ownAfter {
		return own
	}
	key.Workspace = ""
	return e.shared[key]
}

// estimate is one histogram with what is computed from it.
type estimate struct {
	recent *hdrhistogram.Histogram
	// before holds the window before, so that ageing forgets no more than half.
	before *hdrhistogram.Histogram
	total  int64
	stale  int
	used   uint64
	// eager estimates are computed anew for each of the first completions.
	eager bool
	mean  [_steps]float64
	shift shift
}

func newEstimate() *estimate {
	return &estimate{
		recent: hdrhistogram.New(1, _longest, _digits),
		before: hdrhistogram.New(1, _longest, _digits),
	}
}

func (s *estimate) record(tokens int) bool {
	tokens = min(max(tokens, 1), _longest)
	// The value is within the histogram's range, so that it cannot fail.
	_ = s.recent.RecordValue(int64(tokens))
	s.total++
	shifted := s.shift.observe(tokens)
	if shifted {
		s.forget()
	}
	if s.recent.TotalCount() >= _window {
		s.recent, s.before = s.before, s.recent
		s.recent.Reset()
	}
	s.stale++
	// The first few count one by one: there is nothing better to go by.
	if s.stale >= _refresh || (s.eager && s.total < _refresh) || shifted {
		s.compute()
	}
	return shifted
}

// forget starts anew with the completions since the shift.
func (s *estimate) forget() {
	s.recent.Reset()
	s.before.Reset()
	for _, tokens := range s.shift.latest() {
		_ = s.recent.RecordValue(int64(tokens))
	}
}

// stepOf gives the step at or below a length: 0, 1, 2, 4, 8, ...
func stepOf(tokens int) int { return min(bits.Len(uint(max(tokens, 0))), _steps-1) }

func stepStart(step int) int64 {
	if step == 0 {
		return 0
	}
	return 1 << (step - 1)
}

// compute refreshes the expected remainder at each step.
func (s *estimate) compute() {
	s.stale = 0
	var count, sum [_steps]float64
	for _, histogram := range []*hdrhistogram.Histogram{s.before, s.recent} {
		for _, bar := range histogram.Distribution() {
			if bar.Count == 0 {
				continue
			}
			length := float64(bar.From+bar.To) / 2
			// It lasted beyond the start of every step up to its own.
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
		s.mean[step] = unseen(step)
		if count[step] >= _leastSeen {
			s.mean[step] = sum[step] / count[step]
		}
	}
}

// _leastSeen is how many generations must have lasted beyond a length for their
// mean remainder to be used.
const _leastSeen = 3

// unseen is the remainder beyond a length that few have reached: it is expected
// to go on for as long again.
func unseen(step int) float64 { return max(float64(stepStart(step)), 1) }

func (s *estimate) remainder(sofar int) float64 {
	if s == nil || s.total == 0 {
		return max(_unknownMean, float64(sofar))
	}
	step := stepOf(sofar)
	next := min(step+1, _steps-1)
	start, end := float64(stepStart(step)), float64(stepStart(next))
	if end <= start {
		return s.mean[step]
	}
	// Between two steps the remainder is interpolated.
	part := (float64(sofar) - start) / (end - start)
	return s.mean[step] + part*(s.mean[next]-s.mean[step])
}
