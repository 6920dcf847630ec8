// Package core holds the types and interfaces that the packages of apricotproxy
// share. The packages below it make the decisions and do no I/O: their methods
// take the current time and an event, and return the actions to carry out. The
// packages under io, above all io/shell, carry them out.
//
// Values are immutable: a With method returns a changed copy. State holds points
// in time, either a deadline or the time of an observation; durations occur in
// settings only.
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
	// DataCentreName names a zone that operators can take out of service.
	DataCentreName string
	// HostName names a configured entry host. A restarted process keeps it.
	HostName string
	// EndpointName names a back end.
	EndpointName string
	// ServiceName names a service.
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

// Revision numbers a published configuration. The revision in force on a host
// never decreases.
type Revision uint64

// Incarnation tells the successive processes of one host or endpoint apart. It
// is the start time in nanoseconds, so a later process has a higher incarnation.
type Incarnation uint64

// HostID identifies one process of an entry host.
type HostID struct {
	Host        HostName
	Incarnation Incarnation
}

// String returns the form "entry-1@1733270000000000000".
func (h HostID) String() string { return fmt.Sprintf("%s@%d", h.Host, h.Incarnation) }

// RequestID identifies one request within one process of an entry host.
type RequestID uint64

// GenerationID identifies one generation on one endpoint across the fleet.
// Callers see it in event ids; its form is defined in io/runs.
type GenerationID string

// Phase tells whether an endpoint has warmed up. A cold endpoint gets fewer
// requests at once.
type Phase uint8

// Phases of an endpoint. An endpoint of unknown phase is treated as cold.
const (
	PhaseUnknown Phase = iota
	PhaseCold
	PhaseWarm
)

// String returns the name used in reports and in the audit trail.
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

// Delivery is how the answer is sent to the caller.
type Delivery uint8

// A streamed answer is relayed token by token, so its request cannot run again
// once a token was delivered. A whole answer is buffered, so its request can run
// again when the engine is lost.
const (
	DeliveryStream Delivery = iota
	DeliveryWhole
)

// Outcome is the final result of a request as reported to its caller.
type Outcome uint8

// The four outcomes. NotRun is reported only when it is proven that no endpoint
// ran any part of the request.
const (
	OutcomeDone Outcome = iota + 1
	OutcomeNotRun
	OutcomeInterrupted
	OutcomeUnknown
)

// String returns the name that callers see.
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
	// Detail tells the caller in one sentence what is wrong, what was expected
	// and what to do.
	Detail string
	// RetryAt is the earliest time at which a retry makes sense; zero when a
	// retry does not help.
	RetryAt time.Time
	// Delivered counts the tokens that reached the caller.
	Delivered int
	Err       error
}

// Error returns the form "NotRun (Overload): detail: underlying error".
func (e *OutcomeError) Error() string {
	text := fmt.Sprintf("%s (%s): %s", e.Outcome, e.Cause, e.Detail)
	if e.Err == nil {
		return text
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *OutcomeError) Unwrap() error { return e.Err }

// NotRun returns the error for a request that certainly did not run.
func NotRun(cause Cause, detail string, retryAt time.Time) *OutcomeError {
	return &OutcomeError{Outcome: OutcomeNotRun, Cause: cause, Detail: detail, RetryAt: retryAt}
}
