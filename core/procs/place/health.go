package place

import "time"

const (
	// _failureWeight is the weight of one try in an endpoint's share of failed
	// tries.
	_failureWeight = 0.15
	// _failurePenalty is how many times as dear an endpoint looks that fails
	// every try.
	_failurePenalty = 12
	// An endpoint that could not be reached is left alone for a while, which
	// doubles while it stays so.
	_barFirst  = 300 * time.Millisecond
	_barAtMost = 3 * time.Second
)

// health is what this host's own tries say of an endpoint.
type health struct {
	failures float64
	bar      time.Duration
	barUntil time.Time
}

func (h *health) barred(now time.Time) bool { return now.Before(h.barUntil) }

// slowdown makes an endpoint that fails look dearer.
func (h *health) slowdown() float64 { return 1 + _failurePenalty*h.failures*h.failures }

// Outcome is how a try went, as far as it concerns the endpoint.
type Outcome uint8

// Outcomes.
const (
	// Good: the endpoint answered as it should.
	Good Outcome = iota + 1
	// Bad: it failed the request, broke off or answered nonsense.
	Bad
	// Unreachable: it could not be connected to, or went silent.
	Unreachable
	// Gone: nothing listens at its address, or another incarnation does.
	Gone
)

// _goneBar is how long an endpoint is left alone that is not at its address any
// more: its document is removed meanwhile.
const _goneBar = 10 * time.Second

// Judge takes in how a run's try went.
func (p *Placer) Judge(now time.Time, run *Run, outcome Outcome) {
	e := p.state(run)
	if e == nil {
		return
	}
	h := &e.health
	failed := 1.0
	switch outcome {
	case Good:
		failed, h.bar = 0, 0
	case Unreachable:
		h.bar = min(max(2*h.bar, _barFirst), _barAtMost)
		h.barUntil = now.Add(h.bar)
	case Gone:
		h.barUntil = now.Add(_goneBar)
	case Bad:
	}
	h.failures += _failureWeight * (failed - h.failures)
}
