package check

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/versn/confg"
	"apricotproxy/core/versn/table"
)

// Parts that only a routed site has. DiffRouted reports them first.
const (
	PartHost         confg.Part = "Host"
	PartOutOfService confg.Part = "OutOfService"
	PartRoutes       confg.Part = "Routes"
)

// DiffRouted describes for operators the effects of replacing the routed site old by next. It
// returns no changes if the two have the same effect. It shows no keys of workspaces.
func DiffRouted(old, next Routed) []confg.Change {
	d := &differ{}
	d.fields(PartHost, "", ": in force after a restart of the host", reflect.ValueOf(old.Host), reflect.ValueOf(next.Host))
	d.outOfService(old, next)
	confg.ForEachPair(old.Source.Routes, next.Source.Routes, func(r core.Route) string { return r.Name }, func(before, after *core.Route) {
		compare(d, PartRoutes, before, after, func(r *core.Route) string { return r.Name })
	})
	confg.ForEachPair(old.Source.Services, next.Source.Services, func(s core.RoutedService) core.ServiceName { return s.Name }, func(before, after *core.RoutedService) {
		compare(d, confg.PartServices, before, after, func(s *core.RoutedService) string { return string(s.Name) })
	})
	confg.ForEachPair(old.Endpoints, next.Endpoints, func(e core.RoutedEndpoint) string { return e.ID }, d.endpoint)
	d.capacity(old, next)
	confg.ForEachPair(old.Source.Workspaces, next.Source.Workspaces, func(w table.Workspace) core.WorkspaceName { return w.Name }, d.workspace)
	d.limits(old.Source.Limits, next.Source.Limits)
	return d.changes
}

type differ struct {
	changes []confg.Change
}

func (d *differ) add(part confg.Part, format string, arguments ...any) {
	d.changes = append(d.changes, confg.Change{Part: part, Text: fmt.Sprintf(format, arguments...)})
}

// compare reports that an entry is added or removed, or else its changed fields.
func compare[V any](d *differ, part confg.Part, before, after *V, name func(*V) string) {
	switch {
	case before == nil:
		d.add(part, "adds %s", name(after))
	case after == nil:
		d.add(part, "removes %s", name(before))
	default:
		d.fields(part, " of "+name(after), "", reflect.ValueOf(*before), reflect.ValueOf(*after))
	}
}

// fields reports the fields that differ between two structs. Nested structs are compared field by
// field; of says whose fields they are, and note ends each line.
func (d *differ) fields(part confg.Part, of, note string, old, next reflect.Value) {
	for i := range old.NumField() {
		before, after := old.Field(i), next.Field(i)
		if reflect.DeepEqual(before.Interface(), after.Interface()) {
			continue
		}
		if before.Kind() == reflect.Pointer && !before.IsNil() && !after.IsNil() {
			before, after = before.Elem(), after.Elem()
		}
		if before.Kind() == reflect.Struct && before.Type() != reflect.TypeFor[time.Time]() {
			d.fields(part, of, note, before, after)
			continue
		}
		d.add(part, "changes %s%s from %s to %s%s", old.Type().Field(i).Name, of, fieldText(before.Interface()), fieldText(after.Interface()), note)
	}
}

func fieldText(value any) string {
	text := ""
	switch v := value.(type) {
	case *core.EngineSpec:
		if v == nil {
			return "none: a plain service"
		}
		return fmt.Sprintf("an engine with MemoryTokens = %d", v.MemoryTokens)
	case []core.WeightedService:
		shares := make([]string, len(v))
		for i, s := range v {
			shares[i] = fmt.Sprintf("%s:%v", s.Service, s.Weight)
		}
		text = strings.Join(shares, ",")
	case []string:
		text = strings.Join(v, ",")
	case time.Duration:
		text = v.String()
	default:
		text = fmt.Sprint(v)
	}
	if text == "" {
		return "none"
	}
	return text
}

func (d *differ) outOfService(old, next Routed) {
	for _, name := range next.OutOfService {
		if !slices.Contains(old.OutOfService, name) {
			d.add(PartOutOfService, "takes %s out of service: no new work there, running work goes on", name)
		}
	}
	for _, name := range old.OutOfService {
		if !slices.Contains(next.OutOfService, name) {
			d.add(PartOutOfService, "brings %s back into service", name)
		}
	}
}

func (d *differ) endpoint(before, after *core.RoutedEndpoint) {
	switch {
	case after == nil && !before.Draining:
		d.add(confg.PartEndpoints, "removes %s at once: set Leaving = true first, so that its work can finish", before.ID)
	case before != nil && after != nil && before.Draining != after.Draining:
		if after.Draining {
			d.add(confg.PartEndpoints, "has %s leave: no new work there, running work goes on", after.ID)
		} else {
			d.add(confg.PartEndpoints, "keeps %s, which was leaving", after.ID)
		}
		same := *before
		same.Draining = after.Draining
		before = &same
		fallthrough
	default:
		compare(d, confg.PartEndpoints, before, after, func(e *core.RoutedEndpoint) string { return e.ID })
	}
}

// inService counts the endpoints of each service that take new work.
func inService(site Routed) map[core.ServiceName]int {
	result := map[core.ServiceName]int{}
	for _, e := range site.Endpoints {
		if !e.Draining && !slices.Contains(site.OutOfService, e.DataCentre) {
			result[e.Service]++
		}
	}
	return result
}

// capacity reports the services whose number of endpoints in service changes.
func (d *differ) capacity(old, next Routed) {
	before, after := inService(old), inService(next)
	for _, s := range next.Source.Services {
		switch {
		case before[s.Name] == after[s.Name]:
		case after[s.Name] == 0:
			d.add(confg.PartServices, "leaves %s no endpoint in service: its requests are refused", s.Name)
		default:
			d.add(confg.PartServices, "gives %s %d endpoints in service (before: %d)", s.Name, after[s.Name], before[s.Name])
		}
	}
}

func (d *differ) workspace(before, after *table.Workspace) {
	if before == nil || after == nil {
		compare(d, confg.PartWorkspaces, before, after, func(w *table.Workspace) string { return string(w.Name) })
		return
	}
	old, next := priority(before), priority(after)
	if old != next {
		d.add(confg.PartWorkspaces, "changes Priority of %s from %s to %s", after.Name, old, next)
	}
	added, removed := countMissing(after.Keys, before.Keys), countMissing(before.Keys, after.Keys)
	if added+removed > 0 {
		d.add(confg.PartWorkspaces, "changes Keys of %s: adds %d, removes %d", after.Name, added, removed)
	}
}

func priority(w *table.Workspace) string {
	if !w.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(w.Priority)
}

// countMissing returns how many items of a list another one does not have.
func countMissing(items, others []string) int {
	n := 0
	for _, item := range items {
		if !slices.Contains(others, item) {
			n++
		}
	}
	return n
}

// limits reports changed limits. A running host keeps the longest IdleTimeout that it had, since
// callers rely on the one that they know.
func (d *differ) limits(old, next core.CallerLimits) {
	d.fields(confg.PartLimits, "", "", reflect.ValueOf(old), reflect.ValueOf(next))
	if next.IdleTimeout < old.IdleTimeout {
		d.add(confg.PartLimits, "keeps IdleTimeout at %s on hosts that run, until they are restarted", old.IdleTimeout)
	}
}
