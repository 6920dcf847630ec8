package place

import (
	"time"

	"apricotproxy/core"
)

// RateLimit is what an endpoint said of the requests that it takes from all hosts together.
type RateLimit struct {
	// PerSecond is the limit, if IsNamed.
	PerSecond float64
	// IsNamed is false if the endpoint named no limit.
	IsNamed bool
	// SaidAt is when the endpoint said so; zero if it has said nothing.
	SaidAt time.Time
}

// NoteRateLimit records what an answer of an incarnation of an endpoint says of its rate limit. It
// returns what was known before, and whether that was different.
func (p *Placer) NoteRateLimit(key core.EndpointKey, limit RateLimit) (before RateLimit, changed bool) {
	p.note(key, func(n *notice) bool {
		before = n.rate
		if !limit.IsNamed && !before.IsNamed || limit.SaidAt.Before(before.SaidAt) {
			return false
		}
		changed = limit.IsNamed != before.IsNamed || limit.PerSecond != before.PerSecond
		n.rate = limit
		return true
	})
	return before, changed
}
