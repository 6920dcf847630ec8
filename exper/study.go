package exper

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/route"
)

// Study is a named set of runs whose results are compared.
type Study struct {
	Name     string
	Settings []Setting
}

// StudyNames returns the names of the studies in the order in which users see them.
func StudyNames() []string { return []string{"policies", "roles", "herding", "cold"} }

// _idleLoad is the load that stands for an idle site.
const _idleLoad = 0.05

// NewStudy returns the named study. Each run takes the given length, of which the
// first third is not measured. Each setting runs with the seeds from 1 to seeds.
func NewStudy(name string, length time.Duration, seeds uint64) (Study, error) {
	study := Study{Name: name}
	switch name {
	case "policies":
		study.Settings = combinations(Sites(), Policies(), []float64{_idleLoad, 0.5, 0.7, 0.9, 1.1, 1.3, 1.5}, nil)
	case "roles":
		study.Settings = combinations(Sites()[:1], rolePolicies(), []float64{0.9}, nil)
	case "herding":
		study.Settings = combinations(Sites()[:1], herdingPolicies(), []float64{0.7, 0.9}, nil)
	case "cold":
		study.Settings = combinations(Sites(), Policies(), []float64{0.7}, crashInTurn)
	default:
		return Study{}, &UnknownStudyError{Name: name}
	}
	study.Settings = withSeeds(study.Settings, seeds)
	for i := range study.Settings {
		study.Settings[i].Length = length
		study.Settings[i].WarmUp = length / 3
	}
	return study, nil
}

// UnknownStudyError reports a name that is not one of StudyNames.
type UnknownStudyError struct{ Name string }

// Error returns the unknown name and the names of the studies.
func (e *UnknownStudyError) Error() string {
	return fmt.Sprintf("there is no study %q; expected one of %v", e.Name, StudyNames())
}

func combinations(sites []Site, policies []Policy, loads []float64, fault func(*run)) []Setting {
	var settings []Setting
	for _, site := range sites {
		for _, load := range loads {
			for _, policy := range policies {
				settings = append(settings, Setting{Site: site, Policy: policy, Load: load, Fault: fault})
			}
		}
	}
	return settings
}

func withSeeds(settings []Setting, seeds uint64) []Setting {
	var all []Setting
	for _, setting := range settings {
		for seed := range seeds {
			setting.Seed = seed + 1
			all = append(all, setting)
		}
	}
	return all
}

// rolePolicies returns policies in which all engines take both short and long
// requests, and policies that separate them by rotating roles.
func rolePolicies() []Policy {
	mixed := Policies()[0]
	policies := []Policy{mixed, withMemoryShare(0.8), withMemoryShare(0.82)}
	for _, short := range []int{2, 3, 4} {
		for _, period := range []time.Duration{10 * time.Second, 30 * time.Second, time.Hour} {
			rotating := mixed
			rotating.Name = fmt.Sprintf("Roles%d/%s", short, period)
			rotating.Roles = RotatingRoles{ShortEngines: short, Period: period}
			policies = append(policies, rotating)
		}
	}
	return policies
}

func withMemoryShare(share float32) Policy {
	weights := route.DefaultWeights()
	weights.MemoryShare = share
	return Policy{
		Name: fmt.Sprintf("Share%.2f", share),
		Build: func(random *rand.Rand) core.RoutePolicy {
			policy := route.NewProduct(random)
			policy.Weights = weights
			return policy
		},
	}
}

// herdingPolicies returns policies to compare for herding: hosts that act on the same
// reports send their requests to the same engine. The first policy uses reports alone,
// the last one slots and predicted memory as well.
func herdingPolicies() []Policy {
	twoChoices := func(random *rand.Rand) core.RoutePolicy {
		policy := route.NewProduct(random)
		policy.Draws, policy.LongDraws = 2, 2
		return policy
	}
	scoreAll := func(*rand.Rand) core.RoutePolicy { return route.NewProduct(nil) }
	leastReportedOwn := func(*rand.Rand) core.RoutePolicy { return &route.LeastReportedOwn{} }
	all := Policies()
	return []Policy{
		all[2], {Name: "LeastReportedOwn", Build: leastReportedOwn}, all[3],
		{Name: "TwoChoices", Build: twoChoices}, {Name: "ScoreAll", Build: scoreAll}, all[0],
	}
}

const _crashInterval = 15 * time.Second

// crashInTurn crashes one engine after another, every _crashInterval. Each restarts
// cold.
func crashInTurn(r *run) {
	next := 0
	var crashNext func()
	crashNext = func() {
		e := r.engines[r.config.Endpoints[next%len(r.config.Endpoints)].Name]
		next++
		if !e.down {
			e.crash()
		}
		r.After(_crashInterval, crashNext)
	}
	r.After(2*_settleTime, crashNext)
}

// Run runs all settings of the study. It merges the results of settings that differ
// only by the seed.
func (s Study) Run(workers int) []*Result {
	results := RunAll(s.Settings, workers)
	var merged []*Result
	for _, result := range results {
		last := len(merged) - 1
		if last >= 0 && merged[last].sameSetting(result) {
			merged[last].merge(result)
			continue
		}
		merged = append(merged, result)
	}
	return slices.Clip(merged)
}
