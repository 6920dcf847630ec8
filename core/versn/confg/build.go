package confg

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

// MaxBundleBytes is the largest value that the platform's configuration
// service holds.
const MaxBundleBytes = 1_000_000

// Default ports and endpoint options.
const (
	_defaultCallerPort   = 8080
	_defaultPeerPort     = 7443
	_defaultEndpointPort = 9000
	_defaultColdSlots    = 2
	_defaultWarmSlots    = 16
	_defaultMemoryTokens = 100_000
)

// Upper bounds of endpoint options and of a workspace's weight and priority.
const (
	_maxSlots        = 10_000
	_maxMemoryTokens = 1_000_000_000
	_maxWeight       = 1_000
	_maxPriority     = 100
)

// Section kinds.
const (
	_kindSite       = "Site"
	_kindPorts      = "Ports"
	_kindDataCentre = "DataCentre"
	_kindDefaults   = "Defaults"
	_kindService    = "Service"
	_kindEndpoints  = "Endpoints"
	_kindWorkspaces = "Workspaces"
	_kindLimits     = "Limits"
	_kindTLS        = "TLS"
)

// Service kinds, as written in Kind and in the headings of [Defaults ...].
const (
	_engine = "Engine"
	_plain  = "Plain"
)

// _hasName holds, for each section kind, whether its heading includes a name.
var _hasName = map[string]bool{
	_kindSite: false, _kindPorts: false, _kindLimits: false, _kindTLS: false,
	_kindDataCentre: true, _kindDefaults: true, _kindService: true, _kindEndpoints: true, _kindWorkspaces: true,
}

// Site is one site's configuration with its settings and their origins.
type Site struct {
	Config   core.Config
	Settings []Setting
	// BundleBytes is the size of the JSON value to publish.
	BundleBytes int

	origins originTable
}

// originTable holds where the parts of a configuration were written.
type originTable struct {
	dataCentres map[core.DataCentreName]Origin
	addresses   map[string]Origin
	calls       map[callKey]Origin
	services    map[core.ServiceName]Origin
	workspaces  map[core.WorkspaceName]Origin
}

type callKey struct {
	Service core.ServiceName
	Call    core.CallName
}

// Parse parses a site's published bundle. The error is a *FaultsError, which
// calls the files "base.ini" and "<site>.ini".
func Parse(bundle core.Bundle, site core.SiteName) (core.Config, error) {
	base := Source{File: "base.ini", Text: bundle.Base}
	overlay := Source{File: string(site) + ".ini", Text: bundle.Overlay}
	parsed, err := ReadSite(base, overlay, site)
	if err != nil {
		return core.Config{}, err
	}
	return parsed.Config.WithRevision(bundle.Revision), nil
}

// ReadSite is Read with a check that the overlay is of the expected site.
func ReadSite(base, overlay Source, site core.SiteName) (Site, error) {
	parsed, err := Read(base, overlay)
	if err != nil {
		return Site{}, err
	}
	if parsed.Config.Site != site {
		faults := faultList{}
		faults.add(siteOrigin(parsed), fmt.Sprintf("the overlay is of site %s", parsed.Config.Site), fmt.Sprintf("[Site] Name = %s, as the file or the key is named", site), "correct the name, or rename the file")
		return Site{}, faults.err()
	}
	return parsed, nil
}

// Read parses a base and an overlay. The error is a *FaultsError with the faults
// that were found.
func Read(base, overlay Source) (Site, error) {
	b := &builder{origins: originTable{
		dataCentres: map[core.DataCentreName]Origin{},
		addresses:   map[string]Origin{},
		calls:       map[callKey]Origin{},
		services:    map[core.ServiceName]Origin{},
		workspaces:  map[core.WorkspaceName]Origin{},
	}}
	size := bundleBytes(base, overlay)
	if size > MaxBundleBytes {
		b.faults.add(Origin{File: overlay.File}, fmt.Sprintf("base and overlay take %d bytes as published", size), fmt.Sprintf("at most %d bytes", MaxBundleBytes), "write names and addresses as ranges, or move workspaces to another site")
		return Site{}, b.faults.err()
	}
	baseDocument := readDocument(base, &b.faults)
	overlayDocument := readDocument(overlay, &b.faults)
	if err := b.faults.err(); err != nil {
		return Site{}, err
	}
	b.build(mergeDocuments(baseDocument, overlayDocument), overlay.File)
	if err := b.faults.err(); err != nil {
		return Site{}, err
	}
	b.config.Digest = xxhash.Sum64String(base.Text + "\x00" + overlay.Text)
	return Site{Config: b.config, Settings: b.settings, BundleBytes: size, origins: b.origins}, nil
}

