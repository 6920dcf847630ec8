package front

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"apricotproxy/core/procs/origin"
	"apricotproxy/core/reqst/leave"
)

const (
	// _lateStop is how long after a request to stop a run that got no answer its endpoint may still act on it.
	_lateStop = 500 * time.Millisecond
	// _settleWait is how long after its last event a stream waits for an endpoint that may still stop an earlier run
	// of it, if there is no other one. It exceeds _relayedEndTime.
	_settleWait = 4 * time.Second
)

// endingKey identifies the runs of a request. Callers choose the IDs.
type endingKey struct {
	request string
	scope   origin.Scope
}

// relayedRun is a run at an endpoint that another host was asked to end.
type relayedRun struct {
	endpoint string
	// over is closed once the other host has answered that the run cannot be stopped any more. It is
	// asked until the given time.
	over  <-chan struct{}
	until time.Time
}

func (r *relayedRun) isOver() bool { return isClosed(r.over) }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// isUnanswered reports whether an endpoint may still act on a request to stop a run.
func isUnanswered(evidence leave.Evidence) bool {
	return evidence == leave.Asked || evidence == leave.Declined
}

// cancelPending ends the request to stop the run that is under way.
func (r *abandonedRun) cancelPending() {
	if r.pending == nil {
		return
	}
	r.pending.cancel()
	<-r.pending.done
	r.takePending()
}

// takePending takes over the result of the request to stop the run if it is done. It returns 0 if it is not.
func (r *abandonedRun) takePending() leave.Evidence {
	if r.pending == nil || !isClosed(r.pending.done) {
		return 0
	}
	evidence := r.pending.evidence
	r.pending = nil
	if isUnanswered(evidence) {
		r.unansweredAt = time.Now()
	}
	return evidence
}

// settle closes settled once no request to stop the run can have an effect any more, if its endpoint is not slow.
func (e *endings) settle(begun *ending) {
	begun.run.answeredAt = time.Now()
	if at := begun.run.unansweredAt; at.IsZero() || sleepUnlessDone(e.stopped, time.Until(at.Add(_lateStop))) {
		close(begun.settled)
	}
}

// add registers a run that is being ended.
func (e *endings) add(begun *ending) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := begun.run.key()
	e.unsettled[key] = append(e.unsettled[key], begun)
}

// remove removes what add has registered.
func (e *endings) remove(begun *ending) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := begun.run.key()
	rest := slices.DeleteFunc(e.unsettled[key], func(other *ending) bool { return other == begun })
	if len(rest) == 0 {
		delete(e.unsettled, key)
		return
	}
	e.unsettled[key] = rest
}

// of returns the runs of a request that are being ended.
func (e *endings) of(key endingKey) []*ending {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.unsettled[key])
}

// areAny reports whether runs are being ended.
func (e *endings) areAny() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.unsettled) > 0
}

func (r *abandonedRun) key() endingKey {
	return endingKey{request: origin.Key(r.request), scope: r.scope}
}

// awaitSettled waits until no run of a request is being ended. It returns false if ctx ends before.
func (e *endings) awaitSettled(ctx context.Context, key endingKey) bool {
	for _, begun := range e.of(key) {
		select {
		case <-begun.settled:
		case <-ctx.Done():
			return false
		}
	}
	return ctx.Err() == nil
}

