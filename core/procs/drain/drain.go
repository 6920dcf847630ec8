// Package drain decides the steps of a planned stop: the host tells that it is
// leaving and goes on accepting until the platform's list has caught up, then
// refuses new requests, hands its order ledger to another host, finishes what
// runs, and exits. Nothing is cut off.
package drain

import (
	"time"

	"apricotproxy/core/invar"
)

// Step is how far a stop has come.
type Step uint8

// Steps, in their order.
const (
	// StepServe: no stop was asked for.
	StepServe Step = iota
	// StepNotice: not ready, but every request that comes is still accepted,
	// because the balancer's list lags.
	StepNotice
	// StepRefuse: new requests are refused as NotRun; the ledger is on its way
	// to another host; what runs goes on.
	StepRefuse
	// StepFinish: the ledger has moved, or no host can take it; what runs goes
	// on, and forwarded orders are told where the ledger is.
	StepFinish
	// StepExit: nothing runs and the move of the ledger has been told.
	StepExit
)

// String names the step as the audit trail does.
func (s Step) String() string {
	names := [...]string{"Serve", "Notice", "Refuse", "Finish", "Exit"}
	if int(s) >= len(names) {
		return "Serve"
	}
	return names[s]
}

// Cause tells why the step has come, for the audit trail.
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

// Progress is what the host tells of its work.
type Progress struct {
	// Running counts accepted requests without an outcome, streams included.
	Running int
	// LedgerSettled is true when another host has the ledger, when it is empty
	// for good, or when no host can take it.
	LedgerSettled bool
	// Told is true when enough peers know of the move.
	Told bool
}

// Drain is the state machine. It is not safe for concurrent use.
type Drain struct {
	step        Step
	acceptUntil time.Time
	// tellUntil is when the host stops waiting for peers to hear of the move.
	tellUntil time.Time
}

// tellTimeout is the longest time that an idle host stays to tell its peers
// where its ledger is.
const tellTimeout = 5 * time.Second

// Step gives how far the stop has come.
func (d *Drain) Step() Step { return d.step }

// Begin starts the stop. The host accepts for the notice, so that a balancer
// whose list lags by less sends nothing to a host that refuses.
func (d *Drain) Begin(now time.Time, notice time.Duration) {
	if d.step != StepServe {
		return
	}
	d.step = StepNotice
	d.acceptUntil = now.Add(notice)
}

// Advance moves on as far as the progress allows and gives the step reached
// and the time at which it is to be asked again at the latest; zero for none.
func (d *Drain) Advance(now time.Time, progress Progress) (Step, time.Time) {
	if d.step == StepNotice && !now.Before(d.acceptUntil) {
		d.step = StepRefuse
	}
	if d.step == StepRefuse && progress.LedgerSettled {
		d.step = StepFinish
		d.tellUntil = now.Add(tellTimeout)
	}
	if d.step == StepFinish && progress.Running == 0 && (progress.Told || !now.Before(d.tellUntil)) {
		d.step = StepExit
	}
	invar.Check(invar.GracefulStop, d.step != StepExit || progress.Running == 0,
		"%d requests run at the exit", progress.Running)
	return d.step, d.wakeAt(now)
}

// wakeAt gives the next deadline. One that has passed would make the caller
// ask again without a pause.
func (d *Drain) wakeAt(now time.Time) time.Time {
	switch {
	case d.step == StepNotice:
		return d.acceptUntil
	case d.step == StepFinish && now.Before(d.tellUntil):
		return d.tellUntil
	default:
		return time.Time{}
	}
}