// bundleBytes returns the size of the published JSON value with both texts, at the
// longest revision number.
func bundleBytes(base, overlay Source) int {
	encoded, err := json.Marshal(core.Bundle{Revision: ^core.Revision(0), Base: base.Text, Overlay: overlay.Text})
	if err != nil {
		return 0 // cannot happen: numbers and strings always encode
	}
	return len(encoded)
}

// builder builds a configuration from the merged sections.
type builder struct {
	config      core.Config
	settings    []Setting
	faults      faultList
	origins     originTable
	ports       ports
	byKind      map[string][]*section
	overlayFile string
}

type ports struct {
	Caller   int
	Peer     int
	Endpoint int
}

func (b *builder) build(sections []*section, overlayFile string) {
	b.overlayFile = overlayFile
	b.byKind = map[string][]*section{}
	for _, s := range sections {
		if b.checkHeading(s) {
			b.byKind[s.Kind] = append(b.byKind[s.Kind], s)
		}
	}
	b.buildSite()
	b.buildPorts()
	b.buildDataCentres()
	b.buildServices()
	b.buildEndpoints()
	b.buildWorkspaces()
	b.buildLimits()
	b.buildTLS()
	b.sortAll()
	b.checkConsistency()
}

func (b *builder) checkHeading(s *section) bool {
	kinds := make([]string, 0, len(_hasName))
	for kind := range _hasName {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	needsName, known := _hasName[s.Kind]
	switch {
	case !known:
		remedy := "remove the section"
		if likely := Nearest(s.Kind, kinds); likely != "" {
			remedy = "write " + likely
		}
		b.faults.add(s.Origin, fmt.Sprintf("there is no section [%s]", s.title()), "one of "+strings.Join(kinds, ", "), remedy)
		return false
	case needsName && s.Name == "":
		b.faults.add(s.Origin, fmt.Sprintf("the section [%s] has no name", s.title()), fmt.Sprintf("[%s name]", s.Kind), "add the name to the heading")
		return false
	case !needsName && s.Name != "":
		b.faults.add(s.Origin, fmt.Sprintf("the section [%s] has a name", s.title()), fmt.Sprintf("[%s]", s.Kind), "remove the name from the heading")
		return false
	}
	return true
}

// single returns the only section of a kind, or nil.
func (b *builder) single(kind string) *section {
	if len(b.byKind[kind]) == 0 {
		return nil
	}
	return b.byKind[kind][0]
}

func (b *builder) buildSite() {
	s := b.single(_kindSite)
	if s == nil {
		b.faults.add(Origin{File: b.overlayFile}, "there is no section [Site]", "[Site] with Name and Region", "add the section to the overlay")
		return
	}
	r := b.newReader(s, _kindSite)
	name := r.required("Name", "the site's name")
	if name.Value != "" && !isName(name.Value) {
		r.reportInvalid(name, "letters, digits, hyphen, dot and underscore", "rename the site")
	}
	b.config.Site = core.SiteName(name.Value)
	r.required("Region", "the region of the site's data centres")
	r.reportUnknownKeys()
}

func (b *builder) buildPorts() {
	r := b.newReader(b.single(_kindPorts), _kindPorts)
	b.ports = ports{
		Caller:   int(r.integer("Caller", _defaultCallerPort, 1, 65535)),
		Peer:     int(r.integer("Peer", _defaultPeerPort, 1, 65535)),
		Endpoint: int(r.integer("Endpoint", _defaultEndpointPort, 1, 65535)),
	}
	r.reportUnknownKeys()
}

func (b *builder) buildDataCentres() {
	for _, s := range b.byKind[_kindDataCentre] {
		r := b.newReader(s, _kindDataCentre)
		r.fallback = b.single(_kindSite)
		name := core.DataCentreName(s.Name)
		b.origins.dataCentres[name] = s.Origin
		b.config.DataCentres = append(b.config.DataCentres, core.DataCentre{
			Name:      name,
			InService: r.flag("InService", true),
			Region:    core.RegionName(r.text("Region", "")),
		})
		b.buildHosts(r, name)
		r.reportUnknownKeys()
	}
	if len(b.config.DataCentres) == 0 {
		b.faults.add(Origin{File: b.overlayFile}, "the site has no data centre", "at least one section [DataCentre name]", "add a section [DataCentre name] with Hosts")
	}
}

// buildHosts names hosts by data centre and position in the list of Hosts:
// "austin-a-host-1". A replacement machine takes the position of the old one, and
// "-" leaves a position vacant, so that the other hosts keep their names.
func (b *builder) buildHosts(r *reader, dataCentre core.DataCentreName) {
	e := r.lookup("Hosts", "")
	for i, item := range r.expand(e) {
		if item == "-" {
			continue
		}
		peer, caller, err := hostAddresses(item, b.ports.Peer, b.ports.Caller)
		if err != nil {
			r.reportInvalid(e, "IP numbers such as 10.0.0.[1-3], or - for a vacant position", "correct it: "+err.Error())
			return
		}
		b.claimAddress(peer, e)
		b.claimAddress(caller, e)
		b.config.Hosts = append(b.config.Hosts, core.Host{
			Name:          core.HostName(fmt.Sprintf("%s-host-%d", dataCentre, i+1)),
			DataCentre:    dataCentre,
			PeerAddress:   peer,
			CallerAddress: caller,
		})
	}
}

func (b *builder) claimAddress(address string, e entry) {
	first, taken := b.origins.addresses[address]
	if taken {
		b.faults.add(e.valueOrigin(), fmt.Sprintf("the address %s is used twice", address), fmt.Sprintf("each address once; the first use is at %s", first), "remove one of the two, or correct its port")
		return
	}
	b.origins.addresses[address] = e.valueOrigin()
}

func (b *builder) buildServices() {
	for _, s := range b.byKind[_kindService] {
		r := b.newReader(s, _kindService)
		service := core.Service{Name: core.ServiceName(s.Name)}
		b.origins.services[service.Name] = s.Origin
		kind := r.required("Kind", "Engine or Plain")
		switch kind.Value {
		case _engine:
			service.Kind = core.ServiceEngine
			service.Model = core.ModelName(r.required("Model", "the model that the engines run").Value)
			service.Adapter = core.AdapterName(r.text("Adapter", ""))
			service.Version = core.VersionName(r.text("Version", ""))
			service.Role = r.text("Role", "")
		case _plain:
			service.Kind = core.ServicePlain
			b.buildCalls(r, &service)
		case "":
			continue
		default:
			r.reportInvalid(kind, "Engine or Plain", "write Kind = Engine for a model, Kind = Plain for calls")
			continue
		}
		r.reportUnknownKeys()
		b.config.Services = append(b.config.Services, service)
	}
}

// buildCalls reads a plain service's calls. Callers may not use a call that is in
// neither list, so that an omitted name never makes a call repeatable.
func (b *builder) buildCalls(r *reader, service *core.Service) {
	for _, repeatable := range []bool{true, false} {
		key := "RepeatableCalls"
		if !repeatable {
			key = "UnrepeatableCalls"
		}
		e := r.lookup(key, "")
		for _, name := range r.names(e) {
			call := callKey{Service: service.Name, Call: core.CallName(name)}
			if _, duplicate := b.origins.calls[call]; duplicate {
				r.reportInvalid(e, "each call in one of RepeatableCalls and UnrepeatableCalls", fmt.Sprintf("remove %s from one of the two", name))
				continue
			}
			b.origins.calls[call] = e.valueOrigin()
			service.Calls = append(service.Calls, core.Call{Name: call.Call, Repeatable: repeatable})
		}
	}
	if len(service.Calls) == 0 {
		b.faults.add(r.section.Origin, fmt.Sprintf("[%s] has no calls", r.section.title()), "RepeatableCalls, UnrepeatableCalls or both", "list the calls of the service")
	}
}

func (b *builder) sortAll() {
	c := &b.config
	slices.SortFunc(c.DataCentres, func(x, y core.DataCentre) int { return strings.Compare(string(x.Name), string(y.Name)) })
	slices.SortFunc(c.Hosts, func(x, y core.Host) int { return strings.Compare(string(x.Name), string(y.Name)) })
	slices.SortFunc(c.Endpoints, func(x, y core.Endpoint) int { return strings.Compare(string(x.Name), string(y.Name)) })
	slices.SortFunc(c.Services, func(x, y core.Service) int { return strings.Compare(string(x.Name), string(y.Name)) })
	slices.SortFunc(c.Workspaces, func(x, y core.Workspace) int { return strings.Compare(string(x.Name), string(y.Name)) })
	for i := range c.Services {
		slices.SortFunc(c.Services[i].Calls, func(x, y core.Call) int { return strings.Compare(string(x.Name), string(y.Name)) })
	}
}

// checkConsistency checks rules that span several sections.
func (b *builder) checkConsistency() {
	if len(b.config.DataCentres) > 0 && len(b.config.Hosts) == 0 {
		b.faults.add(Origin{File: b.overlayFile}, "the site has no entry host", "Hosts in at least one section [DataCentre name]", "list the addresses of the entry hosts")
	}
	b.checkEndpointNames()
	served := map[core.ServiceName]bool{}
	for _, endpoint := range b.config.Endpoints {
		served[endpoint.Service] = true
	}
	for _, service := range b.config.Services {
		if !served[service.Name] {
			b.faults.add(b.origins.services[service.Name], fmt.Sprintf("the service %s has no endpoint", service.Name), fmt.Sprintf("a section [Endpoints %s.<data centre>]", service.Name), "add its endpoints, or remove the service")
		}
	}
}
