package exper

import (
	"sync"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/route"
)

// Policies are the product and the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "Product", Build: func() core.RoutePolicy { return route.NewProduct() }},
		{Name: "RoundRobin", Build: func() core.RoutePolicy { return &route.RoundRobin{} }},
		{Name: "LeastReported", Build: func() core.RoutePolicy { return &route.LeastReported{} }},
		{Name: "StaticShare", Build: func() core.RoutePolicy { return &route.StaticShare{} }},
	}
}

// Matrix describes a set of runs.
type Matrix struct {
	Sites    []Site
	Policies []Policy
	Loads    []float64
	Length   time.Duration
	WarmUp   time.Duration
	Seed     uint64
	// Workers is how many runs go on at the same time.
	Workers int
}

// Run does all runs; the results are in the order of sites, loads, policies.
func (m Matrix) Run() []*Result {
	var settings []Setting
	for _, site := range m.Sites {
		for _, load := range m.Loads {
			for _, policy := range m.Policies {
				settings = append(settings, Setting{
					Site: site, Policy: policy, Load: load, Length: m.Length, WarmUp: m.WarmUp, Seed: m.Seed,
				})
			}
		}
	}
	return RunAll(settings, m.Workers)
}

// RunAll does the runs on a pool of workers and gives the results in order.
func RunAll(settings []Setting, workers int) []*Result {
	results := make([]*Result, len(settings))
	next := make(chan int)
	var group sync.WaitGroup
	for range max(workers, 1) {
		group.Go(func() {
			for i := range next {
				results[i] = Run(settings[i])
			}
		})
	}
	for i := range settings {
		next <- i
	}
	close(next)
	group.Wait()
	return results
}
