// Package local reads an entry host's settings, routes and endpoints from one INI
// file, for sites without a platform that publishes them. It says the same as the
// users' platform does, in the product's own words, and is read again when it
// changes.
package local

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"time"

	"gopkg.in/ini.v1"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/versn/table"
)

const (
	_routesName      = "routes"
	_outPrefix       = "out/"
	_endpointsPrefix = "endpoints/"
	// _poll is how often the file is looked at while a watch waits.
	_poll = 200 * time.Millisecond
)

// FileError names what is wrong in a file.
type FileError struct {
	File    string
	Section string
	Key     string
	Detail  string
	Remedy  string
}

// Error gives place, what is wrong and the remedy.
func (e *FileError) Error() string {
	place := e.File + ": [" + e.Section + "]"
	if e.Key != "" {
		place += " " + e.Key
	}
	return place + ": " + e.Detail + "; " + e.Remedy
}

type hostSection struct {
	Name, DataCentre                                           string
	CallerAddress, ReadyAddress, PeerAddress, HeartbeatAddress string
	Seeds                                                      []string
	StopGrace, LeavingSpread, RetryWindow                      time.Duration
	RetryShare, RetryExtra, ColdFactor, ColdExtra              float64
}

type limitsSection struct {
	HeaderBytes                int
	BodyBytes                  int64
	HeaderTimeout, IdleTimeout time.Duration
}

type routeSection struct {
	HostName, Prefix, Kind          string
	Services                        []string
	MaxAttempts, Priority           int
	Timeout, Goal, GapGoal          time.Duration
	Anonymous, Resumable, Generates bool
}

type serviceSection struct {
	MaxConnections, Slots, MemoryTokens, BytesPerToken, EventTokens int
	ColdPerSecond, LinkMbps                                         float64
	Backups, Moves                                                  bool
}

type endpointSection struct {
	Service, Address, DataCentre string
	Slots                        int
	Leaving                      bool
}

type workspaceSection struct {
	Keys     []string
	Priority int
}

// Site is what a file says.
type Site struct {
	Host core.EntrySettings
	// Source has the routes; its version is set by who reads the file.
	Source    table.Source
	Endpoints []core.RoutedEndpoint
	Out       []core.DataCentreName
}

var _kinds = map[string]core.RouteKind{
	core.RouteIdempotent.String():    core.RouteIdempotent,
	core.RouteNonIdempotent.String(): core.RouteNonIdempotent,
	core.RouteStreaming.String():     core.RouteStreaming,
}

// Parse reads the text of a file.
func Parse(name string, text []byte) (*Site, error) {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, text)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	p := &parser{file: name, site: &Site{}}
	for _, section := range file.Sections() {
		if err := p.section(section); err != nil {
			return nil, err
		}
	}
	if p.site.Host.Name == "" {
		return nil, &FileError{File: name, Section: "Host", Key: "Name", Detail: "missing", Remedy: "name the host"}
	}
	if _, err := table.Build(p.site.Source); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return p.site, nil
}

type parser struct {
	file string
	site *Site
}

func (p *parser) section(s *ini.Section) error {
	kind, name, _ := strings.Cut(s.Name(), " ")
	switch kind {
	case ini.DefaultSection:
		return nil
	case "Host":
		return p.host(s)
	case "Limits":
		var l limitsSection
		err := p.read(s, &l)
		p.site.Source.Limits = core.CallerLimits{
			HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
		}
		return err
	case "OutOfService":
		var out struct{ DataCentres []string }
		err := p.read(s, &out)
		for _, centre := range out.DataCentres {
			p.site.Out = append(p.site.Out, core.DataCentreName(centre))
		}
		return err
	case "Routes":
		return p.route(s, name)
	case "Services":
		return p.service(s, name)
	case "Endpoints":
		return p.endpoint(s, name)
	case "Workspaces":
		var w workspaceSection
		err := p.read(s, &w)
		p.site.Source.Workspaces = append(p.site.Source.Workspaces, table.Workspace{
			Name: core.WorkspaceName(name), Keys: w.Keys, Priority: w.Priority, HasPriority: s.HasKey("Priority"),
		})
		return err
	default:
		return &FileError{File: p.file, Section: s.Name(), Detail: "not known",
			Remedy: "write Host, Limits, OutOfService, Routes NAME, Services NAME, Endpoints NAME or Workspaces NAME"}
	}
}

