// Package route holds the policies that pick an endpoint for a request: the one
// used in production, and the baselines that it is compared with.
package route

import (
	"math/rand/v2"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/admit"
)

// Weights are the parameters of Product's score.
type Weights struct {
	// MemoryShare limits the admission of long requests: the share of an
	// engine's memory that may be in use at the expected peak.
	MemoryShare float32
	// Memory weighs the share of the engine's memory in use at the peak, Batch
	// the share of slots in use, and Prompt the part of the prompt that is not
	// cached, as a share of the memory. Remote is added for an endpoint in
	// another data centre.
	Memory float32
	Batch  float32
	Prompt float32
	Remote float32
	// Recent weighs, for a short request, this host's requests that the last
	// report may lack. They were placed recently, so that their prompts are
	// computed in the same steps as the short request's.
	Recent float32
}

// DefaultWeights returns the weights used in production.
func DefaultWeights() Weights {
	return Weights{MemoryShare: 0.85, Memory: 1, Batch: 0.5, Prompt: 2, Remote: 0.05, Recent: 1}
}

// Product is the policy used in production. Among the candidates with a free slot
// and enough predicted memory it picks the one with the lowest score. Zero
// weights are replaced by the default ones.
//
// For short requests it scores only a few candidates drawn at random. Otherwise
// all hosts that see the same reports would send them to the same engine, which
// would compute their prompts one after the other. Without a random source it
// scores all candidates.
type Product struct {
	Weights Weights
	Random  *rand.Rand
	// Draws is how many candidates are drawn for a short request, and LongDraws
	// for a long one; 0 means to score all.
	Draws     int
	LongDraws int
}

// _draws is how many candidates are drawn for a short request in production.
const _draws = 3

// NewProduct returns the policy used in production.
func NewProduct(random *rand.Rand) *Product {
	return &Product{Weights: DefaultWeights(), Random: random, Draws: _draws}
}

// Name returns the policy's name in the experiments' tables.
func (*Product) Name() string { return "Product" }

// Mode returns what limits the work that is placed.
func (*Product) Mode() core.LimitMode { return core.LimitLeases }

// Pick returns the candidate with the lowest score among those with a free slot
// and enough memory for the request's growth, -1 if there is none.
func (p *Product) Pick(_ time.Time, demand *core.Demand, candidates []core.Candidate) int {
	if p.Weights == (Weights{}) {
		p.Weights = DefaultWeights()
	}
	draws := p.LongDraws
	if demand.Short {
		draws = p.Draws
	}
	if draws > 0 && p.Random != nil && len(candidates) > draws {
		if drawn := p.pickDrawn(draws, demand, candidates); drawn >= 0 {
			return drawn
		}
	}
	return p.pickAll(demand, candidates)
}

// pickDrawn returns a cold candidate if one has a free slot, otherwise the best
// of a few drawn at random and of the hinted ones. It returns -1 if none of those
// drawn fits. Cold candidates go first because an engine becomes warm by the
// requests that it completes, and short ones complete soonest: with random draws
// alone, one cold engine among 20 would stay cold for long.
func (p *Product) pickDrawn(draws int, demand *core.Demand, candidates []core.Candidate) int {
	if cold := freeColdCandidate(demand, candidates); cold >= 0 {
		return cold
	}
	best, bestScore := -1, float32(0)
	for range draws {
		i := p.Random.IntN(len(candidates))
		c := &candidates[i]
		if !hasFreeSlot(c, demand) || i == demand.Avoid {
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
	return p.considerHints(demand, candidates, best, bestScore)
}

// freeColdCandidate returns a cold candidate with a free slot, -1 if there is
// none.
func freeColdCandidate(demand *core.Demand, candidates []core.Candidate) int {
	for i := range candidates {
		if c := &candidates[i]; c.Cold && i != demand.Avoid && hasFreeSlot(c, demand) {
			return i
		}
	}
	return -1
}

// pickAll returns the best of all candidates, -1 if none fits.
func (p *Product) pickAll(demand *core.Demand, candidates []core.Candidate) int {
	best, bestScore := -1, float32(0)
	for i := range candidates {
		c := &candidates[i]
		if !hasFreeSlot(c, demand) || i == demand.Avoid {
			continue
		}
		score, fits := p.score(c, demand, 0)
		if fits && (best < 0 || score < bestScore) {
			best, bestScore = i, score
		}
	}
	return p.considerHints(demand, candidates, best, bestScore)
}

// considerHints scores the candidates that probably have part of the prompt
// cached. It returns the best of them if its score is below bestScore, otherwise
// best.
func (p *Product) considerHints(demand *core.Demand, candidates []core.Candidate, best int, bestScore float32) int {
	for _, hint := range demand.Hints {
		c := &candidates[hint.Candidate]
		if !hasFreeSlot(c, demand) || hint.Candidate == demand.Avoid {
			continue
		}
		score, fits := p.score(c, demand, float32(hint.Tokens))
		if fits && score < bestScore {
			best, bestScore = hint.Candidate, score
		}
	}
	return best
}

// PickBorrow returns the candidate of which to borrow a slot: the one with the
// lowest score among those below their limit with enough memory for the request.
// It returns -1 if there is none.
func (p *Product) PickBorrow(_ time.Time, demand *core.Demand, candidates []core.Candidate) int {
	best, bestScore := -1, float32(0)
	for i := range candidates {
		c := &candidates[i]
		if !c.Open || c.BorrowPending || !roleFits(c, demand) || i == demand.Avoid || c.Running+c.Waiting+c.Unreported >= c.Limit {
			continue
		}
		score, fits := p.score(c, demand, 0)
		if fits && (best < 0 || score < bestScore) {
			best, bestScore = i, score
		}
	}
	return best
}

func hasFreeSlot(c *core.Candidate, demand *core.Demand) bool {
	if !c.Open || !roleFits(c, demand) {
		return false
	}
	if demand.Short {
		return c.Free > 0
	}
	return c.FreeLong > 0
}

// roleFits reports whether the endpoint's role takes requests of this class.
func roleFits(c *core.Candidate, demand *core.Demand) bool {
	return c.Role == core.RoleMixed || (c.Role == core.RoleShort) == demand.Short
}

// score rates a candidate that has cached this many tokens of the prompt; lower
// is better. It also reports whether the request is expected to fit into the
// engine's memory as it grows.
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
		score += p.Weights.Recent * float32(c.Unreported)
		return score, shortRequestFits(c, demand)
	}
	return score, peak <= p.Weights.MemoryShare*c.TotalTokens
}

// shortRequestFits reports whether a short request fits until it ends. It needs
// no estimate of the other requests' peak: while the short request runs, each of
// them grows by no more tokens than the short request produces.
func shortRequestFits(c *core.Candidate, demand *core.Demand) bool {
	growth := demand.ExpectedTokens * float32(c.Running+c.Unreported+1)
	return c.UsedTokens+demand.PromptTokens+growth <= c.TotalTokens
}
