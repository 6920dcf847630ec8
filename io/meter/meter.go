// Package meter provides the metrics of a process. They are go-kit metrics,
// published by expvar.
//
// Each name identifies one metric of the process, and a second call with the same
// name returns the same metric. Several hosts in one process, as in a demo or a
// test, therefore add to the same metrics. With expvar alone, publishing a name
// twice would end the process.
package meter

import (
	"sync"

	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/expvar"
)

// _prefix precedes each name at /debug/vars.
const _prefix = "apricotproxy."

// _histogramBuckets is the number of buckets that go-kit recommends.
const _histogramBuckets = 50

// registry creates each metric once and returns it by its name.
type registry[T any] struct {
	mu        sync.Mutex
	newMetric func(name string) T
	metrics   map[string]T
}

func newRegistry[T any](create func(name string) T) *registry[T] {
	return &registry[T]{newMetric: create, metrics: map[string]T{}}
}

func (r *registry[T]) get(name string) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	metric, known := r.metrics[name]
	if !known {
		metric = r.newMetric(_prefix + name)
		r.metrics[name] = metric
	}
	return metric
}

var (
	_counters   = newRegistry(func(name string) metrics.Counter { return expvar.NewCounter(name) })
	_gauges     = newRegistry(func(name string) metrics.Gauge { return expvar.NewGauge(name) })
	_histograms = newRegistry(func(name string) metrics.Histogram { return expvar.NewHistogram(name, _histogramBuckets) })
)

// Counter returns the counter of a name, shown as "apricotproxy.<name>".
func Counter(name string) metrics.Counter { return _counters.get(name) }

// Gauge returns the gauge of a name.
func Gauge(name string) metrics.Gauge { return _gauges.get(name) }

// Histogram returns the histogram of a name, shown as four quantiles:
// "apricotproxy.<name>.p50" and so on. An observation takes a lock and updates
// the buckets, so make one per request, not one per token.
func Histogram(name string) metrics.Histogram { return _histograms.get(name) }
