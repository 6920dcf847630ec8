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

// Running generations above which an engine slows down.
const _knee = 8

// The sizes of the two deployments: drafting engines and entry hosts.
var _deployments = []struct {
	name string
	out  string
	size size
}{
	{"rota", "laidley", size{centres: _centres, engines: 4, hosts: 3, knee: _knee}},
	{"cards", "waco", size{centres: []string{"austin-a", "austin-b", "sanmarcos", "waco"}, engines: 5, hosts: 2, knee: _knee}},
}

// TestMeasureDataCentreMove measures what callers see before a data centre is
// taken out, while it is out and after it is back, at shares of the capacity
// that remains.
func TestMeasureDataCentreMove(t *testing.T) {
	if !*_measure {
		t.Skip("run with -args -measure")
	}
	for _, deployment := range _deployments {
		for _, policy := range _policies {
			for _, share := range []float64{0.6, 0.9} {
				t.Run(fmt.Sprintf("%s, %s at %.1f of what remains", deployment.name, policy.name, share), func(t *testing.T) {
					t.Parallel()
					size := deployment.size
					size.policy = policy.build
					wholeSite(t, size, func(t *testing.T, s *site) { s.measureMove(share, deployment.out) })
				})
			}
		}
	}
}

// The product's policy and the baselines. These keep no limit but the reports'
// own, so that they may overload an endpoint that has come back cold.
var _policies = []struct {
	name  string
	build func() core.RoutePolicy
}{
	{name: "Product"},
	{name: "LeastReported", build: func() core.RoutePolicy { return &route.LeastReported{} }},
	{name: "RoundRobin", build: func() core.RoutePolicy { return &route.RoundRobin{} }},
}

// measureMove loads the site with a share of the tokens a second that the
// engines make at the knee without the data centre that is taken out.
func (s *site) measureMove(share float64, out string) {
	// Mean tokens of a request of this load, calls included.
	const meanTokens = 61
	engines := (len(s.size.centres) - 1) * s.size.engines
	rate := share * float64(engines) * _knee / 0.027 / meanTokens
	phase := func(name string, revision core.Revision, out ...string) {
		if revision > 0 {
			s.publish(revision, out...)
		}
		cold := s.coldOverloads()
		s.logPhase(name, s.load(rate, 40*time.Second, uint64(revision)+9))
		more := s.coldOverloads() - cold
		s.t.Logf("%-8s %d cold overloads", name, more)
		if more > 0 && s.size.policy == nil {
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

// TestMeasureRestart measures what callers see of a site whose hosts have all
// just been replaced, with and without peers' snapshots.
func TestMeasureRestart(t *testing.T) {
	if !*_measure {
		t.Skip("run with -args -measure")
	}
	for i := range 8 {
		skip := i%2 == 1
		t.Run(fmt.Sprintf("run %d without snapshot %v", i/2, skip), func(t *testing.T) {
			t.Parallel()
			wholeSite(t, size{engines: 2, hosts: 1, knee: _knee, memory: 1500}, func(t *testing.T, s *site) {
				const rate = 25
				s.logPhase("before", s.load(rate, 40*time.Second, uint64(i/2)))
				s.switches = fleet.Switches{SkipSnapshot: skip}
				for _, position := range s.config.Hosts {
					s.stop(position)
					<-s.start(position).host.Started()
				}
				time.Sleep(_listLag + time.Millisecond)
				s.logPhase(fmt.Sprintf("after, without snapshot %v", skip), s.load(rate, 40*time.Second, uint64(100+i/2)))
			})
		})
	}
}
