package place

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

// Choice is an endpoint with room for a request, as Pick found it. It is valid until the next
// view is applied.
type Choice struct{ e *endpoint }

// Claim is the part of an engine that a request may use. The zero value is all of it.
type Claim struct {
	// MemoryShare is the share of its memory up to which it may be filled; 0 for all that fits.
	MemoryShare float64
	// QueueShare is the share of the unread prompt tokens that engines may have, at which it is
	// not used; 0 for all of them.
	QueueShare float64
	// Spare is the room that must stay free; where several apply, the largest counts.
	Spare []Spare
}

// Spare is room that a request leaves free on a share of the engines, where they have other work.
// Which engines are meant follows from their IDs, so that all hosts leave it on the same ones; a
// larger share contains the engines of a smaller one.
type Spare struct {
	Tokens int
	Share  float64
}

// spareTokens returns the room that is left on an engine.
func (c Claim) spareTokens(id string) int {
	if len(c.Spare) == 0 {
		return 0
	}
	tokens, at := 0, float64(xxhash.Sum64String(id))/math.MaxUint64
	for _, s := range c.Spare {
		if at < s.Share {
			tokens = max(tokens, s.Tokens)
		}
	}
	return tokens
}

// allows reports whether an endpoint has room within the claim for a load that fits there.
// share is the share of its memory that is planned with.
func (c Claim) allows(e *endpoint, need Load, share float64) bool {
	if e.engine == nil {
		return true
	}
	load, memory := e.load(), float64(e.engine.MemoryTokens)
	if c.QueueShare > 0 && float64(load.Prefill) >= c.QueueShare*_maxQueuedPrefill {
		return false
	}
	if c.MemoryShare > 0 && float64(load.Tokens+need.Tokens) > c.MemoryShare*memory {
		return false
	}
	spare := c.spareTokens(e.ID)
	return load.Tokens == 0 || spare == 0 || memory == 0 || float64(load.Tokens+need.Tokens+spare) <= share*memory
}

// Start counts a run of a request on the endpoint that Pick chose.
func (p *Placer) Start(now time.Time, spec *Spec, choice Choice) *Run {
	return p.startRun(now, choice.e, p.requestLoad(&spec.Request))
}

// Need returns the load that a request puts on an endpoint.
func (p *Placer) Need(request *core.RoutedRequest) Load { return p.requestLoad(request) }

// MemoryUse returns the share of memory in use, over all engines of a service that accept new
// work.
func (p *Placer) MemoryUse(now time.Time, service core.ServiceName) float64 {
	return p.memoryUse(now, service)
}

// TakeFreed returns the endpoints on which runs of this host freed room since the last call.
func (p *Placer) TakeFreed() []Choice {
	var freed []Choice
	for _, e := range p.freed {
		freed = append(freed, Choice{e})
	}
	p.freed = nil
	return freed
}

// BuildStays reports whether an endpoint that stays could serve a request some time, by the
// build that it needs.
func (p *Placer) BuildStays(spec *Spec) bool {
	return !spec.OneBuild || slices.ContainsFunc(p.services[spec.Request.Service], func(e *endpoint) bool { return spec.allowsBuild(e) && p.stays(e) })
}

// FirstPermit returns when this host gets its first permit for an endpoint of a service that
// takes no request now because of a limit of all hosts; zero if there is none.
func (p *Placer) FirstPermit(now time.Time, service core.ServiceName) time.Time {
	return p.firstPermit(now, service)
}

// PermitsUntil returns how many permits of rate limits this host gets until a deadline from
// endpoints that could serve a request, or unlimited if one of them has no limit. There are
// none if no endpoint that could serve it opens by then, or if all endpoints of the build that
// it needs are leaving or gone.
func (p *Placer) PermitsUntil(now time.Time, spec *Spec, deadline time.Time) (permits int, unlimited bool) {
	if !p.BuildStays(spec) {
		return 0, false
	}
	opensAt := p.OpensAt(now, spec)
	if opensAt.IsZero() {
		return 0, true
	}
	if opensAt.After(deadline) {
		return 0, false
	}
	for _, e := range p.services[spec.Request.Service] {
		if !spec.allows(e) || !p.acceptsWhenOpen(now, e) || e.notice.closedUntil.After(deadline) {
			continue
		}
		if !p.mayHaveSlotBy(now, e, deadline) {
			continue
		}
		if !p.isRateLimited(now, e) {
			return 0, true
		}
		permits += p.permitsUntil(now, e, deadline)
	}
	return permits, false
}

// HostsAhead returns how many hosts of the data centre may take an endpoint's room before this
// one: its rank by a hash that differs by endpoint and changes each second, so that no host
// always comes first. Requests without a prompt are reported only with the next heartbeat, so
// waiting for a turn would gain nothing.
func (p *Placer) HostsAhead(now time.Time, choice Choice) int {
	if choice.e.engine == nil {
		return 0
	}
	salt := choice.e.ID + " " + strconv.FormatInt(now.Unix(), 10) + " "
	ownHash, ahead := xxhash.Sum64String(salt+string(p.self)), 0
	for from := range p.peers {
		if from.Host != "" && xxhash.Sum64String(salt+string(from.Host)) < ownHash {
			ahead++
		}
	}
	return ahead
}

// memoryShare returns the share of an engine's memory that is planned with.
func (p *Placer) memoryShare(e *endpoint, remoteShare float64) float64 {
	if e.DataCentre != p.dataCentre {
		return remoteShare
	}
	return _memoryShare
}
