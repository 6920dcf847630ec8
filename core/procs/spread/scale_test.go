package spread_test

import (
	"fmt"
	"testing"
	"time"

	"apricotproxy/core"
)

// Limits on the time until a revision is in force everywhere and on the traffic of a
// host, and how long a fleet runs before and during the measurement.
const (
	inForceWithin = 14 * time.Second
	maxTraffic    = 16 << 10 // bytes per second and host
	settlingTime  = 40 * time.Second
	measuredTime  = 10 * time.Second
)

// A published revision is in force on every host within inForceWithin, and the
// traffic of a host stays within its limit, for fleets of several sizes, with and
// without message loss. The measured figures are logged; docs/decisions quotes them.
func TestSpreadAtSizes(t *testing.T) {
	for _, loss := range []float64{0, 0.05} {
		for _, count := range []int{9, 40, 120, 360} {
			t.Run(fmt.Sprintf("%d hosts, loss %.2f", count, loss), func(t *testing.T) {
				t.Parallel()
				checkSpread(t, newSim(t, count, uint64(count), loss))
			})
		}
	}
}

func checkSpread(t *testing.T, s *sim) {
	s.publish(s.bundle(7))
	for _, n := range s.nodes {
		n.start()
	}
	s.run(settlingTime)
	s.exchanges, s.bytes, s.dials, s.service.calls = 0, 0, 0, 0
	s.run(measuredTime)
	hosts := float64(len(s.nodes))
	// Each exchange involves two hosts.
	messages := 2 * float64(s.exchanges) / (measuredTime.Seconds() * hosts)
	traffic := 2 * float64(s.bytes) / (measuredTime.Seconds() * hosts)
	dials := float64(s.dials) / (measuredTime.Seconds() * hosts)
	reads := float64(s.service.calls) / measuredTime.Seconds()

	published := s.Now
	s.bytes = 0
	s.publish(s.bundle(8))
	acknowledged := s.runUntilAcknowledged(8)
	at, alive := s.inForce(8)
	inForce := s.lastInForceAt().Sub(published)
	peak := 2 * float64(s.bytes) / (acknowledged.Seconds() * hosts)
	t.Logf("in force after %v, acknowledged everywhere after %v; %.1f messages/s and %.0f bytes/s a host, "+
		"%.0f bytes/s until then; %.2f dials/s a host; %.2f reads/s at the service",
		inForce.Round(time.Millisecond), acknowledged, messages, traffic, peak, dials, reads)
	if at != alive || inForce > inForceWithin {
		t.Errorf("%d of %d hosts have revision 8 in force after %v, want all in %v", at, alive, inForce, inForceWithin)
	}
	if max(traffic, peak) > maxTraffic {
		t.Errorf("%.0f bytes/s a host, want %d at most", max(traffic, peak), maxTraffic)
	}
	if reads > _budget {
		t.Errorf("%.1f reads/s at the service, want %.0f at most", reads, _budget)
	}
}

// runUntilAcknowledged runs the fleet until every host knows that every other one has
// the revision in force, or for 5 minutes, and returns how long that took.
func (s *sim) runUntilAcknowledged(revision core.Revision) time.Duration {
	begun := s.Now
	for !s.allAcknowledged(revision) && s.Now.Sub(begun) < 5*time.Minute {
		s.run(time.Second)
	}
	return s.Now.Sub(begun)
}
