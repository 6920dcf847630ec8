package core

import (
	"context"
	"net"
	"time"
)

// Dialer opens connections. Tests give one that dials in memory.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Listen opens a listener. Tests give one that listens in memory.
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
	// FinishReason is the engine's own, on the last event.
	FinishReason string
}

// EngineStream is one connection's worth of a generation's tokens.
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
	// Confirm is asked on the connected link, right before the first byte is
	// written. False fails the try with ResultDialFailed: a process that slept
	// past its permission sends nothing.
	Confirm func() bool
}

// CallRequest runs one call of a plain service.
type CallRequest struct {
	Workspace WorkspaceName
	Call      CallName
	// Key is the ticket of an unrepeatable call, for the service's own records.
	Key  string
	Body []byte
	// Confirm is as in EngineRequest.
	Confirm func() bool
}

// EngineOrder asks an engine to load something or to change its role.
type EngineOrder struct {
	Fence   uint64
	Model   ModelName
	Adapter AdapterName
	Version VersionName
	Role    string
}

// EndpointClient speaks to endpoints. Errors of Start, Call and Order are
// *EndpointError.
type EndpointClient interface {
	Start(ctx context.Context, endpoint Endpoint, request EngineRequest) (EngineStream, error)
	Resume(ctx context.Context, endpoint Endpoint, generation GenerationID, from int) (EngineStream, error)
	Cancel(ctx context.Context, endpoint Endpoint, generation GenerationID) error
	// Call runs one call of a plain service. The request is written to one
	// connection at most once.
	Call(ctx context.Context, endpoint Endpoint, request CallRequest) ([]byte, error)
	Report(ctx context.Context, endpoint Endpoint) (Report, error)
	CacheEvents(ctx context.Context, endpoint Endpoint, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, endpoint Endpoint, order EngineOrder) error
}

// EndpointError tells how far a try on an endpoint came.
type EndpointError struct {
	Endpoint EndpointName
	Result   Result
	Status   int
	// RetryAt is when the endpoint asked to be tried again; zero if it did not.
	RetryAt time.Time
	Err     error
}

// Error gives "endpoint draft-1: refused: status 503".
func (e *EndpointError) Error() string {
	return "endpoint " + string(e.Endpoint) + ": " + e.Err.Error()
}

// Unwrap gives the underlying error.
func (e *EndpointError) Unwrap() error { return e.Err }

// Dispatcher is the decision core as a request's goroutine sees it. It is safe
// for concurrent use. Errors are *OutcomeError.
type Dispatcher interface {
	// Place waits until the request may run on an endpoint or is refused. When
	// ctx ends first the request leaves the queue and the error says NotRun.
	Place(ctx context.Context, request Request) (Placement, error)
	// Confirm tells whether the placement is still valid at this moment.
	Confirm(placement Placement) bool
	// Progress tells the tokens produced so far.
	Progress(request RequestID, tokens int)
	// Finish ends a try for good.
	Finish(placement Placement, result Result, tokens int)
	// Replace ends a try that delivered nothing and waits for another
	// placement of the same request, or for its refusal.
	Replace(ctx context.Context, failed Placement, result Result) (Placement, error)
	// Endpoint finds an endpoint of the configuration in force.
	Endpoint(name EndpointName) (Endpoint, bool)
	// Config gives the configuration in force.
	Config() Config
}

// ConfigService is the platform's read-and-watch service. Every call counts
// against its rate, a waiting watch as one.
type ConfigService interface {
	// Read gives the present value of the key and the service's version of it.
	Read(ctx context.Context, key string) (value []byte, version uint64, err error)
	// Watch waits until the key's version is above after, or ctx ends.
	Watch(ctx context.Context, key string, after uint64) (value []byte, version uint64, err error)
}

// ListedHost is one entry of the platform's lagging host list.
type ListedHost struct {
	Host    HostName
	Address string
	Leaving bool
}

// HostList is the platform's lagging list of live and leaving hosts.
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
