package place

import (
	"math"
	"time"

	"apricotproxy/core"
)

// An endpoint may name a rate limit for the requests of all hosts together. By the platform's
// documentation it must not get more than _rateFactor times that plus _rateExtra requests in
// any _rateWindow. Each host therefore gets one permit in each interval, which is so long
// that the permits of all hosts that may live stay within the limit. No messages are needed
// for this, so it also holds between hosts that have lost each other.
const (
	_rateWindow = 4 * time.Second
	_rateFactor = 1.5
	_rateExtra  = 5
	// _permitLifetime is how long a permit can be used where hosts may be more than the
	// requests that an endpoint takes in a _rateWindow: permits that were kept could all be used
	// at once.
	_permitLifetime = time.Second
	// _minPermitInterval is the least time between two permits of a host. No host sends an endpoint requests that often, so
	// that a higher limit limits nothing.
	_minPermitInterval = time.Microsecond
	// _minRatePerSecond is the limit that is assumed at least: by its answers a host learns
	// that an endpoint that takes no requests does so again.
	_minRatePerSecond = 0.1
	// _rateLimitLifetime and _rateLimitIntervals are how long a limit holds after an endpoint last
	// named it to any host: the longer of a time and a number of intervals.
	_rateLimitLifetime  = 30 * time.Second
	_rateLimitIntervals = 2
	// _rateAnnounceTime is how long a change is reported to other hosts: some heartbeats, since
	// a datagram may get lost.
	_rateAnnounceTime = time.Second
)

// RateLimit is what an endpoint said of the requests that it takes from all hosts together.
type RateLimit struct {
	// PerSecond is the limit, if IsNamed.
	PerSecond float64
	// IsNamed is false if the endpoint named no limit.
	IsNamed bool
	// SaidAt is when the endpoint said so; zero if it has said nothing.
	SaidAt time.Time
}

// EndpointRateLimit is the rate limit of one incarnation of an endpoint.
type EndpointRateLimit struct {
	Key core.EndpointKey
	RateLimit
}

// rateState is what a host knows and does about an endpoint's rate limit.
type rateState struct {
	RateLimit
	// changedAt is when this host learned of the last change.
	changedAt time.Time
	// permitAt is when the next permit of this host is valid.
	permitAt time.Time
}

// RecordRateLimit records what an incarnation of an endpoint said of its rate limit, to this or to
// another host. It returns what was known before, and whether that was different. What
// the endpoint said earlier than what is known is ignored.
func (p *Placer) RecordRateLimit(now time.Time, key core.EndpointKey, limit RateLimit) (before RateLimit, changed bool) {
	e := p.endpoints[key.ID]
	if e == nil || e.Key() != key {
		return RateLimit{}, false
	}
	p.note(key, func(n *notice) bool {
		before = n.rate.RateLimit
		if limit.SaidAt.Before(before.SaidAt) || !limit.IsNamed && !before.IsNamed {
			return false
		}
		changed = limit.IsNamed != before.IsNamed || limit.PerSecond != before.PerSecond
		intervalBefore, _ := p.permitInterval(&n.rate)
		n.rate.RateLimit = limit
		interval, _ := p.permitInterval(&n.rate)
		switch {
		case !changed:
			return true
		case before.IsNamed && limit.IsNamed:
			n.rate.permitAt = n.rate.permitAt.Add(interval - intervalBefore)
		default:
			// Hosts learn of a limit at the same moment, so that their first permits are spread.
			n.rate.permitAt = now.Add(time.Duration(p.random.Float64() * float64(interval)))
		}
		n.rate.changedAt = now
		return true
	})
	return before, changed
}

// RateLimits returns the rate limits of which other hosts are told: those that changed lately
// or, if all is true, all that hold.
func (p *Placer) RateLimits(now time.Time, all bool) []EndpointRateLimit {
	var limits []EndpointRateLimit
	for _, e := range p.endpoints {
		rate := &e.notice.rate
		if now.Sub(rate.changedAt) < _rateAnnounceTime || all && p.isRateLimited(now, e) {
			limits = append(limits, EndpointRateLimit{Key: e.Key(), RateLimit: rate.RateLimit})
		}
	}
	return limits
}

