// Package table holds one version of the routing configuration: routes by host
// name and longest path prefix, services, and the workspaces' keys. A table is
// immutable once it is built.
package table

import (
	"fmt"
	"slices"
	"strings"

	"apricotproxy/core"
)

// Workspace is one customer with its keys.
type Workspace struct {
	Name core.WorkspaceName
	Keys []string
	// Priority overrides the route's priority if HasPriority is true.
	Priority    int
	HasPriority bool
}

// Source is what a table is built from.
type Source struct {
	Version    uint64
	Routes     []core.Route
	Services   []core.RoutedService
	Workspaces []Workspace
	Limits     core.CallerLimits
}

// Table is one version of the routing configuration.
type Table struct {
	version    uint64
	limits     core.CallerLimits
	hosts      map[string][]*core.Route
	services   map[core.ServiceName]*core.RoutedService
	workspaces []Workspace
	keys       map[string]*Workspace
}

// FieldError describes one error in a configuration: where it is, what is wrong
// and how to correct it.
type FieldError struct {
	Place  string
	Detail string
	Remedy string
	// Route, Key and Item are the route, its field and the service at fault; empty if the error
	// is of none.
	Route, Key, Item string
}

// Error returns the place, the detail and the remedy.
func (e *FieldError) Error() string { return e.Place + ": " + e.Detail + "; " + e.Remedy }

// Build checks a source and returns its table.
func Build(source Source) (*Table, error) {
	t := &Table{
		version:    source.Version,
		limits:     source.Limits,
		hosts:      make(map[string][]*core.Route),
		services:   make(map[core.ServiceName]*core.RoutedService, len(source.Services)),
		workspaces: slices.Clone(source.Workspaces),
		keys:       make(map[string]*Workspace),
	}
	if errs := Errors(source); len(errs) > 0 {
		return nil, errs[0]
	}
	for i := range source.Services {
		s := source.Services[i]
		t.services[s.Name] = &s
	}
	for i := range source.Routes {
		r := source.Routes[i]
		t.hosts[r.HostName] = append(t.hosts[r.HostName], &r)
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *core.Route) int { return strings.Compare(a.Prefix, b.Prefix) })
	}
	for i := range t.workspaces {
		for _, key := range t.workspaces[i].Keys {
			t.keys[key] = &t.workspaces[i]
		}
	}
	return t, nil
}

// Errors returns all errors in a source. Build returns the first one.
func Errors(source Source) []*FieldError {
	var errs []*FieldError
	for i := range source.Routes {
		r := &source.Routes[i]
		add := func(key, item, detail, remedy string) {
			errs = append(errs, &FieldError{Place: "route " + r.Name, Detail: detail, Remedy: remedy, Route: r.Name, Key: key, Item: item})
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			add("Prefix", "", fmt.Sprintf("prefix %q does not begin and end with a slash", r.Prefix), "write it as /name/")
		}
		if len(r.Services) == 0 {
			add("Services", "", "no service", "name one")
		}
		for _, s := range r.Services {
			if !slices.ContainsFunc(source.Services, func(listed core.RoutedService) bool { return listed.Name == s.Service }) {
				add("Services", string(s.Service), fmt.Sprintf("service %q is not listed", s.Service), "list it, or name another")
			}
		}
	}
	return errs
}

// Version returns the configuration's version.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits for callers.
func (t *Table) Limits() core.CallerLimits { return t.limits }

// Service finds a service.
func (t *Table) Service(name core.ServiceName) (*core.RoutedService, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match finds the route of the host name with the longest prefix of the path.
func (t *Table) Match(hostName, path string) (*core.Route, bool) {
	routes := t.hosts[hostName]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		prefix := path[:end+1]
		i, ok := slices.BinarySearchFunc(routes, prefix, func(r *core.Route, p string) int { return strings.Compare(r.Prefix, p) })
		if ok {
			return routes[i], true
		}
	}
	return nil, false
}

// HasKeys reports whether callers need a key.
func (t *Table) HasKeys() bool { return len(t.workspaces) > 0 }

// Workspace finds the workspace that a key belongs to.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.keys[key]
	return w, ok
}

// Pick chooses a service of a route by weight, given a random number from [0, 1).
func Pick(route *core.Route, drawn float64) core.ServiceName {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	total := 0.0
	for _, s := range route.Services {
		total += share(s)
	}
	left := drawn * total
	for _, s := range route.Services {
		left -= share(s)
		if left < 0 {
			return s.Service
		}
	}
	return route.Services[len(route.Services)-1].Service
}

// _maxWeight is beyond any weight that is meant, and keeps the sum of all weights finite.
const _maxWeight = 1 << 30

// share returns a service's weight; 0 if it is negative or not a number.
func share(s core.WeightedService) float64 {
	if !(s.Weight > 0) {
		return 0
	}
	return min(s.Weight, _maxWeight)
}
