package front_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"apricotproxy/fakes/routed"
)

// Engines that have ended do not count towards the attempts of a stream that may be resumed: it
// goes on at a third one when the engine that it was resumed on ends as well.
func TestStreamGoesOnAfterTwoEnginesEnded(t *testing.T) {
	const last = 3
	var calls atomic.Int64
	var r *fixture
	handle := func(engine int) routed.Handler {
		return func(c *routed.Call) bool {
			call := calls.Add(1)
			if call <= 2 {
				defer r.endpoints[engine].Close() // new connections are refused from now on
			}
			if call == 2 {
				return false
			}
			c.BeginStream(echo(c), _seal)
			first := 0
			if id, err := strconv.Atoi(c.Header.Get("Last-Event-Id")); err == nil {
				first = id + 1
			}
			for id := first; id <= last; id++ {
				c.Chunk(routed.Event(id))
				if call == 1 && id == 1 {
					return false
				}
			}
			c.EndStream()
			return true
		}
	}
	r = newFixture(t, handle(0), handle(1), handle(2))
	want := ""
	for id := range last + 1 {
		want += routed.Event(id)
	}
	if got := r.send(http.MethodPost, "/check/", ""); got.status != http.StatusOK || got.err != nil || got.body != want {
		t.Errorf("status %d, %v with %q; want all events", got.status, got.err, got.body)
	}
}
