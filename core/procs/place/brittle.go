package place

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

// An endpoint may say that it is brittle: it falls over when it has to turn more than a number of
// requests away in a second for want of room, and it may let none wait. Its slots are therefore
// divided among all hosts that may live, by a hash, and each host has no more requests in flight
// there than its share. This needs no messages, so that it also holds between hosts that have lost
// each other and while the loads of others are known late.
//
// An endpoint that still turns a request away has other work, such as a request that goes on
// without its caller. The host then sends it nothing for a second at least, and the share of the
// request stays unused: in a second as many requests are turned away as slots are taken otherwise.
const (
	// _brittleLifetime is how long an endpoint counts as brittle after it last said so to any
	// host.
	_brittleLifetime = 30 * time.Second
	// _refusalWindow is the window in which an endpoint counts the requests that it turns away.
	_refusalWindow = time.Second
	// _namesTime is how long after its start a host may not know a part of the others, which
	// _hostsMargin bounds.
	_namesTime = 5 * time.Second
	// _settledAfter is how long requests count as possible that were sent before the endpoints of
	// a service were brittle.
	_settledAfter = 10 * time.Second
	// _unreportedShare is the share of the slots that may be taken by requests that are not
	// reported yet.
	_unreportedShare = 0.3
	// _borrowEndpointLoad and _borrowServiceLoad are the shares of an endpoint's slots and of those
	// of its service up to which hosts without a share may use one.
	_borrowEndpointLoad = 1.0 / 3
	_borrowServiceLoad  = 0.15
	// _unansweredTime is how long the slot of a request that was not answered counts as taken:
	// the endpoint may still work on it.
	_unansweredTime = time.Second
	// _noShareDelay is after which time a request is worth another try that this host has no share
	// of any slot for.
	_noShareDelay = time.Second
)

// Brittleness is what an endpoint said of how many requests it can turn away.
type Brittleness struct {
	// Refusals is the number of requests that it can turn away in a second, if IsNamed.
	Refusals int
	// IsNamed is false if the endpoint did not say that it is brittle.
	IsNamed bool
	// SaidAt is when the endpoint said so; zero if it has said nothing.
	SaidAt time.Time
}

// EndpointBrittleness is the brittleness of one incarnation of an endpoint.
type EndpointBrittleness struct {
	Key core.EndpointKey
	Brittleness
}

// brittleState is what a host knows and does about an endpoint's brittleness.
type brittleState struct {
	Brittleness
	// changedAt is when this host learned of the last change.
	changedAt time.Time
	// pausedUntil is the time until which this host sends no requests, since one was turned away.
	pausedUntil time.Time
}

// brittleService is the time in which endpoints of a service say that they are brittle.
type brittleService struct {
	// since is when the first said so, saidAt when the last did, and endedAt when one last said that
	// it no longer is.
	since, saidAt, endedAt time.Time
	// refusals is what the last of them can turn away in a second.
	refusals int
}

func (s brittleService) holds(now time.Time) bool {
	return s.saidAt.After(s.endedAt) && now.Sub(s.saidAt) < _brittleLifetime
}

// record returns the time with what one endpoint said, which was brittle before or was not.
func (s brittleService) record(said Brittleness, wasBrittle bool) brittleService {
	switch {
	case said.IsNamed && said.SaidAt.After(s.saidAt):
		if !s.holds(said.SaidAt) {
			s.since = said.SaidAt
		}
		s.saidAt, s.refusals = said.SaidAt, said.Refusals
	case !said.IsNamed && wasBrittle:
		s.endedAt = later(s.endedAt, said.SaidAt)
	}
	return s
}

// hostRank is this host's rank among the hosts that may live, by a hash that differs by endpoint.
type hostRank struct {
	rank int
	// version is that of the hosts for which the rank was computed.
	version int
}

// liveHosts are the hosts that may live, as far as this one knows.
type liveHosts struct {
	names []core.HostName
	// unheard is the number of those whose loads this host does not hear.
	unheard int
	// version counts the changes of the names.
	version int
}

// SetHostNames sets which hosts may live, this one included, and of how many the loads are not
// heard.
func (p *Placer) SetHostNames(names []core.HostName, unheard int) {
	p.hosts.unheard = unheard
	if slices.Equal(names, p.hosts.names) {
		return
	}
	p.hosts.names = names
	p.hosts.version++
}

