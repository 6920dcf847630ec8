// Package meter gives the metrics of a process, by expvar through go-kit.
//
// A name stands for one metric of the process: asking for it again gives the
// same one, so that several hosts in one process, as in a demo or a test, add
// to the same figures where expvar alone would stop the process.
package meter

import (
	"sync"

	"github.com/go-kit/kit/metrics"
	"github.com/go-kit/kit/metrics/expvar"
)

// _prefix is put before each name at /debug/vars.
const _prefix = "apricotproxy."

// _buckets is go-kit's advice for a histogram.
const _buckets = 50

// registry makes each metric once.
type registry[T any] struct {
	mu      sync.Mutex
	make    func(name string) T
	metrics map[string]T
}

func newRegistry[T any](create func(name string) T) *registry[T] {
	return &registry[T]{make: create, metrics: map[string]T{}}
}

func (r *registry[T]) get(name string) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	metric, known := r.metrics[name]
	if !known {
		metric = r.make(_prefix + name)
		r.metrics[name] = metric
	}
	return metric
}

var (
	_counters   = newRegistry(func(name string) metrics.Counter { return expvar.NewCounter(name) })
	_gauges     = newRegistry(func(name string) metrics.Gauge { return expvar.NewGauge(name) })
	_histograms = newRegistry(func(name string) metrics.Histogram { return expvar.NewHistogram(name, _buckets) })
)

// Counter gives the counter of a name, shown as "apricotproxy.<name>".
func Counter(name string) metrics.Counter { return _counters.get(name) }

// Gauge gives the gauge of a name.
func Gauge(name string) metrics.Gauge { return _gauges.get(name) }

// Histogram gives the histogram of a name, shown as four quantiles:
// "apricotproxy.<name>.p50" and so on. An observation takes a lock and sorts
// into buckets: use it for each request, not for each token.
func Histogram(name string) metrics.Histogram { return _histograms.get(name) }
