package front

import (
	"math/rand/v2"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/reach"
)

// A connection that ends just before the host finds itself cut off tells nothing of the endpoint.
func TestEndOfAConnectionAtTheBeginOfACut(t *testing.T) {
	one, other := core.RoutedEndpoint{ID: "one"}, core.RoutedEndpoint{ID: "other"}
	for name, c := range map[string]struct {
		then    func(s *SharedReach)
		known   bool
		inTouch bool
	}{
		"nothing else happens":    {func(*SharedReach) {}, true, true},
		"an endpoint answers":     {func(s *SharedReach) { s.RecordAnswer(other) }, true, true},
		"the host suspects a cut": {func(s *SharedReach) { s.RecordUnanswered(other) }, false, false},
		"the suspicion is refuted": {func(s *SharedReach) {
			s.RecordUnanswered(other)
			s.RecordProbe(other, nil)
		}, true, true},
		"the host is cut off": {func(s *SharedReach) {
			s.RecordUnanswered(other)
			for _, probe := range s.DueProbes() {
				s.RecordProbe(core.RoutedEndpoint{ID: probe.Key.ID}, errCutOff)
			}
		}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, told := reach.New("own", "a", rand.New(rand.NewPCG(1, 1))), 0
			tracker.SetEndpoints(time.Now(), []core.EndpointKey{one.Key(), other.Key()})
			s := NewSharedReach(tracker, func(_, _ reach.State, _ time.Duration) {})
			stop := s.watchCutOff(func() { told++ })
			s.RecordAnswer(other)
			lostAt := time.Now()
			s.RecordUnanswered(one)
			c.then(s)
			if known, inTouch := s.awaitTouch(lostAt, 2*_suspicionTime); known != c.known || inTouch != c.inTouch {
				t.Errorf("known: %t, in touch: %t; want %t and %t", known, inTouch, c.known, c.inTouch)
			}
			if isCutOff := s.State() == reach.CutOff; isCutOff != (told == 1) {
				t.Errorf("cut off: %t, told %d times", isCutOff, told)
			}
			stop()
		})
	}
}
