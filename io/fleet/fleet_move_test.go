package fleet_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/io/load"
)

var _measure = flag.Bool("measure", false, "measure data centre moves under load; takes minutes")

// TestMeasureDataCentreMove measures what callers see before laidley is taken
// out, while it is out and after it is back, at shares of the capacity that
// remains. The load's mean draft is taken from the first phase.
func TestMeasureDataCentreMove(t *testing.T) {
	if !*_measure {
		t.Skip("run with -args -measure")
	}
	const (
		slotsPerEngine = 12
		meanSeconds    = 2.6 // of a request of this load on an engine
	)
	for _, share := range []float64{0.6, 0.9} {
		t.Run(fmt.Sprintf("%.1f of what remains", share), func(t *testing.T) {
			t.Parallel()
			wholeSite(t, size{engines: 4, hosts: 3}, func(t *testing.T, s *site) {
				remaining := float64(2 * 4 * slotsPerEngine)
				rate := share * remaining / meanSeconds
				phase := func(name string, revision core.Revision, out ...string) {
					if revision > 0 {
						s.publish(revision, out...)
					}
					cold := s.coldOverloads()
					result := s.load(rate, 40*time.Second, uint64(revision)+9)
					s.logPhase(name, result)
					if more := s.coldOverloads() - cold; more > 0 {
						t.Errorf("%s: %d cold overloads", name, more)
					}
				}
				phase("before", 0)
				phase("out", 2, "laidley")
				phase("back in", 3)
				phase("after", 0)
			})
		})
	}
}

func (s *site) logPhase(name string, result load.Result) {
	var preemptions uint64
	for _, engines := range s.engines {
		for _, e := range engines {
			preemptions += e.Preemptions()
		}
	}
	for _, kind := range result.Kinds {
		s.t.Logf("%-8s %-7s sent %4d done %4d not run %3d interrupted %d; tokens %d; first token p50 %5.0f p99 %5.0f ms, "+
			"between p99 %3.0f max %5.0f ms; whole p99 %5.0f ms; preemptions so far %d",
			name, kind.Kind, kind.Sent, kind.Done, kind.NotRun, kind.Interrupted, kind.Tokens,
			kind.FirstToken.P50Millis, kind.FirstToken.P99Millis,
			kind.Between.P99Millis, kind.Between.MaxMillis, kind.Whole.P99Millis, preemptions)
	}
}
