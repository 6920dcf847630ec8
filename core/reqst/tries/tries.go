// Package tries decides how a routed request continues after each try on an
// endpoint. Its state belongs to one request. A caller is told that its request
// did not run only if no try may have run.
package tries

import (
	"apricotproxy/core"
	"apricotproxy/core/invar"
)

// Result is how one try ended.
type Result uint8

// Results of a try. The zero Result means that the request is done.
const (
	// NotSent: no byte was written to an endpoint.
	NotSent Result = iota + 1
	// Refused: the endpoint answered that it did not run the request.
	Refused
	// Failed: the endpoint ran the request and answered with an error.
	Failed
	// Lost: the request was sent and no complete answer arrived.
	Lost
	// Broken: a stream broke off after events were delivered.
	Broken
)

// String returns the name used in logs.
func (r Result) String() string {
	return [...]string{"Done", "NotSent", "Refused", "Failed", "Lost", "Broken"}[r]
}

// Step is what to do next.
type Step uint8

// Steps after a try.
const (
	// Again: send the request to another endpoint.
	Again Step = iota + 1
	// Continue: continue the run on the endpoint that has a copy of its memory.
	Continue
	// Resume: continue on another endpoint after the last event delivered.
	Resume
	// Relay: pass on the endpoint's own answer.
	Relay
	// Refuse: tell the caller that the request did not run.
	Refuse
	// Fail: tell the caller that it failed and may have run.
	Fail
	// Cut: end the stream so that the caller sees that it is incomplete.
	Cut
)

// String returns the name used in logs.
func (s Step) String() string {
	return [...]string{"None", "Again", "Continue", "Resume", "Relay", "Refuse", "Fail", "Cut"}[s]
}

// _maxNotSent is the number of tries that reach no endpoint after which the request is
// given up.
const _maxNotSent = 6

// _maxBarrenTries is the number of tries in a row that deliver no event after which a
// stream goes on at no further endpoint because others ended: its request may be what ends
// them.
const _maxBarrenTries = 2

// Switches disable safeguards, so that tests can show that they detect the fault.
type Switches struct {
	// RepeatAnything treats every request as repeatable.
	RepeatAnything bool
}

// Tries is the history of one request.
type Tries struct {
	route    *core.Route
	switches Switches
	// ran is the number of endpoints on which the request may have run.
	ran     int
	notSent int
	// counted is true if the last try was counted in ran.
	counted bool
	// barren is the number of the latest tries in a row that were lost without an event.
	barren int
}

// New returns the empty history of a request.
func New(route *core.Route, switches Switches) *Tries {
	return &Tries{route: route, switches: switches}
}

// MayHaveRun reports whether a try may have run.
func (t *Tries) MayHaveRun() bool { return t.ran > 0 }

// MayRunAgain reports whether the request may run on one more endpoint after the
// current one.
func (t *Tries) MayRunAgain() bool { return t.repeatable() && t.ran+1 < t.route.MaxAttempts }

// AttemptsLeft returns on how many endpoints the request may still run; 1 at least.
func (t *Tries) AttemptsLeft() int { return max(t.route.MaxAttempts-t.ran, 1) }

// Sent records that a try was sent. The try counts as run until the endpoint
// answers that it did not run it. sameRun is true if the try continues a run from
// a copy of its memory, which is not another run.
func (t *Tries) Sent(sameRun bool) {
	t.counted = !sameRun
	if t.counted {
		t.ran++
	}
	invar.Check(invar.OrderAtMostOnce, t.ran <= 1 || repeatable(t.route),
		"a request of kind %v may have run on %d endpoints", t.route.Kind, t.ran)
}

// Unsent records that the current try has not run, if it was counted.
func (t *Tries) Unsent() {
	if t.counted {
		t.ran--
	}
	t.counted = false
}

// Offered records that the request was sent to a further endpoint while that of the current try may
// go on.
func (t *Tries) Offered() {
	t.ran++
	invar.Check(invar.OrderAtMostOnce, repeatable(t.route), "a request of kind %v was offered to a further endpoint", t.route.Kind)
}

// Withdrawn records that such an endpoint did not run the request, or that a try of its own begins
// there, which is counted by itself.
func (t *Tries) Withdrawn() { t.ran-- }

