package front_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"apricotproxy/fakes/routed"
)

// Where an endpoint falls silent in a run.
const (
	_beforeHead = iota
	_beforeFirstEvent
	_inStream
	_beforeEnd
)

// pausingAt returns an engine that falls silent once in a run, of five events if it is a stream.
func pausingAt(place int, pause time.Duration) routed.Handler {
	return func(c *routed.Call) bool {
		pauseAt := func(here int) {
			if here == place {
				time.Sleep(pause)
			}
		}
		pauseAt(_beforeHead)
		c.BeginStream(echo(c), _seal)
		pauseAt(_beforeFirstEvent)
		events(c, 0, 1)
		pauseAt(_inStream)
		events(c, 2, 4)
		pauseAt(_beforeEnd)
		c.EndStream()
		return true
	}
}

// A sound endpoint may be silent for a second or so anywhere in an answer.
func TestSoundSilenceEndsNoStream(t *testing.T) {
	for place, where := range []string{"before the head", "before the first event", "in the stream", "before the end"} {
		for _, pause := range []time.Duration{time.Second, 1500 * time.Millisecond, 1900 * time.Millisecond} {
			for _, path := range []string{"/check/", "/draft/"} {
				for _, count := range []int{1, 2} {
					t.Run(fmt.Sprint(path, " ", count, " endpoints, ", where, ", ", pause), func(t *testing.T) {
						t.Parallel()
						handle := pausingAt(place, pause)
						r := newFixture(t, []routed.Handler{handle, handle}[:count]...)
						got := r.send(http.MethodPost, path, "", "Tokens: 100,400", "Deadline-Ms: 5000")
						if got.err != nil || got.status != http.StatusOK || got.body != wantStream(4) {
							t.Errorf("status %d, %q, %v; want %q", got.status, got.body, got.err, wantStream(4))
						}
					})
				}
			}
		}
	}
}
