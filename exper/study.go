package exper

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/route"
)

// Study is a named set of runs that are compared with each other.
type Study struct {
	Name     string
	Settings []Setting
}

// StudyNames lists the studies in the order in which they are told to users.
func StudyNames() []string { return []string{"policies", "roles", "herding", "cold"} }

// _idleLoad is the load that idle figures are taken at.
const _idleLoad = 0.05

// NewStudy builds a study. Each run takes the given length, of which the first
// third is not measured.
func NewStudy(name string, length time.Duration, seeds uint64) (Study, error) {
	study := Study{Name: name}
	switch name {
	case "policies":
		study.Settings = product(Sites(), Policies(), []float64{_idleLoad, 0.5, 0.7, 0.9, 1.1, 1.3, 1.5}, nil)
	case "roles":
		study.Settings = product(Sites()[:1], rolePolicies(), []float64{0.9}, nil)
	case "herding":
		study.Settings = product(Sites()[:1], herdingPolicies(), []float64{0.7, 0.9}, nil)
	case "cold":
		study.Settings = product(Sites(), Policies(), []float64{0.7}, fallInTurn)
	default:
		return Study{}, &UnknownStudyError{Name: name}
	}
	study.Settings = eachSeed(study.Settings, seeds)
	for i := range study.Settings {
		study.Settings[i].Length = length
		study.Settings[i].WarmUp = length / 3
	}
	return study, nil
}

// UnknownStudyError names a study that does not exist.
type UnknownStudyError struct{ Name string }

// Error lists the studies that exist.
func (e *UnknownStudyError) Error() string {
	return fmt.Sprintf("there is no study %q; expected one of %v", e.Name, StudyNames())
}

func product(sites []Site, policies []Policy, loads []float64, fault func(*run)) []Setting {
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

func eachSeed(settings []Setting, seeds uint64) []Setting {
	var all []Setting
	for _, setting := range settings {
		for seed := range seeds {
			setting.Seed = seed + 1
			all = append(all, setting)
		}
	}
	return all
}

// rolePolicies are the mixed engines and the separation by rotating roles.
func rolePolicies() []Policy {
	mixed := Policies()[0]
	policies := []Policy{mixed, withShare(0.8), withShare(0.82)}
	for _, short := range []int{2, 3, 4} {
		for _, period := range []time.Duration{10 * time.Second, 30 * time.Second, time.Hour} {
			rotating := mixed
			rotating.Name = fmt.Sprintf("Roles%d/%s", short, period)
			rotating.Roles = RotatingRoles{Short: short, Period: period}
			policies = append(policies, rotating)
		}
	}
	return policies
}

func withShare(share float32) Policy {
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

// herdingPolicies go from reports alone to slots and predicted memory.
func herdingPolicies() []Policy {
	sampled := func(random *rand.Rand) core.RoutePolicy {
		policy := route.NewProduct(random)
		policy.Draws, policy.LongDraws = 2, 2
		return policy
	}
	scoring := func(*rand.Rand) core.RoutePolicy { return route.NewProduct(nil) }
	own := func(*rand.Rand) core.RoutePolicy { return &route.LeastReportedOwn{} }
	all := Policies()
	return []Policy{
		all[2], {Name: "LeastReportedOwn", Build: own}, all[3],
		{Name: "TwoChoices", Build: sampled}, {Name: "ScoreAll", Build: scoring}, all[0],
	}
}

const _fallEvery = 15 * time.Second

// fallInTurn makes a warm engine fall over now and then; it comes back cold.
func fallInTurn(r *run) {
	next := 0
	var again func()
	again = func() {
		e := r.engines[r.config.Endpoints[next%len(r.config.Endpoints)].Name]
		next++
		if !e.down {
			e.fall()
		}
		r.After(_fallEvery, again)
	}
	r.After(2*_settleTime, again)
}

// Run does the study's runs. Runs that differ by the seed alone are merged into
// one result each.
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
