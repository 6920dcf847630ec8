package core

import (
	"context"
	"net"
	"time"
)

// Dialer opens connections. Tests use one that connects in memory.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Listen opens a listener. Tests use one that listens in memory.
type Listen func(network, address string) (net.Listener, error)

// Token is one event of a generation, as an engine sends it.
type Token struct {
	Generation GenerationID
	// Index counts from 0 within the generation.
	Index int
	Text  string
	// Final marks the last event; Count is then the number of tokens.
	Final bool
	Count int
	// FinishReason is the reason that the engine gives on the last event.
	FinishReason string
}

// EngineStream reads the tokens of a generation from one connection.
type EngineStream interface {
	// Next blocks for the next token. It returns io.EOF after the final one.
	Next() (Token, error)
	Close() error
}

// EngineRequest starts a generation on an engine.
type EngineRequest struct {
	Generation GenerationID
	Workspace  WorkspaceName
	Model      ModelName
	Adapter    AdapterName
	Priority   int
	MaxTokens  int
	// Body is the caller's JSON body, passed on unchanged.
	Body []byte
	// Confirm is called once the connection is open, right before the first byte
	// is written. If it returns false, the try fails with ResultDialFailed, so a
	// process that was suspended until its placement expired sends nothing.
	Confirm func() bool
}

// CallRequest runs one call of a plain service.
type CallRequest struct {
	Workspace WorkspaceName
	Call      CallName
	// Key is the ticket of an unrepeatable call, which the service may record.
	Key  string
	Body []byte
	// Confirm is as in EngineRequest.
	Confirm func() bool
}

// EngineOrder tells an engine to load a model or to change its role. It is sent
// as JSON under the names of its fields.
type EngineOrder struct {
	Fence   uint64
	Model   ModelName
	Adapter AdapterName
	Version VersionName
	Role    string
}

// EndpointClient sends requests to endpoints. Errors of Start, Call and Order
// are of type *EndpointError.
type EndpointClient interface {
	Start(ctx context.Context, endpoint Endpoint, request EngineRequest) (EngineStream, error)
	// Resume reads a generation again from the token with index from.
	Resume(ctx context.Context, endpoint Endpoint, generation GenerationID, from int) (EngineStream, error)
	Cancel(ctx context.Context, endpoint Endpoint, generation GenerationID) error
	// Call runs one call of a plain service. The request is written at most
	// once, to a single connection.
	Call(ctx context.Context, endpoint Endpoint, request CallRequest) ([]byte, error)
	Report(ctx context.Context, endpoint Endpoint) (Report, error)
	CacheEvents(ctx context.Context, endpoint Endpoint, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, endpoint Endpoint, order EngineOrder) error
}

// EndpointError is a failed try on an endpoint.
type EndpointError struct {
	Endpoint EndpointName
	Result   Result
	Status   int
	// RetryAt is when the endpoint asked for a retry; zero if it did not.
	RetryAt time.Time
	Err     error
}

// Error returns the form "endpoint draft-1: refused: status 503".
func (e *EndpointError) Error() string {
	return "endpoint " + string(e.Endpoint) + ": " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *EndpointError) Unwrap() error { return e.Err }

// Dispatcher gives the goroutines of requests access to the Decider. It is safe
// for concurrent use. Errors are of type *OutcomeError.
type Dispatcher interface {
	// Place waits until the request may run on an endpoint or is refused. If ctx
	// ends first, the request leaves the queue and the error's outcome is
	// NotRun.
	Place(ctx context.Context, request Request) (Placement, error)
	// Confirm reports whether the placement is still valid at this moment.
	Confirm(placement Placement) bool
	// Progress records how many tokens the request has produced so far.
	Progress(request RequestID, tokens int)
	// Finish ends the last try of a request.
	Finish(placement Placement, result Result, tokens int)
	// Replace ends a try that delivered nothing and waits until the same request
	// is placed again or refused.
	Replace(ctx context.Context, failed Placement, result Result) (Placement, error)
	// Endpoint finds an endpoint of the configuration in force.
	Endpoint(name EndpointName) (Endpoint, bool)
	// Config returns the configuration in force.
	Config() Config
}

// ConfigService is the platform's configuration service. Each call counts
// against its rate limit; a Watch that waits counts as one call.
type ConfigService interface {
	// Read returns the current value of the key and the service's version of it.
	Read(ctx context.Context, key string) (value []byte, version uint64, err error)
	// Watch waits until the key's version is above after, or ctx ends.
	Watch(ctx context.Context, key string, after uint64) (value []byte, version uint64, err error)
}

// ListedHost is one entry of the platform's host list.
type ListedHost struct {
	Host    HostName
	Address string
	Leaving bool
}

// HostList reads the platform's list of live and leaving hosts, which lags.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}

// AuditKind classifies an audit event.
type AuditKind string

// Kinds of audit event.
const (
	AuditRevisionAccepted AuditKind = "RevisionAccepted"
	AuditRevisionRejected AuditKind = "RevisionRejected"
	AuditRevisionConflict AuditKind = "RevisionConflict"
	AuditDataCentreOut    AuditKind = "DataCentreOut"
	AuditDataCentreIn     AuditKind = "DataCentreIn"
	AuditPhaseChanged     AuditKind = "PhaseChanged"
	AuditDrain            AuditKind = "Drain"
	AuditOrderRefused     AuditKind = "OrderRefused"
	AuditLedgerMoved      AuditKind = "LedgerMoved"
	AuditEngineOrder      AuditKind = "EngineOrder"
	AuditPromiseBroken    AuditKind = "PromiseBroken"
	AuditIncarnation      AuditKind = "NewerIncarnation"
)

// AuditEvent is one line of the audit trail.
type AuditEvent struct {
	Time     time.Time
	Host     HostID
	Kind     AuditKind
	Revision Revision
	Subject  string
	Cause    string
}

// Auditor records audit events. Record does not block.
type Auditor interface {
	Record(event AuditEvent)
}
