package fleet_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/route"
	"apricotproxy/io/fleet"
	"apricotproxy/io/load"
)

var _measure = flag.Bool("measure", false, "measure data centre moves under load; takes minutes")

// Number of running generations above which an engine slows down.
const _batchKnee = 8

// _deployments are the two deployments that are measured, each with the data centre that is
// taken out of service.
var _deployments = []struct {
	name string
	out  string
	spec siteSpec
}{
	{"rota", "laidley", siteSpec{centres: _centres, enginesPerCentre: 4, hostsPerCentre: 3, batchKnee: _batchKnee}},
	{"cards", "waco", siteSpec{centres: []string{"austin-a", "austin-b", "sanmarcos", "waco"}, enginesPerCentre: 5, hostsPerCentre: 2, batchKnee: _batchKnee}},
}

// TestMeasureDataCentreMove measures what callers see before a data centre is taken out of
// service, while it is out and after it is back. The load is a share of the capacity that
// remains while it is out.
func TestMeasureDataCentreMove(t *testing.T) {
	if !*_measure {
		t.Skip("run with -args -measure")
	}
	for _, deployment := range _deployments {
		for _, policy := range _policies {
			for _, share := range []float64{0.6, 0.9} {
				t.Run(fmt.Sprintf("%s, %s at %.1f of the remaining capacity", deployment.name, policy.name, share), func(t *testing.T) {
					t.Parallel()
					spec := deployment.spec
					spec.policy = policy.build
					runSite(t, spec, func(t *testing.T, s *site) { s.measureMove(share, deployment.out) })
				})
			}
		}
	}
}

// _policies are the product's routing policy and the baselines. The baselines apply no
// limits except those in the endpoints' reports, so they may overload an endpoint that
// comes back cold.
var _policies = []struct {
	name  string
	build func() core.RoutePolicy
}{
	{name: "Product"},
	{name: "LeastReported", build: func() core.RoutePolicy { return &route.LeastReported{} }},
	{name: "RoundRobin", build: func() core.RoutePolicy { return &route.RoundRobin{} }},
}

// measureMove measures the site under a load that is a share of the tokens per second that
// the engines of the remaining data centres produce at _batchKnee, with 27 ms per token
// of a generation.
func (s *site) measureMove(share float64, out string) {
	// Mean number of tokens per request of this load, including calls.
	const meanTokens = 61
	engines := (len(s.spec.centres) - 1) * s.spec.enginesPerCentre
	rate := share * float64(engines) * _batchKnee / 0.027 / meanTokens
	phase := func(name string, revision core.Revision, out ...string) {
		if revision > 0 {
			s.publish(revision, out...)
		}
		cold := s.coldOverloads()
		s.logPhase(name, s.load(rate, 40*time.Second, uint64(revision)+9))
		more := s.coldOverloads() - cold
		s.t.Logf("%-8s %d cold overloads", name, more)
		if more > 0 && s.spec.policy == nil {
			s.t.Errorf("%s: %d cold overloads", name, more)
		}
	}
	phase("before", 0)
	phase("out", 2, out)
	phase("back in", 3)
	phase("after", 0)
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

// TestMeasureRestart measures what callers see after all hosts of a site were replaced,
// with and without the snapshots of peers.
func TestMeasureRestart(t *testing.T) {
	if !*_measure {
		t.Skip("run with -args -measure")
	}
	for i := range 8 {
		skipSnapshot := i%2 == 1
		t.Run(fmt.Sprintf("run %d without snapshot %v", i/2, skipSnapshot), func(t *testing.T) {
			t.Parallel()
			runSite(t, siteSpec{enginesPerCentre: 2, hostsPerCentre: 1, batchKnee: _batchKnee, memoryTokens: 1500}, func(t *testing.T, s *site) {
				const rate = 25
				s.logPhase("before", s.load(rate, 40*time.Second, uint64(i/2)))
				s.switches = fleet.Switches{SkipSnapshot: skipSnapshot}
				for _, position := range s.config.Hosts {
					s.stop(position)
					<-s.start(position).host.Started()
				}
				time.Sleep(_listLag + time.Millisecond)
				s.logPhase(fmt.Sprintf("after, without snapshot %v", skipSnapshot), s.load(rate, 40*time.Second, uint64(100+i/2)))
			})
		})
	}
}
