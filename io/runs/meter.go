package runs

import (
	"errors"

	"apricotproxy/core"
	"apricotproxy/io/meter"
)

// Metrics of the runner:
//
//	Runs.Done, Runs.NotRun, Runs.Interrupted, Runs.Unknown   outcomes
//	Runs.Resumed     connections opened to continue a generation
//	Runs.Replaced    tries after the first
//	Runs.Abandoned   generations cancelled after their caller disconnected
//	Orders.Forwarded orders forwarded to another host
var (
	_resumed   = meter.Counter("Runs.Resumed")
	_replaced  = meter.Counter("Runs.Replaced")
	_abandoned = meter.Counter("Runs.Abandoned")
	_forwarded = meter.Counter("Orders.Forwarded")
	_outcomes  = [...]interface{ Add(delta float64) }{
		core.OutcomeDone:        meter.Counter("Runs.Done"),
		core.OutcomeNotRun:      meter.Counter("Runs.NotRun"),
		core.OutcomeInterrupted: meter.Counter("Runs.Interrupted"),
		core.OutcomeUnknown:     meter.Counter("Runs.Unknown"),
	}
)

// countOutcome counts the outcome of a request and returns err unchanged.
func countOutcome(err error) error {
	result := core.OutcomeDone
	var failed *core.OutcomeError
	if errors.As(err, &failed) {
		result = failed.Outcome
	} else if err != nil {
		result = core.OutcomeUnknown
	}
	_outcomes[result].Add(1)
	return err
}
