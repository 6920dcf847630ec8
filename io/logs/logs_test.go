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

// blockingWriter blocks until it is released.
type blockingWriter struct{ release chan struct{} }

func (s blockingWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// A destination that blocks does not block the callers of Write.
func TestFullBufferDropsAndDoesNotBlock(t *testing.T) {
	s := blockingWriter{release: make(chan struct{})}
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

// Lines above the rate limit are dropped, and notices report how many.
func TestLinesAboveRateLimitAreDropped(t *testing.T) {
	const limit, written = 100, 10_000
	var out bytes.Buffer
	w := logs.New(logs.Settings{Out: &out, LinesPerSecond: limit, Notice: func(n int64) []byte {
		return fmt.Appendf(nil, "dropped %d\n", n)
	}})
	began := time.Now()
	for range written {
		_, _ = w.Write([]byte("line\n"))
	}
	took := time.Since(began)
	w.Close()
	lines, dropped := 0, 0
	for line := range strings.Lines(out.String()) {
		var n int
		if _, err := fmt.Sscanf(line, "dropped %d", &n); err == nil {
			dropped += n
			continue
		}
		lines++
	}
	if most := limit * (5 + int(took.Seconds())); lines > most {
		t.Errorf("%d lines in %v, want no more than %d", lines, took, most)
	}
	if lines+dropped != written {
		t.Errorf("%d lines and %d reported as dropped, want %d together", lines, dropped, written)
	}
}

// A goroutine that outlives the host may log after Close; this must not end the process.
func TestLineAfterCloseIsDropped(t *testing.T) {
	var out bytes.Buffer
	w := logs.New(logs.Settings{Out: &out})
	_, _ = w.Write([]byte("before\n"))
	w.Close()
	if n, err := w.Write([]byte("after\n")); n != len("after\n") || err != nil {
		t.Errorf("%d bytes, %v; want the line to be dropped", n, err)
	}
	w.Close()
	if out.String() != "before\n" {
		t.Errorf("wrote %q, want the line before Close", out.String())
	}
}

// Requests under a high load write more routine lines than the limit allows; lines that explain an
// incident arrive all the same.
func TestRoutineLinesLeaveRoomForOthers(t *testing.T) {
	const limit, incidents = 100, 50
	var out bytes.Buffer
	w := logs.New(logs.Settings{
		Out: &out, LinesPerSecond: limit, Notice: func(int64) []byte { return nil },
		Routine: func(line []byte) bool { return bytes.HasPrefix(line, []byte("routine")) },
	})
	for range 10_000 {
		_, _ = w.Write([]byte("routine\n"))
	}
	for range incidents {
		_, _ = w.Write([]byte("incident\n"))
	}
	w.Close()
	if n := strings.Count(out.String(), "incident"); n != incidents {
		t.Errorf("%d of %d lines arrived after a burst of routine lines", n, incidents)
	}
	if n := strings.Count(out.String(), "routine"); n < limit {
		t.Errorf("%d routine lines arrived, want at least %d", n, limit)
	}
}

// While the destination blocks, routine lines do not fill the whole buffer.
func TestBlockedDestinationKeepsOtherLines(t *testing.T) {
	const incidents = 50
	out := &gatedBuffer{release: make(chan struct{})}
	w := logs.New(logs.Settings{Out: out, Routine: func(line []byte) bool { return bytes.HasPrefix(line, []byte("routine")) }})
	for range 10_000 {
		_, _ = w.Write([]byte("routine\n"))
	}
	for range incidents {
		_, _ = w.Write([]byte("incident\n"))
	}
	close(out.release)
	w.Close()
	if n := strings.Count(out.String(), "incident"); n != incidents {
		t.Errorf("%d of %d lines arrived after the buffer had been full of routine lines", n, incidents)
	}
}

// gatedBuffer is a buffer whose writes block until it is released.
type gatedBuffer struct {
	bytes.Buffer

	release chan struct{}
}

func (b *gatedBuffer) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// Lines that are not routine are bounded by the limit too.
func TestLinesWithReserveKeepTheLimit(t *testing.T) {
	const limit = 100
	var out bytes.Buffer
	w := logs.New(logs.Settings{Out: &out, LinesPerSecond: limit, Routine: func(line []byte) bool { return bytes.HasPrefix(line, []byte("routine")) }})
	began := time.Now()
	for range 5_000 {
		_, _ = w.Write([]byte("routine\n"))
		_, _ = w.Write([]byte("incident\n"))
	}
	took := time.Since(began)
	w.Close()
	if lines, most := strings.Count(out.String(), "\n"), limit*(5+int(took.Seconds())); lines > most {
		t.Errorf("%d lines in %v, want no more than %d", lines, took, most)
	}
}
