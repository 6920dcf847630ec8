package runs

import (
	"errors"

	"apricotproxy/core"
	"apricotproxy/io/meter"
)

// What the runner counts:
//
//	runs.Done, runs.NotRun, runs.Interrupted, runs.Unknown   outcomes
//	runs.resumed     connections opened to continue a generation
//	runs.replaced    tries after the first
//	runs.abandoned   generations given up without their caller
//	orders.forwarded orders sent on to another host
var (
	_resumed   = meter.Counter("runs.resumed")
	_replaced  = meter.Counter("runs.replaced")
	_abandoned = meter.Counter("runs.abandoned")
	_forwarded = meter.Counter("orders.forwarded")
	_outcomes  = [...]interface{ Add(delta float64) }{
		core.OutcomeDone:        meter.Counter("runs.Done"),
		core.OutcomeNotRun:      meter.Counter("runs.NotRun"),
		core.OutcomeInterrupted: meter.Counter("runs.Interrupted"),
		core.OutcomeUnknown:     meter.Counter("runs.Unknown"),
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
