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
	first, former, formerOwners := !d.applied, d.config, d.owners
	d.applied = true
	d.config = config
	d.owners = owner.Build(config)
	d.terms = slots.TermsOf(config.Limits)
	d.viewTerms = viewTerms(d.terms, config.Limits)
	d.home = homeOf(config, d.self.Host)
	formerIndex := make(map[core.EndpointName]int, len(former.Endpoints))
	for i := range former.Endpoints {
		formerIndex[former.Endpoints[i].Name] = i
	}
	d.present = make(map[core.HostName]bool, len(config.Hosts))
	for i := range config.Hosts {
		d.present[config.Hosts[i].Name] = true
	}
	d.endpoints = d.endpoints[:0]
	byName := make(map[core.EndpointName]*endpoint, len(config.Endpoints))
	for i := range config.Endpoints {
		e := d.reviseEndpoint(now, i)
		byName[e.config.Name] = e
		d.endpoints = append(d.endpoints, e)
		share := d.share(e, first, former, formerOwners, formerIndex)
		e.pool.Revise(now, d.terms, share)
	}
	for name, e := range d.byName {
		if byName[name] == nil {
			e.index, e.place, e.service = _removed, _removed, nil
		}
	}
	d.byName = byName
	d.workspaces = make(map[core.WorkspaceName]core.Workspace, len(config.Workspaces))
	for _, workspace := range config.Workspaces {
		d.workspaces[workspace.Name] = workspace
	}
	d.budget.SetShare(config.Limits.RetryShare)
	d.reviseRoster(now, former)
	d.reviseServices(now)
	d.expire(now)
	return d.finish(now)
}

// _removed is the index of an endpoint that the configuration no longer has.
const _removed = -1

func viewTerms(terms slots.Terms, limits core.Limits) view.Terms {
	step := limits.ReportInterval
	if step == 0 {
		step = time.Second
	}
	return view.Terms{
		Validity:  terms.Validity,
		FirstStep: terms.Validity + terms.Lag,
		Step:      step,
		Suspicion: terms.Validity + terms.Lag,
		Proof:     max(limits.WarmProof, 1),
	}
}

func homeOf(config core.Config, host core.HostName) core.DataCentreName {
	for i := range config.Hosts {
		if config.Hosts[i].Name == host {
			return config.Hosts[i].DataCentre
		}
	}
	return ""
}

// reviseEndpoint carries what is known of an endpoint over to a revision.
func (d *Decider) reviseEndpoint(now time.Time, index int) *endpoint {
	config := d.config.Endpoints[index]
	e := d.byName[config.Name]
	if e == nil {
		e = &endpoint{pool: slots.New(d.self, d.switches)}
		e.view.Inherit(d.inherited[config.Name])
	}
	e.index = index
	e.config = config
	dataCentre, known := d.config.DataCentre(config.DataCentre)
	was := e.inService
	e.inService = known && dataCentre.InService
	e.remote = config.DataCentre != d.home
	if e.inService && !was {
		// An endpoint that comes back is ramped up from its cold slots.
		e.view.Rejoin(now)
	}
	return e
}

func (d *Decider) share(e *endpoint, first bool, former core.Config, owners owner.Table, index map[core.EndpointName]int) slots.Share {
	share := slots.Share{
		Revision:   d.config.Revision,
		Endpoint:   e.config,
		Owned:      d.owners.Positions(e.index, d.self.Host),
		OwnerOf:    func(position int) core.HostName { return ownerOf(d.owners, e.index, position) },
		FormerOf:   func(int) core.HostName { return "" },
		Present:    func(host core.HostName) bool { return d.present[host] },
		Contiguous: !first && former.Revision+1 == d.config.Revision,
		First:      first,
	}
	if i, ok := index[e.config.Name]; ok {
		share.FormerOf = func(position int) core.HostName { return ownerOf(owners, i, position) }
	}
	return share
}

func ownerOf(owners owner.Table, endpoint, position int) core.HostName {
	host, _ := owners.Owner(endpoint, position)
	return host
}

