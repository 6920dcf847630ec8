package origin

import (
	"cmp"
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
)

// Span is what a host knows of the builds that were in service.
type Span struct {
	// Since is the time from which on all of them are known; zero if there is none.
	Since  time.Time
	Builds []InService
	// DeparturesSince is the time from which on all departures of endpoints are known; zero if there is none. Hosts do
	// not tell each other.
	DeparturesSince time.Time
}

// InService is a build of a service and when an endpoint of it was last registered.
type InService struct {
	Origin
	LastSeen time.Time
	// LeftAt is when an endpoint of it last left or began to drain, at the latest; zero if none is known to have.
	LeftAt time.Time
}

// member is an endpoint that is registered.
type member struct {
	core.EndpointKey
	Origin
}

// builds tracks which builds were in service.
type builds struct {
	// since is the time from which on all builds are known; zero while the host's documents
	// are not up to date.
	since time.Time
	// lastSeen holds when each build was last registered, present those that are now.
	lastSeen map[Origin]time.Time
	present  []Origin
	// departuresSince is the time from which on all departures of endpoints are known, as since. leftAt holds when
	// an endpoint of each build last left, members the endpoints that are registered and not draining.
	departuresSince time.Time
	leftAt          map[Origin]time.Time
	members         map[member]bool
}

func (b *builds) observe(now time.Time, view *know.View) {
	b.touch(now)
	b.present = b.present[:0]
	for _, e := range view.Endpoints {
		if o := (Origin{Service: e.Service, Build: e.Build}); !slices.Contains(b.present, o) {
			b.present = append(b.present, o)
		}
	}
	b.touch(now)
	b.observeMembers(now, view)
}

// observeMembers records which endpoints have left. One that drains begins no streams.
func (b *builds) observeMembers(now time.Time, view *know.View) {
	before := b.members
	b.members = make(map[member]bool, len(view.Endpoints))
	for _, e := range view.Endpoints {
		if !e.Draining {
			b.members[member{e.Key(), originOf(&e.RoutedEndpoint)}] = true
		}
	}
	for m := range before {
		if !b.members[m] {
			b.leftAt[m.Origin] = now
		}
	}
}

func (b *builds) setCurrent(now time.Time, current bool) {
	switch {
	case !current:
		b.since, b.departuresSince = time.Time{}, time.Time{}
	case b.since.IsZero():
		b.since, b.departuresSince = now, now
	}
}

// excludesDeparted reports whether it is known that no endpoint of a service and of another origin has left since a
// time. One that left just before may be in service on another host yet.
func (b *builds) excludesDeparted(services []core.ServiceName, found Origin, since time.Time) bool {
	if b.departuresSince.IsZero() || !since.After(b.departuresSince.Add(_viewSkew)) {
		return false
	}
	for o, leftAt := range b.leftAt {
		if o != found && slices.Contains(services, o.Service) && !leftAt.Add(_viewSkew).Before(since) {
			return false
		}
	}
	return true
}

func (b *builds) countPresent(name core.ServiceName) int {
	count := 0
	for _, o := range b.present {
		if o.Service == name {
			count++
		}
	}
	return count
}

// touch records that the present builds are still registered.
func (b *builds) touch(now time.Time) {
	for _, o := range b.present {
		b.lastSeen[o] = now
	}
}

// single returns the only build that a service had in service since a time, if that is known
// for all that time. A build that left just before b.since is not known, but may be in service on
// another host yet.
func (b *builds) single(now time.Time, name core.ServiceName, since time.Time) (Origin, bool) {
	if b.since.IsZero() || !since.After(b.since.Add(_viewSkew)) {
		return Origin{}, false
	}
	b.touch(now)
	var found Origin
	count := 0
	for o, lastSeen := range b.lastSeen {
		if o.Service == name && !lastSeen.Add(_viewSkew).Before(since) {
			found = o
			count++
		}
	}
	return found, count == 1
}

func (b *builds) span(now time.Time) Span {
	b.touch(now)
	out := Span{Since: b.since}
	for o, lastSeen := range b.lastSeen {
		out.Builds = append(out.Builds, InService{Origin: o, LastSeen: lastSeen})
	}
	slices.SortFunc(out.Builds, func(a, c InService) int {
		return cmp.Or(cmp.Compare(a.Service, c.Service), cmp.Compare(a.Build, c.Build))
	})
	return out
}

// merge adds another host's span. It is ignored while this host's documents are not up to date:
// there would be a gap between the span and what this host learns later.
func (b *builds) merge(other Span) {
	b.mergeDepartures(other)
	if b.since.IsZero() || other.Since.IsZero() {
		return
	}
	if other.Since.Before(b.since) {
		b.since = other.Since
	}
	for _, o := range other.Builds {
		if o.LastSeen.After(b.lastSeen[o.Origin]) {
			b.lastSeen[o.Origin] = o.LastSeen
		}
	}
}

func (b *builds) mergeDepartures(other Span) {
	if b.departuresSince.IsZero() || other.DeparturesSince.IsZero() {
		return
	}
	if other.DeparturesSince.Before(b.departuresSince) {
		b.departuresSince = other.DeparturesSince
	}
	for _, o := range other.Builds {
		if o.LeftAt.After(b.leftAt[o.Origin]) {
			b.leftAt[o.Origin] = o.LeftAt
		}
	}
}

func (b *builds) expire(now time.Time) {
	b.touch(now)
	horizon := now.Add(-_maxSpan)
	for o, lastSeen := range b.lastSeen {
		if lastSeen.Before(horizon) {
			delete(b.lastSeen, o)
		}
	}
	for o, leftAt := range b.leftAt {
		if leftAt.Before(horizon) {
			delete(b.leftAt, o)
		}
	}
	if !b.since.IsZero() && b.since.Before(horizon) {
		b.since = horizon
	}
	if !b.departuresSince.IsZero() && b.departuresSince.Before(horizon) {
		b.departuresSince = horizon
	}
}
