package check

import (
	"fmt"

	"apricotproxy/core"
	"apricotproxy/core/versn/confg"
)

// Site returns the warnings about a site of the product's own interface that hosts accept.
func Site(site confg.Site) []Finding {
	l := &list{}
	config := site.Config
	used := map[core.ServiceName]bool{}
	for _, w := range config.Workspaces {
		for _, name := range w.Services {
			used[name] = true
		}
	}
	for _, s := range config.Services {
		if !used[s.Name] {
			l.warn(origin(site, "Service "+string(s.Name), "Kind"), "a section [Workspaces group] that names it in Services", "add it to a group, or remove the service", "no workspace may use the service %s", s.Name)
		}
	}
	places := map[core.DataCentreName]bool{}
	for _, h := range config.Hosts {
		places[h.DataCentre] = true
	}
	for _, e := range config.Endpoints {
		places[e.DataCentre] = true
	}
	for _, d := range config.DataCentres {
		if !places[d.Name] {
			l.warn(origin(site, "DataCentre "+string(d.Name), "Hosts"), fmt.Sprintf("Hosts, or a section [Endpoints service.%s]", d.Name), "list its hosts and endpoints, or remove it", "the data centre %s has neither hosts nor endpoints", d.Name)
		}
	}
	if config.Limits.RetryShare == 0 {
		l.warn(origin(site, "Limits", "RetryShare"), "a share above 0", "set RetryShare = 0.1, the default", "RetryShare = 0 forbids retries, except for the first few after the start of a host")
	}
	Sort(l.findings)
	return l.findings
}

// origin returns where a key was written, or if it was not, another key of its section.
func origin(site confg.Site, section, key string) confg.Origin {
	var found confg.Origin
	for _, s := range site.Settings {
		if s.Section != section || s.Origin.File == "" {
			continue
		}
		if s.Key == key {
			return s.Origin
		}
		if found.File == "" {
			found = s.Origin
		}
	}
	return found
}
