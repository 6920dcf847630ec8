package core

import (
	"context"
	"errors"
	"time"
)

// RouteKind tells what may be repeated of a routed request.
type RouteKind uint8

// Kinds of route.
const (
	RouteIdempotent RouteKind = iota + 1
	RouteNonIdempotent
	RouteStreaming
)

// String gives the name that logs use.
func (k RouteKind) String() string {
	switch k {
	case RouteIdempotent:
		return "Idempotent"
	case RouteNonIdempotent:
		return "NonIdempotent"
	case RouteStreaming:
		return "Streaming"
	default:
		return "Unknown"
	}
}

// WeightedService is one service of a route that is split over several.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// Route says where requests of one host name and path prefix go. Settings hold
// durations; a decision adds them to the present time.
type Route struct {
	Name     string
	HostName string
	Prefix   string
	Kind     RouteKind
	// Services has one entry for a route that is not split.
	Services []WeightedService
	// MaxAttempts is the most endpoints on which one request may run.
	MaxAttempts int
	// Timeout is the longest time that a request is kept waiting; 0 for none.
	Timeout time.Duration
	// Goal is the time to the answer, or to the first event of a stream, within
	// which an answer is on time.
	Goal time.Duration
	// GapGoal is the longest pause between events of a stream that is on time.
	GapGoal time.Duration
	// Priority ranks routes, 0 first.
	Priority int
	// Anonymous routes ask for no key.
	Anonymous bool
	// Resumable streams may be continued on another endpoint from an event id.
	Resumable bool
	// Generates is true when the requests describe a prompt.
	Generates bool
}

// EngineShape describes the engines of a routed service.
type EngineShape struct {
	Slots         int
	MemoryTokens  int
	BytesPerToken int
	LinkMbps      float64
	// EventTokens is how many tokens an event of a stream holds.
	EventTokens int
	// Backups is true when an engine can send a run's memory to another one as
	// it grows; Moves when it can do so on request.
	Backups bool
	Moves   bool
}

// RoutedService is a group of endpoints behind routes.
type RoutedService struct {
	Name ServiceName
	// MaxConnections is what one endpoint accepts from all hosts together.
	MaxConnections int
	// ColdPerSecond is how many requests a second a cold endpoint bears; 0 when
	// the service knows no cold start.
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *EngineShape
}

// CallerLimits bound what a caller may send, and how long a connection may idle.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// RoutedEndpoint is one incarnation of an endpoint, as it registered itself.
type RoutedEndpoint struct {
	// ID is the incarnation's own name, under which it is registered.
	ID         string
	Service    ServiceName
	Address    string
	DataCentre DataCentreName
	Slots      int
	Draining   bool
	// Cold is how much longer the endpoint stays cold after it said so.
	Cold time.Duration
	// Born is when the incarnation started; zero when it does not say.
	Born time.Time
	// Sequence counts the endpoint's own heartbeats since it started.
	Sequence uint64
}

// RoutedRequest describes one request to the decisions.
type RoutedRequest struct {
	ID        string
	Workspace WorkspaceName
	Route     *Route
	Service   ServiceName
	Priority  int
	Arrived   time.Time
	// Deadline is when the caller gives up or the route's limit is reached,
	// whichever is first.
	Deadline time.Time
	Prompt   Prompt
}

// Prompt describes a generation. It is zero for other requests.
type Prompt struct {
	// Tokens is the length of the prompt, MaxOutput the caller's bound on the
	// output and Expected its own estimate of it; 0 for none.
	Tokens    int
	MaxOutput int
	Expected  int
	// Parts are the prompt's parts in order, the last one the request's own.
	Parts []PromptPart
}

// PromptPart is a piece of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Document is one published item, as bytes. Hosts relay documents to each other
// as they are.
type Document struct {
	Name     string
	Revision uint64
	Deleted  bool
	Value    []byte
}

// Documents is what one call of the store brought.
type Documents struct {
	Documents []Document
	// AsOf is the revision up to which nothing is missing.
	AsOf uint64
}

// DocumentStore reads published documents. Each call counts against the store's
// rate, a waiting watch as one.
type DocumentStore interface {
	// List gives all documents.
	List(ctx context.Context) (Documents, error)
	// Watch waits until a document has a revision above after, or until wait has
	// passed. It fails with ErrHistoryLost when the store no longer knows what
	// changed since.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Documents, error)
}

// ErrHistoryLost says that all documents have to be listed again.
var ErrHistoryLost = errors.New("the store no longer has this history")

// EngineState is what an engine reports of itself.
type EngineState struct {
	Leaving bool
}

// HeaderNames spells the headers of routed requests.
type HeaderNames struct {
	RequestID        string
	Deadline         string // milliseconds
	Key              string
	Workspace        string
	ExpectedEndpoint string
	EndpointID       string
	NotRun           string
	Seal             string
	Model            string
	Tokens           string
	Parts            string
	ExpectedTokens   string
	Priority         string
	LastEventID      string
	Backup           string
	ContinueFrom     string
	// Reserved are headers that only the system may set.
	Reserved []string
}

// CallPaths spells the paths of calls that are the deployment's to name.
type CallPaths struct {
	Ready  string
	Report string
	Move   string
	Handle string
}

// EntrySettings are what an entry host learns at its start, from its settings.
type EntrySettings struct {
	Name       HostName
	DataCentre DataCentreName
	// Regions names each data centre's region.
	Regions       map[DataCentreName]RegionName
	CallerAddress string
	ReadyAddress  string
	// PeerAddress is where other hosts ask for documents, HeartbeatAddress
	// where they send heartbeats.
	PeerAddress      string
	HeartbeatAddress string
	// Seeds are heartbeat addresses of other hosts; they may be stale.
	Seeds []string
	// Store is the address of the platform's document store.
	Store       string
	MemoryBytes int64
	Bounds      EntryBounds
}

// EntryBounds are the deployment's bounds, which its settings give.
type EntryBounds struct {
	// LeavingSpread is how soon every host must know that an endpoint is leaving.
	LeavingSpread time.Duration
	// StopGrace is how long a process may run on after SIGTERM.
	StopGrace time.Duration
	// Retries of a service, all hosts together, within RetryWindow: at most
	// RetryShare of its requests plus RetryExtra.
	RetryShare  float64
	RetryWindow time.Duration
	RetryExtra  float64
	// A cold endpoint bears its service's rate times ColdFactor plus ColdExtra
	// requests a second, all hosts together.
	ColdFactor float64
	ColdExtra  float64
	// EndpointInterval is how often an endpoint renews its document.
	EndpointInterval time.Duration
}
