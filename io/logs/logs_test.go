package logs_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"apricotproxy/io/logs"
)

func TestLinesArriveInOrder(t *testing.T) {
	var out bytes.Buffer
	w := logs.New(&out)
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
	w := logs.New(s)
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
