package exper

import (
	"math/rand/v2"
	"sync"

	"apricotproxy/core"
	"apricotproxy/core/procs/route"
)

// Policies returns the policy used in production, named Product, and the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "Product", Build: func(random *rand.Rand) core.RoutePolicy { return route.NewProduct(random) }},
		{Name: "RoundRobin", Build: func(*rand.Rand) core.RoutePolicy { return &route.RoundRobin{} }},
		{Name: "LeastReported", Build: func(*rand.Rand) core.RoutePolicy { return &route.LeastReported{} }},
		{Name: "StaticShare", Build: func(*rand.Rand) core.RoutePolicy { return &route.StaticShare{} }},
	}
}

// RunAll runs all settings on a pool of workers and returns the results in the order
// of the settings.
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
