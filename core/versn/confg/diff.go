package confg

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"apricotproxy/core"
)

// Part is the part of a configuration that a change affects.
type Part string

// Parts, in the order in which Diff reports them. A change of a service's capacity
// follows the endpoints that cause it.
const (
	PartDataCentres Part = "DataCentres"
	PartHosts       Part = "Hosts"
	PartServices    Part = "Services"
	PartEndpoints   Part = "Endpoints"
	PartWorkspaces  Part = "Workspaces"
	PartLimits      Part = "Limits"
	PartTLS         Part = "TLS"
)

// Change is one effect of a new configuration.
type Change struct {
	Part Part
	// Text starts with a verb, as in "takes austin-a out of service".
	Text string
}

// String returns text such as "DataCentres: takes austin-a out of service".
func (c Change) String() string { return fmt.Sprintf("%s: %s", c.Part, c.Text) }

// Diff describes for operators the effects of replacing the configuration old by
// next. It returns no changes if the configurations have the same effect.
func Diff(old, next core.Config) []Change {
	d := &differ{}
	d.dataCentres(old, next)
	d.hosts(old, next)
	d.services(old, next)
	d.endpoints(old, next)
	d.capacity(old, next)
	d.workspaces(old, next)
	d.structFields(PartLimits, reflect.ValueOf(old.Limits), reflect.ValueOf(next.Limits))
	d.structFields(PartTLS, reflect.ValueOf(old.TLS), reflect.ValueOf(next.TLS))
	return d.changes
}

type differ struct {
	changes []Change
}

func (d *differ) add(part Part, format string, arguments ...any) {
	d.changes = append(d.changes, Change{Part: part, Text: fmt.Sprintf(format, arguments...)})
}

// ForEachPair calls visit with the old and the next value of each key, in key
// order. The value is nil where there is none.
func ForEachPair[K ~string, V any](old, next []V, key func(V) K, visit func(old, next *V)) {
	before := make(map[K]*V, len(old))
	after := make(map[K]*V, len(next))
	var keys []K
	for i := range old {
		before[key(old[i])] = &old[i]
		keys = append(keys, key(old[i]))
	}
	for i := range next {
		after[key(next[i])] = &next[i]
		keys = append(keys, key(next[i]))
	}
	slices.Sort(keys)
	for _, k := range slices.Compact(keys) {
		visit(before[k], after[k])
	}
}

func (d *differ) dataCentres(old, next core.Config) {
	name := func(c core.DataCentre) core.DataCentreName { return c.Name }
	ForEachPair(old.DataCentres, next.DataCentres, name, func(before, after *core.DataCentre) {
		switch {
		case before == nil && after.InService:
			d.add(PartDataCentres, "adds %s, in service", after.Name)
		case before == nil:
			d.add(PartDataCentres, "adds %s, out of service", after.Name)
		case after == nil:
			d.add(PartDataCentres, "removes %s", before.Name)
		case before.InService && !after.InService:
			d.add(PartDataCentres, "takes %s out of service: no new work there, running work goes on", after.Name)
		case !before.InService && after.InService:
			d.add(PartDataCentres, "brings %s back into service: its endpoints start as cold", after.Name)
		}
		if before != nil && after != nil && before.Region != after.Region {
			d.add(PartDataCentres, "moves %s from region %s to %s", after.Name, before.Region, after.Region)
		}
	})
}

func (d *differ) hosts(old, next core.Config) {
	name := func(h core.Host) core.HostName { return h.Name }
	ForEachPair(old.Hosts, next.Hosts, name, func(before, after *core.Host) {
		switch {
		case before == nil:
			d.add(PartHosts, "adds position %s at %s: slots change owners", after.Name, after.PeerAddress)
		case after == nil:
			d.add(PartHosts, "removes position %s: slots change owners", before.Name)
		case before.PeerAddress != after.PeerAddress || before.CallerAddress != after.CallerAddress:
			d.add(PartHosts, "gives position %s to peers at %s and callers at %s (before: %s and %s)", after.Name, after.PeerAddress, after.CallerAddress, before.PeerAddress, before.CallerAddress)
		}
	})
}

func (d *differ) services(old, next core.Config) {
	name := func(s core.Service) core.ServiceName { return s.Name }
	ForEachPair(old.Services, next.Services, name, func(before, after *core.Service) {
		switch {
		case before == nil:
			d.add(PartServices, "adds %s (%s)", after.Name, kindName(after.Kind))
		case after == nil:
			d.add(PartServices, "removes %s", before.Name)
		case before.Kind != after.Kind:
			d.add(PartServices, "makes %s a service of kind %s", after.Name, kindName(after.Kind))
		default:
			d.service(*before, *after)
		}
	})
}

func (d *differ) service(before, after core.Service) {
	d.engineSetting(after.Name, "model", string(before.Model), string(after.Model))
	d.engineSetting(after.Name, "adapter", string(before.Adapter), string(after.Adapter))
	d.engineSetting(after.Name, "version", string(before.Version), string(after.Version))
	d.engineSetting(after.Name, "role", before.Role, after.Role)
	name := func(c core.Call) core.CallName { return c.Name }
	ForEachPair(before.Calls, after.Calls, name, func(old, next *core.Call) {
		switch {
		case old == nil:
			d.add(PartServices, "adds the call %s.%s, %s", after.Name, next.Name, repeatableText(next.Repeatable))
		case next == nil:
			d.add(PartServices, "stops taking the call %s.%s", after.Name, old.Name)
		case old.Repeatable != next.Repeatable:
			d.add(PartServices, "makes the call %s.%s %s", after.Name, next.Name, repeatableText(next.Repeatable))
		}
	})
}

