package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"apricotproxy/core/reqst/event"
	"apricotproxy/fakes/routed"
)

// flooded returns how many bytes of a text without end endpoints can send for many requests at a time.
func flooded(t *testing.T, path string, requests int, flood func(c *routed.Call, n int) int64) int64 {
	t.Helper()
	var total atomic.Int64
	var count atomic.Int64
	handle := func(c *routed.Call) bool {
		total.Add(flood(c, int(count.Add(1))))
		return false
	}
	r := newFixture(t, handle, handle)
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			if a := r.send(http.MethodPost, path, "", fmt.Sprint("Request-Id: f", i), "Deadline-Ms: 2000", "Tokens: 100,400"); a.err == nil && a.status == http.StatusOK {
				t.Error("bytes without end were taken for an answer")
			}
		})
	}
	group.Wait()
	return total.Load()
}

// _buffered is what the buffers of a connection hold of what was sent and not read.
const _buffered = 512 << 10

// A header without end took a megabyte for each answer at a time, and several once it was parsed.
func TestEndlessHeadersTakeLittle(t *testing.T) {
	const requests = 24
	sent := flooded(t, "/order/", requests, func(c *routed.Call, n int) int64 {
		c.Write("HTTP/1.1 200 OK\r\n")
		return c.FloodLines(func(line int) string { return fmt.Sprintf("X-%d-%d: v\r\n", n, line) }, 8<<20)
	})
	if most := int64(requests * (_buffered + 128<<10)); sent > most {
		t.Errorf("%d bytes were sent, want at most %d", sent, most)
	}
}

// Events that do not end took a quarter of a megabyte of each stream at a time.
func TestLongEventsShareABound(t *testing.T) {
	const (
		streams = 16
		length  = event.MaxEventBytes - 1024
		fit     = _bufferBytes/length - 2 // a part of the bound is kept for short answers
	)
	data := "id: 0\ndata: " + strings.Repeat("x", length)
	whole := make(chan struct{})
	handle := func(c *routed.Call) bool {
		c.BeginStream(echo(c), _seal)
		c.Chunk(data)
		<-whole
		c.Chunk("\n\n")
		c.EndStream()
		return true
	}
	r := newFixture(t, handle, handle)
	var complete atomic.Int64
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			if a := r.send(http.MethodPost, "/draft/", "", "Tokens: 100,400"); a.err == nil && a.body == data+"\n\n" {
				complete.Add(1)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	close(whole)
	group.Wait()
	if n := complete.Load(); n > fit || n == 0 {
		t.Errorf("%d streams with an event of %d bytes at a time are complete, want 1 to %d", n, length, fit)
	}
}
