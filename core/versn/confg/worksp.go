package confg

import (
	"fmt"
	"slices"

	"apricotproxy/core"
)

// buildWorkspaces reads the sections [Workspaces group]. All workspaces of a group
// have the same weight, priority and services.
func (b *builder) buildWorkspaces() {
	for _, s := range b.byKind[_kindWorkspaces] {
		r := b.newReader(s, _kindWorkspaces)
		namesEntry := r.required("Names", "the names of the group's workspaces, with ranges such as grower-[1-9]")
		names := r.names(namesEntry)
		weight := int(r.integer("Weight", 1, 1, _maxWeight))
		priority := int(r.integer("Priority", 0, 0, _maxPriority))
		services := b.workspaceServices(r)
		r.reportUnknownKeys()
		for _, item := range names {
			name := core.WorkspaceName(item)
			if first, duplicate := b.origins.workspaces[name]; duplicate {
				r.reportInvalid(namesEntry, fmt.Sprintf("each workspace in one group; %s is also at %s", name, first), "remove it from one of the two groups")
				break
			}
			b.origins.workspaces[name] = namesEntry.valueOrigin()
			b.config.Workspaces = append(b.config.Workspaces, core.Workspace{
				Name: name, Weight: weight, Priority: priority, Services: services,
			})
		}
	}
	if len(b.config.Workspaces) == 0 {
		b.faults.add(Origin{File: b.overlayFile}, "the site has no workspace", "at least one section [Workspaces group]", "add a section [Workspaces group] with Names and Services")
	}
}

func (b *builder) workspaceServices(r *reader) []core.ServiceName {
	e := r.required("Services", "services of the site")
	names := r.names(e)
	services := make([]core.ServiceName, 0, len(names))
	for _, item := range names {
		name := core.ServiceName(item)
		if _, known := b.config.Service(name); !known {
			r.reportInvalid(e, "services that have a section [Service name]", fmt.Sprintf("correct %s, or add [Service %s]", name, name))
			continue
		}
		services = append(services, name)
	}
	slices.Sort(services)
	return services
}
