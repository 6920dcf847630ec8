package await

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/place"
)

// latestStart returns the last time at which a generation is expected to be in time; zero for other
// requests.
func (l *Line) latestStart(request *core.RoutedRequest) time.Time {
	return l.endpoints.LatestStart(request)
}

// isLate reports whether a generation is not expected to be in time any more, wherever it
// starts. A stream of which the caller has a part is never late: its next event has a goal of
// its own.
func (l *Line) isLate(now time.Time, spec *place.Spec) bool {
	if l.switches.ServeByArrival || spec.Continues {
		return false
	}
	latest := l.latestStart(&spec.Request)
	return !latest.IsZero() && now.After(latest)
}

// hasGoal reports whether a request is a generation whose first event has a goal.
func hasGoal(request *core.RoutedRequest) bool {
	return request.Prompt.Tokens > 0 && request.Route != nil && request.Route.Goal > 0
}
