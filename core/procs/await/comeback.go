package await

import (
	"time"

	"apricotproxy/core"
)

// The load that this answers: callers that found no room in an overload come back while it
// lasts and are refused again. They follow a Retry-After only up to _maxComebackShare of the
// time that they have left, and try few times. One that comes back too early gets nothing; one
// that comes back later is no later than it is anyway, since its goal has passed.
const (
	_maxComebackShare = 1.0 / 3
	// _outlook is how many times as long as it has lasted an overload is expected to last
	// still.
	_outlook = 8
	// _comebackSpread is the share of its wait by which a caller comes back earlier, at most:
	// callers that were refused at the same time come back apart.
	_comebackSpread = 0.1
)

// ComeBackAt returns when the caller of a generation that found no room should ask again.
func (l *Line) ComeBackAt(now time.Time, request *core.RoutedRequest) time.Time {
	wait := request.Route.Goal + _outlook*l.overloadAge(now, request.Service)
	wait = min(wait, time.Duration(_maxComebackShare*float64(request.Deadline.Sub(now))))
	return now.Add(wait - time.Duration(l.random.Float64()*_comebackSpread*float64(wait)))
}

// A caller that comes back has less time to its deadline than at its first attempt. Nothing else
// that it sends tells so: each attempt has an ID of its own. Callers of one route allow
// different times, so that it counts as coming back only in and after an overload, and if a
// part of the usual time has gone that fits a Retry-After: others would wait behind all
// requests that can be in time.
const (
	_minElapsedShare = 0.2
	_maxElapsedShare = 0.5
	// _usualQuantile of the callers allow the usual time or less. It is tracked by steps of
	// _usualStep of its value.
	_usualQuantile = 0.9
	_usualStep     = 0.02
)

// firstAsked returns when the caller of a request first asked, as far as that can be told from
// its deadline.
func (l *Line) firstAsked(now time.Time, request *core.RoutedRequest) time.Time {
	allowed, prefix := request.Deadline.Sub(request.Arrived), request.Route.Prefix
	usual, known := l.usualTimes[prefix]
	if !known {
		usual = allowed
	}
	s := l.pressure(request.Service)
	if s.until.IsZero() || now.Sub(s.until) > usual {
		if allowed > usual {
			usual += time.Duration(_usualStep * _usualQuantile * float64(usual))
		} else {
			usual -= time.Duration(_usualStep * (1 - _usualQuantile) * float64(usual))
		}
		l.usualTimes[prefix] = usual
		return request.Arrived
	}
	elapsed := usual - allowed
	if float64(elapsed) < _minElapsedShare*float64(usual) || float64(elapsed) > _maxElapsedShare*float64(usual) {
		return request.Arrived
	}
	return request.Arrived.Add(-elapsed)
}

// cameBack reports whether the caller of a request was refused before.
func cameBack(request *core.RoutedRequest) bool {
	return !request.FirstAsked.IsZero() && request.FirstAsked.Before(request.Arrived)
}