// read fills a struct whose fields are the section's keys.
func (p *parser) read(s *ini.Section, into any) error {
	fields := reflect.TypeOf(into).Elem()
	for _, key := range s.Keys() {
		if _, ok := fields.FieldByName(key.Name()); !ok {
			return &FileError{File: p.file, Section: s.Name(), Key: key.Name(), Detail: "not known", Remedy: "write one of " + strings.Join(names(fields), ", ")}
		}
	}
	if err := s.StrictMapTo(into); err != nil {
		return &FileError{File: p.file, Section: s.Name(), Detail: err.Error(), Remedy: "write numbers as 12, times as 1.5s, truths as true or false"}
	}
	return nil
}

func names(fields reflect.Type) []string {
	out := make([]string, 0, fields.NumField())
	for i := range fields.NumField() {
		out = append(out, fields.Field(i).Name)
	}
	return out
}

func (p *parser) host(s *ini.Section) error {
	h := hostSection{StopGrace: 30 * time.Second, LeavingSpread: 2 * time.Second, RetryWindow: 10 * time.Second, RetryShare: 0.2, RetryExtra: 50}
	if err := p.read(s, &h); err != nil {
		return err
	}
	p.site.Host = core.EntrySettings{
		Name: core.HostName(h.Name), DataCentre: core.DataCentreName(h.DataCentre), CallerAddress: h.CallerAddress,
		ReadyAddress: h.ReadyAddress, PeerAddress: h.PeerAddress, HeartbeatAddress: h.HeartbeatAddress, Seeds: h.Seeds,
		Bounds: core.EntryBounds{
			StopGrace: h.StopGrace, LeavingSpread: h.LeavingSpread, RetryWindow: h.RetryWindow, RetryShare: h.RetryShare,
			RetryExtra: h.RetryExtra, ColdFactor: h.ColdFactor, ColdExtra: h.ColdExtra,
		},
	}
	return nil
}

func (p *parser) route(s *ini.Section, name string) error {
	r := routeSection{MaxAttempts: 1}
	if err := p.read(s, &r); err != nil {
		return err
	}
	kind, ok := _kinds[r.Kind]
	if !ok {
		return &FileError{File: p.file, Section: s.Name(), Key: "Kind", Detail: fmt.Sprintf("%q is not known", r.Kind), Remedy: "write Idempotent, NonIdempotent or Streaming"}
	}
	route := core.Route{
		Name: name, HostName: strings.ToLower(r.HostName), Prefix: r.Prefix, Kind: kind, MaxAttempts: r.MaxAttempts, Timeout: r.Timeout,
		Goal: r.Goal, GapGoal: r.GapGoal, Priority: r.Priority, Anonymous: r.Anonymous, Resumable: r.Resumable, Generates: r.Generates,
	}
	for _, text := range r.Services {
		service, share, weighted := strings.Cut(text, ":")
		weight := 1.0
		if weighted {
			var err error
			if weight, err = strconv.ParseFloat(share, 64); err != nil {
				return &FileError{File: p.file, Section: s.Name(), Key: "Services", Detail: fmt.Sprintf("%q is no weight", share), Remedy: "write NAME or NAME:90"}
			}
		}
		route.Services = append(route.Services, core.WeightedService{Service: core.ServiceName(service), Weight: weight})
	}
	p.site.Source.Routes = append(p.site.Source.Routes, route)
	return nil
}

func (p *parser) service(s *ini.Section, name string) error {
	var v serviceSection
	if err := p.read(s, &v); err != nil {
		return err
	}
	service := core.RoutedService{Name: core.ServiceName(name), MaxConnections: v.MaxConnections, ColdPerSecond: v.ColdPerSecond}
	if v.MemoryTokens > 0 {
		service.Engine = &core.EngineShape{
			Slots: v.Slots, MemoryTokens: v.MemoryTokens, BytesPerToken: v.BytesPerToken, LinkMbps: v.LinkMbps,
			EventTokens: v.EventTokens, Backups: v.Backups, Moves: v.Moves,
		}
	}
	p.site.Source.Services = append(p.site.Source.Services, service)
	return nil
}

func (p *parser) endpoint(s *ini.Section, name string) error {
	var v endpointSection
	if err := p.read(s, &v); err != nil {
		return err
	}
	p.site.Endpoints = append(p.site.Endpoints, core.RoutedEndpoint{
		ID: name, Service: core.ServiceName(v.Service), Address: v.Address, DataCentre: core.DataCentreName(v.DataCentre),
		Slots: v.Slots, Draining: v.Leaving,
	})
	return nil
}

// Store gives a file's content as documents: the routes, the data centres out of
// service and the endpoints, with a revision that rises with each change.
type Store struct {
	path string

	mu       sync.Mutex
	text     string
	site     *Site
	revision uint64
}

var _ core.DocumentStore = (*Store)(nil)

