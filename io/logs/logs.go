// Package logs writes log lines without ever holding up who logs: lines wait in a
// bounded buffer, and lines that find it full are dropped and counted.
package logs

import (
	"expvar"
	"io"
	"sync"
)

// _lines is how many lines may wait.
const _lines = 4096

// _dropped counts the lines that were dropped since the start of the process.
var _dropped = expvar.NewInt("apricotproxy.Logs.Dropped")

// Writer is an io.Writer of whole lines. It is safe for concurrent use.
type Writer struct {
	lines chan []byte
	done  chan struct{}
	once  sync.Once
}

// New starts a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, _lines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write takes in one line. It never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		_dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits. Nothing may be written afterwards.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if _, err := out.Write(line); err != nil {
			_dropped.Add(1)
		}
	}
}
