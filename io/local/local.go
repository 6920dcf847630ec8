// Package local reads an entry host's settings, routes and endpoints from one INI
// file, for sites without a platform that publishes them. The file holds the same
// information as the platform's documents, under the product's own names. It is read
// again when it changes.
package local

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"apricotproxy/core"
	"apricotproxy/core/versn/check"
	"apricotproxy/core/versn/confg"
	"apricotproxy/core/versn/table"
)

// FileError reports an invalid section or key of a file.
type FileError struct {
	Origin  confg.Origin // only the file if the place is unknown
	Section string
	Key     string
	// Item is the entry of the key's list that is at fault, or empty.
	Item     string
	Detail   string
	Expected string
	Remedy   string
}

// Error returns text such as "routes.ini:4:1: [Host] Name: missing; expected the name of the host;
// add a line Name = ...".
func (e *FileError) Error() string {
	return e.Origin.Position() + ": " + e.problem() + "; expected " + e.Expected + "; " + e.Remedy
}

func (e *FileError) problem() string {
	location := "[" + e.Section + "]"
	if e.Key != "" {
		location += " " + e.Key
	}
	return location + ": " + e.Detail
}

type hostSection struct {
	Name, DataCentre                                           string
	CallerAddress, ReadyAddress, PeerAddress, HeartbeatAddress string
	Seeds                                                      []string
	StopGrace, LeavingSpread, RetryWindow                      time.Duration
	RetryShare, RetryExtra, ColdFactor, ColdExtra              float64
	MemoryBytes                                                int64
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
	Backups, Moves, BoundByKind                                     bool
}

type endpointSection struct {
	Service, Address, DataCentre, Build string
	Slots                               int
	Leaving                             bool
}

type workspaceSection struct {
	Keys     []string
	Priority int
}

// Site is the decoded content of a file. Parse leaves the version of its Source 0.
type Site = check.Routed

var _sectionKinds = []string{"Host", "Limits", "OutOfService", "Routes", "Services", "Endpoints", "Workspaces"}

var _routeKinds = map[string]core.RouteKind{
	core.RouteIdempotent.String():    core.RouteIdempotent,
	core.RouteNonIdempotent.String(): core.RouteNonIdempotent,
	core.RouteStreaming.String():     core.RouteStreaming,
}

// Parse decodes and validates the text of a file. name is the file's name in errors.
func Parse(name string, text []byte) (*Site, error) {
	p, err := parse(name, text)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	if len(p.errs) > 0 {
		return nil, p.errs[0]
	}
	return p.site, nil
}

// parse decodes the text of a file and collects what is invalid. It returns an error if the text is
// no INI text.
func parse(name string, text []byte) (*parser, error) {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, text)
	if err != nil {
		return nil, fmt.Errorf("parse the text: %w", err)
	}
	p := &parser{site: &Site{}}
	for _, section := range file.Sections() {
		p.section(section)
	}
	if p.site.Host.Name == "" && !p.invalid("Host") {
		p.add(&FileError{Section: "Host", Key: "Name", Detail: "missing", Expected: "the name of the host", Remedy: "add a line Name = ... below [Host]"})
	}
	for _, e := range table.Errors(p.site.Source) {
		p.add(&FileError{Section: "Routes " + e.Route, Key: e.Key, Item: e.Item, Detail: e.Detail, Expected: _expectedOfRoute[e.Key], Remedy: e.Remedy})
	}
	if len(p.errs) > 0 {
		lines := newIndex(name, string(text))
		for _, e := range p.errs {
			e.Origin = lines.locate(e.Section, e.Key, e.Item)
			if e.Detail == _unknownKey {
				e.Origin = lines.entries[sectionKey{e.Section, e.Key}].key
			}
		}
	}
	return p, nil
}

var _expectedOfRoute = map[string]string{
	"Prefix":   "a path such as /drafts/",
	"Services": "services that have a section [Services NAME]",
}

type parser struct {
	site *Site
	errs []*FileError
	// ignored holds keys whose values have no effect.
	ignored []ignoredKey
}

const _unknownKey = "unknown key"

// ignoredKey is a key whose value has no effect, and why.
type ignoredKey struct {
	sectionKey
	reason, expected, remedy string
}

func (p *parser) add(e *FileError) { p.errs = append(p.errs, e) }

// invalid reports whether a section has an error.
func (p *parser) invalid(section string) bool {
	return slices.ContainsFunc(p.errs, func(e *FileError) bool { return e.Section == section })
}

