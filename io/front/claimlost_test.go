package front_test

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/origin"
	"apricotproxy/core/procs/reach"
	"apricotproxy/fakes/cutoff"
	"apricotproxy/fakes/routed"
	"apricotproxy/io/front"
)

// A host went on with a stream that another one had relayed to it, since the claim of the stream was lost for a while.
func TestRelayedStreamIsEndedAlthoughItsClaimWasLost(t *testing.T) {
	for _, lost := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(lost.String(), func(t *testing.T) {
			t.Parallel()
			engines := &liveEngines{}
			var other *front.Front
			var origins *front.SharedOrigins
			var brokenAt atomic.Int64
			origins = front.NewSharedOrigins(front.OriginConfig{AskHost: func(host core.HostName, request string, claim origin.Claim) int {
				if time.Since(time.Unix(0, brokenAt.Load())) < lost {
					return 1
				}
				wait := other.EndAttempts(claim)
				go func() {
					if wait != nil {
						wait(t.Context())
					}
					origins.Answer(host, nil, []string{request})
				}()
				return 1
			}})
			origins.Update(func(l *origin.Ledger) { l.SetCurrent(time.Now().Add(-time.Minute), true) })
			r := newFixtureWithOrigins(t, origins, slices.Repeat([]routed.Handler{engines.handleHome}, 2)...)
			route, _ := r.view.Load().Table.Match("h", "/check/")
			route.Timeout = 15 * time.Second
			r.serve(front.NewSharedReach(reach.New("other", "a", rand.New(rand.NewPCG(1, 1))), func(_, _ reach.State, _ time.Duration) {}))
			other = r.front
			server := httptest.NewServer(other.PeerHandler(http.NotFoundHandler()))
			t.Cleanup(server.Close)
			link, err := cutoff.StartHalf(server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(link.Close)
			engines.trouble = func(string) { brokenAt.Store(time.Now().UnixNano()); link.ResetNear() }
			r.relayTo(link.Address)
			c := host{fixture: r, url: r.server.URL}.begin("r1")
			if !c.read(_novelEvents - 1) {
				t.Errorf("the stream ended after event %d", c.last)
			}
			if runs := engines.check(t); runs != 2 {
				t.Errorf("%d runs, want 2", runs)
			}
		})
	}
}
