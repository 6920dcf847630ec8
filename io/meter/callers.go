package meter

import (
	"bufio"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/kit/metrics"
)

// Callers wraps the handler of callers' requests and records these metrics:
//
//	Callers.Open               requests in progress, except streams that have begun
//	Callers.Answered           status 2xx; a stream may still be interrupted
//	Callers.Refused            status 4xx or 503: nothing ran
//	Callers.Unknown            status 500, 502, 504: the request may have run
//	Callers.FirstByteMillis    from the request to the first byte of a 2xx answer
func Callers(next http.Handler) http.Handler {
	return &callers{
		next:      next,
		open:      Gauge("Callers.Open"),
		answered:  Counter("Callers.Answered"),
		refused:   Counter("Callers.Refused"),
		unknown:   Counter("Callers.Unknown"),
		firstByte: Histogram("Callers.FirstByteMillis"),
	}
}

type callers struct {
	next      http.Handler
	open      metrics.Gauge
	answered  metrics.Counter
	refused   metrics.Counter
	unknown   metrics.Counter
	firstByte metrics.Histogram
}

// ServeHTTP passes one request on and counts it.
func (c *callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.open.Add(1)
	defer c.open.Add(-1)
	c.next.ServeHTTP(&countingWriter{ResponseWriter: w, callers: c, arrived: time.Now()}, r)
}

func (c *callers) count(status int, arrived time.Time) {
	switch {
	case status < http.StatusMultipleChoices:
		c.answered.Add(1)
		c.firstByte.Observe(float64(time.Since(arrived)) / float64(time.Millisecond))
	case status < http.StatusInternalServerError, status == http.StatusServiceUnavailable:
		c.refused.Add(1)
	default:
		c.unknown.Add(1)
	}
}

// countingWriter records the status of an answer. Unwrap gives
// http.ResponseController access to the underlying writer.
type countingWriter struct {
	http.ResponseWriter
	callers *callers
	arrived time.Time
	counted bool
}

// Unwrap returns the underlying writer.
func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Hijack hands the connection to the handler and counts the request as answered:
// handlers take over the connection of a stream when they send its first event.
func (w *countingWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, buffer, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err == nil && !w.counted {
		w.counted = true
		w.callers.count(http.StatusOK, w.arrived)
	}
	return conn, buffer, err
}

// WriteHeader counts the first status other than 1xx, which is not an answer.
func (w *countingWriter) WriteHeader(status int) {
	if !w.counted && status >= http.StatusOK {
		w.counted = true
		w.callers.count(status, w.arrived)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write counts an answer without an explicit status as 200.
func (w *countingWriter) Write(p []byte) (int, error) {
	if !w.counted {
		w.counted = true
		w.callers.count(http.StatusOK, w.arrived)
	}
	return w.ResponseWriter.Write(p)
}
