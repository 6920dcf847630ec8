package check

import (
	"fmt"
	"net"
	"strings"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/versn/confg"
	"apricotproxy/core/versn/table"
)

// Routed is the configuration of a site for routed requests, with the settings of one host.
type Routed struct {
	Host core.EntrySettings
	// Source holds the routes, services, workspaces and limits.
	Source       table.Source
	Endpoints    []core.RoutedEndpoint
	OutOfService []core.DataCentreName
}

// Bounds are limits that every host has, whatever the configuration says.
type Bounds struct {
	HeaderBytes int
}

// Locate returns where an item of the list of a key of a section was written, such as the item
// "desk" of Services in "Routes lookups". Without that item, it returns the place of the value;
// without the key, that of the section.
type Locate func(section, key, item string) confg.Origin

// _minDuration is the shortest plausible time of a route: "Timeout = 39" without a unit is read as
// 39 ns, and a round trip within a data centre takes longer than this.
const _minDuration = 10 * time.Microsecond

// Routed returns the warnings about a site that hosts accept.
func (b Bounds) Routed(site Routed, locate Locate) []Finding {
	c := &routedCheck{site: site, bounds: b, locate: locate, endpoints: map[core.ServiceName]int{}, routes: map[core.ServiceName]bool{}}
	for _, e := range site.Endpoints {
		c.endpoints[e.Service]++
	}
	for _, r := range site.Source.Routes {
		for _, s := range r.Services {
			c.routes[s.Service] = true
		}
	}
	for i := range site.Source.Routes {
		c.matching(i)
		c.weights(&site.Source.Routes[i])
		c.times(&site.Source.Routes[i])
	}
	c.services()
	c.endpointEntries()
	c.outOfService()
	c.workspaces()
	c.limits()
	Sort(c.findings)
	return c.findings
}

type routedCheck struct {
	list
	site      Routed
	bounds    Bounds
	locate    Locate
	endpoints map[core.ServiceName]int  // number of endpoints by service
	routes    map[core.ServiceName]bool // services that a route names
}

// matching warns of routes that no request reaches. The front end compares the host name without
// its port and the path up to the query, as they are sent.
func (c *routedCheck) matching(i int) {
	r := &c.site.Source.Routes[i]
	section := "Routes " + r.Name
	host := c.locate(section, "HostName", "")
	switch {
	case r.HostName == "":
		c.warn(host, "the host name that callers send", "add a line such as HostName = cards.example", "[%s] has no HostName: no request matches", section)
	case strings.ContainsAny(r.HostName, ":/* "):
		c.warn(host, "a name such as cards.example", "write the name alone, without scheme, port or wildcard", "[%s] never matches: HostName %q has characters that no host name has", section, r.HostName)
	}
	if strings.ContainsAny(r.Prefix, "?# ") {
		c.warn(c.locate(section, "Prefix", ""), "the beginning of a path", "remove the query, or write the character as %XX", "[%s] never matches: Prefix %q has characters that no path has", section, r.Prefix)
	}
	for _, first := range c.site.Source.Routes[:i] {
		if first.HostName == r.HostName && first.Prefix == r.Prefix {
			origin := c.locate("Routes "+first.Name, "Prefix", "")
			c.warn(c.locate(section, "Prefix", ""), fmt.Sprintf("each host name and prefix once; [Routes %s] has them at %s", first.Name, origin), "change the prefix, or remove one of the two routes", "[%s] and [Routes %s] match the same requests: only one of them gets any", section, first.Name)
			break
		}
	}
}

// weights warns of weights by which a route's requests are not shared as it seems.
func (c *routedCheck) weights(r *core.Route) {
	section := "Routes " + r.Name
	total := 0.0
	for _, s := range r.Services {
		if !(s.Weight >= 0) { // also true for NaN
			c.warn(c.locate(section, "Services", string(s.Service)), "a weight from 0 up", "write NAME or NAME:90", "the weight %v of %s in [%s] is no share of its requests", s.Weight, s.Service, section)
		}
		total += s.Weight
	}
	if last := len(r.Services) - 1; total == 0 && last > 0 {
		c.warn(c.locate(section, "Services", ""), "a weight above 0", "raise the weight of a service that should get requests", "all weights in [%s] are 0: %s gets all requests", section, r.Services[last].Service)
	}
}

func (c *routedCheck) times(r *core.Route) {
	section := "Routes " + r.Name
	for _, t := range []struct {
		key  string
		time time.Duration
	}{{"Timeout", r.Timeout}, {"Goal", r.Goal}, {"GapGoal", r.GapGoal}} {
		switch {
		case t.time > 0 && t.time < _minDuration:
			c.warn(c.locate(section, t.key, ""), "a time with its unit (ms, s, m, h)", fmt.Sprintf("write for instance %s = %ds", t.key, t.time), "%s in [%s] is %s", t.key, section, t.time)
		case r.Timeout >= _minDuration && t.time > r.Timeout:
			c.warn(c.locate(section, t.key, ""), fmt.Sprintf("at most Timeout, which is %s", r.Timeout), fmt.Sprintf("lower %s or raise Timeout", t.key), "%s = %s in [%s] is above its Timeout: a request ends first", t.key, t.time, section)
		}
	}
}

