package await

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/place"
)

// The load that this answers: more generations arrive than the engines can take, so that
// requests wait until each of them is late. A host sees overload by its own requests alone,
// since all hosts place on the same engines: whether those that can be in time find room soon.
const (
	// _soonShare is the share of its goal within which a request finds room soon.
	_soonShare = 0.0625
	// _shortageWeight is the weight of the latest request in the share of those that did not
	// find room soon.
	_shortageWeight = 0.2
	// A service is overloaded from when more than _overloadedShare of its requests do not
	// find room soon until fewer than _recoveredShare do not.
	_overloadedShare = 0.5
	_recoveredShare  = 0.25
	// _overloadGap is how soon after an overload a further one counts as the same.
	_overloadGap = 3 * time.Second
	// _overloadedWaitShare is the share of its goal for which a request waits while its
	// service is overloaded. A longer queue would serve no more requests in time. A request
	// that needs more room than others waits longer, by the square of its size, since room
	// for it is found less often.
	_overloadedWaitShare = 0.125
	// _typicalWeight is the weight of the latest request in the average size of requests.
	_typicalWeight = 0.05
)

// Requests that cannot be in time any more are placed only where this takes nothing from those
// that can.
const (
	// _lateMemoryShare is the share of an engine's memory up to which they are placed, and
	// _overloadedLateMemoryShare that while their service is overloaded.
	_lateMemoryShare           = 0.85
	_overloadedLateMemoryShare = 0.5
	// _lateQueueShare is the share of the unread prompt tokens that engines may have, at which
	// an engine gets none of them.
	_lateQueueShare = 0.5
	// _lateGoals is for how many goals such a request waits. Callers give up a stream that
	// has no event after four.
	_lateGoals = 2.5
	// _lateTimeShare bounds this by the time that it has left.
	_lateTimeShare = 0.4
)

// pressure tracks whether the requests for a service find room.
type pressure struct {
	// shortShare is the average share of the requests that did not find room soon, of those
	// that could be in time when they arrived.
	shortShare float64
	// overloaded is true while the service is overloaded, since when the latest overload
	// began and until when it was last seen.
	overloaded   bool
	since, until time.Time
	// typicalTokens is the average memory that a request needs.
	typicalTokens float64
}

func (l *Line) pressure(service core.ServiceName) *pressure {
	s := l.pressures[service]
	if s == nil {
		s = &pressure{}
		l.pressures[service] = s
	}
	return s
}

// RecordArrival records that a request arrived, and completes it by when its caller first
// asked.
func (l *Line) RecordArrival(now time.Time, request *core.RoutedRequest) {
	if !hasGoal(request) {
		return
	}
	l.endpoints.RecordPrompt(request)
	s, need := l.pressure(request.Service), float64(l.endpoints.Need(request).Tokens)
	if s.typicalTokens == 0 {
		s.typicalTokens = need
	}
	s.typicalTokens += _typicalWeight * (need - s.typicalTokens)
	l.kind(kindOf(request)).recordGoal(now, request.Route.Goal)
	request.FirstAsked = l.firstAsked(now, request)
}

// recordWait records whether a request found room, and for how long it waited. One that was
// withdrawn soon tells nothing: its caller left.
func (l *Line) recordWait(now time.Time, spec *place.Spec, waited time.Duration, placed bool) {
	request := &spec.Request
	if !hasGoal(request) || spec.Continues {
		return
	}
	isLate := l.isLate(now.Add(-waited), spec)
	if placed || waited > goalShare(request, _soonShare) {
		l.recordDecision(now, spec, isLate, placed)
	}
	if isLate {
		return
	}
	s, short := l.pressure(request.Service), 1.0
	if waited <= goalShare(request, _soonShare) {
		if !placed {
			return
		}
		short = 0
	}
	s.shortShare += _shortageWeight * (short - s.shortShare)
	switch {
	case s.shortShare < _recoveredShare:
		s.overloaded = false
	case s.shortShare > _overloadedShare && !s.overloaded:
		s.overloaded = true
		if s.until.IsZero() || now.Sub(s.until) > _overloadGap {
			s.since = now
		}
	}
	if s.overloaded {
		s.until = now
	}
}

// overloadAge returns for how long a service has been overloaded; 0 if it is not.
func (l *Line) overloadAge(now time.Time, service core.ServiceName) time.Duration {
	s := l.pressure(service)
	if !s.overloaded {
		return 0
	}
	return now.Sub(s.since)
}

