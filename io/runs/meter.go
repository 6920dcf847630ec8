package runs

import (
	"errors"

	"apricotproxy/core"
	"apricotproxy/io/meter"
)

// What the runner counts:
//
//	Runs.Done, Runs.NotRun, Runs.Interrupted, Runs.Unknown   outcomes
//	runs.resumed     connections opened to continue a generation
//	runs.replaced    tries after the first
//	runs.abandoned   generations given up without their caller
//	Orders.Forwarded orders sent on to another host
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

// counted counts the outcome of a request and passes its error on.
func counted(err error) error {
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
