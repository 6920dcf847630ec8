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

// Host is one roster position of the entry fleet.
type Host struct {
	Name       HostName
	DataCentre DataCentreName
	// PeerAddress is where other hosts reach it, as "10.0.0.1:7443".
	PeerAddress string
	// CallerAddress is where callers reach it.
	CallerAddress string
}

// Endpoint is one back end: a model engine's worker or a plain service's.
type Endpoint struct {
	Name       EndpointName
	Service    ServiceName
	DataCentre DataCentreName
	Address    string
	// ColdSlots and WarmSlots bound the work in flight in each phase.
	ColdSlots int
	WarmSlots int
	// MemoryTokens is the size of the engine's token memory; 0 for a plain service.
	MemoryTokens int64
	// ChecksFencing is true when the endpoint refuses an order that carries an
	// old fencing number.
	ChecksFencing bool
	// Leaving is true when operators are removing the endpoint.
	Leaving bool
}

// Service is what a caller asks for.
type Service struct {
	Name  ServiceName
	Kind  ServiceKind
	Model ModelName
	// Adapter and Version are what the engines are to have loaded.
	Adapter AdapterName
	Version VersionName
	// Role is the role that engines are ordered to take; empty leaves it alone.
	Role string
	// Calls lists the calls of a plain service, in name order.
	Calls []Call
}

// Call is one call of a plain service.
type Call struct {
	Name       CallName
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

// Limits are the deployment's bounds and terms. Settings are the one place
// that holds durations: a decision adds one to the present time and stores the
// deadline.
type Limits struct {
	RequestTimeout     time.Duration // from acceptance to the first token
	QueueTimeout       time.Duration // longest wait in the queue
	QueueLength        int           // waiting requests per host
	SilenceTimeout     time.Duration // a link without a byte for longer is replaced
	DialTimeout        time.Duration
	LeaseTerm          time.Duration // of a borrowed slot
	ConfigSpread       time.Duration // time for a revision to be in force everywhere
	AbandonGrace       time.Duration // a generation without a caller is cancelled after it
	RetryShare         float64       // retries as a share of first tries
	TicketTerm         time.Duration
	LedgerSize         int // order tickets held per host
	BodyBytes          int64
	DrainNotice        time.Duration // still accepting after SIGTERM, for the list's lag
	ReportInterval     time.Duration
	ReportLag          time.Duration // a report's content is at most this old when asked for; 0: 1 s
	HeartbeatInterval  time.Duration
	ServiceReads       float64 // reads a second of the configuration service, whole site
	WeightLoads        float64 // loads a minute from the weight store, whole site
	WarmProof          int     // completions that prove an endpoint warm
	OutputTokensAtMost int
}

// TLS names the files of certificates and keys; empty switches TLS off.
type TLS struct {
	CallerCertificate string
	CallerKey         string
	PeerCertificate   string
	PeerKey           string
	PeerAuthority     string
	EndpointAuthority string
	// EndpointCertificate and EndpointKey are shown to endpoints.
	EndpointCertificate string
	EndpointKey         string
}

// Config is one accepted revision of a site's configuration. Its slices are in
// name order and are never written after construction.
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

// WithRevision returns the configuration under another revision number.
func (c Config) WithRevision(r Revision) Config {
	c.Revision = r
	return c
}

// WithInService returns the configuration with a data centre out or in.
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

// WithEndpoints returns the configuration with other endpoints.
func (c Config) WithEndpoints(endpoints []Endpoint) Config {
	c.Endpoints = endpoints
	return c
}

// WithHosts returns the configuration with another roster.
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

// Workspace finds a workspace by name. It is asked for each request among
// thousands, so that it relies on the name order.
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
