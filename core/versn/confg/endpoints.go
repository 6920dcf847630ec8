package confg

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"apricotproxy/core"
)

// endpointOptions are the keys that [Defaults] and [Endpoints] have in common.
type endpointOptions struct {
	ColdSlots     int
	WarmSlots     int
	MemoryTokens  int64
	ChecksFencing bool
}

// buildEndpoints reads the sections [Endpoints service.data-centre].
func (b *builder) buildEndpoints() {
	defaults := b.endpointDefaults()
	for _, s := range b.byKind[_kindEndpoints] {
		service, dataCentre, found := b.parseEndpointsTitle(s)
		if !found {
			continue
		}
		r := b.newReader(s, _kindEndpoints)
		r.fallback = defaults[service.Kind]
		listed := r.required("Addresses", "IP numbers such as 10.0.1.[1-6]")
		addresses := b.endpointAddresses(r, listed)
		options := r.readEndpointOptions(service.Kind)
		leaving := r.lookup("Leaving", "")
		leavingAddresses := b.endpointAddresses(r, leaving)
		r.reportUnknownKeys()
		for _, address := range leavingAddresses {
			if !slices.Contains(addresses, address) {
				r.reportInvalid(leaving, "addresses that also stand in Addresses", fmt.Sprintf("add %s to Addresses until it has left", address))
			}
		}
		for _, address := range addresses {
			b.claimAddress(address, listed)
			b.config.Endpoints = append(b.config.Endpoints, core.Endpoint{
				Name:          endpointName(service.Name, address),
				Service:       service.Name,
				DataCentre:    dataCentre,
				Address:       address,
				ColdSlots:     options.ColdSlots,
				WarmSlots:     options.WarmSlots,
				MemoryTokens:  options.MemoryTokens,
				ChecksFencing: options.ChecksFencing,
				Leaving:       slices.Contains(leavingAddresses, address),
			})
		}
	}
}

// endpointName derives an endpoint's name from its address, as in
// "drafting-10.0.1.1-9000". With a name derived from the position in the list, the
// removal of an item would transfer the name, and with it the slots of a warm
// endpoint, to another endpoint. The name needs no escaping in a URL path, since
// generation ids contain it.
func endpointName(service core.ServiceName, address string) core.EndpointName {
	return core.EndpointName(string(service) + "-" + _addressReplacer.Replace(address))
}

// _addressReplacer replaces the characters of an address that a name must not have.
var _addressReplacer = strings.NewReplacer("[", "", "]", "", ":", "-")

// checkEndpointNames reports endpoints that have the same name. This happens only
// with unusual service names, such as "shop" and "shop-fd00" with IPv6 addresses.
func (b *builder) checkEndpointNames() {
	for i := 1; i < len(b.config.Endpoints); i++ {
		previous, next := b.config.Endpoints[i-1], b.config.Endpoints[i]
		if previous.Name == next.Name && previous.Address != next.Address {
			b.faults.add(b.origins.addresses[next.Address], fmt.Sprintf("%s and %s are both named %s", previous.Address, next.Address, next.Name), "endpoints whose names differ", "rename one of the two services")
		}
	}
}

// endpointDefaults checks the sections [Defaults Engine] and [Defaults Plain] and
// returns those without faults. It records no settings for them: their values are
// recorded in the sections [Endpoints ...] that inherit them.
func (b *builder) endpointDefaults() map[core.ServiceKind]*section {
	kinds := map[string]core.ServiceKind{_engine: core.ServiceEngine, _plain: core.ServicePlain}
	result := map[core.ServiceKind]*section{}
	for _, s := range b.byKind[_kindDefaults] {
		kind, known := kinds[s.Name]
		if !known {
			b.faults.add(s.Origin, fmt.Sprintf("there is no section [%s]", s.title()), "[Defaults Engine] or [Defaults Plain]", "correct the heading")
			continue
		}
		faults, settings := len(b.faults.faults), len(b.settings)
		r := b.newReader(s, _kindDefaults)
		r.readEndpointOptions(kind)
		r.reportUnknownKeys()
		b.settings = b.settings[:settings]
		if len(b.faults.faults) == faults {
			result[kind] = s
		}
	}
	return result
}

// readEndpointOptions reads the endpoint options. MemoryTokens and ChecksFencing
// exist only for engines.
func (r *reader) readEndpointOptions(kind core.ServiceKind) endpointOptions {
	options := endpointOptions{
		ColdSlots: int(r.integer("ColdSlots", _defaultColdSlots, 1, _maxSlots)),
		WarmSlots: int(r.integer("WarmSlots", _defaultWarmSlots, 1, _maxSlots)),
	}
	if kind == core.ServiceEngine {
		options.MemoryTokens = r.integer("MemoryTokens", _defaultMemoryTokens, 1, _maxMemoryTokens)
		options.ChecksFencing = r.flag("ChecksFencing", false)
	}
	if options.ColdSlots > options.WarmSlots {
		e, _ := r.section.find("ColdSlots")
		e.Key, e.Value = "ColdSlots", strconv.Itoa(options.ColdSlots)
		r.reportInvalid(e, fmt.Sprintf("at most WarmSlots, which is %d", options.WarmSlots), "lower ColdSlots or raise WarmSlots")
	}
	return options
}

// parseEndpointsTitle returns the service and the data centre of a heading such as
// [Endpoints drafting.austin-a]. Both names may contain dots, so it splits at the
// first dot that gives two known names.
func (b *builder) parseEndpointsTitle(s *section) (core.Service, core.DataCentreName, bool) {
	for i := range len(s.Name) {
		if s.Name[i] != '.' {
			continue
		}
		service, serviceKnown := b.config.Service(core.ServiceName(s.Name[:i]))
		dataCentre, dataCentreKnown := b.config.DataCentre(core.DataCentreName(s.Name[i+1:]))
		if serviceKnown && dataCentreKnown {
			return service, dataCentre.Name, true
		}
	}
	services := make([]string, 0, len(b.config.Services))
	for _, service := range b.config.Services {
		services = append(services, string(service.Name))
	}
	dataCentres := make([]string, 0, len(b.config.DataCentres))
	for _, dataCentre := range b.config.DataCentres {
		dataCentres = append(dataCentres, string(dataCentre.Name))
	}
	expected := fmt.Sprintf("a service (%s), a dot and a data centre (%s)", strings.Join(services, ", "), strings.Join(dataCentres, ", "))
	b.faults.add(s.Origin, fmt.Sprintf("[%s] names no known service and data centre", s.title()), expected, "correct the heading, or add the missing section")
	return core.Service{}, "", false
}

func (b *builder) endpointAddresses(r *reader, e entry) []string {
	items := r.expand(e)
	addresses := make([]string, 0, len(items))
	for _, item := range items {
		address, err := withPort(item, b.ports.Endpoint)
		if err != nil {
			r.reportInvalid(e, "IP numbers such as 10.0.1.[1-6] or 10.0.1.1:9000", "correct it: "+err.Error())
			return nil
		}
		addresses = append(addresses, address)
	}
	return addresses
}
