package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"apricotproxy/io/logs"
)

func TestLinesArriveInOrder(t *testing.T) {
	var out bytes.Buffer
	w := logs.New(logs.Settings{Out: &out})
	want := ""
	for i := range 1000 {
		line := fmt.Sprintf("line %d\n", i)
		want += line
		if _, err := w.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	w.Close()
	if out.String() != want {
		t.Error("lines are missing or out of order")
	}
}

// stuck is a writer that blocks until released.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// A reader of the log that does not read holds up nobody.
func TestFullBufferDropsAndDoesNotBlock(t *testing.T) {
	s := stuck{release: make(chan struct{})}
	w := logs.New(logs.Settings{Out: s})
	began := time.Now()
	for range 100_000 {
		_, _ = w.Write([]byte("line\n"))
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("100,000 lines took %v", took)
	}
	close(s.release)
	w.Close()
}

// More lines a second than the bound are dropped, and the log says how many.
func TestLinesAreBoundedBySecond(t *testing.T) {
	const bound, written = 100, 10_000
	var out bytes.Buffer
	w := logs.New(logs.Settings{Out: &out, LinesPerSecond: bound, Notice: func(n int64) []byte {
		return fmt.Appendf(nil, "dropped %d\n", n)
	}})
	began := time.Now()
	for range written {
		_, _ = w.Write([]byte("line\n"))
	}
	took := time.Since(began)
	w.Close()
	lines, told := 0, 0
	for line := range strings.Lines(out.String()) {
		var n int
		if _, err := fmt.Sscanf(line, "dropped %d", &n); err == nil {
			told += n
			continue
		}
		lines++
	}
	if most := bound * (5 + int(took.Seconds())); lines > most {
		t.Errorf("%d lines in %v, want no more than %d", lines, took, most)
	}
	if lines+told != written {
		t.Errorf("%d lines and %d told as dropped, want %d together", lines, told, written)
	}
}
