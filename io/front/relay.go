package front

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/procs/reach"
	"apricotproxy/core/reqst/tries"
	"apricotproxy/io/links"
)

// Headers of the hop between two hosts. They are sent to no endpoint and no caller.
const (
	// _relayedBy names the host that relays the request. A request that has it is relayed no further.
	_relayedBy = "Relayed-By"
	// _relayAttempts is on how many endpoints the request may still run.
	_relayAttempts = "Relay-Attempts"
	// _relayService and _relayBuild tell, in the head of a stream, which service and build wrote it.
	_relayService = "Relay-Service"
	_relayBuild   = "Relay-Build"
	// _relayEndpoint tells, in the head of a stream, the ID of the endpoint that runs it, _relayExclude in a request
	// those at which it must not run.
	_relayEndpoint = "Relay-Endpoint"
	_relayExclude  = "Relay-Exclude"
)

// _relayMargin is by how much the deadline of a relayed request comes before that of the request, so
// that the other host's own answer arrives in time: a few round trips within a region.
const _relayMargin = 20 * time.Millisecond

// _minCutOffWait is the least Retry-After while no host reaches an endpoint. The end of the cut is noticed within an interval
// of probes.
const _minCutOffWait = 2 * reach.ProbeInterval

// _maxRefusals is the number of hosts that refuse a request after which its caller is refused. In an
// overload most would refuse it.
const _maxRefusals = 2

// errCutOff ends a wait for room or an answer because this host reaches no endpoint.
var errCutOff = errors.New("this host reaches no endpoint")

// _relays counts the requests that this host relayed to others, by outcome, and those that it served
// or refused for others.
var _relays = expvar.NewMap("apricotproxy.Routed.Relays")

// mayRelay reports whether a step may be made through another host: while this host is cut off, or is
// suspected to be and could not send this request itself.
func (e *exchange) mayRelay(step tries.Step) bool {
	if e.request.relayedBy != "" || e.prepared != nil || step != tries.Again && step != tries.Resume {
		return false
	}
	switch e.front.config.Reach.State() {
	case reach.CutOff:
		return true
	case reach.Suspect:
		return e.failedHere
	default:
		return false
	}
}

// pickHost picks the host to relay a step to, unless one is picked. It returns false if the step is
// made by this host.
func (e *exchange) pickHost(step tries.Step) bool {
	if e.host != nil {
		return true
	}
	if !e.mayRelay(step) {
		return false
	}
	host, ok := e.front.config.Reach.pickHost(e.triedHosts)
	if ok {
		e.host = &host
	}
	return ok
}

// refuseCutOff refuses a request that no host can serve now, and reports whether it did. A stream of which the caller has a
// part waits instead, since it would be lost.
func (e *exchange) refuseCutOff(step tries.Step) bool {
	if e.delivered || e.prepared != nil || step != tries.Again || !e.front.config.Reach.isWithoutHelp() {
		return false
	}
	e.answerNotServed("no host reaches an endpoint", _minCutOffWait+time.Duration(rand.Float64()*float64(_minCutOffWait)))
	return true
}

// watchCutOff acts on a try without an answer when this host becomes cut off: it is left if the request may run once more, through
// another host. Otherwise its prompt is no longer told to other hosts as load, since it may never have reached the endpoint.
func (e *exchange) watchCutOff(leave context.CancelCauseFunc) (stop func()) {
	if e.request.relayedBy == "" && e.tries.MayRunAgain() {
		return e.front.config.Reach.watchCutOff(func() { leave(errCutOff) })
	}
	run, placer, loadChanged := e.run, e.placer(), e.front.config.LoadChanged
	return e.front.config.Reach.watchCutOff(func() {
		placer.forgetPrefill(run)
		loadChanged()
	})
}

// dropHost gives up the host that was picked.
func (e *exchange) dropHost() {
	if e.host != nil {
		e.front.config.Reach.endRelay(e.host.Name, reach.RelayDone)
		e.host = nil
	}
}

