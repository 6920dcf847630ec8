// Package route holds the policies that pick an endpoint for a request: the
// product's and the baselines that it is measured against.
package route

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/admit"
)

// Weights tune the product's score.
type Weights struct {
	// MemoryShare is the share of an engine's memory that long requests may be
	// expected to fill at the peak; short requests may fill all of it.
	MemoryShare float32
	// Memory, Batch, Prompt and Remote weigh the parts of the score: the share
	// of memory in use at the peak, the share of slots in use, the prompt that
	// is not cached as a share of memory, and a distant data centre.
	Memory float32
	Batch  float32
	Prompt float32
	Remote float32
}

// DefaultWeights are the weights that serve.
func DefaultWeights() Weights {
	return Weights{MemoryShare: 0.9, Memory: 1, Batch: 0.5, Prompt: 2, Remote: 0.05}
}

// Product is the policy that serves: it filters by slot and predicted memory,
// then takes the smallest score.
type Product struct {
	Weights Weights
}

// NewProduct builds the policy with the weights that serve.
func NewProduct() *Product { return &Product{Weights: DefaultWeights()} }

// Name gives the policy's name in tables.
func (*Product) Name() string { return "Product" }

// Mode gives what bounds the work.
func (*Product) Mode() core.LimitMode { return core.LimitLeases }

// Pick takes the candidate with a slot in hand, memory for the request's
// growth, and the smallest score.
func (p *Product) Pick(_ time.Time, demand *core.Demand, candidates []core.Candidate) int {
	best, bestScore := -1, float32(0)
	for i := range candidates {
		c := &candidates[i]
		if !inHand(c, demand) || i == demand.Avoid {
			continue
		}
		score, fits := p.score(c, demand, 0)
		if fits && (best < 0 || score < bestScore) {
			best, bestScore = i, score
		}
	}
	return p.hinted(demand, candidates, best, bestScore)
}

// hinted looks at the few candidates that seem to have the prompt cached.
func (p *Product) hinted(demand *core.Demand, candidates []core.Candidate, best int, bestScore float32) int {
	for _, hint := range demand.Hints {
		c := &candidates[hint.Candidate]
		if !inHand(c, demand) || hint.Candidate == demand.Avoid {
			continue
		}
		score, fits := p.score(c, demand, float32(hint.Tokens))
		if fits && score < bestScore {
			best, bestScore = hint.Candidate, score
		}
	}
	return best
}

// Want takes the candidate below its limit with memory for the request and the
// smallest score.
func (p *Product) Want(_ time.Time, demand *core.Demand, candidates []core.Candidate) int {
	best, bestScore := -1, float32(0)
	for i := range candidates {
		c := &candidates[i]
		if !c.Open || c.Asking || i == demand.Avoid || c.Running+c.Waiting+c.Unreported >= c.Limit {
			continue
		}
		score, fits := p.score(c, demand, 0)
		if fits && (best < 0 || score < bestScore) {
			best, bestScore = i, score
		}
	}
	return best
}

func inHand(c *core.Candidate, demand *core.Demand) bool {
	if !c.Open {
		return false
	}
	if demand.Short {
		return c.Free > 0
	}
	return c.FreeLong > 0
}

// score weighs a candidate; lower is better. It tells also whether the
// request's growth is expected to fit.
func (p *Product) score(c *core.Candidate, demand *core.Demand, cached float32) (float32, bool) {
	batch := p.Weights.Batch * float32(c.Running+c.Waiting+c.Unreported) / float32(c.Limit)
	if c.Remote {
		batch += p.Weights.Remote
	}
	if c.TotalTokens == 0 {
		return batch, true
	}
	load := admit.Load{
		Used:      c.UsedTokens + demand.PromptTokens,
		Remaining: c.RemainingTokens + demand.ExpectedTokens,
	}
	peak := load.Peak()
	share := p.Weights.MemoryShare
	if demand.Short {
		share = 1
	}
	prompt := demand.PromptTokens - cached
	return batch + (p.Weights.Memory*peak+p.Weights.Prompt*prompt)/c.TotalTokens, peak <= share*c.TotalTokens
}
