package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/reqst/tries"
)

const (
	// Callers wait for the next event of a stream, by the platform's documentation, for _maxPause,
	// _maxPauseGoals times the route's Goal or _maxPauseGaps times its GapGoal, whichever is longest.
	_maxPause      = 2 * time.Second
	_maxPauseGoals = 4
	_maxPauseGaps  = 8
	// _unreachedRecheck is the pause before it is checked again whether an endpoint is used again that
	// did not respond.
	_unreachedRecheck = 50 * time.Millisecond
)

// place waits until the request is placed on an endpoint, and then returns nil. If it
// cannot be placed, place answers the caller, unless ctx has ended, and returns the
// result of the try.
func (e *exchange) place(ctx context.Context, step tries.Step, cutOff <-chan struct{}) *tryResult {
	spec := e.spec(e.excluded())
	run, verdict := e.placer().place(ctx, spec, cutOff)
	for verdict == place.NoEndpoint && !e.pickHost(step) && (e.awaitUnreached(ctx) || e.awaitSettled(ctx, spec.Exclude)) {
		spec = e.spec(e.excluded())
		run, verdict = e.placer().place(ctx, spec, cutOff)
	}
	if verdict == place.Placed {
		e.run = run
		e.notifyLoadChanged()
		return nil
	}
	if errors.Is(context.Cause(ctx), errBlocked) && e.checkBlocked() {
		return &tryResult{done: true}
	}
	if ctx.Err() != nil {
		return &tryResult{}
	}
	if e.failedHere = true; e.pickHost(step) {
		return &tryResult{result: tries.NotSent, err: errCutOff}
	}
	e.logNoRoom(spec, verdict)
	if e.delivered {
		e.cut("no endpoint has room to continue the stream")
	}
	e.answerNotServed("no endpoint has room", max(e.retryAfterNoRoom(), e.untilOpen(spec)))
	return &tryResult{done: true}
}

// awaitUnreached waits a moment if a stream that has begun may still go on at an endpoint that did not
// respond before it got the stream: a sound one may be silent for a second or so. It returns false once
// callers may no longer wait for the next event.
func (e *exchange) awaitUnreached(ctx context.Context) bool {
	if !e.delivered || len(e.unreached) == 0 || time.Since(e.lastEventAt) >= _maxPause {
		return false
	}
	e.triedEndpoints = slices.DeleteFunc(e.triedEndpoints, func(id string) bool { return slices.Contains(e.unreached, id) })
	select {
	case <-ctx.Done():
		return false
	case <-time.After(_unreachedRecheck):
		return true
	}
}

// spec describes where the request may run next. exclude lists the IDs of endpoints that must not
// be used.
func (e *exchange) spec(exclude []string) *place.Spec {
	return &place.Spec{Request: e.request.RoutedRequest, Exclude: exclude, Continues: e.delivered, OneBuild: e.begun, Build: e.build}
}

// answerNotServed answers a request that is not sent to a further endpoint: as refused, or
// as failed if an earlier try may have run.
func (e *exchange) answerNotServed(reason string, retryAfter time.Duration) {
	if e.tries.MayHaveRun() {
		e.answerError(http.StatusBadGateway, "the endpoint was lost; the request may have run", 0)
		return
	}
	e.answerError(http.StatusServiceUnavailable, reason, retryAfter)
}

// untilOpen returns the time until an endpoint accepts a request, if all asked for none; 0
// otherwise. A random part keeps callers from coming back at the same moment.
func (e *exchange) untilOpen(spec *place.Spec) time.Duration {
	opensAt := e.placer().opensAt(spec)
	if opensAt.IsZero() {
		return 0
	}
	return time.Until(opensAt) + time.Duration(rand.Float64()*float64(e.request.Route.Goal))
}

// retryAfterNoRoom returns the Retry-After for a request that found no room. For a generation
// the placer knows it. For other requests it is at least the route's Goal, since an immediate
// retry would only add to the load; a random part spreads the retries of callers that were
// refused at the same time.
func (e *exchange) retryAfterNoRoom() time.Duration {
	goal := e.request.Route.Goal
	if e.request.Prompt.Tokens > 0 {
		return max(time.Until(e.placer().comeBackAt(&e.request.RoutedRequest)), _retryAfter)
	}
	return max(goal+time.Duration(rand.Float64()*float64(goal)), _retryAfter)
}

// logNoRoom logs why a request found no room.
func (e *exchange) logNoRoom(spec *place.Spec, verdict place.Verdict) {
	request := &e.request.RoutedRequest
	room, reading := e.placer().room(spec), e.placer().reading(spec)
	e.front.counters.countNoRoom(request.FirstAsked.Before(request.Arrived) && !request.FirstAsked.IsZero(), room.OverloadAge > 0)
	e.log("No endpoint has room.", "Verdict", int(verdict), "Waited", time.Since(request.Arrived).Milliseconds(),
		"SinceFirstAsked", sinceFirstAsked(request).Milliseconds(), "Late", room.Late, "OverloadAge", room.OverloadAge.Milliseconds(),
		"ShortShare", room.ShortShare, "MemoryUse", room.MemoryUse, "Waiting", room.Waiting,
		"Workspace", string(request.Workspace), "Priority", request.Priority, "SoonShare", room.SoonShare, "SpareUrgent", room.SpareUrgent,
		"SpareLarge", room.SpareLarge, "BeyondShare", room.BeyondShare,
		"PrefillLimit", reading.Limit, "ShortQueue", reading.Short, "EnginesKept", reading.Kept, "EnginesOpen", reading.Open)
	e.front.counters.countRefusedKind(request.Service, request.Priority, room.BeyondShare)
}

// sinceFirstAsked returns how long ago a caller first asked, as far as that is known.
func sinceFirstAsked(request *core.RoutedRequest) time.Duration {
	if request.FirstAsked.IsZero() {
		return time.Since(request.Arrived)
	}
	return time.Since(request.FirstAsked)
}
