package core

import (
	"cmp"
	"slices"
	"time"
)

// ServiceKind tells a model engine from a plain service.
type ServiceKind uint8

// Kinds of service.
const (
	ServiceEngine ServiceKind = iota + 1
	ServicePlain
)

// DataCentre is one zone of the deployment.
type DataCentre struct {
	Name   DataCentreName
	Region RegionName
	// InService is false while operators have taken the data centre out.
	InService bool
}

// Host is one configured entry host. Its name stays the same when the process
// restarts.
type Host struct {
	Name       HostName
	DataCentre DataCentreName
	// PeerAddress is where other hosts reach it, as "10.0.0.1:7443".
	PeerAddress string
	// CallerAddress is where callers reach it.
	CallerAddress string
}

// Endpoint is one back end: a worker of a model engine or of a plain service.
type Endpoint struct {
	Name       EndpointName
	Service    ServiceName
	DataCentre DataCentreName
	Address    string
	// ColdSlots and WarmSlots are the most requests that all hosts together may
	// have in flight while the endpoint is cold or warm.
	ColdSlots int
	WarmSlots int
	// MemoryTokens is the engine's memory for requests, in tokens; 0 for a plain
	// service.
	MemoryTokens int64
	// ChecksFencing is true when the endpoint refuses an engine order that
	// carries an outdated fencing token.
	ChecksFencing bool
	// Leaving is true when operators are removing the endpoint.
	Leaving bool
}

// Service is a model or a plain service that callers name in their requests.
type Service struct {
	Name  ServiceName
	Kind  ServiceKind
	Model ModelName
	// Adapter and Version are those that the engines must have loaded.
	Adapter AdapterName
	Version VersionName
	// Role is the role that engines are ordered to take; if it is empty, engines
	// keep the role that they have.
	Role string
	// Calls lists the calls of a plain service, in name order.
	Calls []Call
}

// Call is one call of a plain service.
type Call struct {
	Name CallName
	// Repeatable is true when the call may run more than once.
	Repeatable bool
}

// Workspace is one customer of the site.
type Workspace struct {
	Name     WorkspaceName
	Weight   int
	Priority int
	// Services lists what the workspace may use, in name order.
	Services []ServiceName
}

// Limits are the deployment's limits and time-outs. Durations are kept in
// settings only: the decision code adds them to the current time and stores the
// resulting deadlines.
type Limits struct {
	RequestTimeout     time.Duration // from acceptance to the first token
	QueueTimeout       time.Duration // longest wait in the queue
	QueueLength        int           // waiting requests per host
	SilenceTimeout     time.Duration // a connection that receives nothing for this long is replaced
	DialTimeout        time.Duration
	LeaseTerm          time.Duration // of a borrowed slot
	ConfigSpread       time.Duration // time within which a revision comes into force on every host
	AbandonGrace       time.Duration // how long a generation without a caller runs before it is cancelled
	RetryShare         float64       // ratio of retries to first tries
	TicketTerm         time.Duration
	LedgerSize         int // order tickets held per host
	BodyBytes          int64
	DrainNotice        time.Duration // how long requests are accepted after SIGTERM, since the host list lags
	ReportInterval     time.Duration
	ReportLag          time.Duration // greatest age of a report when it is fetched; 0 means 1 s
	HeartbeatInterval  time.Duration
	ServiceReads       float64 // reads of the configuration service per second, whole site
	WeightLoads        float64 // loads from the weight store per minute, whole site
	WarmProof          int     // completed requests after which an endpoint counts as warm
	OutputTokensAtMost int     // output tokens of one generation
}

// TLS holds the names of certificate and key files; empty names disable TLS.
type TLS struct {
	CallerCertificate string
	CallerKey         string
	PeerCertificate   string
	PeerKey           string
	PeerAuthority     string
	EndpointAuthority string
	// EndpointCertificate and EndpointKey authenticate this site to endpoints.
	EndpointCertificate string
	EndpointKey         string
}

// Config is one accepted revision of a site's configuration. Its slices are
// sorted by name and are not modified after construction.
type Config struct {
	Site        SiteName
	Revision    Revision
	Digest      uint64
	DataCentres []DataCentre
	Hosts       []Host
	Endpoints   []Endpoint
	Services    []Service
	Workspaces  []Workspace
	Limits      Limits
	TLS         TLS
}

// WithRevision returns a copy with the given revision number.
func (c Config) WithRevision(r Revision) Config {
	c.Revision = r
	return c
}

// WithInService returns a copy in which the named data centre is in or out of
// service.
func (c Config) WithInService(name DataCentreName, inService bool) Config {
	changed := make([]DataCentre, len(c.DataCentres))
	copy(changed, c.DataCentres)
	for i := range changed {
		if changed[i].Name == name {
			changed[i].InService = inService
		}
	}
	c.DataCentres = changed
	return c
}

// WithEndpoints returns a copy with the given endpoints.
func (c Config) WithEndpoints(endpoints []Endpoint) Config {
	c.Endpoints = endpoints
	return c
}

// WithHosts returns a copy with the given hosts.
func (c Config) WithHosts(hosts []Host) Config {
	c.Hosts = hosts
	return c
}

// DataCentre finds a data centre by name.
func (c Config) DataCentre(name DataCentreName) (DataCentre, bool) {
	for _, d := range c.DataCentres {
		if d.Name == name {
			return d, true
		}
	}
	return DataCentre{}, false
}

// Service finds a service by name.
func (c Config) Service(name ServiceName) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Workspace finds a workspace by name. It runs for each request and there may be
// thousands of workspaces, so it uses a binary search.
func (c Config) Workspace(name WorkspaceName) (Workspace, bool) {
	i, ok := slices.BinarySearchFunc(c.Workspaces, name, func(w Workspace, wanted WorkspaceName) int {
		return cmp.Compare(w.Name, wanted)
	})
	if !ok {
		return Workspace{}, false
	}
	return c.Workspaces[i], true
}

// Bundle is what the platform's configuration service publishes for a site
// under the key "apricotproxy/<site>", as JSON with these field names. Base
// and Overlay are INI texts.
type Bundle struct {
	Revision Revision
	Base     string
	Overlay  string
}