// runRelay makes one try through the host that was picked, once the run of the last try may be left.
func (e *exchange) runRelay(ctx context.Context, step tries.Step) tryResult {
	e.beginTry(step)
	if e.unended != nil {
		// The other host picks the next endpoint, so that the copy which engines make when they stop a run is not used.
		to := core.RoutedEndpoint{Service: e.unended.endpoint.Service, Address: e.front.destinations(e.unended.endpoint)[0]}
		if _, err := e.awaitStopped(ctx, to, ""); err != nil {
			return tryResult{result: tries.NotSent, err: err}
		}
	}
	e.logGoesOn(step, string(e.host.Name), "")
	end := e.relayTry(ctx)
	e.front.counters.countTry(end.result.String())
	return end
}

// relayTry makes one try through the host that was picked. The request is written once to it, and it makes the
// tries at endpoints by its own knowledge. Its connection to the endpoint ends with the one to it.
func (e *exchange) relayTry(ctx context.Context) tryResult {
	host := *e.host
	e.host = nil
	e.triedHosts = append(e.triedHosts, host.Name)
	peer := core.RoutedEndpoint{ID: string(host.Name), Address: host.Address}
	e.run = &place.Run{Endpoint: know.Endpoint{RoutedEndpoint: peer}}
	e.backup.drop(e.placer())
	e.endAbandoned()
	e.settleEndings(ctx, "")
	e.stop, e.stopRequests, e.unended, e.relayedAt = runStop{}, &stopRequests{}, nil, ""
	e.silence, e.counted, e.waitLogged = &links.Silence{}, false, false
	e.silence.Ask = func() error { // the other host leaves silent endpoints
		e.silence.AskAt = time.Time{}
		return nil
	}
	e.log("A request is relayed to another host.", "Host", host.Name, "DataCentre", host.DataCentre, "State", e.front.config.Reach.State().String(),
		"Delivered", e.delivered, "Waited", time.Since(e.request.Arrived).Milliseconds(), "TimeLeft", time.Until(e.request.Deadline).Milliseconds())
	end, outcome := e.exchangeWith(ctx, peer)
	e.endRelayed(ctx, host.Name, &end)
	_relays.Add(relayOutcomeName(outcome), 1)
	e.front.config.Reach.endRelay(host.Name, outcome)
	end.health, end.brokenOff, end.connection = 0, false, 0
	return end
}

func relayOutcomeName(outcome reach.RelayOutcome) string {
	return [...]string{"None", "Done", "Refused", "Busy", "Lost", "Unreachable"}[outcome]
}

// exchangeWith sends the request to another host and passes its answer on.
func (e *exchange) exchangeWith(ctx context.Context, peer core.RoutedEndpoint) (tryResult, reach.RelayOutcome) {
	attempts := e.tries.AttemptsLeft()
	e.sentAt = time.Now()
	answer, err := e.front.config.RelayLinks.Do(ctx, peer, e.relayRequest(peer, attempts))
	var failed *links.Error
	switch {
	case errors.As(err, &failed) && failed.Stage == links.StageDial:
		return tryResult{result: tries.NotSent, err: err}, e.relayFailure(ctx, reach.RelayUnreachable)
	case err != nil:
		e.countTry(false)
		return tryResult{result: e.lostResult(), err: err}, e.relayFailure(ctx, reach.RelayLost)
	}
	defer answer.Close()
	e.countTry(false)
	return e.receiveRelayed(ctx, answer)
}

// relayFailure returns the outcome to record when the exchange with another host failed. A request
// whose caller left or whose time is over tells nothing of the host.
func (e *exchange) relayFailure(ctx context.Context, outcome reach.RelayOutcome) reach.RelayOutcome {
	if ctx.Err() != nil {
		return reach.RelayDone
	}
	return outcome
}

