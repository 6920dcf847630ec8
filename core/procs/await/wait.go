package await

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/place"
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
	Spec    *place.Spec
	Granted func(*place.Run)
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
func (l *Line) Enqueue(w *Waiter) { l.waiting = append(l.waiting, w) }

// Withdraw removes a request from the queue. It returns false when the request has
// already been granted.
func (l *Line) Withdraw(w *Waiter) bool {
	i := slices.Index(l.waiting, w)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// GiveUp withdraws a request for which there was no room until it could wait no longer.
func (l *Line) GiveUp(now time.Time, w *Waiter) bool {
	if !l.Withdraw(w) {
		return false
	}
	l.recordWait(now, w.Spec, now.Sub(w.Since), false)
	return true
}

// GrantWaiting grants the waiting requests for which there is room now. Room that this
// host's own run freed, by its end or once its prompt was read, is taken at once: no
// other host knows of it yet. Room that other hosts reported is seen by all hosts at
// the same moment, so each host waits for a turn of its own, by which it has received
// the loads of the hosts before it.
func (l *Line) GrantWaiting(now time.Time) {
	freed := l.endpoints.TakeFreed()
	if len(l.waiting) == 0 {
		return
	}
	slices.SortStableFunc(l.waiting, func(a, b *Waiter) int { return l.compare(now, a, b) })
	blocked := make(map[core.ServiceName]bool)
	permits := make(map[core.ServiceName]time.Time)
	l.waiting = slices.DeleteFunc(l.waiting, func(w *Waiter) bool {
		service := w.Spec.Request.Service
		if blocked[service] {
			w.turnAt = time.Time{}
			return false
		}
		if !l.endpoints.BuildStays(w.Spec) {
			w.Granted(nil)
			return true
		}
		choice, verdict := l.endpoints.Pick(now, w.Spec, l.claim(now, w.Spec))
		if verdict != place.Placed {
			blocked[service] = verdict == place.Full && l.holdsBack(now, w)
			if _, known := permits[service]; !known {
				permits[service] = l.endpoints.FirstPermit(now, service)
			}
			w.turnAt, w.permitAt = time.Time{}, permits[service]
			return false
		}
		if w.turnAt.IsZero() {
			w.turnAt = now.Add(l.turnDelay(now, choice))
		}
		if now.Before(w.turnAt) && !slices.Contains(freed, choice) {
			return false
		}
		l.recordWait(now, w.Spec, now.Sub(w.Since), true)
		w.Granted(l.endpoints.Start(now, w.Spec, choice))
		return true
	})
}

// compare orders waiting requests. Streams of which the caller has a part come first, and what
// cannot be in time any more comes last. The others are ordered by priority and arrival. While
// their service is overloaded the one that must start first is first, since requests of a lower
// priority would otherwise get nothing.
func (l *Line) compare(now time.Time, a, b *Waiter) int {
	first, second := &a.Spec.Request, &b.Spec.Request
	if order := cmp.Or(strings.Compare(string(first.Service), string(second.Service)), l.rank(now, a.Spec)-l.rank(now, b.Spec)); order != 0 {
		return order
	}
	if l.isOverloaded(first.Service) {
		return l.latestStart(first).Compare(l.latestStart(second))
	}
	return cmp.Or(first.Priority-second.Priority, first.Arrived.Compare(second.Arrived))
}

// rank returns 0 for a stream of which the caller has a part, 2 for a request that cannot be in
// time any more and 1 for others.
func (l *Line) rank(now time.Time, spec *place.Spec) int {
	switch {
	case spec.Continues:
		return 0
	case l.isLate(now, spec):
		return 2
	default:
		return 1
	}
}

// reservedForWaiting reports whether free room is reserved for requests that already
// wait: for their turn, or for so long that they may not be overtaken.
func (l *Line) reservedForWaiting(now time.Time, spec *place.Spec) bool {
	rank := l.rank(now, spec)
	return slices.ContainsFunc(l.waiting, func(w *Waiter) bool {
		return l.rank(now, w.Spec) <= rank && (!w.turnAt.IsZero() || l.aged(now, w)) &&
			w.Spec.Request.Service == spec.Request.Service && w.Spec.Request.Priority <= spec.Request.Priority
	})
}

// holdsBack reports whether a waiting request that finds no room keeps those behind it from being
// granted: it has aged and can still be in time. In an overload large prompts come first
// anyway, and room must not stay free.
func (l *Line) holdsBack(now time.Time, w *Waiter) bool {
	return l.aged(now, w) && !l.isLate(now, w.Spec) && !l.isOverloaded(w.Spec.Request.Service)
}

// aged reports whether a generation has waited for so long that no request of the same
// or lower priority may overtake it: small prompts would keep taking the room before
// there is enough for a large one. A request that has already been tried on an endpoint
// does not count, since it may be waiting for one of few endpoints.
func (l *Line) aged(now time.Time, w *Waiter) bool {
	r := &w.Spec.Request
	if r.Prompt.Tokens == 0 || r.Route == nil || len(w.Spec.Exclude) > 0 {
		return false
	}
	until := r.Arrived.Add(r.Route.Goal)
	if latest := l.latestStart(r); !l.switches.ServeByArrival && !latest.IsZero() {
		until = latest
	}
	return now.Sub(r.Arrived) > time.Duration(_agedShare*float64(until.Sub(r.Arrived)))
}

// NextTurn returns the earliest time at which a request that waits for its turn, or for a
// permit, may be granted; zero when none waits for one.
func (l *Line) NextTurn() time.Time {
	var next time.Time
	for _, w := range l.waiting {
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
func (l *Line) MayBePlacedBy(now time.Time, spec *place.Spec, deadline time.Time) bool {
	permits, unlimited := l.endpoints.PermitsUntil(now, spec, deadline)
	if unlimited {
		return true
	}
	for _, w := range l.waiting {
		if w.Spec.Request.Service == spec.Request.Service && w.Spec.Request.Priority <= spec.Request.Priority {
			permits--
		}
	}
	return permits > 0
}

// turnDelay returns how long a request waits before it takes an endpoint's room, so that
// other hosts can take it first.
func (l *Line) turnDelay(now time.Time, choice place.Choice) time.Duration {
	return time.Duration(l.endpoints.HostsAhead(now, choice)) * _turnStep
}
