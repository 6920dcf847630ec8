// Package drain decides the steps of a planned stop of a host. The host announces
// that it is leaving, but accepts requests until the platform's host list has had
// time to follow. Then it refuses new requests, hands its order ledger to another
// host, finishes the running requests and exits. No request is cut off.
package drain

import (
	"time"

	"apricotproxy/core/invar"
)

// Step is the progress of a stop.
type Step uint8

// Steps, in their order.
const (
	// StepServe: no stop was requested.
	StepServe Step = iota
	// StepNotice: the host reports that it is not ready, but still accepts all
	// requests, because the load balancer's host list lags.
	StepNotice
	// StepRefuse: new requests are refused as NotRun and the ledger is being
	// handed over. Running requests continue.
	StepRefuse
	// StepFinish: the ledger was handed over, or no host can take it. Running
	// requests continue, and forwarded orders are answered with the ledger's
	// new holder.
	StepFinish
	// StepExit: no request runs, and enough peers know the ledger's new holder or
	// notifyTimeout has passed.
	StepExit
)

// String returns the name of the step, as in the audit trail.
func (s Step) String() string {
	names := [...]string{"Serve", "Notice", "Refuse", "Finish", "Exit"}
	if int(s) >= len(names) {
		return "Serve"
	}
	return names[s]
}

// Cause returns why the step was entered, for the audit trail.
func (s Step) Cause() string {
	switch s {
	case StepNotice:
		return "a planned stop was asked for"
	case StepRefuse:
		return "the host list has had time to catch up"
	case StepFinish:
		return "the order ledger is settled"
	case StepExit:
		return "nothing runs any more"
	default:
		return ""
	}
}

// Progress is the state of the host's work that the steps depend on.
type Progress struct {
	// Running is the number of accepted requests without an outcome, including
	// streams.
	Running int
	// LedgerSettled is true once another host has the ledger, if the ledger is
	// empty and stays so, or if no host can take it.
	LedgerSettled bool
	// PeersInformed is true once enough peers know the ledger's new holder.
	PeersInformed bool
}

// Drain is the state machine of a stop. It is not safe for concurrent use.
type Drain struct {
	step        Step
	acceptUntil time.Time
	// notifyUntil is when the host stops waiting until enough peers know the
	// ledger's new holder.
	notifyUntil time.Time
}

// notifyTimeout limits how long an idle host delays its exit to notify its peers of
// the ledger's new holder.
const notifyTimeout = 5 * time.Second

// Step returns the current step.
func (d *Drain) Step() Step { return d.step }

// Begin starts the stop. The host accepts requests for the duration of the notice, so
// that a load balancer whose list lags by less never sends a request to a host that
// refuses it.
func (d *Drain) Begin(now time.Time, notice time.Duration) {
	if d.step != StepServe {
		return
	}
	d.step = StepNotice
	d.acceptUntil = now.Add(notice)
}

// Advance takes all steps that the progress allows. It returns the step reached, and
// the time by which it must be called again, or zero if only a change of the
// progress matters.
func (d *Drain) Advance(now time.Time, progress Progress) (Step, time.Time) {
	if d.step == StepNotice && !now.Before(d.acceptUntil) {
		d.step = StepRefuse
	}
	if d.step == StepRefuse && progress.LedgerSettled {
		d.step = StepFinish
		d.notifyUntil = now.Add(notifyTimeout)
	}
	if d.step == StepFinish && progress.Running == 0 && (progress.PeersInformed || !now.Before(d.notifyUntil)) {
		d.step = StepExit
	}
	invar.Check(invar.GracefulStop, d.step != StepExit || progress.Running == 0,
		"%d requests run at the exit", progress.Running)
	return d.step, d.wakeAt(now)
}

// wakeAt returns the next deadline, zero for none. It leaves out a deadline that has
// passed, which would make the caller call again without a pause.
func (d *Drain) wakeAt(now time.Time) time.Time {
	switch {
	case d.step == StepNotice:
		return d.acceptUntil
	case d.step == StepFinish && now.Before(d.notifyUntil):
		return d.notifyUntil
	default:
		return time.Time{}
	}
}
