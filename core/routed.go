package core

import (
	"cmp"
	"context"
	"errors"
	"time"
)

// RouteKind tells whether the requests of a route may run more than once.
type RouteKind uint8

// Kinds of route.
const (
	RouteIdempotent RouteKind = iota + 1
	RouteNonIdempotent
	RouteStreaming
)

// String returns the name used in logs.
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

// WeightedService is one of the services that share a route's requests.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// Route maps requests with one host name and path prefix to services. The
// decision code adds its durations to the current time.
type Route struct {
	Name     string
	HostName string
	Prefix   string
	Kind     RouteKind
	// Services are chosen from at random by their weights.
	Services []WeightedService
	// MaxAttempts is the most endpoints on which one request may run.
	MaxAttempts int
	// Timeout is the longest time that a request is kept waiting; 0 for none.
	Timeout time.Duration
	// Goal is the target for the time to the answer, or to the first event of a
	// stream.
	Goal time.Duration
	// GapGoal is the target for the longest pause between events of a stream.
	GapGoal time.Duration
	// Priority orders routes; 0 is the highest priority.
	Priority int
	// Anonymous is true when callers need no key.
	Anonymous bool
	// Resumable is true when another endpoint can continue a stream after a
	// given event id.
	Resumable bool
	// Generates is true when the requests describe a prompt.
	Generates bool
}

// EngineSpec describes the engines of a routed service.
type EngineSpec struct {
	Slots         int
	MemoryTokens  int
	BytesPerToken int
	LinkMbps      float64
	// EventTokens is how many tokens an event of a stream holds.
	EventTokens int
	// Backups is true when an engine can copy a run's memory to another engine
	// as it grows; Moves is true when it can copy it on request.
	Backups bool
	Moves   bool
	// BoundByKind is true when the unread prompt tokens of an engine are bounded for each kind of prompt, so
	// that long prompts leave engines to short ones.
	BoundByKind bool
}

// RoutedService is a group of endpoints that serve routes.
type RoutedService struct {
	Name ServiceName
	// MaxConnections is the most connections that one endpoint accepts from all
	// hosts together.
	MaxConnections int
	// ColdPerSecond is how many requests per second a cold endpoint can take; 0
	// when the service has no cold start.
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *EngineSpec
}

// CallerLimits limit what a caller may send and how long a connection may be
// idle.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// BuildName names a version of the software of a service's endpoints. What two builds write
// does not fit into one stream. It is empty if the endpoint does not tell.
type BuildName string

// RoutedEndpoint is one incarnation of an endpoint, as it registered itself.
type RoutedEndpoint struct {
	// ID is the name under which the incarnation registered itself.
	ID         string
	Service    ServiceName
	Address    string
	DataCentre DataCentreName
	Build      BuildName
	Slots      int
	Draining   bool
	// Cold is how much longer the endpoint expected to be cold when it wrote its
	// document.
	Cold time.Duration
	// Born is when the incarnation started; zero if unknown.
	Born time.Time
	// Sequence counts the endpoint's own heartbeats since it started.
	Sequence uint64
}

// EndpointKey identifies an incarnation of an endpoint: one that starts again may keep its
// ID.
type EndpointKey struct {
	ID   string
	Born time.Time
}

// Key returns the key of the endpoint's incarnation. Keys of one incarnation are equal by
// ==, whatever the origin of the time.
func (e RoutedEndpoint) Key() EndpointKey { return EndpointKey{ID: e.ID, Born: e.Born.Round(0).UTC()} }

// RoutedRequest describes one request to the decision code.
type RoutedRequest struct {
	ID        string
	Workspace WorkspaceName
	Route     *Route
	Service   ServiceName
	Priority  int
	Arrived   time.Time
	// FirstAsked is when the caller sent its first attempt, as far as that is known; zero or
	// Arrived for a first attempt.
	FirstAsked time.Time
	// Deadline is the caller's deadline or the route's time-out, whichever comes
	// first.
	Deadline time.Time
	Prompt   Prompt
}

// Prompt describes a generation. It is zero for other requests.
type Prompt struct {
	// Tokens is the length of the prompt, MaxOutput the caller's limit on the
	// output and Expected the caller's estimate of it; 0 if not given.
	Tokens    int
	MaxOutput int
	Expected  int
	// Parts are the prompt's parts in order. The last one is particular to this
	// request.
	Parts []PromptPart
}

// SharedParts returns the IDs of the parts that other prompts may share: all but the last.
func (p Prompt) SharedParts() []string {
	if len(p.Parts) == 0 {
		return nil
	}
	ids := make([]string, 0, len(p.Parts)-1)
	for _, part := range p.Parts[:len(p.Parts)-1] {
		ids = append(ids, part.ID)
	}
	return ids
}

