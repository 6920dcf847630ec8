// Package logs writes log lines asynchronously, so that logging never blocks. Lines
// wait in a bounded buffer. Lines are dropped when the buffer is full or when they
// exceed a rate limit; a separate line then reports how many were dropped. Routine
// lines leave a part of both to the others.
package logs

import (
	"expvar"
	"io"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// _bufferedLines is the capacity of the buffer, in lines.
	_bufferedLines = 4096
	// _burstSeconds is the size of the rate limit's burst, in seconds at the full
	// rate. The loss of many endpoints causes such a burst.
	_burstSeconds = 4
	// _reserve is the divisor of the parts of the rate and of the buffer that routine
	// lines cannot use.
	_reserve = 4
)

// _dropped counts the lines dropped since the start of the process.
var _dropped = expvar.NewInt("apricotproxy.Logs.Dropped")

// Settings are what a Writer is built from.
type Settings struct {
	Out io.Writer
	// LinesPerSecond limits the lines written; 0 for no limit.
	LinesPerSecond int
	// Notice formats the line that reports how many lines were dropped. If it is
	// nil, drops are only counted.
	Notice func(dropped int64) []byte
	// Routine reports whether a line is one of those that each request writes. If it is
	// nil, no line is.
	Routine func(line []byte) bool
}

// Writer is an asynchronous io.Writer. Each call of Write passes one whole line. It
// is safe for concurrent use.
type Writer struct {
	settings Settings
	lines    chan []byte
	// closing is closed by Close, done once the buffered lines are written.
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
	limit   *rate.Limiter
	// routineLimit holds for routine lines, in addition to limit.
	routineLimit *rate.Limiter
	// unreported counts the lines dropped since the last notice.
	unreported atomic.Int64
}

// New returns a writer and starts its goroutine, which runs until Close.
func New(settings Settings) *Writer {
	w := &Writer{settings: settings, lines: make(chan []byte, _bufferedLines), closing: make(chan struct{}), done: make(chan struct{}), limit: rate.NewLimiter(rate.Inf, 0), routineLimit: rate.NewLimiter(rate.Inf, 0)}
	if n := settings.LinesPerSecond; n > 0 {
		w.limit = rate.NewLimiter(rate.Limit(n), n*_burstSeconds)
		routine := n - n/_reserve
		w.routineLimit = rate.NewLimiter(rate.Limit(routine), routine*_burstSeconds)
	}
	go w.run()
	return w
}

// Write queues one line or drops it. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	routine := w.settings.Routine != nil && w.settings.Routine(line)
	if w.closed() || !w.allow(routine) {
		w.drop()
		return len(line), nil
	}
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.drop()
	}
	return len(line), nil
}

// allow reports whether a line may be written now.
func (w *Writer) allow(routine bool) bool {
	if routine && (len(w.lines) >= _bufferedLines-_bufferedLines/_reserve || !w.routineLimit.Allow()) {
		return false
	}
	return w.limit.Allow()
}

// closed reports whether Close was called.
func (w *Writer) closed() bool {
	select {
	case <-w.closing:
		return true
	default:
		return false
	}
}

func (w *Writer) drop() {
	_dropped.Add(1)
	w.unreported.Add(1)
}

// Close returns once the buffered lines are written. Lines of goroutines that end after it
// are dropped.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closing) })
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closing:
			w.writeBuffered()
			return
		}
	}
}

// writeBuffered writes the lines that are in the buffer.
func (w *Writer) writeBuffered() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			w.reportDropped()
			return
		}
	}
}

func (w *Writer) write(line []byte) {
	w.reportDropped()
	if _, err := w.settings.Out.Write(line); err != nil {
		w.drop()
	}
}

// reportDropped writes a notice if lines were dropped since the last one.
func (w *Writer) reportDropped() {
	n := w.unreported.Swap(0)
	if n == 0 || w.settings.Notice == nil {
		return
	}
	if _, err := w.settings.Out.Write(w.settings.Notice(n)); err != nil {
		w.unreported.Add(n)
	}
}
