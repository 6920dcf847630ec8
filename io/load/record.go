package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"apricotproxy/core/mutex"
)

// Outcome is the result of a request as its caller saw it.
type Outcome uint8

// Outcomes. The first four are reported by entry hosts; the others mean that the
// caller received no valid outcome.
const (
	Done Outcome = iota + 1
	NotRun
	Interrupted
	Unknown
	// Broken: the answer contradicts itself or was truncated without an outcome.
	Broken
	// Unreached: no answer arrived, since the connection failed or timed out.
	Unreached
	// Skipped: the request was not sent, since too many were in flight.
	Skipped
	// Abandoned: the request was cancelled when the operator interrupted the run.
	Abandoned
	_outcomeCount
)

// String returns the name used in results.
func (o Outcome) String() string {
	return [...]string{"Pending", "Done", "NotRun", "Interrupted", "Unknown", "Broken", "Unreached", "Skipped", "Abandoned"}[o]
}

// parseOutcome returns the outcome in an error response; an unknown word is Broken.
func parseOutcome(name string) Outcome {
	for _, outcome := range []Outcome{NotRun, Interrupted, Unknown} {
		if name == outcome.String() {
			return outcome
		}
	}
	return Broken
}

const (
	// The histograms hold times from 1 µs to 1 h, in microseconds.
	_minMicros         = 1
	_maxMicros         = int64(time.Hour / time.Microsecond)
	_significantDigits = 3
	// _shardCount is the number of locks that recording is spread over, so that
	// thousands of streams do not contend for one.
	_shardCount = 16
	// _maxDetails limits the distinct failure details that a shard holds.
	_maxDetails = 20
)

// kindStats holds the counts and histograms of one kind of request.
type kindStats struct {
	sent       int
	resumes    int
	outcomes   [_outcomeCount]int
	tokens     int
	firstToken *hdrhistogram.Histogram
	tokenGaps  *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(_minMicros, _maxMicros, _significantDigits)
}

func newKindStats() *kindStats {
	return &kindStats{firstToken: newHistogram(), tokenGaps: newHistogram(), total: newHistogram()}
}

func (k *kindStats) add(other *kindStats) {
	k.sent += other.sent
	k.tokens += other.tokens
	k.resumes += other.resumes
	for i := range k.outcomes {
		k.outcomes[i] += other.outcomes[i]
	}
	k.firstToken.Merge(other.firstToken)
	k.tokenGaps.Merge(other.tokenGaps)
	k.total.Merge(other.total)
}

// recordDuration adds a time, clamped to the range of the histogram.
func recordDuration(histogram *hdrhistogram.Histogram, d time.Duration) {
	value := min(max(d.Microseconds(), _minMicros), _maxMicros)
	_ = histogram.RecordValue(value) // cannot fail: the value is in range
}

// shard is a part of the recorder that has its own lock.
type shard struct {
	mu      sync.Mutex
	kinds   [_kindCount]*kindStats
	details map[string]int
}

// recorder aggregates the results of a run. No goroutine holds the locks of two
// shards at the same time.
type recorder struct {
	shards [_shardCount]*shard
}

func newRecorder() *recorder {
	r := &recorder{}
	for i := range r.shards {
		s := &shard{details: map[string]int{}}
		for kind := range s.kinds {
			s.kinds[kind] = newKindStats()
		}
		r.shards[i] = s
	}
	return r
}

func (r *recorder) recordSent(kind Kind) {
	s := r.shards[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[kind].sent++
}

func (r *recorder) recordAnswer(serial int, kind Kind, a answer) {
	s := r.shards[serial%_shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[kind]
	k.outcomes[a.Outcome]++
	k.tokens += a.Tokens
	k.resumes += a.Resumes
	if a.FirstToken > 0 {
		recordDuration(k.firstToken, a.FirstToken)
	}
	for _, gap := range a.TokenGaps {
		recordDuration(k.tokenGaps, gap)
	}
	if a.Outcome == Done {
		recordDuration(k.total, a.Total)
		return
	}
	detail := kind.String() + ", " + a.Outcome.String() + ": " + a.Detail
	if _, known := s.details[detail]; known || len(s.details) < _maxDetails {
		s.details[detail]++
	}
}

// totals merges the shards, in order.
func (r *recorder) totals() ([_kindCount]*kindStats, map[string]int) {
	var kinds [_kindCount]*kindStats
	for kind := range kinds {
		kinds[kind] = newKindStats()
	}
	details := map[string]int{}
	for _, s := range r.shards {
		mutex.Do(&s.mu, func() {
			for kind := range kinds {
				kinds[kind].add(s.kinds[kind])
			}
			for detail, count := range s.details {
				details[detail] += count
			}
		})
	}
	return kinds, details
}
