// Package route holds the policies that pick an endpoint for a request: the
// product's and the baselines that it is measured against.
package route

import (
	"math/rand/v2"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/admit"
)

// Weights tune the product's score.
type Weights struct {
	// MemoryShare is the share of an engine's memory that long requests may be
	// expected to fill at the peak.
	MemoryShare float32
	// Memory, Batch, Prompt and Remote weigh the parts of the score: the share
	// of memory in use at the peak, the share of slots in use, the prompt that
	// is not cached as a share of memory, and a distant data centre.
	Memory float32
	Batch  float32
	Prompt float32
	Remote float32
	// Fresh weighs the requests that were placed lately: their prompts are
	// computed in the same steps as a short request's.
	Fresh float32
}

// DefaultWeights are the weights that serve.
func DefaultWeights() Weights {
	return Weights{MemoryShare: 0.85, Memory: 1, Batch: 0.5, Prompt: 2, Remote: 0.05, Fresh: 1}
}

// Product is the policy that serves: it filters by slot and predicted memory,
// then takes the smallest score. Without weights it takes the default ones.
//
// For short requests it scores a few candidates drawn at random, so that hosts
// that see the same reports do not send them to one engine, where their prompts
// would be computed one after the other. Without a random source it scores all.
type Product struct {
	Weights Weights
	Random  *rand.Rand
	// Draws is how many candidates are drawn for a short request, and LongDraws
	// for a long one; 0 to score all.
	Draws     int
	LongDraws int
}

// _draws is the number of candidates that serves for short requests.
const _draws = 3

// NewProduct builds the policy that serves.
func NewProduct(random *rand.Rand) *Product {
	return &Product{Weights: DefaultWeights(), Random: random, Draws: _draws}
}

// Name gives the policy's name in tables.
func (*Product) Name() string { return "Product" }

// Mode gives what bounds the work.
func (*Product) Mode() core.LimitMode { return core.LimitLeases }

// Pick takes the candidate with a slot in hand, memory for the request's
// growth, and the smallest score.
func (p *Product) Pick(_ time.Time, demand *core.Demand, candidates []core.Candidate) int {
	if p.Weights == (Weights{}) {
		p.Weights = DefaultWeights()
	}
	draws := p.LongDraws
	if demand.Short {
		draws = p.Draws
	}
	if draws > 0 && p.Random != nil && len(candidates) > draws {
		if drawn := p.draw(draws, demand, candidates); drawn >= 0 {
			return drawn
		}
	}
	return p.pickAll(demand, candidates)
}

// draw takes a cold candidate if one is free, and else the best of a few drawn at
// random or hinted; -1 when none of them fits. Cold engines become warm by the
// requests that they complete, and short ones complete soonest: left to the
// draw, a cold engine of 20 stays cold for long.
func (p *Product) draw(draws int, demand *core.Demand, candidates []core.Candidate) int {
	if cold := coldFree(demand, candidates); cold >= 0 {
		return cold
	}
	best, bestScore := -1, float32(0)
	for range draws {
		i := p.Random.IntN(len(candidates))
		c := &candidates[i]
		if !inHand(c, demand) || i == demand.Avoid {
			continue
		}
		score, fits := p.score(c, demand, 0)
		if fits && (best < 0 || score < bestScore) {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return -1
	}
	return p.hinted(demand, candidates, best, bestScore)
}

// coldFree finds a cold candidate with a slot in hand.
func coldFree(demand *core.Demand, candidates []core.Candidate) int {
	for i := range candidates {
		if c := &candidates[i]; c.Cold && i != demand.Avoid && inHand(c, demand) {
			return i
		}
	}
	return -1
}

// pickAll takes the best of all candidates.
func (p *Product) pickAll(demand *core.Demand, candidates []core.Candidate) int {
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
		if !c.Open || c.Asking || !roleFits(c, demand) || i == demand.Avoid || c.Running+c.Waiting+c.Unreported >= c.Limit {
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
	if !c.Open || !roleFits(c, demand) {
		return false
	}
	if demand.Short {
		return c.Free > 0
	}
	return c.FreeLong > 0
}

// roleFits tells whether the endpoint's role takes the request's class.
func roleFits(c *core.Candidate, demand *core.Demand) bool {
	return c.Role == core.RoleMixed || (c.Role == core.RoleShort) == demand.Short
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
	prompt := demand.PromptTokens - cached
	score := batch + (p.Weights.Memory*peak+p.Weights.Prompt*prompt)/c.TotalTokens
	if demand.Short {
		score += p.Weights.Fresh * float32(c.Unreported)
		return score, shortFits(c, demand)
	}
	return score, peak <= p.Weights.MemoryShare*c.TotalTokens
}

// shortFits tells whether a short request fits until it has ended. What the
// others will hold at their peak is of no consequence to it: they grow by no
// more tokens each than it produces itself.
func shortFits(c *core.Candidate, demand *core.Demand) bool {
	growth := demand.ExpectedTokens * float32(c.Running+c.Unreported+1)
	return c.UsedTokens+demand.PromptTokens+growth <= c.TotalTokens
}
