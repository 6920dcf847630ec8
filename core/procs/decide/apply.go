package decide

import (
	"maps"
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/core/procs/queue"
	"apricotproxy/core/procs/slots"
	"apricotproxy/core/procs/view"
	"apricotproxy/core/versn/owner"
)

// Apply puts an accepted configuration in force. A revision that is not higher
// than the one in force is ignored.
func (d *Decider) Apply(now time.Time, config core.Config) core.Actions {
	d.begin(now)
	if d.applied && config.Revision <= d.config.Revision {
		return d.finish(now)
	}
	invar.Check(invar.RevisionNeverLower, config.Revision >= d.config.Revision,
		"revision %d follows %d", config.Revision, d.config.Revision)
	first, previous, previousOwners := !d.applied, d.config, d.owners
	d.applied = true
	d.config = config
	d.owners = owner.Build(config)
	d.terms = slots.TermsOf(config.Limits)
	d.viewParams = viewParams(d.terms, config.Limits)
	d.localDataCentre = dataCentreOf(config, d.self.Host)
	previousIndex := make(map[core.EndpointName]int, len(previous.Endpoints))
	for i := range previous.Endpoints {
		previousIndex[previous.Endpoints[i].Name] = i
	}
	d.configuredHosts = make(map[core.HostName]bool, len(config.Hosts))
	for i := range config.Hosts {
		d.configuredHosts[config.Hosts[i].Name] = true
	}
	d.endpoints = d.endpoints[:0]
	byName := make(map[core.EndpointName]*endpoint, len(config.Endpoints))
	for i := range config.Endpoints {
		e := d.applyEndpoint(now, i)
		byName[e.config.Name] = e
		d.endpoints = append(d.endpoints, e)
		assignment := d.slotAssignment(e, first, previous, previousOwners, previousIndex)
		e.pool.Revise(now, d.terms, assignment)
	}
	for name, e := range d.byName {
		if byName[name] == nil {
			e.index, e.candidateIndex, e.service = _noIndex, _noIndex, nil
		}
	}
	d.byName = byName
	d.workspaces = make(map[core.WorkspaceName]core.Workspace, len(config.Workspaces))
	for _, workspace := range config.Workspaces {
		d.workspaces[workspace.Name] = workspace
	}
	d.budget.SetShare(config.Limits.RetryShare)
	d.applyHosts(now, previous)
	d.applyServices(now)
	d.expire(now)
	return d.finish(now)
}

// _noIndex is the index of an endpoint that the configuration no longer has, and
// the candidateIndex of one that is no candidate of a service.
const _noIndex = -1

func viewParams(terms slots.Terms, limits core.Limits) view.Params {
	step := limits.ReportInterval
	if step == 0 {
		step = time.Second
	}
	return view.Params{
		Validity:        terms.Validity,
		FirstStep:       terms.Validity + terms.Lag,
		Step:            step,
		Suspicion:       terms.Validity + terms.Lag,
		WarmCompletions: max(limits.WarmProof, 1),
	}
}

func dataCentreOf(config core.Config, host core.HostName) core.DataCentreName {
	for i := range config.Hosts {
		if config.Hosts[i].Name == host {
			return config.Hosts[i].DataCentre
		}
	}
	return ""
}

// applyEndpoint returns the endpoint at an index of the new configuration. It
// keeps what is known of the endpoint from earlier revisions.
func (d *Decider) applyEndpoint(now time.Time, index int) *endpoint {
	config := d.config.Endpoints[index]
	e := d.byName[config.Name]
	if e == nil {
		e = &endpoint{pool: slots.New(d.self, d.switches)}
		e.view.SetProvenWarm(d.provenWarm[config.Name])
	}
	e.index = index
	e.config = config
	dataCentre, known := d.config.DataCentre(config.DataCentre)
	wasInService := e.inService
	e.inService = known && dataCentre.InService
	e.remote = config.DataCentre != d.localDataCentre
	if e.inService && !wasInService {
		// An endpoint that is back in service ramps up from its cold slots.
		e.view.RestartRamp(now)
	}
	return e
}

// slotAssignment returns the slots of an endpoint that the new revision assigns to this
// host, with the owners of all slots under the new and the previous revision.
func (d *Decider) slotAssignment(e *endpoint, first bool, previous core.Config, previousOwners owner.Table, previousIndex map[core.EndpointName]int) slots.Assignment {
	assignment := slots.Assignment{
		Revision:        d.config.Revision,
		Endpoint:        e.config,
		Owned:           d.owners.Positions(e.index, d.self.Host),
		OwnerOf:         func(position int) core.HostName { return ownerOf(d.owners, e.index, position) },
		PreviousOwnerOf: func(int) core.HostName { return "" },
		HasHost:         func(host core.HostName) bool { return d.configuredHosts[host] },
		Contiguous:      !first && previous.Revision+1 == d.config.Revision,
		First:           first,
	}
	if i, ok := previousIndex[e.config.Name]; ok {
		assignment.PreviousOwnerOf = func(position int) core.HostName { return ownerOf(previousOwners, i, position) }
	}
	return assignment
}

func ownerOf(owners owner.Table, endpoint, position int) core.HostName {
	host, _ := owners.Owner(endpoint, position)
	return host
}

