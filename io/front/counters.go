package front

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// counters are what the metrics address shows of routed requests.
type counters struct {
	answers *expvar.Map
	tries   *expvar.Map
	// whole is the time to a whole answer, first that to a stream's first event.
	whole *latency
	first *latency
}

var _publish = sync.OnceValue(func() *counters {
	c := &counters{
		answers: expvar.NewMap("apricotproxy.Routed.Answers"),
		tries:   expvar.NewMap("apricotproxy.Routed.Tries"),
		whole:   newLatency(),
		first:   newLatency(),
	}
	expvar.Publish("apricotproxy.Routed.AnswerMilliseconds", expvar.Func(c.whole.show))
	expvar.Publish("apricotproxy.Routed.FirstEventMilliseconds", expvar.Func(c.first.show))
	return c
})

func newCounters() *counters { return _publish() }

func (c *counters) answered(status int) { c.answers.Add(strconv.Itoa(status), 1) }

func (c *counters) tried(result string) { c.tries.Add(result, 1) }

const (
	// _longestLatency bounds what is told apart, in milliseconds.
	_longestLatency = 120_000
	_latencyDigits  = 2
)

// latency is a histogram of times. It is safe for concurrent use.
type latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatency() *latency {
	return &latency{histogram: hdrhistogram.New(1, _longestLatency, _latencyDigits)}
}

func (l *latency) took(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Fails only beyond the bound, which min keeps.
	_ = l.histogram.RecordValue(min(d.Milliseconds(), _longestLatency))
}

// show gives the quantiles for expvar.
func (l *latency) show() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return map[string]int64{
		"Count": l.histogram.TotalCount(),
		"P50":   l.histogram.ValueAtQuantile(50),
		"P90":   l.histogram.ValueAtQuantile(90),
		"P99":   l.histogram.ValueAtQuantile(99),
		"Max":   l.histogram.Max(),
	}
}