// unsettledEndpoints returns the IDs of the endpoints that may still stop an earlier run of the request, and then
// would stop the next one, which has the same ID.
func (e *exchange) unsettledEndpoints() (ids []string) {
	for _, earlier := range e.endings {
		if !isClosed(earlier.settled) {
			ids = append(ids, earlier.run.endpoint.ID)
		}
	}
	for _, r := range e.relayedRuns {
		if !r.isOver() && time.Now().Before(r.until) {
			ids = append(ids, r.endpoint)
		}
	}
	if e.front.endings.areAny() {
		for _, begun := range e.front.endings.of(endingKey{request: origin.Key(e.request.ID), scope: e.scope()}) {
			ids = append(ids, begun.run.endpoint.ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// excluded returns the IDs of the endpoints at which the next run must not be.
func (e *exchange) excluded() []string {
	return slices.Concat(e.triedEndpoints, e.unsettledEndpoints())
}

// awaitSettled waits a moment if the stream may go on at an endpoint that was excluded since it may still stop an
// earlier run. It returns false once that has taken too long.
func (e *exchange) awaitSettled(ctx context.Context, excluded []string) bool {
	if !e.delivered || len(excluded) == len(e.triedEndpoints) || time.Since(e.lastEventAt) >= _settleWait {
		return false
	}
	return sleepUnlessDone(ctx, _stopPoll)
}

// awaitSettledFewer waits until fewer endpoints are to be excluded, which may be tried once more then. It returns
// false if that takes too long, or there are none.
func (e *exchange) awaitSettledFewer(ctx context.Context) bool {
	before := e.unsettledEndpoints()
	if !e.delivered || len(before) == 0 {
		return false
	}
	e.resumeEndings()
	now := before
	for len(now) >= len(before) {
		if time.Since(e.lastEventAt) >= _settleWait || !sleepUnlessDone(ctx, _stopPoll) {
			return false
		}
		now = e.unsettledEndpoints()
	}
	e.triedEndpoints = slices.DeleteFunc(e.triedEndpoints, func(id string) bool { return slices.Contains(before, id) && !slices.Contains(now, id) })
	return true
}

// resumeEndings goes on with ending earlier runs where that was given up before the request was relayed: the other
// host has not placed it at their endpoints.
func (e *exchange) resumeEndings() {
	for i, earlier := range e.endings {
		if !isClosed(earlier.done) || earlier.isOver {
			continue
		}
		if begun := e.front.endings.begin(earlier.run); begun != nil {
			e.endings[i] = begun
		}
	}
}

// newStopRequests returns what is known of requests to stop the next run before it begins: its endpoint may still act on one to stop
// an earlier run of the same ID. settleEndings is called before.
func (e *exchange) newStopRequests() *stopRequests {
	endpoint := e.run.Endpoint.RoutedEndpoint
	requests := &stopRequests{
		isDoubtful: slices.ContainsFunc(e.relayedRuns, func(r relayedRun) bool { return r.endpoint == endpoint.ID && !r.isOver() }),
	}
	for _, earlier := range e.endings {
		switch {
		case earlier.run.endpoint.Address != endpoint.Address || earlier.run.unansweredAt.IsZero():
		case isClosed(earlier.settled):
			requests.setDoubtfulUntil(earlier.run.answeredAt.Add(e.silenceTimeout()))
		default:
			requests.isDoubtful = true
		}
	}
	return requests
}

// setExcluded tells another host, in a relayed request, at which endpoints the run must not be.
func (e *exchange) setExcluded(header http.Header) {
	header.Del(_relayExclude)
	for _, id := range e.unsettledEndpoints() {
		header.Add(_relayExclude, url.QueryEscape(id))
	}
}

// takeExcluded takes over at which endpoints a relayed request must not run.
func (e *exchange) takeExcluded(header http.Header) {
	if e.request.relayedBy == "" {
		return
	}
	for _, text := range header.Values(_relayExclude) {
		if id, err := url.QueryUnescape(text); err == nil {
			e.triedEndpoints = append(e.triedEndpoints, id)
		}
	}
}

// setRelayedEndpoint records at which endpoint another host runs the request. A host that tells it has also kept
// off those that it was told.
func (e *exchange) setRelayedEndpoint(header http.Header) {
	id, err := url.QueryUnescape(header.Get(_relayEndpoint))
	if err != nil || id == "" {
		return
	}
	e.relayedAt = id
	e.resumeEndings()
}
