package place

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

const (
	// _coldWindow is the sliding window over which requests to a cold endpoint are
	// counted: its rate is given per second.
	_coldWindow = time.Second
	// _coldOverloadProbability applies when there are more hosts than requests per second
	// that a cold endpoint can take, so that only some hosts may send to it. It bounds
	// the probability that more hosts may send than the endpoint can take requests.
	_coldOverloadProbability = 1e-9
	// _initialHosts is the number of hosts assumed before any other is known.
	_initialHosts = 16
	// _hostsMargin is the number of hosts that are assumed to be live for each known
	// one: hosts are added, and hosts on the other side of a partition keep working.
	_hostsMargin = 1.5
	// _settleTime is how long a host, after its start and after it first knows of
	// others, uses no share of the limits that all hosts have in common: until then it
	// does not know how many hosts there are.
	_settleTime = 2 * time.Second
	// _remoteWarmDelay is how long after an endpoint became warm the hosts of other
	// data centres begin to use it: they learn within about two heartbeats what its own
	// data centre places there.
	_remoteWarmDelay = 500 * time.Millisecond
)

// SetHosts sets how many hosts may be live, as far as is known now; known is 1 only
// where the settings name no other host. Limits that all hosts have in common are
// divided by an upper bound on the number of hosts. The bound does not fall when hosts
// go silent: they may keep working on the other side of a partition.
func (p *Placer) SetHosts(now time.Time, known int) {
	if known == 1 && p.settledAt.IsZero() {
		p.settledAt = now // the settings name no other host
	}
	p.isOnlyHost = known == 1
	bound := int(float64(known)*_hostsMargin) + 1
	if !p.othersKnown && known > 1 {
		p.othersKnown, p.settledAt = true, now.Add(_settleTime)
		p.hostsBound = bound
	}
	p.hostsBound = max(p.hostsBound, bound)
}

// shareKnown reports whether this host knows its share of the common limits.
func (p *Placer) shareKnown(now time.Time) bool {
	return !p.settledAt.IsZero() && !now.Before(p.settledAt)
}

// maxConnections returns this host's share of the connections that an endpoint accepts
// from all hosts; 0 when the service has no such limit. The share is at least 1, so with
// more hosts than connections the shares exceed the limit, and only random placement
// keeps the hosts from using them all at once.
func (p *Placer) maxConnections(service core.ServiceName) int {
	if p.table == nil {
		return 0
	}
	s, ok := p.table.Service(service)
	if !ok || s.MaxConnections <= 0 {
		return 0
	}
	return max(s.MaxConnections/p.hostsBound, 1)
}

// window counts events within a sliding time window.
type window struct{ times []time.Time }

func (w *window) count(now time.Time, span time.Duration) int {
	i := 0
	for i < len(w.times) && !w.times[i].After(now.Add(-span)) {
		i++
	}
	w.times = w.times[i:]
	return len(w.times)
}

func (w *window) add(now time.Time, span time.Duration) {
	w.count(now, span)
	w.times = append(w.times, now)
}

// coldLimitAllows reports whether this host's share of the requests that a cold
// endpoint can take allows one more.
func (p *Placer) coldLimitAllows(now time.Time, e *endpoint) bool {
	if p.table == nil {
		return false
	}
	s, ok := p.table.Service(e.service)
	if !ok || s.ColdPerSecond <= 0 {
		return true
	}
	if !p.shareKnown(now) {
		return false
	}
	bound := s.ColdPerSecond*p.bounds.ColdFactor + p.bounds.ColdExtra
	share := bound / float64(p.hostsBound)
	if share < 1 {
		share = p.sampledColdShare(e, bound)
	}
	return float64(e.coldRequests.count(now, _coldWindow)+1) <= share
}

// limitsAllow reports whether this host's shares of the limits that an endpoint has for all hosts
// allow one more request.
func (p *Placer) limitsAllow(now time.Time, e *endpoint) bool {
	return p.ratesAllow(now, e) && p.hasSlot(now, e)
}

// ratesAllow is limitsAllow without the limits on requests in flight.
func (p *Placer) ratesAllow(now time.Time, e *endpoint) bool {
	return (!now.Before(e.ColdUntil) || p.coldLimitAllows(now, e)) && p.hasPermit(now, e)
}

// nextLimit returns when the limits that an endpoint named for all hosts let this host send it the
// next request: now at the earliest.
func (p *Placer) nextLimit(now time.Time, e *endpoint) time.Time {
	return later(p.nextPermit(now, e), p.nextSlot(now, e))
}

// sampledColdShare returns 1 on a few hosts and 0 on the others, for the case that
// there are more hosts than requests per second that a cold endpoint can take. A hash of
// host and endpoint selects each host independently, with a probability so low that all
// selected hosts together stay within the bound; see _coldOverloadProbability.
func (p *Placer) sampledColdShare(e *endpoint, bound float64) float64 {
	sample := float64(xxhash.Sum64String(string(p.self)+" "+e.ID)) / math.MaxUint64 * float64(p.hostsBound)
	if sample < bound && sample < maxSafeMean(bound) { // the cheap check first: it excludes most hosts
		return 1
	}
	return 0
}

// maxSafeMean returns the highest mean number of independent events at which more than
// bound of them happen with a probability of at most _coldOverloadProbability, by the
// Chernoff bound.
func maxSafeMean(bound float64) float64 {
	over := math.Floor(bound) + 1
	low, high := 0.0, over
	for range 40 {
		mean := (low + high) / 2
		if over-mean+over*math.Log(mean/over) > math.Log(_coldOverloadProbability) {
			high = mean
		} else {
			low = mean
		}
	}
	return low
}

// retryBudget counts a service's requests and retries within the deployment's retry
// window.
type retryBudget struct {
	requests window
	retries  window
}

func (p *Placer) retryBudget(service core.ServiceName) *retryBudget {
	b := p.retryBudgets[service]
	if b == nil {
		b = &retryBudget{}
		p.retryBudgets[service] = b
	}
	return b
}

// CountRequest counts a request for a service towards its retry budget.
func (p *Placer) CountRequest(now time.Time, service core.ServiceName) {
	p.retryBudget(service).requests.add(now, p.bounds.RetryWindow)
}

// AllowRetry reports whether the retry budget lets a request be sent to one more endpoint,
// and counts the retry if so.
func (p *Placer) AllowRetry(now time.Time, service core.ServiceName) bool {
	if !p.HasRetry(now, service) {
		return false
	}
	p.retryBudget(service).retries.add(now, p.bounds.RetryWindow)
	return true
}

// HasRetry reports whether AllowRetry would return true. It counts nothing.
func (p *Placer) HasRetry(now time.Time, service core.ServiceName) bool {
	b := p.retryBudget(service)
	span := p.bounds.RetryWindow
	allowed := p.bounds.RetryShare * float64(b.requests.count(now, span))
	if p.shareKnown(now) && !now.Before(p.retryExtraFrom) {
		allowed += p.bounds.RetryExtra / float64(p.hostsBound)
	}
	return float64(b.retries.count(now, span)+1) <= allowed
}
