// Package logs writes log lines without ever holding up who logs. Lines wait in a
// bounded buffer; lines that find it full, or that are more than so many a second,
// are dropped, counted and told of in a line of their own.
package logs

import (
	"expvar"
	"io"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// _lines is how many lines may wait.
	_lines = 4096
	// _burstSeconds is for how many seconds' lines at once the bound on lines a
	// second makes room: what follows a loss of many endpoints.
	_burstSeconds = 4
)

// _dropped counts the lines that were dropped since the start of the process.
var _dropped = expvar.NewInt("apricotproxy.Logs.Dropped")

// Settings are what a Writer is built from.
type Settings struct {
	Out io.Writer
	// LinesPerSecond bounds what is written; 0 for no bound.
	LinesPerSecond int
	// Notice gives the line that tells how many were dropped.
	Notice func(dropped int64) []byte
}

// Writer is an io.Writer of whole lines. It is safe for concurrent use.
type Writer struct {
	settings Settings
	lines    chan []byte
	done     chan struct{}
	once     sync.Once
	limit    *rate.Limiter
	// untold counts the lines that were dropped since it was last told.
	untold atomic.Int64
}

// New starts a writer.
func New(settings Settings) *Writer {
	w := &Writer{settings: settings, lines: make(chan []byte, _lines), done: make(chan struct{}), limit: rate.NewLimiter(rate.Inf, 0)}
	if n := settings.LinesPerSecond; n > 0 {
		w.limit = rate.NewLimiter(rate.Limit(n), n*_burstSeconds)
	}
	go w.run()
	return w
}

// Write takes in one line. It never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limit.Allow() {
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

func (w *Writer) drop() {
	_dropped.Add(1)
	w.untold.Add(1)
}

// Close writes what waits. Nothing may be written afterwards.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		w.tell()
		if _, err := w.settings.Out.Write(line); err != nil {
			w.drop()
		}
	}
	w.tell()
}

// tell writes how many lines were dropped since it was last told.
func (w *Writer) tell() {
	n := w.untold.Swap(0)
	if n == 0 || w.settings.Notice == nil {
		return
	}
	if _, err := w.settings.Out.Write(w.settings.Notice(n)); err != nil {
		w.untold.Add(n)
	}
}