func (d *differ) engineSetting(service core.ServiceName, what, before, after string) {
	if before != after {
		d.add(PartServices, "orders the engines of %s to %s %s (before: %s)", service, what, orNone(after), orNone(before))
	}
}

func repeatableText(repeatable bool) string {
	if repeatable {
		return "repeatable"
	}
	return "unrepeatable"
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// endpoints groups equal changes, so that a change to a whole section is reported
// on one line and not once per endpoint.
func (d *differ) endpoints(old, next core.Config) {
	grouped := &groupedChanges{}
	name := func(e core.Endpoint) core.EndpointName { return e.Name }
	ForEachPair(old.Endpoints, next.Endpoints, name, func(before, after *core.Endpoint) {
		switch {
		case before == nil:
			grouped.add(string(after.Name), "adds %s in "+string(after.DataCentre)+", cold at first")
		case after == nil && before.Leaving:
			grouped.add(string(before.Name), "removes %s, which was leaving")
		case after == nil:
			grouped.add(string(before.Name), "removes %s at once: name it in Leaving first, so that its work can finish")
		default:
			groupEndpointChanges(grouped, *before, *after)
		}
	})
	for _, line := range grouped.lines() {
		d.add(PartEndpoints, "%s", line)
	}
}

func groupEndpointChanges(grouped *groupedChanges, before, after core.Endpoint) {
	name := string(after.Name)
	switch {
	case !before.Leaving && after.Leaving:
		grouped.add(name, "has %s leave: no new work there, running work goes on")
	case before.Leaving && !after.Leaving:
		grouped.add(name, "keeps %s, which was leaving")
	}
	if before.DataCentre != after.DataCentre {
		grouped.add(name, fmt.Sprintf("moves %%s from %s to %s", before.DataCentre, after.DataCentre))
	}
	if before.ColdSlots != after.ColdSlots {
		grouped.add(name, fmt.Sprintf("changes ColdSlots of %%s from %d to %d", before.ColdSlots, after.ColdSlots))
	}
	if before.WarmSlots != after.WarmSlots {
		grouped.add(name, fmt.Sprintf("changes WarmSlots of %%s from %d to %d", before.WarmSlots, after.WarmSlots))
	}
	if before.MemoryTokens != after.MemoryTokens {
		grouped.add(name, fmt.Sprintf("changes MemoryTokens of %%s from %d to %d", before.MemoryTokens, after.MemoryTokens))
	}
	if before.ChecksFencing != after.ChecksFencing {
		grouped.add(name, fmt.Sprintf("changes ChecksFencing of %%s from %s to %s", yesNo(before.ChecksFencing), yesNo(after.ChecksFencing)))
	}
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

func (d *differ) workspaces(old, next core.Config) {
	grouped := &groupedChanges{}
	name := func(w core.Workspace) core.WorkspaceName { return w.Name }
	ForEachPair(old.Workspaces, next.Workspaces, name, func(before, after *core.Workspace) {
		switch {
		case before == nil:
			grouped.add(string(after.Name), "admits %s")
			return
		case after == nil:
			grouped.add(string(before.Name), "stops admitting %s")
			return
		}
		if before.Weight != after.Weight {
			grouped.add(string(after.Name), fmt.Sprintf("changes Weight of %%s from %d to %d", before.Weight, after.Weight))
		}
		if before.Priority != after.Priority {
			grouped.add(string(after.Name), fmt.Sprintf("changes Priority of %%s from %d to %d", before.Priority, after.Priority))
		}
		if !slices.Equal(before.Services, after.Services) {
			grouped.add(string(after.Name), fmt.Sprintf("changes Services of %%s from %s to %s", joinNames(before.Services), joinNames(after.Services)))
		}
	})
	for _, line := range grouped.lines() {
		d.add(PartWorkspaces, "%s", line)
	}
}

func joinNames(names []core.ServiceName) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ", ")
}

// _namesShown is the number of names that a grouped change lists before "and N
// more".
const _namesShown = 4

// groupedChanges combines changes with the same format. For example, the format
// "admits %s" with the names a, b and c results in "admits a, b, c".
type groupedChanges struct {
	formats []string
	names   map[string][]string
}

func (g *groupedChanges) add(name, format string) {
	if g.names == nil {
		g.names = map[string][]string{}
	}
	if _, known := g.names[format]; !known {
		g.formats = append(g.formats, format)
	}
	g.names[format] = append(g.names[format], name)
}

func (g *groupedChanges) lines() []string {
	lines := make([]string, 0, len(g.formats))
	for _, format := range g.formats {
		names := g.names[format]
		text := strings.Join(names[:min(len(names), _namesShown)], ", ")
		if len(names) > _namesShown {
			text += fmt.Sprintf(" and %d more", len(names)-_namesShown)
		}
		lines = append(lines, fmt.Sprintf(format, text))
	}
	return lines
}

// structFields reports the fields that differ between two structs.
func (d *differ) structFields(part Part, old, next reflect.Value) {
	for i := range old.NumField() {
		before, after := old.Field(i).Interface(), next.Field(i).Interface()
		if before != after {
			d.add(part, "changes %s from %s to %s", old.Type().Field(i).Name, fieldText(before), fieldText(after))
		}
	}
}

func fieldText(value any) string {
	switch v := value.(type) {
	case time.Duration:
		return formatDuration(v)
	case string:
		return orNone(v)
	default:
		return fmt.Sprint(v)
	}
}
