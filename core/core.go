// Package core holds the values and the interfaces that the parts of
// apricotproxy share. Every decision lives in a package below it, free of
// sockets and of the wall clock: a method takes the present time and an event,
// and returns what is to be done.
//
// Values are immutable: a With method returns a changed copy. Fields that hold
// a point in time hold a deadline or the time of an observation, never a
// duration; durations occur in settings only.
package core

import (
	"fmt"
	"time"
)

type (
	// SiteName names a deployment of one operator.
	SiteName string
	// RegionName names a group of data centres.
	RegionName string
	// DataCentreName names a zone that operators take out and bring back.
	DataCentreName string
	// HostName names a roster position of the entry fleet.
	HostName string
	// EndpointName names a back end.
	EndpointName string
	// ServiceName names what callers ask for.
	ServiceName string
	// WorkspaceName names a customer of the site.
	WorkspaceName string
	// ModelName names a model.
	ModelName string
	// AdapterName names an adapter of a model.
	AdapterName string
	// VersionName names a version of a model or adapter.
	VersionName string
	// CallName names a call of a plain service.
	CallName string
)

// Revision numbers a published configuration. It never goes down on a host.
type Revision uint64

// Incarnation numbers one life of a process at its roster position. A later
// life has a higher incarnation: it is the start time in nanoseconds.
type Incarnation uint64

// HostID names one life of one entry host.
type HostID struct {
	Host        HostName
	Incarnation Incarnation
}

// String gives the form "entry-1@1733270000000000000".
func (h HostID) String() string { return fmt.Sprintf("%s@%d", h.Host, h.Incarnation) }

// RequestID identifies one request within the life of one entry host.
type RequestID uint64

// GenerationID identifies one generation on one endpoint across the fleet.
// The caller sees it in event ids; see io/caller for its form.
type GenerationID string

// Phase tells how much load an endpoint can bear.
type Phase uint8

// Phases of an endpoint. An endpoint of unknown phase is treated as cold.
const (
	PhaseUnknown Phase = iota
	PhaseCold
	PhaseWarm
)

// String names the phase as reports and the audit trail do.
func (p Phase) String() string {
	switch p {
	case PhaseCold:
		return "Cold"
	case PhaseWarm:
		return "Warm"
	default:
		return "Unknown"
	}
}

// Delivery tells how the answer reaches the caller.
type Delivery uint8

// A streamed answer is relayed token by token and cannot be run again once a
// token was delivered. A whole answer is buffered, so that it survives the
// loss of an engine by running again.
const (
	DeliveryStream Delivery = iota
	DeliveryWhole
)

// Outcome is what a caller is told of its request in the end.
type Outcome uint8

// The four outcomes. NotRun needs proof that no endpoint ran any part.
const (
	OutcomeDone Outcome = iota + 1
	OutcomeNotRun
	OutcomeInterrupted
	OutcomeUnknown
)

// String names the outcome as callers see it.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "Done"
	case OutcomeNotRun:
		return "NotRun"
	case OutcomeInterrupted:
		return "Interrupted"
	case OutcomeUnknown:
		return "Unknown"
	default:
		return "Pending"
	}
}

// Cause is the reason behind an outcome, a rejection or an audit event.
type Cause string

// Causes that callers and operators see.
const (
	CauseOverload       Cause = "Overload"
	CauseDeadline       Cause = "DeadlinePassed"
	CauseNoEndpoint     Cause = "NoEndpoint"
	CauseDraining       Cause = "Draining"
	CauseRetryBudget    Cause = "RetryBudgetSpent"
	CauseEndpointLost   Cause = "EndpointLost"
	CauseEndpointDenied Cause = "EndpointDenied"
	CauseTicketInvalid  Cause = "TicketInvalid"
	CauseTicketExpired  Cause = "TicketExpired"
	CauseIssuerGone     Cause = "IssuerGone"
	CauseLedgerFull     Cause = "LedgerFull"
	CauseBadRequest     Cause = "BadRequest"
	CauseUnknownName    Cause = "UnknownName"
	CauseTooLarge       Cause = "TooLarge"
	CauseNotReady       Cause = "NotReady"
	CauseCallerGone     Cause = "CallerGone"
	CauseInternal       Cause = "Internal"
)

// OutcomeError is an outcome other than Done.
type OutcomeError struct {
	Outcome Outcome
	Cause   Cause
	// Detail is one sentence for the caller: place, expectation, remedy.
	Detail string
	// RetryAt is the earliest time at which asking again makes sense; zero
	// when asking again does not help.
	RetryAt time.Time
	// Delivered counts the tokens that reached the caller.
	Delivered int
	Err       error
}

// Error gives "NotRun (Overload): detail: cause".
func (e *OutcomeError) Error() string {
	text := fmt.Sprintf("%s (%s): %s", e.Outcome, e.Cause, e.Detail)
	if e.Err == nil {
		return text
	}
	return text + ": " + e.Err.Error()
}

// Unwrap gives the underlying error.
func (e *OutcomeError) Unwrap() error { return e.Err }

// NotRun builds the refusal of a request that certainly did not run.
func NotRun(cause Cause, detail string, retryAt time.Time) *OutcomeError {
	return &OutcomeError{Outcome: OutcomeNotRun, Cause: cause, Detail: detail, RetryAt: retryAt}
}
