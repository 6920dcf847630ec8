package front

import (
	"context"
	"expvar"
	"net/http"
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/origin"
	"apricotproxy/core/procs/place"
)

// _takeUps counts the streams that callers took up, by how their origin was found out.
var _takeUps = expvar.NewMap("apricotproxy.Routed.TakeUps")

// takeUp finds the build at which the stream was begun that the caller takes up, if it does, before
// this host's own first try. It returns false if it answered the caller: the stream cannot go on, since
// nobody knows the build.
func (e *exchange) takeUp(ctx context.Context) bool {
	lastEvent := e.incoming.Header.Get(e.front.config.Names.LastEventID)
	if e.triedTakeUp || e.begun {
		return true
	}
	e.triedTakeUp = true
	if lastEvent == "" || e.request.Route.Kind != core.RouteStreaming || !e.request.Route.Resumable {
		return true
	}
	stream := origin.Stream{
		Request:    origin.Key(e.incoming.Header.Get(e.front.config.Names.Resumes)),
		BegunAfter: e.request.Arrived.Add(-e.longestAge()),
	}
	for _, s := range e.request.Route.Services {
		stream.Services = append(stream.Services, s.Service)
	}
	ownCtx, cancel := context.WithTimeout(ctx, _claimTimeout)
	defer cancel()
	claim := origin.Claim{Stream: stream.Request, By: origin.Key(e.request.ID), Scope: e.scope(), Event: e.beganAt()}
	awaitOwn := e.front.EndAttempts(claim)
	found, source := e.front.config.Origins.find(ctx, e.request.Arrived, stream, claim, e.ownPart())
	if awaitOwn != nil {
		awaitOwn(ownCtx)
	}
	e.log("A caller takes up a stream.", "Resumes", stream.Request, "LastEventID", lastEvent, "Source", source.String(), "Build", string(found.Build), "Service", string(found.Service),
		"Took", time.Since(e.request.Arrived).Milliseconds())
	_takeUps.Add(source.String(), 1)
	switch {
	case source == origin.Unknown:
		e.answerError(http.StatusServiceUnavailable, "nobody knows which build began the stream", _retryAfter)
		return false
	case !slices.Contains(stream.Services, found.Service):
		e.answerError(http.StatusServiceUnavailable, "the route no longer leads to the service that began the stream", _retryAfter)
		return false
	}
	e.request.Service = found.Service
	e.begun, e.build, e.begunBy = true, found.Build, stream.Request
	return true
}

// scope returns the scope of the request.
func (e *exchange) scope() origin.Scope {
	return origin.ScopeOf(e.request.Route.Name, e.request.Workspace)
}

// longestAge returns how long ago a stream can have begun that is taken up now: the route's
// time-out or, where it has none, the time that this request has left.
func (e *exchange) longestAge() time.Duration {
	return max(e.request.Route.Timeout, e.request.Deadline.Sub(e.request.Arrived))
}

// ownPart returns the ID of the part of the prompt that belongs to this request alone; empty if
// the prompt has none.
func (e *exchange) ownPart() string {
	if parts := e.request.Prompt.Parts; len(parts) > 0 {
		return parts[len(parts)-1].ID
	}
	return ""
}

// confirmBuild makes sure that the endpoint of a run is of the build that began the stream. If none
// did, the stream gets the build that the endpoint's document tells, which is checked while the
// documents are outdated. A copy needs no check: only the incarnation that received it has it.
func (e *exchange) confirmBuild(ctx context.Context, run *place.Run, from string) error {
	config := e.front.config
	if config.ConfirmIncarnation == nil || e.engineSpec() == nil || e.request.Route.Kind != core.RouteStreaming {
		return nil
	}
	outdated := config.DocumentsOutdated != nil && config.DocumentsOutdated()
	if !origin.MustConfirm(e.begun, from != "", outdated) {
		return nil
	}
	return config.ConfirmIncarnation(ctx, run.Endpoint.RoutedEndpoint)
}

// recordBegin records at which build the stream goes on if its caller takes it up again.
func (e *exchange) recordBegin() {
	if !e.request.Route.Resumable {
		return
	}
	request := origin.Key(e.request.ID)
	if e.begunBy != "" {
		request = e.begunBy
	}
	e.front.config.Origins.begin(origin.Record{
		Request: request, Origin: origin.Origin{Service: e.request.Service, Build: e.build}, Until: time.Now().Add(e.longestAge()),
	})
}
