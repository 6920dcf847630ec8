package route

import (
	"math/rand/v2"
	"time"

	"apricotproxy/core"
)

// Sampled scores as the product does, but only a few candidates drawn at random
// and the hinted ones. When none of them fits it scores all.
type Sampled struct {
	Product
	Draws  int
	Random *rand.Rand
}

// Name gives the policy's name in tables.
func (*Sampled) Name() string { return "Sampled" }

// Pick takes the best of the drawn candidates.
func (p *Sampled) Pick(now time.Time, demand *core.Demand, candidates []core.Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	best, bestScore := -1, float32(0)
	for range p.Draws {
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
		return p.Product.Pick(now, demand, candidates)
	}
	return p.hinted(demand, candidates, best, bestScore)
}
