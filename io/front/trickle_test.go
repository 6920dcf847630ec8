package front_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

// _tricklePause is far below the time after which a silent stream counts as lost.
const _tricklePause = 100 * time.Millisecond

// A stalled engine sends a byte now and then, but no event any more. The stream goes on at
// another engine, as if the first one were silent.
func TestStreamThatTricklesGoesOnElsewhere(t *testing.T) {
	for _, before := range []int{0, 2} { // events that are sent before it stalls
		t.Run(strconv.Itoa(before)+" events before", func(t *testing.T) {
			trickling := make(chan struct{}, 1)
			serve := func(c *routed.Call) bool {
				c.BeginStream(echo(c), _seal)
				first := 0
				if id, err := strconv.Atoi(c.Header.Get("Last-Event-Id")); err == nil {
					first = id + 1
				}
				select {
				case trickling <- struct{}{}:
					for id := range before {
						c.Chunk(routed.Event(id))
					}
					for !c.WaitClosed(_tricklePause) {
						c.Chunk("d")
					}
					return false
				default:
				}
				for id := first; id < 5; id++ {
					c.Chunk(routed.Event(id))
				}
				c.EndStream()
				return true
			}
			r := newFixture(t, serve, serve)
			began := time.Now()
			got := r.send(http.MethodPost, "/check/", "")
			if want := routed.Event(0) + routed.Event(1) + routed.Event(2) + routed.Event(3) + routed.Event(4); got.err != nil || got.body != want {
				t.Errorf("%v with %q; want all events", got.err, got.body)
			}
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("took %v", took)
			}
		})
	}
}

// A slow but sound stream, whose events arrive in parts, is not cut.
func TestSlowStreamIsNotCut(t *testing.T) {
	serve := func(c *routed.Call) bool {
		c.BeginStream(echo(c), _seal)
		for id := range 6 {
			text := routed.Event(id)
			c.Chunk(text[:4])
			time.Sleep(_tricklePause)
			c.Chunk(text[4:])
			time.Sleep(_tricklePause)
		}
		c.EndStream()
		return true
	}
	r := newFixture(t, serve, serve)
	if got := r.send(http.MethodPost, "/check/", ""); got.err != nil || r.calls() != 1 {
		t.Errorf("%v after %d calls", got.err, r.calls())
	}
}