// reviseServices rebuilds the services with their candidates. What waits for a
// service that is kept goes on waiting.
func (d *Decider) reviseServices(now time.Time) {
	before := d.byService
	d.services = d.services[:0]
	d.byService = make(map[core.ServiceName]*service, len(d.config.Services))
	for i, config := range d.config.Services {
		s := before[config.Name]
		if s == nil {
			s = &service{queue: queue.New[*request]()}
		}
		s.index, s.config, s.endpoints, s.dueAt, s.asking = i, config, s.endpoints[:0], time.Time{}, 0
		d.services = append(d.services, s)
		d.byService[config.Name] = s
	}
	for _, e := range d.endpoints {
		e.service, e.place = d.byService[e.config.Service], _removed
		if e.service != nil && d.owners.Deals(e.index, d.self.Host) {
			e.place = len(e.service.endpoints)
			e.service.endpoints = append(e.service.endpoints, e)
		}
		if e.service != nil && !e.pendingUntil.IsZero() {
			e.service.asking++
		}
		d.track(e)
	}
	for _, s := range d.services {
		s.candidates = make([]core.Candidate, len(s.endpoints))
		s.free = [queue.Classes]int{}
		for _, e := range s.endpoints {
			d.update(now, e)
		}
		if d.roles != nil {
			d.separate(now, s)
		}
	}
	d.refuseDropped(now, before)
}

// refuseDropped refuses what waits for services that the revision dropped.
func (d *Decider) refuseDropped(now time.Time, before map[core.ServiceName]*service) {
	for _, name := range slices.Sorted(maps.Keys(before)) {
		s := before[name]
		if d.byService[name] == s {
			continue
		}
		for item := s.queue.Any(); item != nil; item = s.queue.Any() {
			d.leave(item.Value)
			d.refuse(item.Value, core.CauseUnknownName, "the service was removed from the configuration", time.Time{})
		}
	}
}

// reviseRoster forgets positions that left, and their leases.
func (d *Decider) reviseRoster(now time.Time, former core.Config) {
	for _, e := range d.endpoints {
		e.pool.BorrowersLeft(now, d.present)
	}
	for _, host := range former.Hosts {
		if !d.present[host.Name] {
			d.departed[host.Name] = true
		}
	}
	for _, host := range d.config.Hosts {
		delete(d.departed, host.Name)
	}
	d.acknowledge(now, d.self.Host)
	for _, host := range former.Hosts {
		if d.positions[host.Name].revision == d.config.Revision {
			d.acknowledge(now, host.Name)
		}
	}
}

// Acknowledged tells that a roster position has a revision in force.
func (d *Decider) Acknowledged(now time.Time, host core.HostID, revision core.Revision) core.Actions {
	if host.Host == d.self.Host && host.Incarnation > d.self.Incarnation {
		d.superseded = true
	}
	d.begin(now)
	if host.Host == d.self.Host {
		return d.finish(now)
	}
	known := d.positions[host.Host]
	if host.Incarnation < known.incarnation {
		return d.finish(now)
	}
	if host.Incarnation > known.incarnation {
		for _, e := range d.endpoints {
			e.pool.BorrowerGone(now, host.Host, host.Incarnation)
			d.update(now, e)
		}
		known = position{incarnation: host.Incarnation}
	}
	known.revision = max(known.revision, revision)
	d.positions[host.Host] = known
	if known.revision == d.config.Revision {
		d.acknowledge(now, host.Host)
	}
	return d.finish(now)
}

// acknowledge tells the pools that a position has the revision in force. A
// revision that every position has acknowledged once is settled: no host gives
// out slots by an older one any more, whatever becomes of the hosts.
func (d *Decider) acknowledge(now time.Time, host core.HostName) {
	if d.settled < d.config.Revision && d.everyone() {
		d.settled = d.config.Revision
	}
	for _, e := range d.endpoints {
		if e.pool.Acknowledge(now, host, d.settled >= d.config.Revision) {
			d.update(now, e)
		}
	}
}

// everyone tells whether every position, also those that left the roster while
// this process lived, has exactly this revision in force. A position at a later
// one has not given up what this one assigns to this host.
//
// Example: slot 0 is entry-1's by revision 1 and entry-2's by revision 2. A new
// process of entry-1 starts on revision 1; entry-2, at revision 2, uses slot 0.
func (d *Decider) everyone() bool {
	for i := range d.config.Hosts {
		name := d.config.Hosts[i].Name
		if name != d.self.Host && d.positions[name].revision != d.config.Revision {
			return false
		}
	}
	for name := range d.departed {
		if d.positions[name].revision != d.config.Revision {
			return false
		}
	}
	return true
}
