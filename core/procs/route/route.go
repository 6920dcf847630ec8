// Package route holds the policies that pick an endpoint for a request: the
// product's and the baselines that it is measured against.
package route

import (
	"time"

	"apricotproxy/core"
)

// Product is the policy that serves.
type Product struct{}

// Name gives the policy's name in tables.
func (*Product) Name() string { return "Product" }

// Mode gives what bounds the work.
func (*Product) Mode() core.LimitMode { return core.LimitLeases }

// Pick takes the endpoint with a slot in hand and the smallest load.
func (*Product) Pick(_ time.Time, _ *core.Request, candidates core.Candidates) int {
	return leastLoad(candidates, true)
}

// Want gives the endpoint with the smallest load that is below its limit.
func (*Product) Want(_ time.Time, _ *core.Request, candidates core.Candidates) int {
	return leastLoad(candidates, false)
}

// leastLoad finds the smallest load relative to the limit.
func leastLoad(candidates core.Candidates, inHand bool) int {
	best, bestLoad := -1, 0.0
	for i := range candidates.Len() {
		c := candidates.At(i)
		if c.Limit == 0 || (inHand && c.Free == 0) {
			continue
		}
		load := float64(c.Running+c.Waiting+c.Unreported) / float64(c.Limit)
		if !inHand && load >= 1 {
			continue
		}
		if best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}