// Open reads a file.
func Open(path string) (*Store, *Site, error) {
	s := &Store{path: path}
	if err := s.refresh(); err != nil {
		return nil, nil, err
	}
	return s, s.site, nil
}

// refresh reads the file again. One that cannot be used leaves the last good one.
func (s *Store) refresh() error {
	text, err := os.ReadFile(s.path)
	if err != nil {
		return fmt.Errorf("read the site's file: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if string(text) == s.text {
		return nil
	}
	site, err := Parse(s.path, text)
	if err != nil {
		return err
	}
	// The clock makes revisions rise from one process to the next.
	s.revision = max(s.revision+1, uint64(time.Now().UnixMilli()))
	site.Source.Version = s.revision
	s.text, s.site = string(text), site
	return nil
}

// List gives all documents.
func (s *Store) List(context.Context) (core.Documents, error) {
	if err := s.refresh(); err != nil {
		return core.Documents{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := core.Documents{AsOf: s.revision}
	add := func(name string, value []byte) {
		out.Documents = append(out.Documents, core.Document{Name: name, Revision: s.revision, Value: value})
	}
	add(_routesName, []byte(s.text))
	for _, centre := range s.site.Out {
		add(_outPrefix+string(centre), nil)
	}
	for _, e := range s.site.Endpoints {
		value, err := json.Marshal(e)
		if err != nil {
			return core.Documents{}, fmt.Errorf("encode endpoint %s: %w", e.ID, err)
		}
		add(_endpointsPrefix+e.ID, value)
	}
	return out, nil
}

// Watch waits for the file to change. What changed is listed anew.
func (s *Store) Watch(ctx context.Context, after uint64, wait time.Duration) (core.Documents, error) {
	deadline := time.Now().Add(wait)
	for {
		if err := s.refresh(); err != nil {
			return core.Documents{}, err
		}
		s.mu.Lock()
		revision := s.revision
		s.mu.Unlock()
		if revision > after {
			return core.Documents{}, core.ErrHistoryLost
		}
		if !time.Now().Before(deadline) {
			return core.Documents{AsOf: revision}, nil
		}
		select {
		case <-ctx.Done():
			return core.Documents{}, fmt.Errorf("watch the site's file: %w", ctx.Err())
		case <-time.After(_poll):
		}
	}
}

// Decode tells what a document of a Store says.
func Decode(document core.Document) (know.Fact, error) {
	if centre, ok := strings.CutPrefix(document.Name, _outPrefix); ok {
		return know.Fact{OutOfService: core.DataCentreName(centre)}, nil
	}
	if document.Deleted {
		return know.Fact{}, nil
	}
	if id, ok := strings.CutPrefix(document.Name, _endpointsPrefix); ok {
		var e core.RoutedEndpoint
		if err := json.Unmarshal(document.Value, &e); err != nil {
			return know.Fact{}, fmt.Errorf("decode endpoint %s: %w", id, err)
		}
		return know.Fact{Endpoint: &e}, nil
	}
	site, err := Parse(document.Name, document.Value)
	if err != nil {
		return know.Fact{}, err
	}
	site.Source.Version = document.Revision
	built, err := table.Build(site.Source)
	if err != nil {
		return know.Fact{}, fmt.Errorf("build the routing table: %w", err)
	}
	return know.Fact{Table: built}, nil
}

// Headers spells the product's own headers of routed requests.
func Headers() core.HeaderNames {
	return core.HeaderNames{
		RequestID: "Request-Id", Deadline: "Deadline-Ms", Key: "Workspace-Key", Workspace: "Workspace",
		ExpectedEndpoint: "Expect-Endpoint", EndpointID: "Endpoint-Id", NotRun: "Not-Run", Seal: "Endpoint-Seal",
		Model: "Model", Tokens: "Tokens", Parts: "Prompt-Parts", ExpectedTokens: "Expected-Tokens", Priority: "Priority",
		LastEventID: "Last-Event-Id", Backup: "Backup-To", ContinueFrom: "Continue-From",
		Reserved: []string{"Workspace", "Workspace-Key", "Expect-Endpoint", "Backup-To", "Continue-From", "Priority"},
	}
}

// Paths spells the product's own paths.
func Paths() core.CallPaths {
	return core.CallPaths{Ready: "/readyz", Report: "/v1/report", Move: "/v1/moves", Handle: "/v1/moves/"}
}

// DecodeReport reads an engine's report of its own state, {"Leaving":true}.
func DecodeReport(body []byte) (core.EngineState, error) {
	var state core.EngineState
	if err := json.Unmarshal(body, &state); err != nil {
		return core.EngineState{}, fmt.Errorf("decode an engine's report: %w", err)
	}
	return state, nil
}