// RecordBrittleness records what an incarnation of an endpoint said of its brittleness, to this or
// to another host. It returns what was known before, and whether that was different. What the
// endpoint said earlier than what is known is ignored.
func (p *Placer) RecordBrittleness(now time.Time, key core.EndpointKey, said Brittleness) (before Brittleness, changed bool) {
	e := p.endpoints[key.ID]
	if e == nil || e.Key() != key {
		return Brittleness{}, false
	}
	service := p.brittleServices[e.service]
	p.note(key, func(n *notice) bool {
		before = n.brittle.Brittleness
		if said.SaidAt.Before(before.SaidAt) || !said.IsNamed && !before.IsNamed && !service.holds(now) {
			return false
		}
		changed = said.IsNamed != before.IsNamed || said.Refusals != before.Refusals
		n.brittle.Brittleness = said
		if changed {
			n.brittle.changedAt = now
		}
		return true
	})
	if changed || said.IsNamed {
		p.brittleServices[e.service] = service.record(said, before.IsNamed)
	}
	return before, changed
}

// Brittlenesses returns what other hosts are told of the brittleness of endpoints: what changed
// lately or, if all is true, of all that are brittle.
func (p *Placer) Brittlenesses(now time.Time, all bool) []EndpointBrittleness {
	var list []EndpointBrittleness
	for _, e := range p.endpoints {
		b := &e.notice.brittle
		if now.Sub(b.changedAt) < _rateAnnounceTime || all && b.IsNamed && now.Sub(b.SaidAt) < _brittleLifetime {
			list = append(list, EndpointBrittleness{Key: e.Key(), Brittleness: b.Brittleness})
		}
	}
	return list
}

// isBrittle reports whether an endpoint is brittle. One that has said nothing yet, such as one
// that fell over and came back, is taken to be like the others of its service.
func (p *Placer) isBrittle(now time.Time, e *endpoint) bool {
	if b := &e.notice.brittle; b.IsNamed {
		return now.Sub(b.SaidAt) < _brittleLifetime
	}
	s, known := p.brittleServices[e.service]
	return known && s.holds(now) && e.notice.brittle.SaidAt.Before(s.since)
}

// RecordTurnedAway records that an incarnation of an endpoint turned a request of this host away
// for want of room. It returns true if the endpoint is brittle, so that this host sends it nothing
// for a while.
func (p *Placer) RecordTurnedAway(now time.Time, key core.EndpointKey) bool {
	e := p.endpoints[key.ID]
	if e == nil || e.Key() != key || !p.isBrittle(now, e) {
		return false
	}
	return p.note(key, func(n *notice) bool {
		// Hosts that were turned away at the same moment must not come back at the same moment.
		pause := _refusalWindow + time.Duration(p.random.Float64()*float64(_refusalWindow))
		n.brittle.pausedUntil = later(n.brittle.pausedUntil, now.Add(pause))
		return true
	})
}

// RecordUnanswered records that this host waits no longer for a run's answer, so that the endpoint
// may still work on it.
func (p *Placer) RecordUnanswered(now time.Time, run *Run) {
	if e := p.endpointOf(run); e != nil && run.load.Runs > 0 && p.isBrittle(now, e) {
		e.unanswered.add(now, _unansweredTime)
	}
}

// slotShare returns how many of a brittle endpoint's slots are this host's. The hosts that rank
// first have the slots that cannot be divided.
func (p *Placer) slotShare(now time.Time, e *endpoint) int {
	hosts, rank := max(len(p.hosts.names), 1), p.rankAt(e)
	if !p.isOnlyHost && (hosts == 1 || now.Before(p.settledAt.Add(_namesTime))) && p.hostsBound > hosts {
		rank = (rank*p.hostsBound + int(hostHash(p.self, e)%uint64(p.hostsBound))) / hosts
		hosts = p.hostsBound
	}
	slots := max(e.Slots, 1)
	share := slots / hosts
	if rank < slots%hosts {
		share++
	}
	return share
}

// rankAt returns this host's rank at an endpoint, from 0.
func (p *Placer) rankAt(e *endpoint) int {
	if e.hostRank.version == p.hosts.version {
		return e.hostRank.rank
	}
	rank, own := 0, hostHash(p.self, e)
	for _, name := range p.hosts.names {
		if name != p.self && hostHash(name, e) < own {
			rank++
		}
	}
	e.hostRank = hostRank{rank: rank, version: p.hosts.version}
	return rank
}

func hostHash(name core.HostName, e *endpoint) uint64 {
	return xxhash.Sum64String(string(name) + " " + e.ID + " " + strconv.FormatInt(e.Born.UnixMilli(), 10))
}