// isRateLimited reports whether a rate limit of the endpoint holds.
func (p *Placer) isRateLimited(now time.Time, e *endpoint) bool {
	rate := &e.notice.rate
	if !rate.IsNamed {
		return false
	}
	interval, _ := p.permitInterval(rate)
	return now.Sub(rate.SaidAt) < max(_rateLimitLifetime, _rateLimitIntervals*interval)
}

// IsRateLimited reports whether an endpoint has a rate limit.
func (p *Placer) IsRateLimited(now time.Time, id string) bool {
	e := p.endpoints[id]
	return e != nil && p.isRateLimited(now, e)
}

// permitInterval returns the time from one permit of this host to the next. If expires is
// true, a permit can only be used for _permitLifetime.
//
// With fewer hosts than an endpoint takes requests in a window, each host has at most its
// part of them in any window. With more hosts, the permits of different hosts are due at
// independent times; maxSafeMean bounds how many of them may be valid within one window on
// average.
func (p *Placer) permitInterval(rate *rateState) (interval time.Duration, expires bool) {
	perSecond := max(rate.PerSecond, _minRatePerSecond)
	bound := _rateFactor*rate.PerSecond*_rateWindow.Seconds() + _rateExtra
	hosts := float64(p.hostsBound)
	interval = max(core.Seconds(hosts/perSecond), _minPermitInterval)
	if perHost := math.Floor(bound / hosts); perHost >= 1 {
		return max(interval, time.Duration(float64(_rateWindow)/perHost)), false
	}
	return max(interval, core.Seconds((_rateWindow+_permitLifetime).Seconds()*hosts/maxSafeMean(bound))), true
}

// duePermit returns when this host's next permit becomes valid, or has become so.
func (p *Placer) duePermit(now time.Time, rate *rateState) time.Time {
	due := rate.permitAt
	if interval, expires := p.permitInterval(rate); expires {
		if missed := now.Sub(due.Add(_permitLifetime)); missed > 0 {
			due = due.Add((missed/interval + 1) * interval)
		}
	}
	return due
}

// nextPermit returns when an endpoint's rate limit, if it has any, lets this host send it the
// next request: now at the earliest.
func (p *Placer) nextPermit(now time.Time, e *endpoint) time.Time {
	rate := &e.notice.rate
	if !p.isRateLimited(now, e) {
		return now
	}
	next := p.duePermit(now, rate)
	for _, at := range []time.Time{p.settledAt, now} {
		if next.Before(at) {
			next = at
		}
	}
	return next
}

// hasPermit reports whether an endpoint's rate limit, if it has any, lets this host send it a
// request now.
func (p *Placer) hasPermit(now time.Time, e *endpoint) bool {
	return !p.isRateLimited(now, e) || p.shareKnown(now) && !p.nextPermit(now, e).After(now)
}

// usePermit takes this host's permit for a request to an endpoint with a rate limit.
func (p *Placer) usePermit(now time.Time, e *endpoint) {
	rate := &e.notice.rate
	interval, expires := p.permitInterval(rate)
	if expires {
		rate.permitAt = p.duePermit(now, rate).Add(interval)
		return
	}
	rate.permitAt = now.Add(interval)
}

// permitsUntil returns how many permits this host gets for an endpoint with a rate limit until a
// deadline, the present one included.
func (p *Placer) permitsUntil(now time.Time, e *endpoint, deadline time.Time) int {
	next := p.nextPermit(now, e)
	if next.After(deadline) {
		return 0
	}
	interval, _ := p.permitInterval(&e.notice.rate)
	return 1 + int(deadline.Sub(next)/interval)
}

// firstPermit returns when this host gets its first permit for an endpoint of a service that
// takes no request now because of a limit of all hosts; zero if there is none.
func (p *Placer) firstPermit(now time.Time, service core.ServiceName) time.Time {
	var first time.Time
	for _, e := range p.services[service] {
		if at := p.nextLimit(now, e); at.After(now) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}
