package confg

import (
	"fmt"
	"sort"
	"strings"

	"apricotproxy/core"
)

// CheckSites reports contradictions between sites: two sites with the same name,
// an address or a data centre that belongs to two sites, and a call that is
// repeatable in one site but not in another. It returns nil or a *FaultsError.
// Of two contradicting sites, the fault is at the later one in the given order.
func CheckSites(sites []Site) error {
	c := &siteChecker{
		sites:       map[core.SiteName]bool{},
		addresses:   map[string]claim{},
		dataCentres: map[core.DataCentreName]claim{},
		calls:       map[callKey]callClaim{},
	}
	for _, site := range sites {
		c.add(site)
	}
	return c.faults.err()
}

// claim records the first site that defines something, and where.
type claim struct {
	Site   core.SiteName
	Origin Origin
}

type callClaim struct {
	claim
	Repeatable bool
}

type siteChecker struct {
	faults      faultList
	sites       map[core.SiteName]bool
	addresses   map[string]claim
	dataCentres map[core.DataCentreName]claim
	calls       map[callKey]callClaim
}

func (c *siteChecker) add(site Site) {
	name := site.Config.Site
	if c.sites[name] {
		c.faults.add(siteOrigin(site), fmt.Sprintf("two overlays are of site %s", name), "each site once", "correct [Site] Name in one of them")
		return
	}
	c.sites[name] = true
	for _, dataCentre := range site.Config.DataCentres {
		own := claim{Site: name, Origin: site.origins.dataCentres[dataCentre.Name]}
		if other, taken := c.dataCentres[dataCentre.Name]; taken {
			c.faults.add(own.Origin, fmt.Sprintf("the data centre %s belongs to two sites", dataCentre.Name), fmt.Sprintf("one site; site %s has it at %s", other.Site, other.Origin), "rename it, or remove it from one site")
			continue
		}
		c.dataCentres[dataCentre.Name] = own
	}
	c.addAddresses(site)
	c.addCalls(site)
}

func (c *siteChecker) addAddresses(site Site) {
	addresses := make([]string, 0, len(site.origins.addresses))
	for address := range site.origins.addresses {
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	for _, address := range addresses {
		own := claim{Site: site.Config.Site, Origin: site.origins.addresses[address]}
		if other, taken := c.addresses[address]; taken {
			c.faults.add(own.Origin, fmt.Sprintf("the address %s belongs to two sites", address), fmt.Sprintf("one site; site %s has it at %s", other.Site, other.Origin), "correct the address, or remove it from one site: two fleets would each fill its slots")
			continue
		}
		c.addresses[address] = own
	}
}

func (c *siteChecker) addCalls(site Site) {
	for _, service := range site.Config.Services {
		for _, call := range service.Calls {
			key := callKey{Service: service.Name, Call: call.Name}
			own := claim{Site: site.Config.Site, Origin: site.origins.calls[key]}
			other, known := c.calls[key]
			switch {
			case !known:
				c.calls[key] = callClaim{claim: own, Repeatable: call.Repeatable}
			case other.Repeatable != call.Repeatable:
				c.faults.add(own.Origin, fmt.Sprintf("the call %s.%s may be repeated in one site only", service.Name, call.Name), fmt.Sprintf("the same in all sites; site %s has it otherwise at %s", other.Site, other.Origin), "put the call into the same list everywhere, UnrepeatableCalls when in doubt")
			}
		}
	}
}

func siteOrigin(site Site) Origin {
	for _, setting := range site.Settings {
		if setting.Section == _kindSite && setting.Key == "Name" {
			return setting.Origin
		}
	}
	return Origin{File: strings.ToLower(string(site.Config.Site)) + ".ini"}
}
