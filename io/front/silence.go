package front

import (
	"context"
	"slices"
	"time"

	"apricotproxy/core/procs/place"
	"apricotproxy/core/reqst/leave"
	"apricotproxy/core/reqst/tries"
	"apricotproxy/io/links"
)

const (
	// _silenceFactor times the route's GapGoal is the silence after which a stream's endpoint is
	// left if the stream can go on elsewhere.
	_silenceFactor = 4
	// _minSilenceTimeout is the least such silence: a sound endpoint may be silent for a second
	// or so.
	_minSilenceTimeout = 1500 * time.Millisecond
	// _silenceRecheck is the pause before it is checked again whether a silent endpoint can be left.
	_silenceRecheck = 200 * time.Millisecond
	// _maxRecheckDoublings bounds how often that pause is doubled, once for each endpoint that did not
	// take the request, or each time that the silent one was asked to stop the run.
	_maxRecheckDoublings = 3
)

// prepared is where a request goes on once it has left a silent endpoint.
type prepared struct {
	step tries.Step
	run  *place.Run
	// from identifies the copy that the run continues from; empty for a new run.
	from string
	// offer is the request if it was sent there before the silent endpoint is left; nil if not.
	offer *offer
}

func (p *prepared) nextStep() tries.Step {
	if p == nil {
		return 0
	}
	return p.step
}

// dropPrepared gives up the place that was taken for a further try.
func (e *exchange) dropPrepared() {
	if e.prepared != nil {
		if e.prepared.isOffered() {
			e.endOffered(e.prepared.offer, e.prepared.run)
			e.prepared.offer = nil
		}
		e.placer().end(e.prepared.run, 0)
		e.prepared = nil
	}
}

// newSilence watches the first event or the answer of a try. Nothing is asked if the request's
// own deadline comes first: that ends the request, and says nothing of the endpoint.
func (e *exchange) newSilence(ctx context.Context, sameRun bool) *links.Silence {
	s := &links.Silence{}
	s.Ask = func() error {
		e.countTry(sameRun)
		return e.askSilent(ctx)
	}
	route := e.request.Route
	limit := time.Duration(0)
	switch {
	case e.continued && route.Resumable:
		limit = e.silenceTimeout()
	case e.tries.MayRunAgain() && route.Goal > 0:
		limit = route.Goal
	}
	if limit > 0 && limit < time.Until(e.request.Deadline) {
		s.AskAt = time.Now().Add(limit)
	}
	return s
}

// countTry counts the current try as sent, once.
func (e *exchange) countTry(sameRun bool) {
	if !e.counted {
		e.counted = true
		e.tries.Sent(sameRun)
	}
}

// silenceTimeout returns after which silence a stream leaves its endpoint if it can go on
// elsewhere.
func (e *exchange) silenceTimeout() time.Duration {
	return max(_silenceFactor*e.request.Route.GapGoal, _minSilenceTimeout)
}

// askSilent returns errSlow if the request leaves its silent endpoint. It does so only once a place
// elsewhere is taken, the run of a stream that has begun is known not to go on, and the endpoint there
// has accepted the request. A silent endpoint may go on, so otherwise it is waited for.
func (e *exchange) askSilent(ctx context.Context) error {
	step := e.prepared.nextStep()
	if step == 0 {
		step = e.tries.Elsewhere(e.situation(tryResult{}))
	}
	if e.pickHost(step) {
		e.log("A silent endpoint is left.", "Endpoint", e.run.Endpoint.ID, "Silent", e.silentFor().Milliseconds(), "Next", step.String(), "To", e.host.Name)
		return errSlow
	}
	if (e.prepared != nil || e.prepare(ctx, step)) && e.mayGoOn(ctx, step) && e.isAccepted() {
		e.log("A silent endpoint is left.", "Endpoint", e.run.Endpoint.ID, "Silent", e.silentFor().Milliseconds(), "Next", e.prepared.step.String(),
			"To", e.prepared.run.Endpoint.ID, "Evidence", e.stop.evidence.String())
		return errSlow
	}
	if !e.waitLogged {
		e.log("A silent endpoint is waited for.", "Endpoint", e.run.Endpoint.ID, "Silent", e.silentFor().Milliseconds(), "Step", step.String(),
			"Evidence", e.stop.evidence.String())
	}
	e.waitLogged = true
	pause := _silenceRecheck << min(max(e.offersDeclined, e.stop.asked-1, 0), _maxRecheckDoublings)
	if e.stop.pending != nil || e.prepared.isOffered() {
		pause = _stopPoll
	}
	e.silence.AskAt = time.Now().Add(pause)
	return nil
}

// mayGoOn reports whether the request may go on at the place that was prepared.
func (e *exchange) mayGoOn(ctx context.Context, step tries.Step) bool {
	if step == tries.Again {
		return true // only requests that may run twice are sent anew
	}
	if e.decideLeave(ctx, e.currentRun(), e.prepared.run.Endpoint.RoutedEndpoint) == leave.Leave {
		e.continueFrom(e.stop.copyAt(e.prepared.run.Endpoint.Address))
		return true
	}
	if e.stop.pending == nil && step == tries.Continue {
		e.dropPrepared() // it would take up the place for as long as the endpoint is silent
	}
	return false
}

// prepare takes a place for a step and reports whether it got one.
func (e *exchange) prepare(ctx context.Context, step tries.Step) bool {
	switch step {
	case tries.Again, tries.Resume:
		return e.prepareRun(ctx, step)
	case tries.Continue:
		return e.prepareContinuation(ctx)
	default:
		return false
	}
}

// prepareRun takes a place at an endpoint that can be reached, and a retry.
func (e *exchange) prepareRun(ctx context.Context, step tries.Step) bool {
	if !e.placer().hasRetry(e.request.Service) {
		return false
	}
	run := e.placer().placeNow(e.spec(slices.Concat(e.excluded(), []string{e.run.Endpoint.ID})))
	if run == nil {
		return false
	}
	if err := e.front.config.Links.Connect(ctx, run.Endpoint.RoutedEndpoint); err != nil {
		e.failedHere = true
		e.placer().end(run, e.endpointOutcome(ctx, dialOutcome(err)))
		return false
	}
	if e.confirmBuild(ctx, run, "") != nil {
		e.placer().end(run, e.endpointOutcome(ctx, place.Unreachable))
		return false
	}
	if !e.placer().allowRetry(e.request.Service) {
		e.placer().end(run, 0)
		return false
	}
	e.prepared = &prepared{step: step, run: run}
	e.notifyLoadChanged()
	return true
}

// prepareContinuation takes the place at the endpoint of the copy, if that can be reached.
func (e *exchange) prepareContinuation(ctx context.Context) bool {
	copied, from := e.backup.copied()
	if copied == nil || !e.placer().usable(copied.Endpoint.Key()) {
		return false
	}
	if err := e.front.config.Links.Connect(ctx, copied.Endpoint.RoutedEndpoint); err != nil {
		return false
	}
	run, ok := e.placer().placeOn(copied.Endpoint.Key(), &e.request.RoutedRequest)
	if !ok {
		return false
	}
	e.prepared = &prepared{step: tries.Continue, run: run, from: from}
	return true
}

// silentFor returns how long the current try has brought no event, or since it was sent if it
// has brought none; 0 if it was not sent.
func (e *exchange) silentFor() time.Duration {
	since := e.sentAt
	if e.firstEventAt.After(since) {
		since = e.lastEventAt
	}
	if since.IsZero() {
		return 0
	}
	return time.Since(since)
}
