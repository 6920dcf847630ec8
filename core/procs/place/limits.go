package place

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

const (
	// _coldWindow is the span in which a cold endpoint's requests are counted:
	// its rate is given per second.
	_coldWindow = time.Second
	// _coldChance bounds the chance that more hosts than a cold endpoint bears send
	// to it in one second, where the hosts are more than the requests it bears.
	_coldChance = 1e-9
	// _hostsUnknown is how many hosts are assumed before any was heard of.
	_hostsUnknown = 16
	// _hostsMargin is how many hosts may live for each one that is known of:
	// hosts are added, and hosts on the other side of a partition still work.
	_hostsMargin = 1.5
	// _settle is how long after its start, and after it first heard of others, a host
	// takes no part of what all share: until then it does not know how many there are.
	_settle = 2 * time.Second
	// _remoteStagger is how long after an endpoint became warm the hosts of other
	// data centres begin to use it: they hear of what its own data centre places
	// there within about two heartbeats.
	_remoteStagger = 500 * time.Millisecond
)

// SetHosts tells how many hosts may live by what is heard now; 1 only where the settings
// name no other. Limits that all hosts share are divided by a bound on them. The bound
// does not fall when hosts go silent: they may be working on the other side of a
// partition.
func (p *Placer) SetHosts(now time.Time, known int) {
	if known == 1 && p.settled.IsZero() {
		p.settled = now // alone by its settings
	}
	bound := int(float64(known)*_hostsMargin) + 1
	if !p.heard && known > 1 {
		p.heard, p.settled = true, now.Add(_settle)
		p.hosts = bound
	}
	p.hosts = max(p.hosts, bound)
}

// sharing tells whether this host knows its part of what all hosts share.
func (p *Placer) sharing(now time.Time) bool {
	return !p.settled.IsZero() && !now.Before(p.settled)
}

// maxConnections is this host's part of the connections that an endpoint accepts
// from all hosts; 0 when it names no bound. One is always allowed: with more hosts
// than connections, chance has to keep them apart.
func (p *Placer) maxConnections(service core.ServiceName) int {
	if p.table == nil {
		return 0
	}
	s, ok := p.table.Service(service)
	if !ok || s.MaxConnections <= 0 {
		return 0
	}
	return max(s.MaxConnections/p.hosts, 1)
}

// window counts events within a sliding span.
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

// coldAllows tells whether this host's part of what a cold endpoint bears has
// room for one more request.
func (p *Placer) coldAllows(now time.Time, e *endpoint) bool {
	if p.table == nil {
		return false
	}
	s, ok := p.table.Service(e.service)
	if !ok || s.ColdPerSecond <= 0 {
		return true
	}
	if !p.sharing(now) {
		return false
	}
	bound := s.ColdPerSecond*p.bounds.ColdFactor + p.bounds.ColdExtra
	share := bound / float64(p.hosts)
	if share < 1 {
		share = p.coldTurn(e, bound)
	}
	return float64(e.cold.count(now, _coldWindow)+1) <= share
}

// coldTurn gives 1 to a few of the hosts and 0 to the others, where the hosts are more
// than the requests that a cold endpoint bears: each host is one of them by chance, so
// seldom that all together stay within the bound.
func (p *Placer) coldTurn(e *endpoint, bound float64) float64 {
	drawn := float64(xxhash.Sum64String(string(p.self)+" "+e.ID)) / math.MaxUint64 * float64(p.hosts)
	if drawn < bound && drawn < safeMean(bound) { // the first spares most hosts the second
		return 1
	}
	return 0
}

// safeMean gives the highest mean of many independent events of which more than bound
// happen with no more than _coldChance, by Chernoff's bound.
func safeMean(bound float64) float64 {
	over := math.Floor(bound) + 1
	low, high := 0.0, over
	for range 40 {
		mean := (low + high) / 2
		if over-mean+over*math.Log(mean/over) > math.Log(_coldChance) {
			high = mean
		} else {
			low = mean
		}
	}
	return low
}

// budget counts a service's requests and retries within the window of the
// deployment's bound.
type budget struct {
	requests window
	retries  window
}

func (p *Placer) budget(service core.ServiceName) *budget {
	b := p.budgets[service]
	if b == nil {
		b = &budget{}
		p.budgets[service] = b
	}
	return b
}

// First counts a request for a service.
func (p *Placer) First(now time.Time, service core.ServiceName) {
	p.budget(service).requests.add(now, p.bounds.RetryWindow)
}

// Again asks whether a request may be sent to one more endpoint, and counts it.
func (p *Placer) Again(now time.Time, service core.ServiceName) bool {
	b := p.budget(service)
	window := p.bounds.RetryWindow
	allowed := p.bounds.RetryShare * float64(b.requests.count(now, window))
	if p.sharing(now) {
		allowed += p.bounds.RetryExtra / float64(p.hosts)
	}
	if float64(b.retries.count(now, window)+1) > allowed {
		return false
	}
	b.retries.add(now, window)
	return true
}