func (p *parser) section(s *ini.Section) {
	kind, name, _ := strings.Cut(s.Name(), " ")
	switch kind {
	case ini.DefaultSection:
	case "Host":
		p.host(s)
	case "Limits":
		var l limitsSection
		p.readSection(s, &l)
		p.site.Source.Limits = core.CallerLimits{
			HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
		}
	case "OutOfService":
		var out struct{ DataCentres []string }
		p.readSection(s, &out)
		for _, dataCentre := range out.DataCentres {
			p.site.OutOfService = append(p.site.OutOfService, core.DataCentreName(dataCentre))
		}
	case "Routes":
		p.route(s, name)
	case "Services":
		p.service(s, name)
	case "Endpoints":
		p.endpoint(s, name)
	case "Workspaces":
		var w workspaceSection
		p.readSection(s, &w)
		p.site.Source.Workspaces = append(p.site.Source.Workspaces, table.Workspace{
			Name: core.WorkspaceName(name), Keys: w.Keys, Priority: w.Priority, HasPriority: s.HasKey("Priority"),
		})
	default:
		remedy := "remove the section"
		if likely := confg.Nearest(kind, _sectionKinds); likely != "" {
			remedy = "write " + likely
		}
		p.add(&FileError{Section: s.Name(), Detail: "unknown section",
			Expected: "Host, Limits, OutOfService, Routes NAME, Services NAME, Endpoints NAME or Workspaces NAME", Remedy: remedy})
	}
}

// readSection decodes a section into a struct whose field names are the section's keys. It reports
// whether the section is valid.
func (p *parser) readSection(s *ini.Section, into any) bool {
	fields := reflect.TypeOf(into).Elem()
	before := len(p.errs)
	for _, key := range s.Keys() {
		if _, ok := fields.FieldByName(key.Name()); ok {
			continue
		}
		names := fieldNames(fields)
		remedy := "remove the line"
		if likely := confg.Nearest(key.Name(), names); likely != "" {
			remedy = "write " + likely
		}
		p.add(&FileError{Section: s.Name(), Key: key.Name(), Detail: _unknownKey, Expected: "one of " + strings.Join(names, ", "), Remedy: remedy})
	}
	if err := s.StrictMapTo(into); err != nil {
		p.addInvalidValues(s, fields, err)
	}
	p.addIgnoredTimes(s, reflect.ValueOf(into).Elem())
	return len(p.errs) == before
}

// addIgnoredTimes adds the times that ini.v1 does not set since they are not above 0, unless the
// value is 0 without them too.
func (p *parser) addIgnoredTimes(s *ini.Section, decoded reflect.Value) {
	for _, key := range s.Keys() {
		value, err := key.Duration()
		field := decoded.FieldByName(key.Name())
		if err != nil || value > 0 || !field.IsValid() || field.Type() != reflect.TypeFor[time.Duration]() {
			continue
		}
		if inForce := field.Interface().(time.Duration); inForce != value {
			p.ignored = append(p.ignored, ignoredKey{sectionKey: sectionKey{section: s.Name(), key: key.Name()},
				reason: fmt.Sprintf("%s is in force", inForce), expected: "a time above 0", remedy: "raise the time, or remove the line"})
		}
	}
}

// addInvalidValues adds an error for each value of a section that cannot be decoded. err is the
// error about all of them, which names no key.
func (p *parser) addInvalidValues(s *ini.Section, fields reflect.Type, err error) {
	found := false
	for _, key := range s.Keys() {
		field, ok := fields.FieldByName(key.Name())
		if !ok || decodesAlone(key, fields) {
			continue
		}
		found = true
		kind := _valueKinds[field.Type.Kind()]
		if field.Type == reflect.TypeFor[time.Duration]() {
			kind = valueKind{expected: "a time with its unit (ms, s, m, h)", example: "1.5s"}
		}
		p.add(&FileError{Section: s.Name(), Key: key.Name(), Detail: fmt.Sprintf("%q cannot be used", key.String()),
			Expected: kind.expected, Remedy: fmt.Sprintf("write for instance %s = %s", key.Name(), kind.example)})
	}
	if !found {
		p.add(&FileError{Section: s.Name(), Detail: err.Error(), Expected: "values of the keys' types", Remedy: "write numbers as 12, times as 1.5s, booleans as true or false"})
	}
}

type valueKind struct{ expected, example string }

