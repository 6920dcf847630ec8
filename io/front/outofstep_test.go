package front_test

import (
	"sync/atomic"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/origin"
	"apricotproxy/io/front"
)

// outOfStep returns the ledger of a host that knows one build, and which no other host answers. Its
// documents are brought up to date after a time; 0 for never.
func outOfStep(after time.Duration, builds ...core.BuildName) *front.SharedOrigins {
	view := &know.View{}
	for _, build := range builds {
		view.Endpoints = append(view.Endpoints, know.Endpoint{RoutedEndpoint: core.RoutedEndpoint{Service: "all", Build: build}})
	}
	var origins *front.SharedOrigins
	var confirmed atomic.Bool
	origins = front.NewSharedOrigins(front.OriginConfig{
		AskHosts: func(string, origin.Claim) int { return 3 },
		Refresh: func() {
			if !confirmed.Load() {
				return
			}
			origins.Update(func(l *origin.Ledger) {
				l.Observe(time.Now(), view)
				l.SetFreshAt(time.Now())
			})
		},
	})
	origins.Update(func(l *origin.Ledger) {
		l.SetCurrent(time.Now().Add(-time.Minute), true)
		l.Observe(time.Now().Add(-time.Minute), &know.View{Endpoints: []know.Endpoint{{RoutedEndpoint: core.RoutedEndpoint{Service: "all"}}}})
		l.SetFreshAt(time.Now().Add(-time.Second))
	})
	if after > 0 {
		time.AfterFunc(after, func() { confirmed.Store(true) })
	}
	return origins
}

// A host that was cut off from the others while a new build joined took a stream of that build for one
// of the only build that it knew.
func TestHostOutOfStepDoesNotTrustItsOnlyBuild(t *testing.T) {
	for name, c := range map[string]struct {
		confirmedAfter time.Duration
		builds         []core.BuildName
		status         int
	}{
		"cut off":                            {0, nil, 503},
		"up to date soon, and still one":     {300 * time.Millisecond, []core.BuildName{""}, 200},
		"up to date soon, and there are two": {300 * time.Millisecond, []core.BuildName{"", "v2"}, 503},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newFixtureWithOrigins(t, outOfStep(c.confirmedAfter, c.builds...), whole(""))
			if got := r.takeUp("/check/x"); got.status != c.status {
				t.Errorf("status %d with %q; want %d", got.status, got.body, c.status)
			}
		})
	}
}
