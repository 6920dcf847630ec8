package place

import (
	"slices"
	"time"

	"apricotproxy/core"
)

// _maxNotices bounds the incarnations whose notices are kept. The oldest are dropped first.
const _maxNotices = 1024

// notice is what an endpoint said of itself in its answers and reports. It holds for one
// incarnation, also while its document is missing for some time.
type notice struct {
	// leaving is true from when the endpoint said that it is leaving.
	leaving bool
	// closedUntil is the time until which it asked this host for no requests.
	closedUntil time.Time
	// rate is the limit that it named for the requests of all hosts.
	rate rateState
	// brittle is how many requests it said that it can turn away.
	brittle brittleState
}

// notices holds the notices of incarnations that said anything, the oldest first.
type notices struct {
	byKey map[core.EndpointKey]notice
	order []core.EndpointKey
}

// set replaces the notice of an incarnation.
func (n *notices) set(key core.EndpointKey, next notice) {
	if _, known := n.byKey[key]; !known {
		n.order = append(n.order, key)
	}
	n.byKey[key] = next
	if len(n.order) > _maxNotices {
		delete(n.byKey, n.order[0])
		n.order = n.order[1:]
	}
}

// note changes the notice of an incarnation, and reports whether change did so. An
// incarnation without a start can't be told from the next one, so that its notice is not
// kept beyond its document.
func (p *Placer) note(key core.EndpointKey, change func(*notice) bool) bool {
	known := p.notices.byKey[key]
	e := p.endpoints[key.ID]
	isPresent := e != nil && e.Key() == key
	if isPresent {
		known = e.notice
	}
	if !change(&known) {
		return false
	}
	if !key.Born.IsZero() {
		p.notices.set(key, known)
	}
	if isPresent {
		e.notice = known
	}
	return true
}

// NoteLeaving records that an incarnation of an endpoint said to this host that it is
// leaving. Only another incarnation accepts requests again. It returns true when this was
// not known before.
func (p *Placer) NoteLeaving(key core.EndpointKey) bool {
	return p.note(key, func(n *notice) bool {
		isNew := !n.leaving
		n.leaving = true
		return isNew
	})
}

// MarkLeaving records that an incarnation of an endpoint is leaving as another host says, or
// refuses connections. This holds while the endpoint's document is known: the host to which
// the endpoint said so tells it again. It returns true when this was not known before.
func (p *Placer) MarkLeaving(key core.EndpointKey) bool {
	e := p.endpoints[key.ID]
	if e == nil || e.Key() != key || e.notice.leaving {
		return false
	}
	e.notice.leaving = true
	return true
}

// CloseUntil records that an incarnation of an endpoint asked this host for no requests until a
// time. It returns true if that is later than known before.
func (p *Placer) CloseUntil(key core.EndpointKey, until time.Time) bool {
	return p.note(key, func(n *notice) bool {
		isLater := until.After(n.closedUntil)
		if isLater {
			n.closedUntil = until
		}
		return isLater
	})
}

// LeavingEndpoints lists the known endpoints that are leaving although their documents do
// not say so.
func (p *Placer) LeavingEndpoints() []core.EndpointKey {
	var keys []core.EndpointKey
	for _, e := range p.endpoints {
		if e.notice.leaving {
			keys = append(keys, e.Key())
		}
	}
	return keys
}

// isClosed reports whether the endpoint asked this host for no requests now.
func (e *endpoint) isClosed(now time.Time) bool { return now.Before(e.notice.closedUntil) }

// OpensAt returns when the first endpoint accepts a request if all that could still serve it
// asked for none until some time, or for few by a limit of all hosts; zero otherwise. An endpoint that
// turned the request away itself counts among them.
func (p *Placer) OpensAt(now time.Time, spec *Spec) time.Time {
	var first time.Time
	for _, e := range p.services[spec.Request.Service] {
		if !spec.allowsBuild(e) || !p.acceptsWhenOpen(now, e) {
			continue
		}
		opensAt := p.nextLimit(now, e)
		if e.notice.closedUntil.After(opensAt) {
			opensAt = e.notice.closedUntil
		}
		if !opensAt.After(now) {
			if !slices.Contains(spec.Exclude, e.ID) {
				return time.Time{}
			}
			continue
		}
		if first.IsZero() || opensAt.Before(first) {
			first = opensAt
		}
	}
	return first
}
