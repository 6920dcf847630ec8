package confg

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"apricotproxy/core"
)

// endpointSizes are the keys that [Defaults] and [Endpoints] share.
type endpointSizes struct {
	ColdSlots     int
	WarmSlots     int
	MemoryTokens  int64
	ChecksFencing bool
}

// buildEndpoints reads the sections [Endpoints service.data-centre].
func (b *builder) buildEndpoints() {
	defaults := b.endpointDefaults()
	for _, s := range b.byKind[_kindEndpoints] {
		service, dataCentre, found := b.endpointPlace(s)
		if !found {
			continue
		}
		r := b.read(s, _kindEndpoints)
		r.fallback = defaults[service.Kind]
		listed := r.required("Addresses", "IP numbers such as 10.0.1.[1-6]")
		addresses := b.endpointAddresses(r, listed)
		sizes := r.sizes(service.Kind)
		leaving := r.take("Leaving", "")
		leavingAddresses := b.endpointAddresses(r, leaving)
		r.close()
		for _, address := range leavingAddresses {
			if !slices.Contains(addresses, address) {
				r.fail(leaving, "addresses that also stand in Addresses", fmt.Sprintf("add %s to Addresses until it has left", address))
			}
		}
		for _, address := range addresses {
			b.claimAddress(address, listed)
			b.config.Endpoints = append(b.config.Endpoints, core.Endpoint{
				Name:          endpointName(service.Name, address),
				Service:       service.Name,
				DataCentre:    dataCentre,
				Address:       address,
				ColdSlots:     sizes.ColdSlots,
				WarmSlots:     sizes.WarmSlots,
				MemoryTokens:  sizes.MemoryTokens,
				ChecksFencing: sizes.ChecksFencing,
				Leaving:       slices.Contains(leavingAddresses, address),
			})
		}
	}
}

// endpointName names an endpoint by its address: "drafting-10.0.1.1-9000". A
// name counted from the list's order would pass to another endpoint when an
// entry is removed, and a warm endpoint's slots with it. The name has only
// characters that need no escape in a path, since ids of generations hold it.
func endpointName(service core.ServiceName, address string) core.EndpointName {
	return core.EndpointName(string(service) + "-" + _plainAddress.Replace(address))
}

// _plainAddress makes an address part of a name.
var _plainAddress = strings.NewReplacer("[", "", "]", "", ":", "-")

// checkEndpointNames reports names that two endpoints share. It takes unusual
// service names to bring that about, such as "a" and "a-10.0.0.1-80".
func (b *builder) checkEndpointNames() {
	for i := 1; i < len(b.config.Endpoints); i++ {
		before, after := b.config.Endpoints[i-1], b.config.Endpoints[i]
		if before.Name == after.Name && before.Address != after.Address {
			b.faults.add(b.origins.addresses[after.Address], fmt.Sprintf("%s and %s are both named %s", before.Address, after.Address, after.Name), "endpoints whose names differ", "rename one of the two services")
		}
	}
}

// endpointDefaults checks the sections [Defaults Engine] and [Defaults Plain]
// and gives those without fault. Their values show in the sections
// [Endpoints ...] that take them over.
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
		r := b.read(s, _kindDefaults)
		r.sizes(kind)
		r.close()
		b.settings = b.settings[:settings]
		if len(b.faults.faults) == faults {
			result[kind] = s
		}
	}
	return result
}

// sizes takes the shared keys. Memory and fencing are keys of engines only.
func (r *reader) sizes(kind core.ServiceKind) endpointSizes {
	sizes := endpointSizes{
		ColdSlots: int(r.integer("ColdSlots", _defaultColdSlots, 1, _maxSlots)),
		WarmSlots: int(r.integer("WarmSlots", _defaultWarmSlots, 1, _maxSlots)),
	}
	if kind == core.ServiceEngine {
		sizes.MemoryTokens = r.integer("MemoryTokens", _defaultMemoryTokens, 1, _maxMemoryTokens)
		sizes.ChecksFencing = r.flag("ChecksFencing", false)
	}
	if sizes.ColdSlots > sizes.WarmSlots {
		e, _ := r.section.find("ColdSlots")
		e.Key, e.Value = "ColdSlots", strconv.Itoa(sizes.ColdSlots)
		r.fail(e, fmt.Sprintf("at most WarmSlots, which is %d", sizes.WarmSlots), "lower ColdSlots or raise WarmSlots")
	}
	return sizes
}

// endpointPlace finds the service and the data centre in a heading such as
// [Endpoints drafting.austin-a]. Both may hold dots; the known names decide.
func (b *builder) endpointPlace(s *section) (core.Service, core.DataCentreName, bool) {
	for i := range len(s.Name) {
		if s.Name[i] != '.' {
			continue
		}
		service, known := b.config.Service(core.ServiceName(s.Name[:i]))
		dataCentre, placed := b.config.DataCentre(core.DataCentreName(s.Name[i+1:]))
		if known && placed {
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
			r.fail(e, "IP numbers such as 10.0.1.[1-6] or 10.0.1.1:9000", "correct it: "+err.Error())
			return nil
		}
		addresses = append(addresses, address)
	}
	return addresses
}