// shareInUse returns how many slots of this host's share are taken.
func (e *endpoint) shareInUse(now time.Time) int {
	return e.ownLoad.Runs + e.ownMoves + e.unanswered.count(now, _unansweredTime)
}

// hasSlot reports whether an endpoint, if it is brittle, has a slot for this host.
func (p *Placer) hasSlot(now time.Time, e *endpoint) bool {
	return !p.isBrittle(now, e) || p.mayUseShare(now, e) && (e.shareInUse(now) < p.slotShare(now, e) || p.mayBorrow(now, e))
}

// mayBorrow reports whether a host that has no share of any endpoint of a service may use a slot: one
// at each endpoint, while the endpoint and the service have little to do by the loads that hosts
// report.
func (p *Placer) mayBorrow(now time.Time, e *endpoint) bool {
	if e.shareInUse(now) > 0 || p.runsOfAll(e) > _borrowEndpointLoad*float64(e.Slots) {
		return false
	}
	runs, slots := 0.0, 0
	for _, other := range p.services[e.service] {
		if p.slotShare(now, other) > 0 {
			return false
		}
		runs += p.runsOfAll(other)
		slots += other.Slots
	}
	return runs <= _borrowServiceLoad*float64(slots)
}

// runsOfAll returns the reported load of an endpoint, with as much for the hosts that are not heard
// as for the others.
func (p *Placer) runsOfAll(e *endpoint) float64 {
	hosts := max(len(p.hosts.names), 1)
	return float64(e.load().Runs*hosts) / float64(max(hosts-p.hosts.unheard, 1))
}

// mayUseShare reports whether a brittle endpoint may have a free slot. Requests from before it was
// brittle may be in flight beyond the shares of their hosts. While that may be so, the loads that
// hosts report count too, hosts that are not heard are taken to have as much in flight as the
// others, and of what is not reported yet fewer may be turned away than the endpoint can.
func (p *Placer) mayUseShare(now time.Time, e *endpoint) bool {
	if !p.shareKnown(now) || now.Before(e.notice.brittle.pausedUntil) {
		return false
	}
	if !now.Before(p.brittleServices[e.service].since.Add(_settledAfter)) {
		return true
	}
	slots := float64(max(e.Slots, 1))
	taken := p.runsOfAll(e) + max(_unreportedShare*slots-float64(max(p.refusals(e)-1, 0)), 0)
	return taken < slots
}

// refusals returns how many requests a brittle endpoint can turn away in a second.
func (p *Placer) refusals(e *endpoint) int {
	if b := &e.notice.brittle; b.IsNamed {
		return b.Refusals
	}
	return p.brittleServices[e.service].refusals
}

// hasSlotForCopied is hasSlot for a run that continues from a copy, which may have a slot already.
func (p *Placer) hasSlotForCopied(now time.Time, e *endpoint) bool {
	return p.hasSlot(now, e) || e.ownMoves > 0 && p.mayUseShare(now, e) && e.shareInUse(now) <= p.slotShare(now, e)
}

// memoryShareAllows reports whether an engine, if it is brittle, has memory for a load of this host,
// whose share of the memory is that of the slots: a request for which there is no memory is turned
// away too. A single request may take more.
func (p *Placer) memoryShareAllows(now time.Time, e *endpoint, need Load) bool {
	if e.ownLoad.Tokens == 0 || e.Slots <= 0 || !p.isBrittle(now, e) {
		return true
	}
	return float64((e.ownLoad.Tokens+need.Tokens)*e.Slots) <= _memoryShare*float64(e.engine.MemoryTokens*p.slotShare(now, e))
}

// mayHaveSlotBy reports whether an endpoint, if it is brittle, may have a slot for this host by a
// deadline.
func (p *Placer) mayHaveSlotBy(now time.Time, e *endpoint, deadline time.Time) bool {
	return !p.isBrittle(now, e) || p.slotShare(now, e) > 0 && !p.nextSlot(now, e).After(deadline)
}

// nextSlot returns when this host may send a request to an endpoint that is brittle, if it has a
// slot then: now at the earliest.
func (p *Placer) nextSlot(now time.Time, e *endpoint) time.Time {
	switch {
	case !p.isBrittle(now, e):
		return now
	case p.slotShare(now, e) == 0:
		return now.Add(_noShareDelay)
	}
	at := later(e.notice.brittle.pausedUntil, p.settledAt)
	if e.unanswered.count(now, _unansweredTime) > 0 && e.shareInUse(now) >= p.slotShare(now, e) {
		at = later(at, e.unanswered.times[0].Add(_unansweredTime))
	}
	return later(now, at)
}