// PromptPart is a part of a prompt that other requests may have in common.
type PromptPart struct {
	ID     string
	Tokens int
}

// Document is one document of the platform's store. Hosts relay documents to
// each other unchanged.
type Document struct {
	Name string
	// Epoch is the epoch of the store in which the revision was given out.
	Epoch    uint64
	Revision uint64
	Deleted  bool
	Value    []byte
}

// Compare orders documents by when they were written. The epoch decides before the
// revision, since a store that is restored from a copy gives out revisions again.
func (d Document) Compare(other Document) int {
	return cmp.Or(cmp.Compare(d.Epoch, other.Epoch), cmp.Compare(d.Revision, other.Revision))
}

// NewerThan reports whether the document was written after another one.
func (d Document) NewerThan(other Document) bool { return d.Compare(other) > 0 }

// Documents is the answer to one call of the store.
type Documents struct {
	Documents []Document
	// Epoch is the epoch of the store. It rises each time that the store is restored
	// from a copy; 0 if the store does not count its epochs.
	Epoch uint64
	// AsOf is the revision up to which nothing is missing.
	AsOf uint64
}

// DocumentStore reads published documents. Each call counts against the store's
// rate limit; a Watch that waits counts as one call.
type DocumentStore interface {
	// List returns all documents.
	List(ctx context.Context) (Documents, error)
	// Watch waits until a document has a revision above after, or until wait has
	// passed. It fails with ErrHistoryLost when the store does not know what
	// changed since. If the answer's Epoch is not the one in which after was given
	// out, the answer may lack changes.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Documents, error)
}

// ErrHistoryLost means that all documents have to be listed again.
var ErrHistoryLost = errors.New("the store no longer has this history")

// EngineState is the state that an engine reports.
type EngineState struct {
	Leaving bool
	// Born is when the incarnation started; zero if the report does not tell.
	Born time.Time
}

// HeaderNames holds the header names of routed requests and their answers.
type HeaderNames struct {
	RequestID        string
	Deadline         string // milliseconds
	Key              string
	Workspace        string
	ExpectedEndpoint string
	EndpointID       string
	NotRun           string // marks a refusal: the request did not run
	Leaving          string // "1" in the answers of an endpoint that is leaving
	RateLimit        string // requests per second that the endpoint takes from all hosts together
	Brittle          string // how many requests the endpoint can turn away in a second for want of room
	Seal             string // marks a successful answer as written by the endpoint itself
	Model            string
	Tokens           string
	Parts            string
	ExpectedTokens   string
	Priority         string
	LastEventID      string
	Resumes          string // ID of the request that brought the first event of a stream taken up
	Backup           string // where the engine sends copies of the run's memory
	ContinueFrom     string // the copy from which the run continues
	// Reserved are headers that only the system may set; those that callers send
	// are dropped.
	Reserved []string
}

// CallPaths holds the paths of calls whose names depend on the deployment.
type CallPaths struct {
	Ready  string // of an entry host
	Report string // an engine's report of its state
	Held   string // which parts of prompts an engine holds; empty if engines do not tell
	Move   string // copies a run's memory to another engine
	Handle string // prefix of the path that frees a copy
}

// EntrySettings are the settings of an entry host.
type EntrySettings struct {
	Name       HostName
	DataCentre DataCentreName
	// Regions maps each data centre to its region.
	Regions       map[DataCentreName]RegionName
	CallerAddress string
	ReadyAddress  string
	// PeerAddress is where other hosts request documents, HeartbeatAddress where
	// they send heartbeats.
	PeerAddress      string
	HeartbeatAddress string
	// Seeds are heartbeat addresses of other hosts; they may be stale.
	Seeds []string
	// Store is the address of the platform's document store.
	Store       string
	MemoryBytes int64
	Bounds      EntryBounds
}

// EntryBounds are the deployment's limits, as its settings give them.
type EntryBounds struct {
	// LeavingSpread is the time within which every host must learn that an
	// endpoint is leaving.
	LeavingSpread time.Duration
	// StopGrace is how long a process may keep running after SIGTERM.
	StopGrace time.Duration
	// Within RetryWindow, the retries of a service by all hosts together are at
	// most RetryShare of its requests plus RetryExtra.
	RetryShare  float64
	RetryWindow time.Duration
	RetryExtra  float64
	// A cold endpoint takes its service's rate times ColdFactor plus ColdExtra
	// requests per second from all hosts together.
	ColdFactor float64
	ColdExtra  float64
	// EndpointInterval is how often an endpoint renews its document.
	EndpointInterval time.Duration
}