// relayRequest returns the request as it is sent to another host: as the caller sent it, with what is
// left of its time and attempts.
func (e *exchange) relayRequest(peer core.RoutedEndpoint, attempts int) *links.Request {
	names, incoming := e.front.config.Names, e.incoming.Header
	header := incoming.Clone()
	dropHopByHopHeaders(header, incoming)
	for _, name := range []string{names.Key, names.Model, names.Tokens, names.Parts, names.ExpectedTokens, names.LastEventID, names.Resumes} {
		if values := incoming.Values(name); len(values) > 0 {
			header[http.CanonicalHeaderKey(name)] = values // also if the Connection header names it
		}
	}
	header.Set(names.RequestID, e.request.ID)
	header.Set(names.Deadline, strconv.FormatInt(max(time.Until(e.request.Deadline.Add(-_relayMargin)).Milliseconds(), 1), 10))
	header.Set(_relayedBy, string(e.front.config.Self))
	header.Set(_relayAttempts, strconv.Itoa(attempts))
	e.setExcluded(header)
	if e.position.Started() && e.delivered {
		header.Set(names.LastEventID, strconv.Itoa(e.position.Last()))
		begunBy := e.begunBy
		if begunBy == "" {
			begunBy = e.request.ID
		}
		header.Set(names.Resumes, begunBy)
	}
	return &links.Request{
		Method: e.incoming.Method, Target: e.incoming.RequestURI, HostName: e.incoming.Host, Header: header, Body: e.request.body,
		Identify: func(answer *http.Response, isFirst bool) links.Ownership { return e.identify(peer, answer, isFirst) }, RequireFresh: e.request.Route.Kind != core.RouteIdempotent, Silence: e.silence,
	}
}

// receiveRelayed passes on another host's answer. That host has made all tries that it may, so its
// answer is final, unless it says that it takes no requests for others now.
func (e *exchange) receiveRelayed(ctx context.Context, answer *links.Answer) (tryResult, reach.RelayOutcome) {
	names, status := e.front.config.Names, answer.StatusCode
	if status == http.StatusMisdirectedRequest {
		e.skipBody(answer)
		return tryResult{result: tries.Refused, atHost: true, err: errors.New("another host takes no requests for this one now")}, reach.RelayBusy
	}
	if answer.Header.Get(names.NotRun) != "" {
		e.skipBody(answer)
		return e.relayRefusal(ctx, answer), reach.RelayRefused
	}
	e.answerBegun = true
	if service := answer.Header.Get(_relayService); service != "" {
		e.setRelayedBuild(service, answer.Header.Get(_relayBuild))
	}
	e.setRelayedEndpoint(answer.Header)
	dropRelayHeaders(answer.Header)
	if status >= http.StatusOK && status < http.StatusMultipleChoices && e.request.Route.Kind == core.RouteStreaming {
		end := e.stream(ctx, answer)
		if end.done {
			return end, reach.RelayDone
		}
		return end, e.relayFailure(ctx, reach.RelayLost)
	}
	if e.delivered {
		return tryResult{result: tries.Broken, err: errors.New("another host answered with status " + strconv.Itoa(status))}, reach.RelayDone
	}
	body, err := e.readBuffered(answer)
	if err != nil {
		return tryResult{result: e.lostResult(), err: err}, e.relayFailure(ctx, reach.RelayLost)
	}
	return tryResult{done: true, whole: body}, reach.RelayDone
}

// setRelayedBuild records which service and build write the stream, so that it may go on at this host's own
// endpoints or be taken up.
func (e *exchange) setRelayedBuild(service, build string) {
	name, err := url.QueryUnescape(build)
	if err != nil {
		return
	}
	e.request.Service = core.ServiceName(service)
	e.run.Endpoint.Build = core.BuildName(name)
}

// relayRefusal has the request go on at a further host, since the one that refused it may lack an
// endpoint that others reach, or answers the caller as that host did.
func (e *exchange) relayRefusal(ctx context.Context, answer *links.Answer) tryResult {
	if len(e.triedHosts) < _maxRefusals && e.pickHost(tries.Again) {
		return tryResult{result: tries.Refused, atHost: true, err: errors.New("another host refused the request")}
	}
	if e.awaitSettledFewer(ctx) {
		e.triedHosts = e.triedHosts[:len(e.triedHosts)-1]
		return tryResult{result: tries.Refused, atHost: true, err: errors.New("another host refused the request while an endpoint was excluded")}
	}
	e.tries.Unsent()
	if e.delivered {
		e.cut("another host refused to continue the stream")
	}
	retryAfter := _retryAfter
	if seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		retryAfter = time.Duration(min(seconds, _maxRelayedWait.Seconds()) * float64(time.Second))
	}
	e.answerNotServed("the host that served for this one refused the request", retryAfter)
	return tryResult{done: true}
}

// _maxRelayedWait bounds the Retry-After that is taken from another host's refusal.
const _maxRelayedWait = time.Hour
