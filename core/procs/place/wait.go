package place

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

// _turnStep is how long one host's turn lasts: a heartbeat within a data centre takes
// a few milliseconds.
const _turnStep = 5 * time.Millisecond

// _agedShare is the share of its goal for which a generation may be passed by others.
const _agedShare = 0.7

// Waiter is a request that waits for room. Granted gets its run.
type Waiter struct {
	Want    *Want
	Granted func(*Run)
	// turn is when it may take the room that is there; zero while there is none.
	turn time.Time
}

// Enqueue lets a request wait: more urgent ones first, then in order of arrival.
func (p *Placer) Enqueue(w *Waiter) {
	i, _ := slices.BinarySearchFunc(p.waiting, w, func(a, b *Waiter) int {
		if a.Want.Request.Priority != b.Want.Request.Priority {
			return a.Want.Request.Priority - b.Want.Request.Priority
		}
		return a.Want.Request.Arrived.Compare(b.Want.Request.Arrived)
	})
	p.waiting = slices.Insert(p.waiting, i, w)
}

// Withdraw takes a request out of the queue; false when it was granted.
func (p *Placer) Withdraw(w *Waiter) bool {
	i := slices.Index(p.waiting, w)
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

// Release grants what waits and has room now. Room that a run of this host's own made,
// by its end or with its prompt read, is taken at once: no other host knows of it yet.
// Room that others told of is seen by all hosts at the same moment; each takes it at a
// turn of its own, by which it has heard of those before it.
func (p *Placer) Release(now time.Time) {
	freed := p.freed
	p.freed = nil
	if len(p.waiting) == 0 {
		return
	}
	blocked := make(map[core.ServiceName]bool)
	p.waiting = slices.DeleteFunc(p.waiting, func(w *Waiter) bool {
		service := w.Want.Request.Service
		if blocked[service] {
			w.turn = time.Time{}
			return false
		}
		e, verdict := p.pick(now, w.Want)
		if e == nil {
			blocked[service] = verdict == Full && w.aged(now)
			w.turn = time.Time{}
			return false
		}
		if w.turn.IsZero() {
			w.turn = now.Add(p.turnDelay(now, e))
		}
		if now.Before(w.turn) && !slices.Contains(freed, e) {
			return false
		}
		w.Granted(p.begin(now, e, p.need(&w.Want.Request)))
		return true
	})
}

// outranked tells whether the room that is there is for requests that wait already:
// for their turn, or for so long that nothing may pass them.
func (p *Placer) outranked(now time.Time, want *Want) bool {
	return slices.ContainsFunc(p.waiting, func(w *Waiter) bool {
		return (!w.turn.IsZero() || w.aged(now)) &&
			w.Want.Request.Service == want.Request.Service && w.Want.Request.Priority <= want.Request.Priority
	})
}

// aged tells whether a generation has waited for so long that nothing of the same or
// less urgency may pass it any more: small ones would take each room before it is large
// enough. One that was sent before does not count, since it may wait for few endpoints.
func (w *Waiter) aged(now time.Time) bool {
	r := &w.Want.Request
	if r.Prompt.Tokens == 0 || r.Route == nil || len(w.Want.Exclude) > 0 {
		return false
	}
	return now.Sub(r.Arrived) > time.Duration(_agedShare*float64(r.Route.Goal))
}

// NextTurn gives the first moment at which Release may grant something that waits
// for its turn; zero when nothing does.
func (p *Placer) NextTurn() time.Time {
	var next time.Time
	for _, w := range p.waiting {
		if !w.turn.IsZero() && (next.IsZero() || w.turn.Before(next)) {
			next = w.turn
		}
	}
	return next
}

// turnDelay is how long a request leaves an endpoint's room to others: the place of
// this host among those of its data centre, which differs by endpoint and changes each
// second, so that no host always comes first. Requests without a prompt are told of with
// the next heartbeat only, so that turns would be for nothing.
func (p *Placer) turnDelay(now time.Time, e *endpoint) time.Duration {
	if e.engine == nil {
		return 0
	}
	round := e.ID + " " + strconv.FormatInt(now.Unix(), 10) + " "
	own, before := xxhash.Sum64String(round+string(p.self)), 0
	for from := range p.peers {
		if from.Host != "" && xxhash.Sum64String(round+string(from.Host)) < own {
			before++
		}
	}
	return time.Duration(before) * _turnStep
}
