package place

import "time"

const (
	// _failureWeight is the weight of the latest try in the moving average that is an
	// endpoint's failure rate.
	_failureWeight = 0.15
	// _failurePenalty is what a failure rate of 1 adds to an endpoint's cost factor.
	_failurePenalty = 12
	// An endpoint that could not be reached gets no requests for a backoff time, which
	// doubles with each further failure to reach it.
	_initialBackoff = 300 * time.Millisecond
	_maxBackoff     = 3 * time.Second
)

// health is an endpoint's state as seen by this host's own tries.
type health struct {
	failureRate  float64
	backoff      time.Duration
	backoffSince time.Time
	backoffUntil time.Time
	// isSilent is true if the latest backoff began because a connected endpoint was silent.
	isSilent bool
}

func (h *health) inBackoff(now time.Time) bool { return now.Before(h.backoffUntil) }

// backOff begins a backoff, which is longer after each try that was begun since the last one. An
// earlier try tells nothing new: one silence of an endpoint may end many.
func (h *health) backOff(now, triedAt time.Time, isSilent bool) {
	if triedAt.Before(h.backoffSince) {
		return
	}
	h.backoff = min(max(2*h.backoff, _initialBackoff), _maxBackoff)
	h.backoffSince, h.backoffUntil, h.isSilent = now, now.Add(h.backoff), isSilent
}

// costFactor returns the factor by which failures raise an endpoint's cost.
func (h *health) costFactor() float64 { return 1 + _failurePenalty*h.failureRate*h.failureRate }

// Outcome is the result of a try as far as it concerns the endpoint.
type Outcome uint8

// Outcomes.
const (
	// Good: the endpoint answered correctly.
	Good Outcome = iota + 1
	// Bad: it failed the request, broke off its answer or sent an invalid one.
	Bad
	// Unreachable: no connection could be made, or a call before the try was not answered.
	Unreachable
	// Silent: it was connected and did not respond in time. It may go on.
	Silent
	// Gone: nothing listens at its address, or another incarnation does.
	Gone
)

// _goneBackoff is the backoff for an endpoint that is no longer at its address; its
// document is removed meanwhile.
const _goneBackoff = 10 * time.Second

// LiftBackoffs forgets the failures of the endpoints in backoff, as when this host reaches endpoints again
// that it could not reach for a reason of its own.
func (p *Placer) LiftBackoffs(now time.Time) {
	for _, e := range p.endpoints {
		if e.health.inBackoff(now) {
			e.health = health{}
		}
	}
}

// RecordOutcome records the outcome of a run's try.
func (p *Placer) RecordOutcome(now time.Time, run *Run, outcome Outcome) {
	e := p.endpointOf(run)
	if e == nil {
		return
	}
	h := &e.health
	failed := 1.0
	switch outcome {
	case Good:
		failed, h.backoff = 0, 0
		if h.isSilent {
			h.backoffUntil = time.Time{}
		}
	case Unreachable:
		h.backOff(now, run.startedAt, false)
	case Silent:
		h.backOff(now, run.startedAt, true)
	case Gone:
		h.backoffSince, h.backoffUntil, h.isSilent = now, now.Add(_goneBackoff), false
	case Bad:
	}
	h.failureRate += _failureWeight * (failed - h.failureRate)
}