// isOverloaded reports whether most requests for a service did not find room soon of late.
func (l *Line) isOverloaded(service core.ServiceName) bool {
	return !l.switches.ServeByArrival && l.pressure(service).overloaded
}

// WaitUntil returns until when a request waits for room before it is refused.
func (l *Line) WaitUntil(now time.Time, spec *place.Spec) time.Time {
	request := &spec.Request
	latest, until := l.latestStart(request), request.Arrived.Add(request.Route.Goal)
	switch {
	case spec.Continues:
		until = now.Add(request.Route.GapGoal)
	case l.isLate(now, spec) && cameBack(request) && l.findsRoom(now, request):
		until = now.Add(goalShare(request, 1))
	case l.isLate(now, spec):
		until = now.Add(l.lateWait(now, request))
	case !latest.IsZero() && !l.switches.ServeByArrival:
		until = latest
		if l.isOverloaded(request.Service) && !l.findsRoom(now, request) {
			until = earlier(until, now.Add(l.overloadedWait(request)))
		}
	case until.Before(now):
		until = now.Add(request.Route.GapGoal)
	}
	return earlier(until, request.Deadline)
}

func (l *Line) overloadedWait(request *core.RoutedRequest) time.Duration {
	size := float64(l.endpoints.Need(request).Tokens) / max(l.pressure(request.Service).typicalTokens, 1)
	return goalShare(request, _overloadedWaitShare*max(size*size, 1))
}

// lateWait returns how long a request waits that cannot be in time any more.
func (l *Line) lateWait(now time.Time, request *core.RoutedRequest) time.Duration {
	wait := goalShare(request, _lateGoals)
	if l.overloadAge(now, request.Service) > wait {
		return 0
	}
	return min(wait, time.Duration(_lateTimeShare*float64(request.Deadline.Sub(now))))
}

// claim returns the part of an engine that a request may use.
func (l *Line) claim(now time.Time, spec *place.Spec) place.Claim {
	claim := place.Claim{}
	if spec.Continues {
		return claim
	}
	claim.Spare = l.spare(now, &spec.Request)
	switch {
	case !l.isLate(now, spec), cameBack(&spec.Request) && l.findsRoom(now, &spec.Request):
	case l.isOverloaded(spec.Request.Service):
		claim.MemoryShare, claim.QueueShare = _overloadedLateMemoryShare, _lateQueueShare
	default:
		claim.MemoryShare, claim.QueueShare = _lateMemoryShare, _lateQueueShare
	}
	return claim
}

// Room is what a host knows of the room for a request, for the log.
type Room struct {
	// Late is true if the request cannot be in time any more.
	Late bool
	// OverloadAge is for how long the service has been overloaded; 0 if it is not.
	OverloadAge time.Duration
	// ShortShare is the average share of the requests that did not find room soon.
	ShortShare float64
	// MemoryUse is the share of the engines' memory that is in use.
	MemoryUse float64
	// Waiting is the number of requests that wait at this host.
	Waiting int
	// SoonShare is the share of the requests of the same priority that were lately placed in time, on
	// all hosts. SpareUrgent is the room that the request leaves for more urgent ones, in requests,
	// SpareLarge the share of the engines on which its kind leaves room for large ones, and BeyondShare
	// whether its workspace asks for more than its share.
	SoonShare, SpareUrgent, SpareLarge float64
	BeyondShare                        bool
}

// Room returns what is known of the room for a request.
func (l *Line) Room(now time.Time, spec *place.Spec) Room {
	request := &spec.Request
	s, kind := l.pressure(request.Service), l.kind(kindOf(request))
	_, beyond := kind.fairParts[request.Workspace]
	return Room{
		Late: l.isLate(now, spec), OverloadAge: l.overloadAge(now, request.Service), ShortShare: s.shortShare,
		MemoryUse: l.endpoints.MemoryUse(now, request.Service), Waiting: len(l.waiting),
		SoonShare: kind.soonShare, SpareUrgent: kind.spare, SpareLarge: kind.largeShare, BeyondShare: beyond,
	}
}

// goalShare returns a share of the goal of a request's route.
func goalShare(request *core.RoutedRequest, share float64) time.Duration {
	return time.Duration(share * float64(request.Route.Goal))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