// Situation is the input of a decision besides the history.
type Situation struct {
	// Delivered is true once the caller has received a part of the answer.
	Delivered bool
	// HasCopy is true if another endpoint has a copy of the run's memory.
	HasCopy bool
	// SpendRetry takes one retry from the retry budget and reports whether there was
	// one left.
	SpendRetry func() bool
	// TimeLeft is false if no further try can end before the deadline.
	TimeLeft bool
	// HadEvents is true if the last try delivered an event.
	HadEvents bool
	// EndedEndpoints returns how many of the endpoints on which the request may have run
	// have ended; nil if that cannot be found out. It is called only if the answer matters.
	EndedEndpoints func() int
	// Prepared is the step for which a place was taken before a silent endpoint was left, and a
	// retry if it needs one; 0 for none. Where the try ended by itself, the request was already sent
	// there.
	Prepared Step
}

// Next returns the step to take after a try.
func (t *Tries) Next(result Result, situation Situation) Step {
	switch result {
	case NotSent:
		t.notSent++
		if situation.TimeLeft && t.notSent < _maxNotSent {
			return t.retryStep(situation)
		}
		return t.finalStep(situation)
	case Refused:
		t.Unsent()
		if situation.Prepared != 0 {
			return situation.Prepared
		}
		if situation.TimeLeft && situation.SpendRetry() {
			return t.retryStep(situation)
		}
		return t.finalStep(situation)
	case Failed:
		if situation.Prepared != 0 {
			return situation.Prepared
		}
		if t.repeatable() && situation.TimeLeft && t.ran < t.route.MaxAttempts && situation.SpendRetry() {
			return t.retryStep(situation)
		}
		if situation.Delivered {
			return t.lossStep(situation)
		}
		return Relay
	default:
		return t.lossStep(situation)
	}
}

// retryStep returns the step that continues the request on another endpoint, or
// the step that ends it if that is not allowed.
func (t *Tries) retryStep(situation Situation) Step {
	switch {
	case t.ran == 0 && !situation.Delivered:
		return Again
	case t.repeatable() && !situation.Delivered:
		return Again
	case t.repeatable():
		return Resume
	case situation.HasCopy:
		return Continue
	default:
		return t.finalStep(situation)
	}
}

// lossStep returns the step after a try that was lost, broke off, or failed when a part
// of the answer was already delivered.
func (t *Tries) lossStep(situation Situation) Step {
	step := situation.Prepared
	if step == 0 {
		step = t.Elsewhere(situation)
		if step != 0 && NeedsRetry(step) && !situation.SpendRetry() {
			step = 0
		}
	}
	t.barren = t.barrenAfter(situation)
	if step == 0 {
		return t.finalStep(situation)
	}
	return step
}

// Elsewhere returns the step with which the request would go on if the endpoint of its current
// try, which was sent, were lost now: Again, Continue or Resume; 0 if it would end. No retry is
// taken from the budget.
func (t *Tries) Elsewhere(situation Situation) Step {
	switch {
	case !situation.TimeLeft:
		return 0
	case situation.HasCopy && t.route.Kind == core.RouteStreaming:
		return Continue
	case t.repeatable() && t.mayRunOnceMore(situation):
		return t.retryStep(situation)
	default:
		return 0
	}
}

// NeedsRetry reports whether a step after a loss takes a retry from the budget.
func NeedsRetry(step Step) bool { return step == Again || step == Resume }

// barrenAfter returns the number of the latest tries in a row without an event if the current one
// is lost now.
func (t *Tries) barrenAfter(situation Situation) int {
	if situation.HadEvents {
		return 0
	}
	return t.barren + 1
}

// mayRunOnceMore reports whether MaxAttempts allows one more endpoint. Endpoints that have
// ended do not count for a stream of which the caller has a part, since only another
// endpoint can make it complete.
func (t *Tries) mayRunOnceMore(situation Situation) bool {
	if t.ran < t.route.MaxAttempts {
		return true
	}
	if !situation.Delivered || situation.EndedEndpoints == nil || t.barrenAfter(situation) >= _maxBarrenTries {
		return false
	}
	return t.ran-situation.EndedEndpoints() < t.route.MaxAttempts
}

// finalStep returns the step that ends the request.
func (t *Tries) finalStep(situation Situation) Step {
	switch {
	case situation.Delivered:
		return Cut
	case t.ran > 0:
		return Fail
	default:
		return Refuse
	}
}

// repeatable reports whether the request may run more than once.
func (t *Tries) repeatable() bool { return t.switches.RepeatAnything || repeatable(t.route) }

func repeatable(route *core.Route) bool {
	return route.Kind == core.RouteIdempotent || (route.Kind == core.RouteStreaming && route.Resumable)
}