var _valueKinds = map[reflect.Kind]valueKind{
	reflect.Int:     {"a whole number", "12"},
	reflect.Int64:   {"a whole number", "12"},
	reflect.Float64: {"a number", "0.5"},
	reflect.Bool:    {"true or false", "true"},
}

// decodesAlone reports whether the value of one key can be decoded.
func decodesAlone(key *ini.Key, fields reflect.Type) bool {
	alone, err := ini.Empty().NewSection("alone")
	if err != nil {
		return false
	}
	if _, err := alone.NewKey(key.Name(), key.String()); err != nil {
		return false
	}
	return alone.StrictMapTo(reflect.New(fields).Interface()) == nil
}

func fieldNames(fields reflect.Type) []string {
	out := make([]string, 0, fields.NumField())
	for i := range fields.NumField() {
		out = append(out, fields.Field(i).Name)
	}
	return out
}

func (p *parser) host(s *ini.Section) {
	h := hostSection{StopGrace: 30 * time.Second, LeavingSpread: 2 * time.Second, RetryWindow: 10 * time.Second, RetryShare: 0.2, RetryExtra: 50}
	p.readSection(s, &h)
	p.site.Host = core.EntrySettings{
		Name: core.HostName(h.Name), DataCentre: core.DataCentreName(h.DataCentre), CallerAddress: h.CallerAddress,
		ReadyAddress: h.ReadyAddress, PeerAddress: h.PeerAddress, HeartbeatAddress: h.HeartbeatAddress, Seeds: h.Seeds,
		MemoryBytes: h.MemoryBytes,
		Bounds: core.EntryBounds{
			StopGrace: h.StopGrace, LeavingSpread: h.LeavingSpread, RetryWindow: h.RetryWindow, RetryShare: h.RetryShare,
			RetryExtra: h.RetryExtra, ColdFactor: h.ColdFactor, ColdExtra: h.ColdExtra,
		},
	}
}

func (p *parser) route(s *ini.Section, name string) {
	r := routeSection{MaxAttempts: 1}
	valid := p.readSection(s, &r)
	kind, ok := _routeKinds[r.Kind]
	if !ok {
		valid = false
		p.add(&FileError{Section: s.Name(), Key: "Kind", Detail: fmt.Sprintf("unknown kind %q", r.Kind), Expected: "Idempotent, NonIdempotent or Streaming", Remedy: "write Kind = NonIdempotent if a request must not run twice"})
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
				valid = false
				p.add(&FileError{Section: s.Name(), Key: "Services", Item: service, Detail: fmt.Sprintf("%q is not a weight", share), Expected: "a number after the colon", Remedy: "write NAME or NAME:90"})
			}
		}
		route.Services = append(route.Services, core.WeightedService{Service: core.ServiceName(service), Weight: weight})
	}
	if valid {
		p.site.Source.Routes = append(p.site.Source.Routes, route)
	}
}

// service adds a service even if it is invalid, so that routes that name it have no error of their own.
func (p *parser) service(s *ini.Section, name string) {
	var v serviceSection
	p.readSection(s, &v)
	service := core.RoutedService{Name: core.ServiceName(name), MaxConnections: v.MaxConnections, ColdPerSecond: v.ColdPerSecond}
	if v.MemoryTokens > 0 {
		service.Engine = &core.EngineSpec{
			Slots: v.Slots, MemoryTokens: v.MemoryTokens, BytesPerToken: v.BytesPerToken, LinkMbps: v.LinkMbps,
			EventTokens: v.EventTokens, Backups: v.Backups, Moves: v.Moves, BoundByKind: v.BoundByKind,
		}
	} else {
		for _, key := range []string{"Slots", "BytesPerToken", "LinkMbps", "EventTokens", "Backups", "Moves", "BoundByKind"} {
			if s.HasKey(key) {
				p.ignored = append(p.ignored, ignoredKey{sectionKey: sectionKey{section: s.Name(), key: key},
					reason: "the service is no engine", expected: "MemoryTokens above 0 for an engine", remedy: "add MemoryTokens, or remove the line"})
			}
		}
	}
	p.site.Source.Services = append(p.site.Source.Services, service)
}

func (p *parser) endpoint(s *ini.Section, name string) {
	var v endpointSection
	p.readSection(s, &v)
	p.site.Endpoints = append(p.site.Endpoints, core.RoutedEndpoint{
		ID: name, Service: core.ServiceName(v.Service), Address: v.Address, DataCentre: core.DataCentreName(v.DataCentre), Build: core.BuildName(v.Build),
		Slots: v.Slots, Draining: v.Leaving,
	})
}
