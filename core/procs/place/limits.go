package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

const (
	// _coldWindow is the span in which a cold endpoint's requests are counted:
	// its rate is given per second.
	_coldWindow = time.Second
	// _hostsUnknown is how many hosts are assumed before any was heard of.
	_hostsUnknown = 16
	// _hostsMargin is how many hosts may live for each one that was heard of:
	// hosts are added, and hosts on the other side of a partition still work.
	_hostsMargin = 1.5
)

// SetHosts tells how many hosts were heard of lately. Limits that all hosts
// share are divided by a bound on the hosts that may live. The bound does not
// fall when hosts go silent: they may be working on the other side of a
// partition.
func (p *Placer) SetHosts(heard int) {
	p.hosts = max(int(float64(heard)*_hostsMargin)+1, p.hosts)
	if p.hosts == _hostsUnknown && heard > 1 {
		p.hosts = int(float64(heard)*_hostsMargin) + 1
	}
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

// _staggerStep is how long after one host the next begins to use an endpoint that
// has just become warm: a heartbeat within the data centre takes a few
// milliseconds.
const _staggerStep = 10 * time.Millisecond

// stagger is how long after an endpoint became warm this host begins to use it.
// When memory is short, requests wait at all hosts for the next engine; all of
// them would go there at the same moment, before any host hears of another's.
func (p *Placer) stagger(e *endpoint) time.Duration {
	if e.ColdUntil.IsZero() {
		return 0
	}
	turn := xxhash.Sum64String(string(p.self)+" "+e.ID) % uint64(p.hosts)
	return time.Duration(turn) * _staggerStep
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
	bound := s.ColdPerSecond*p.bounds.ColdFactor + p.bounds.ColdExtra
	return float64(e.cold.count(now, _coldWindow)+1) <= bound/float64(p.hosts)
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
	allowed := p.bounds.RetryShare*float64(b.requests.count(now, window)) + p.bounds.RetryExtra/float64(p.hosts)
	if float64(b.retries.count(now, window)+1) > allowed {
		return false
	}
	b.retries.add(now, window)
	return true
}
