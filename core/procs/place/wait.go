package place

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

// _turnStep is how long each host's turn lasts: a heartbeat within a data centre takes
// a few milliseconds.
const _turnStep = 5 * time.Millisecond

// _agedShare is the share of the time that it may wait after which a waiting generation may
// not be overtaken any more.
const _agedShare = 0.7

// Waiter is a request that waits for room. Granted is called with its run, or with nil once no
// endpoint is left that could ever serve it.
type Waiter struct {
	Spec    *Spec
	Granted func(*Run)
	// Since is when the request began to wait.
	Since time.Time
	// turnAt is when the request may take the free room of an endpoint; zero while no
	// room is available to it.
	turnAt time.Time
	// permitAt is when the rate limit of an endpoint next lets the request be sent; zero if
	// no rate limit keeps it waiting.
	permitAt time.Time
}

// Enqueue adds a request to those that wait.
func (p *Placer) Enqueue(w *Waiter) { p.waiting = append(p.waiting, w) }

// Withdraw removes a request from the queue. It returns false when the request has
// already been granted.
func (p *Placer) Withdraw(w *Waiter) bool {
	i := slices.Index(p.waiting, w)
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

// GiveUp withdraws a request for which there was no room until it could wait no longer.
func (p *Placer) GiveUp(now time.Time, w *Waiter) bool {
	if !p.Withdraw(w) {
		return false
	}
	p.recordWait(now, w.Spec, now.Sub(w.Since), false)
	return true
}

// GrantWaiting grants the waiting requests for which there is room now. Room that this
// host's own run freed, by its end or once its prompt was read, is taken at once: no
// other host knows of it yet. Room that other hosts reported is seen by all hosts at
// the same moment, so each host waits for a turn of its own, by which it has received
// the loads of the hosts before it.
func (p *Placer) GrantWaiting(now time.Time) {
	freed := p.freed
	p.freed = nil
	if len(p.waiting) == 0 {
		return
	}
	slices.SortStableFunc(p.waiting, func(a, b *Waiter) int { return p.compare(now, a, b) })
	blocked := make(map[core.ServiceName]bool)
	permits := make(map[core.ServiceName]time.Time)
	p.waiting = slices.DeleteFunc(p.waiting, func(w *Waiter) bool {
		service := w.Spec.Request.Service
		if blocked[service] {
			w.turnAt = time.Time{}
			return false
		}
		if !p.buildStays(w.Spec) {
			w.Granted(nil)
			return true
		}
		e, verdict := p.pick(now, w.Spec)
		if e == nil {
			blocked[service] = verdict == Full && p.holdsBack(now, w)
			if _, known := permits[service]; !known {
				permits[service] = p.firstPermit(now, service)
			}
			w.turnAt, w.permitAt = time.Time{}, permits[service]
			return false
		}
		if w.turnAt.IsZero() {
			w.turnAt = now.Add(p.turnDelay(now, e))
		}
		if now.Before(w.turnAt) && !slices.Contains(freed, e) {
			return false
		}
		p.recordWait(now, w.Spec, now.Sub(w.Since), true)
		w.Granted(p.startRun(now, e, p.requestLoad(&w.Spec.Request)))
		return true
	})
}

// compare orders waiting requests. Streams of which the caller has a part come first, and what
// cannot be in time any more comes last. The others are ordered by priority and arrival. While
// their service is overloaded the one that must start first is first, since requests of a lower
// priority would otherwise get nothing.
func (p *Placer) compare(now time.Time, a, b *Waiter) int {
	first, second := &a.Spec.Request, &b.Spec.Request
	if order := cmp.Or(strings.Compare(string(first.Service), string(second.Service)), p.rank(now, a.Spec)-p.rank(now, b.Spec)); order != 0 {
		return order
	}
	if p.isOverloaded(first.Service) {
		return p.latestStart(first).Compare(p.latestStart(second))
	}
	return cmp.Or(first.Priority-second.Priority, first.Arrived.Compare(second.Arrived))
}

// rank returns 0 for a stream of which the caller has a part, 2 for a request that cannot be in
// time any more and 1 for others.
func (p *Placer) rank(now time.Time, spec *Spec) int {
	switch {
	case spec.Continues:
		return 0
	case p.isLate(now, spec):
		return 2
	default:
		return 1
	}
}

// reservedForWaiting reports whether free room is reserved for requests that already
// wait: for their turn, or for so long that they may not be overtaken.
func (p *Placer) reservedForWaiting(now time.Time, spec *Spec) bool {
	rank := p.rank(now, spec)
	return slices.ContainsFunc(p.waiting, func(w *Waiter) bool {
		return p.rank(now, w.Spec) <= rank && (!w.turnAt.IsZero() || p.aged(now, w)) &&
			w.Spec.Request.Service == spec.Request.Service && w.Spec.Request.Priority <= spec.Request.Priority
	})
}

// holdsBack reports whether a waiting request that finds no room keeps those behind it from being
// granted: it has aged and can still be in time. In an overload large prompts come first
// anyway, and room must not stay free.
func (p *Placer) holdsBack(now time.Time, w *Waiter) bool {
	return p.aged(now, w) && !p.isLate(now, w.Spec) && !p.isOverloaded(w.Spec.Request.Service)
}

// aged reports whether a generation has waited for so long that no request of the same
// or lower priority may overtake it: small prompts would keep taking the room before
// there is enough for a large one. A request that has already been tried on an endpoint
// does not count, since it may be waiting for one of few endpoints.
func (p *Placer) aged(now time.Time, w *Waiter) bool {
	r := &w.Spec.Request
	if r.Prompt.Tokens == 0 || r.Route == nil || len(w.Spec.Exclude) > 0 {
		return false
	}
	until := r.Arrived.Add(r.Route.Goal)
	if latest := p.latestStart(r); !p.switches.ServeByArrival && !latest.IsZero() {
		until = latest
	}
	return now.Sub(r.Arrived) > time.Duration(_agedShare*float64(until.Sub(r.Arrived)))
}

// NextTurn returns the earliest time at which a request that waits for its turn, or for a
// permit, may be granted; zero when none waits for one.
func (p *Placer) NextTurn() time.Time {
	var next time.Time
	for _, w := range p.waiting {
		for _, at := range []time.Time{w.turnAt, w.permitAt} {
			if !at.IsZero() && (next.IsZero() || at.Before(next)) {
				next = at
			}
		}
	}
	return next
}

// MayBePlacedBy reports whether a request that finds no room now may be placed by a deadline if
// it waits. It is false only if no endpoint that could serve it opens by then, if the
// permits of their rate limits do not suffice for the requests that wait already, or if all
// endpoints of the build that it needs are leaving or gone.
func (p *Placer) MayBePlacedBy(now time.Time, spec *Spec, deadline time.Time) bool {
	if !p.buildStays(spec) {
		return false
	}
	opensAt := p.OpensAt(now, spec)
	if opensAt.IsZero() {
		return true
	}
	if opensAt.After(deadline) {
		return false
	}
	permits := 0
	for _, e := range p.services[spec.Request.Service] {
		if !spec.allows(e) || !p.acceptsWhenOpen(now, e) || e.notice.closedUntil.After(deadline) {
			continue
		}
		if !p.isRateLimited(now, e) {
			return true
		}
		permits += p.permitsUntil(now, e, deadline)
	}
	for _, w := range p.waiting {
		if w.Spec.Request.Service == spec.Request.Service && w.Spec.Request.Priority <= spec.Request.Priority {
			permits--
		}
	}
	return permits > 0
}

// turnDelay returns how long a request waits before it takes an endpoint's room, so that
// other hosts can take it first. The delay grows with this host's rank among those of
// its data centre, by a hash that differs by endpoint and changes each second, so that no
// host always comes first. Requests without a prompt are reported only with the next
// heartbeat, so waiting for a turn would gain nothing.
func (p *Placer) turnDelay(now time.Time, e *endpoint) time.Duration {
	if e.engine == nil {
		return 0
	}
	salt := e.ID + " " + strconv.FormatInt(now.Unix(), 10) + " "
	ownHash, ahead := xxhash.Sum64String(salt+string(p.self)), 0
	for from := range p.peers {
		if from.Host != "" && xxhash.Sum64String(salt+string(from.Host)) < ownHash {
			ahead++
		}
	}
	return time.Duration(ahead) * _turnStep
}