func (c *routedCheck) services() {
	bounds := c.site.Host.Bounds
	for _, s := range c.site.Source.Services {
		section := "Services " + string(s.Name)
		switch {
		case !c.routes[s.Name]:
			c.warn(c.locate(section, "", ""), "a route that names it in Services", "add it to a route, or remove the service", "no route names the service %s", s.Name)
		case c.endpoints[s.Name] == 0:
			c.warn(c.locate(section, "", ""), fmt.Sprintf("a section [Endpoints NAME] with Service = %s", s.Name), "add its endpoints, or remove it from the routes", "the service %s has no endpoint: its requests cannot be served", s.Name)
		}
		if s.ColdPerSecond > 0 && bounds.ColdFactor <= 0 && bounds.ColdExtra <= 0 {
			c.warn(c.locate(section, "ColdPerSecond", ""), "ColdFactor or ColdExtra of [Host] above 0", "set ColdFactor = 1, or remove ColdPerSecond", "ColdPerSecond in [%s] lets no request to a cold endpoint: ColdFactor and ColdExtra are 0", section)
		}
	}
}

func (c *routedCheck) endpointEntries() {
	services := map[core.ServiceName]core.RoutedService{}
	for _, s := range c.site.Source.Services {
		services[s.Name] = s
	}
	addresses := map[string]string{}
	for _, e := range c.site.Endpoints {
		section := "Endpoints " + e.ID
		service, listed := services[e.Service]
		if !listed {
			c.warn(c.locate(section, "Service", ""), "a service that has a section [Services NAME]", "correct the name, or add the service", "the endpoint %s is of no service: %q is not listed", e.ID, e.Service)
		}
		if service.MaxConnections > 0 && e.Slots > service.MaxConnections {
			c.warn(c.locate(section, "Slots", ""), fmt.Sprintf("at most MaxConnections of its service, which is %d", service.MaxConnections), "lower Slots or raise MaxConnections", "Slots = %d in [%s] cannot all be used", e.Slots, section)
		}
		address := c.locate(section, "Address", "")
		if _, port, err := net.SplitHostPort(e.Address); err != nil || port == "" {
			c.warn(address, "an address such as 10.20.1.21:9000", "write host and port", "the endpoint %s cannot be reached: its address is %q", e.ID, e.Address)
			continue
		}
		if first, taken := addresses[e.Address]; taken {
			c.warn(address, fmt.Sprintf("each address once; [Endpoints %s] has it at %s", first, c.locate("Endpoints "+first, "Address", "")), "correct the address, or remove one of the two", "%s and %s have the same address: the slots of both are filled at one endpoint", first, e.ID)
			continue
		}
		addresses[e.Address] = e.ID
	}
}

// outOfService warns of data centres without endpoints: a misspelt one stays in service.
func (c *routedCheck) outOfService() {
	known := map[core.DataCentreName]bool{c.site.Host.DataCentre: true}
	for _, e := range c.site.Endpoints {
		known[e.DataCentre] = true
	}
	for _, d := range c.site.OutOfService {
		if !known[d] {
			c.warn(c.locate("OutOfService", "DataCentres", string(d)), "a data centre with endpoints", "correct the name, or remove it", "no endpoint is in the data centre %s", d)
		}
	}
}

// workspaces never shows a key, since keys are secret.
func (c *routedCheck) workspaces() {
	owners := map[string]string{}
	for _, w := range c.site.Source.Workspaces {
		section := "Workspaces " + string(w.Name)
		if len(w.Keys) == 0 {
			c.warn(c.locate(section, "Keys", ""), "at least one key", "add a line Keys = ..., or remove the workspace", "the workspace %s has no key: no request is its own", w.Name)
		}
		for _, key := range w.Keys {
			first, taken := owners[key]
			if !taken {
				owners[key] = section
				continue
			}
			c.warn(c.locate(section, "Keys", key), fmt.Sprintf("each key once; [%s] has it at %s", first, c.locate(first, "Keys", key)), "give one of the two another key", "a key in [%s] is used twice: requests with it are of %s", section, w.Name)
		}
	}
}

func (c *routedCheck) limits() {
	if limit := c.site.Source.Limits.HeaderBytes; c.bounds.HeaderBytes > 0 && limit > c.bounds.HeaderBytes {
		c.warn(c.locate("Limits", "HeaderBytes", ""), fmt.Sprintf("at most %d, the bound of every host", c.bounds.HeaderBytes), "lower HeaderBytes", "HeaderBytes = %d has no effect: each host refuses heads over %d bytes", limit, c.bounds.HeaderBytes)
	}
	bounds := c.site.Host.Bounds
	if bounds.RetryShare > 0 || bounds.RetryExtra > 0 {
		return
	}
	for _, r := range c.site.Source.Routes {
		section, key := "Routes "+r.Name, "MaxAttempts"
		switch {
		case r.Kind != core.RouteNonIdempotent && r.MaxAttempts > 1:
		case r.Resumable:
			key = "Resumable"
		default:
			continue
		}
		c.warn(c.locate(section, key, ""), "RetryShare or RetryExtra of [Host] above 0", fmt.Sprintf("set RetryShare = 0.2, or remove %s", key), "%s in [%s] needs retries, which RetryShare = 0 and RetryExtra = 0 forbid", key, section)
	}
}
