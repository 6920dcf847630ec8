package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what became of a request, as its caller saw it.
type Outcome uint8

// Outcomes. The first four are the system's own words; the others say that no
// such word came.
const (
	Done Outcome = iota + 1
	NotRun
	Interrupted
	Unknown
	// Broken answers contradict themselves or were cut without an outcome.
	Broken
	// Unreached requests got no answer: no connection, or a timeout.
	Unreached
	// Skipped requests were not sent, as too many were open.
	Skipped
	// Abandoned requests were given up at the operator's interrupt.
	Abandoned
	_outcomes
)

// String names the outcome.
func (o Outcome) String() string {
	return [...]string{"Pending", "Done", "NotRun", "Interrupted", "Unknown", "Broken", "Unreached", "Skipped", "Abandoned"}[o]
}

// outcomeOf reads a system's word; any other word is Broken.
func outcomeOf(word string) Outcome {
	for _, outcome := range []Outcome{NotRun, Interrupted, Unknown} {
		if word == outcome.String() {
			return outcome
		}
	}
	return Broken
}

// Bounds of the histograms: times in microseconds up to an hour.
const (
	_lowest  = 1
	_highest = int64(time.Hour / time.Microsecond)
	_digits  = 3
	// _shards spread recording over locks, so that thousands of streams do not
	// wait for one.
	_shards = 16
	// _detailsKept is how many distinct details of failures a result holds.
	_detailsKept = 20
)

// figures are the counts and histograms of one kind of request.
type figures struct {
	sent       int
	resumes    int
	outcomes   [_outcomes]int
	tokens     int
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	whole      *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(_lowest, _highest, _digits)
}

func newFigures() *figures {
	return &figures{firstToken: newHistogram(), between: newHistogram(), whole: newHistogram()}
}

func (f *figures) add(other *figures) {
	f.sent += other.sent
	f.tokens += other.tokens
	f.resumes += other.resumes
	for i := range f.outcomes {
		f.outcomes[i] += other.outcomes[i]
	}
	f.firstToken.Merge(other.firstToken)
	f.between.Merge(other.between)
	f.whole.Merge(other.whole)
}

// record keeps a time; one out of bounds counts as the bound.
func record(histogram *hdrhistogram.Histogram, d time.Duration) {
	value := min(max(d.Microseconds(), _lowest), _highest)
	_ = histogram.RecordValue(value) // within bounds by the line above
}

// shard is one part of a recorder with a lock of its own.
type shard struct {
	mu      sync.Mutex
	kinds   [_kinds]*figures
	details map[string]int
}

// recorder counts the results of a run. Locks of shards are never held two at
// a time.
type recorder struct {
	shards [_shards]*shard
}

func newRecorder() *recorder {
	r := &recorder{}
	for i := range r.shards {
		s := &shard{details: map[string]int{}}
		for kind := range s.kinds {
			s.kinds[kind] = newFigures()
		}
		r.shards[i] = s
	}
	return r
}

func (r *recorder) sent(kind Kind) {
	s := r.shards[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[kind].sent++
}

func (r *recorder) finish(serial int, kind Kind, a answer) {
	s := r.shards[serial%_shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.kinds[kind]
	f.outcomes[a.Outcome]++
	f.tokens += a.Tokens
	f.resumes += a.Resumes
	if a.FirstToken > 0 {
		record(f.firstToken, a.FirstToken)
	}
	for _, gap := range a.Between {
		record(f.between, gap)
	}
	if a.Outcome == Done {
		record(f.whole, a.Whole)
		return
	}
	detail := kind.String() + ", " + a.Outcome.String() + ": " + a.Detail
	if _, known := s.details[detail]; known || len(s.details) < _detailsKept {
		s.details[detail]++
	}
}

// sums merges the shards in their order.
func (r *recorder) sums() ([_kinds]*figures, map[string]int) {
	var kinds [_kinds]*figures
	for kind := range kinds {
		kinds[kind] = newFigures()
	}
	details := map[string]int{}
	for _, s := range r.shards {
		s.mu.Lock()
		for kind := range kinds {
			kinds[kind].add(s.kinds[kind])
		}
		for detail, count := range s.details {
			details[detail] += count
		}
		s.mu.Unlock()
	}
	return kinds, details
}