// applyServices rebuilds the services and their candidates. Requests for a service
// that is still configured stay in its queue.
func (d *Decider) applyServices(now time.Time) {
	previous := d.byService
	d.services = d.services[:0]
	d.byService = make(map[core.ServiceName]*service, len(d.config.Services))
	for i, config := range d.config.Services {
		s := previous[config.Name]
		if s == nil {
			s = &service{queue: queue.New[*request]()}
		}
		s.index, s.config, s.endpoints, s.refreshAt, s.pendingBorrowings = i, config, s.endpoints[:0], time.Time{}, 0
		d.services = append(d.services, s)
		d.byService[config.Name] = s
	}
	for _, e := range d.endpoints {
		e.service, e.candidateIndex = d.byService[e.config.Service], _noIndex
		if e.service != nil && d.owners.IsAssigned(e.index, d.self.Host) {
			e.candidateIndex = len(e.service.endpoints)
			e.service.endpoints = append(e.service.endpoints, e)
		}
		if e.service != nil && !e.borrowTimeoutAt.IsZero() {
			e.service.pendingBorrowings++
		}
		d.track(e)
	}
	for _, s := range d.services {
		s.candidates = make([]core.Candidate, len(s.endpoints))
		s.free = [queue.Classes]int{}
		for _, e := range s.endpoints {
			d.updateCandidate(now, e)
		}
		if d.roles != nil {
			d.assignRoles(now, s)
		}
	}
	d.refuseRemovedServices(now, previous)
}

// refuseRemovedServices refuses the requests that wait for services that the
// revision removed.
func (d *Decider) refuseRemovedServices(now time.Time, previous map[core.ServiceName]*service) {
	for _, name := range slices.Sorted(maps.Keys(previous)) {
		s := previous[name]
		if d.byService[name] == s {
			continue
		}
		for item := s.queue.Any(); item != nil; item = s.queue.Any() {
			d.dequeue(item.Value)
			d.refuse(item.Value, core.CauseUnknownName, "the service was removed from the configuration", time.Time{})
		}
	}
}

// applyHosts takes back the slots lent to hosts that are no longer configured, tracks
// the hosts that were removed, and applies acknowledgements that were received before
// the revision.
func (d *Decider) applyHosts(now time.Time, previous core.Config) {
	for _, e := range d.endpoints {
		e.pool.BorrowersRemoved(now, d.configuredHosts)
	}
	for _, host := range previous.Hosts {
		if !d.configuredHosts[host.Name] {
			d.removedHosts[host.Name] = true
		}
	}
	for _, host := range d.config.Hosts {
		delete(d.removedHosts, host.Name)
	}
	d.acknowledge(now, d.self.Host)
	for _, host := range previous.Hosts {
		if d.peers[host.Name].revision == d.config.Revision {
			d.acknowledge(now, host.Name)
		}
	}
}

// Acknowledged records that a host has a revision in force. A later incarnation of
// this host itself means that this process is superseded.
func (d *Decider) Acknowledged(now time.Time, host core.HostID, revision core.Revision) core.Actions {
	if host.Host == d.self.Host && host.Incarnation > d.self.Incarnation {
		d.superseded = true
	}
	d.begin(now)
	if host.Host == d.self.Host {
		return d.finish(now)
	}
	known := d.peers[host.Host]
	if host.Incarnation < known.incarnation {
		return d.finish(now)
	}
	if host.Incarnation > known.incarnation {
		for _, e := range d.endpoints {
			e.pool.BorrowerGone(now, host.Host, host.Incarnation)
			d.updateCandidate(now, e)
		}
		known = peer{incarnation: host.Incarnation}
	}
	known.revision = max(known.revision, revision)
	d.peers[host.Host] = known
	if known.revision == d.config.Revision {
		d.acknowledge(now, host.Host)
	}
	return d.finish(now)
}

// acknowledge records in the pools that a host has the revision in force. Once every
// host has acknowledged a revision, it is settled: no host assigns slots by an older
// one any more, whatever happens to the hosts later.
func (d *Decider) acknowledge(now time.Time, host core.HostName) {
	if d.settled < d.config.Revision && d.allAcknowledged() {
		d.settled = d.config.Revision
	}
	for _, e := range d.endpoints {
		if e.pool.Acknowledge(now, host, d.settled >= d.config.Revision) {
			d.updateCandidate(now, e)
		}
	}
}

// allAcknowledged reports whether every host has exactly this revision in force,
// including the hosts that were removed while this process ran. A host at a later
// revision does not count: it has not given up the slots that this revision assigns
// to this host.
//
// Example: revision 1 assigns slot 0 to entry-1, revision 2 assigns it to entry-2.
// A new process of entry-1 starts on revision 1; entry-2, at revision 2, uses slot 0.
func (d *Decider) allAcknowledged() bool {
	for i := range d.config.Hosts {
		name := d.config.Hosts[i].Name
		if name != d.self.Host && d.peers[name].revision != d.config.Revision {
			return false
		}
	}
	for name := range d.removedHosts {
		if d.peers[name].revision != d.config.Revision {
			return false
		}
	}
	return true
}
