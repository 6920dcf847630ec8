package place

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

// _turnStep is how long each host's turn lasts: a heartbeat within a data centre takes
// a few milliseconds.
const _turnStep = 5 * time.Millisecond

// _agedGoalShare is the share of its goal after which a waiting generation may not be
// overtaken any more.
const _agedGoalShare = 0.7

// Waiter is a request that waits for room. Granted is called with its run.
type Waiter struct {
	Spec    *Spec
	Granted func(*Run)
	// turnAt is when the request may take the free room of an endpoint; zero while no
	// room is available to it.
	turnAt time.Time
	// permitAt is when the rate limit of an endpoint next lets the request be sent; zero if
	// no rate limit keeps it waiting.
	permitAt time.Time
}

// Enqueue adds a request to the queue, which is ordered by priority and then by
// arrival.
func (p *Placer) Enqueue(w *Waiter) {
	i, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *Waiter) int {
		if a.Spec.Request.Priority != b.Spec.Request.Priority {
			return a.Spec.Request.Priority - b.Spec.Request.Priority
		}
		return a.Spec.Request.Arrived.Compare(b.Spec.Request.Arrived)
	})
	p.waiting = slices.Insert(p.waiting, i, w)
}

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
	blocked := make(map[core.ServiceName]bool)
	permits := make(map[core.ServiceName]time.Time)
	p.waiting = slices.DeleteFunc(p.waiting, func(w *Waiter) bool {
		service := w.Spec.Request.Service
		if blocked[service] {
			w.turnAt = time.Time{}
			return false
		}
		e, verdict := p.pick(now, w.Spec)
		if e == nil {
			blocked[service] = verdict == Full && w.aged(now)
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
		w.Granted(p.startRun(now, e, p.requestLoad(&w.Spec.Request)))
		return true
	})
}

// reservedForWaiting reports whether free room is reserved for requests that already
// wait: for their turn, or for so long that they may not be overtaken.
func (p *Placer) reservedForWaiting(now time.Time, spec *Spec) bool {
	return slices.ContainsFunc(p.waiting, func(w *Waiter) bool {
		return (!w.turnAt.IsZero() || w.aged(now)) &&
			w.Spec.Request.Service == spec.Request.Service && w.Spec.Request.Priority <= spec.Request.Priority
	})
}

// aged reports whether a generation has waited for so long that no request of the same
// or lower priority may overtake it: small prompts would keep taking the room before
// there is enough for a large one. A request that has already been tried on an endpoint
// does not count, since it may be waiting for one of few endpoints.
func (w *Waiter) aged(now time.Time) bool {
	r := &w.Spec.Request
	if r.Prompt.Tokens == 0 || r.Route == nil || len(w.Spec.Exclude) > 0 {
		return false
	}
	return now.Sub(r.Arrived) > time.Duration(_agedGoalShare*float64(r.Route.Goal))
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
// it waits. It is false only if no endpoint that could serve it opens by then, or if the
// permits of their rate limits do not suffice for the requests that wait already.
func (p *Placer) MayBePlacedBy(now time.Time, spec *Spec, deadline time.Time) bool {
	opensAt := p.OpensAt(now, spec)
	if opensAt.IsZero() {
		return true
	}
	if opensAt.After(deadline) {
		return false
	}
	permits := 0
	for _, e := range p.services[spec.Request.Service] {
		if !p.acceptsWhenOpen(now, e, spec.Exclude) || e.notice.closedUntil.After(deadline) {
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
