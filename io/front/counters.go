package front

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"apricotproxy/core"
)

// counters are the metrics of routed requests.
type counters struct {
	answers *expvar.Map
	tries   *expvar.Map
	// refusals counts requests that found no room.
	refusals *expvar.Map
	// refusedKinds counts the same by service and priority.
	refusedKinds *expvar.Map
	// answerTime is the time to the end of an answer or stream, firstEventTime the time
	// to the first event of a stream.
	answerTime     *latency
	firstEventTime *latency
}

var _publishCounters = sync.OnceValue(func() *counters {
	c := &counters{
		answers:        expvar.NewMap("apricotproxy.Routed.Answers"),
		tries:          expvar.NewMap("apricotproxy.Routed.Tries"),
		refusals:       expvar.NewMap("apricotproxy.Routed.NoRoom"),
		refusedKinds:   expvar.NewMap("apricotproxy.Routed.NoRoomByKind"),
		answerTime:     newLatency(),
		firstEventTime: newLatency(),
	}
	expvar.Publish("apricotproxy.Routed.AnswerMilliseconds", expvar.Func(c.answerTime.quantiles))
	expvar.Publish("apricotproxy.Routed.FirstEventMilliseconds", expvar.Func(c.firstEventTime.quantiles))
	return c
})

func newCounters() *counters { return _publishCounters() }

func (c *counters) countAnswer(status int) { c.answers.Add(strconv.Itoa(status), 1) }

func (c *counters) countTry(result string) { c.tries.Add(result, 1) }

// countNoRoom counts a request that found no room, by whether its caller had come back and
// whether the service was overloaded.
func (c *counters) countNoRoom(cameBack, overloaded bool) {
	name := "First"
	if cameBack {
		name = "CameBack"
	}
	if overloaded {
		name += "Overloaded"
	}
	c.refusals.Add(name, 1)
}

// countRefusedKind counts a request that found no room by its service and priority, and apart if its
// workspace asks for more than its share.
func (c *counters) countRefusedKind(service core.ServiceName, priority int, beyondShare bool) {
	name := string(service) + " " + strconv.Itoa(priority)
	if beyondShare {
		name += " BeyondShare"
	}
	c.refusedKinds.Add(name, 1)
}

const (
	// _maxLatencyMillis is the longest time that is recorded; longer ones count as it.
	_maxLatencyMillis         = 120_000
	_latencySignificantDigits = 2
)

// latency is a histogram of times. It is safe for concurrent use.
type latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatency() *latency {
	return &latency{histogram: hdrhistogram.New(1, _maxLatencyMillis, _latencySignificantDigits)}
}

func (l *latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue fails only for values above the maximum, which min excludes.
	_ = l.histogram.RecordValue(min(d.Milliseconds(), _maxLatencyMillis))
}

// quantiles returns the count, quantiles and maximum for expvar.
func (l *latency) quantiles() any {
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
