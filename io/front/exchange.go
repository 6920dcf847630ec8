package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/procs/poison"
	"apricotproxy/core/procs/reach"
	"apricotproxy/core/reqst/event"
	"apricotproxy/core/reqst/leave"
	"apricotproxy/core/reqst/tries"
	"apricotproxy/io/links"
)

const (
	// _minTimeLeft is the time before the deadline that a further try needs.
	_minTimeLeft = 10 * time.Millisecond
)

var (
	errTimeout    = errors.New("the request's time is over")
	errSlow       = errors.New("the endpoint did not answer in time")
	errHandedOver = errors.New("the run was handed over")
)

// exchange forwards one request to endpoints, in one try or more, and relays the
// answer to the caller.
type exchange struct {
	front      *Front
	writer     http.ResponseWriter
	controller *http.ResponseController
	incoming   *http.Request
	request    *request
	tries      *tries.Tries
	// sharedParts are the keys of the prompt's parts that other requests may share.
	sharedParts []string
	// knownDigest is the request's digest once it was needed.
	knownDigest poison.Digest
	// buffered is the memory of answers that are read before they are relayed.
	buffered share
	// successRecorded is true once the prompt was recorded as harmless to engines.
	successRecorded bool

	// triedEndpoints lists the IDs of the endpoints of earlier tries.
	triedEndpoints []string
	// unreached lists those of them that did not respond before the request was sent.
	unreached []string
	// triedHosts lists the hosts to which the request was relayed, and failedHere is true once a try of
	// this host's own did not reach its endpoint.
	triedHosts []core.HostName
	failedHere bool
	// host is the host that was picked for the next try; nil for none.
	host *reach.Host
	// lostAddresses lists the addresses of the endpoints that closed the connection of a try
	// before its answer was complete.
	lostAddresses []string
	// failedCopyTargets lists the IDs of the endpoints to which the current run's memory
	// could not be copied.
	failedCopyTargets []string
	// leavingSince is when this host learned that the endpoint of the current try is
	// leaving.
	leavingSince time.Time
	// noRoomLogged is true once it was logged in the current try that no engine has
	// room for a copy.
	noRoomLogged bool
	// engines describes the engines of the request's service, as it was last known.
	engines *core.EngineSpec
	// run is the placement of the current try, backup the copy of its memory on another
	// endpoint.
	run    *place.Run
	backup backup
	// silence watches the current try, prepared is where the request goes on after it.
	silence  *links.Silence
	prepared *prepared
	// offered is the request of the current try if it was sent before the try, until the try takes it
	// over.
	offered *offer
	// silenceRecorded is true once the endpoint of the current try counts as silent.
	silenceRecorded bool
	// offersDeclined counts the endpoints that did not take the request in the current silence.
	offersDeclined int
	// stopRequests is what became of requests to stop the run of the current try.
	stopRequests *stopRequests
	// stop is what is known of stopping the run of the current try, unended the run of the last try
	// if its endpoint may still work on it; nil otherwise.
	stop    runStop
	unended *leftRun
	// abandoned is the run of the last try if it may have to be ended and is not being ended yet; nil otherwise. endings
	// are the earlier ones that are being ended.
	abandoned *abandonedRun
	endings   []*ending
	// relayedAt is the ID of the endpoint at which the current try runs at another host; empty if it is not known.
	// relayedRuns are the earlier ones that other hosts were asked to end.
	relayedAt   string
	relayedRuns []relayedRun
	// cancel ends the exchange. served is true once it was served; it is guarded by servedMu, as is the use of
	// controller by other goroutines.
	cancel   context.CancelCauseFunc
	servedMu sync.Mutex
	served   bool
	// done is closed once the exchange was served.
	done chan struct{}
	// before is the last try at an endpoint that was sent the request.
	before sentTry
	// counted is true once the current try counts as sent, waitLogged once it was logged that
	// its silent endpoint is waited for.
	counted, waitLogged bool

	position event.Position
	splitter event.Splitter
	// events counts the events delivered to the caller, received those that arrived complete
	// from endpoints.
	events, received int
	// hasBegun is true once the caller has a part of the answer, bodyReadAt when the request was read
	// whole. Both may be read while the exchange is served.
	hasBegun   atomic.Bool
	bodyReadAt time.Time
	// delivered is true once the header of a stream was sent to the caller.
	delivered bool
	// begun is true once the caller has events of the stream, which were written at build.
	begun bool
	build core.BuildName
	// begunBy is the ID of the caller's earlier request that began the stream; empty if this
	// one does.
	begunBy string
	// continued is true from the first try that continues a run or stream and does not
	// send the request anew.
	continued bool
	// takenUp is true if the caller asked for the events after one that it has, and triedTakeUp once this
	// host looked for their build.
	takenUp, triedTakeUp bool
	// sentAt is when the current try began to send the request.
	sentAt time.Time
	// answerBegun is true once the current try got the head of an answer that was not a
	// refusal.
	answerBegun bool
	// tryEvents counts the events that the current try delivered.
	tryEvents int
	// firstEventAt is when the first event of the current try was delivered; zero before.
	firstEventAt time.Time
	// lastEventAt is when an event was last delivered.
	lastEventAt time.Time
	// writtenAt is when the latest events had been written to the caller.
	writtenAt time.Time
	// longestPause is the longest time between two events.
	longestPause time.Duration
	// resumed is false from when a stream breaks off until its next event is delivered.
	resumed bool
}

func newExchange(f *Front, w http.ResponseWriter, r *http.Request, req *request) *exchange {
	e := &exchange{
		front: f, writer: w, controller: http.NewResponseController(w), incoming: r, request: req,
		tries:    tries.New(req.Route, f.config.Switches.Tries),
		buffered: share{limit: f.buffers}, bodyReadAt: time.Now(), done: make(chan struct{}),
	}
	if last, err := strconv.Atoi(r.Header.Get(f.config.Names.LastEventID)); err == nil && req.Route.Resumable {
		e.takenUp, e.position = true, event.After(last)
	}
	e.takeExcluded(r.Header)
	e.setSharedParts()
	return e
}

// tryResult is the result of one try.
type tryResult struct {
	// done is true when the caller has its answer, so that no further try is made.
	done bool
	// whole is an answer that is still to be relayed, once the run has ended; nil if none is.
	whole  *bufferedAnswer
	result tries.Result
	// failure is the endpoint's own answer if it ran the request and failed.
	failure *bufferedAnswer
	// health is the outcome recorded for the endpoint; 0 for none.
	health place.Outcome
	// brokenOff is true when the endpoint ended its answer before it was complete.
	brokenOff bool
	// connection is the state of the connection to the endpoint if that may still work on the request; 0 if it
	// does not, or has not got it.
	connection leave.Connection
	// atHost is true if another host refused the request, so that a further try is no retry at an endpoint.
	atHost bool
	err    error
}

// digest identifies what the request asks for. Where it has no body, the parts of its prompt
// stand for it.
func (e *exchange) digest() poison.Digest {
	if e.knownDigest == (poison.Digest{}) {
		r, body := e.incoming, e.request.body
		if len(body) == 0 {
			body = []byte(r.Header.Get(e.front.config.Names.Parts))
		}
		e.knownDigest = poison.DigestOf(r.Method, r.Host, r.RequestURI, e.request.Workspace, body)
	}
	return e.knownDigest
}

func (e *exchange) placer() *SharedPlacer { return e.front.config.SharedPlacer }

// serve makes tries until the request has its answer.
func (e *exchange) serve(ctx context.Context) {
	defer e.backup.drop(e.placer())
	defer e.buffered.release()
	defer e.dropPrepared()
	defer e.dropHost()
	defer e.endAbandonedAtEnd()
	e.placer().recordArrival(&e.request.RoutedRequest, e.request.relayedBy != "")
	step := tries.Again
	for {
		end := e.runStep(ctx, step)
		if end.whole != nil {
			e.dropPrepared()
			e.relay(end.whole)
			return
		}
		if end.done {
			return
		}
		// net/http also ends the context when the time to read a body passes, at the deadline.
		if e.incoming.Context().Err() != nil && time.Now().Before(e.request.Deadline) {
			// net/http would end the answer as if it were complete, and a caller that closed only
			// its side of the connection would get that.
			panic(http.ErrAbortHandler)
		}
		if ctx.Err() != nil {
			e.timeout(context.Cause(ctx))
			return
		}
		if !errors.Is(end.err, errSlow) && !e.prepared.isOffered() {
			e.dropPrepared()
		}
		next := e.tries.Next(end.result, e.situation(end))
		e.log("A try ended.", "Result", end.result.String(), "Cause", errorText(end.err), "Next", next.String(),
			"AnswerBegun", e.answerBegun, "HadEvents", !e.firstEventAt.IsZero(),
			"Silent", e.silentFor().Milliseconds(), "HasCopy", e.backupReady(), "Version", e.front.config.View().Version())
		switch next {
		case tries.Relay:
			e.relay(end.failure)
			return
		case tries.Refuse:
			e.answerError(http.StatusServiceUnavailable, "no endpoint took the request", _retryAfter)
			return
		case tries.Fail:
			e.answerError(http.StatusBadGateway, "the endpoint was lost; the request may have run", 0)
			return
		case tries.Cut:
			e.cut("the generation was lost")
		default:
			step = next
		}
	}
}

// situation returns the situation after a try, or during one if end is zero.
func (e *exchange) situation(end tryResult) tries.Situation {
	return tries.Situation{
		Prepared:  e.prepared.nextStep(),
		Delivered: e.delivered,
		HasCopy:   e.backupReady(),
		SpendRetry: func() bool {
			return end.atHost || e.placer().allowRetry(e.request.Service)
		},
		TimeLeft:       time.Until(e.request.Deadline) > _minTimeLeft,
		HadEvents:      !e.firstEventAt.IsZero(),
		EndedEndpoints: e.countEnded,
	}
}

// countEnded returns how many endpoints that closed the connection of a try have ended.
func (e *exchange) countEnded() int {
	ctx, cancel := context.WithDeadline(e.incoming.Context(), e.request.Deadline)
	defer cancel()
	return len(slices.DeleteFunc(slices.Clone(e.lostAddresses), func(address string) bool {
		return !e.front.config.Links.Refuses(ctx, address)
	}))
}

// runStep places the request on an endpoint and makes one try there.
func (e *exchange) runStep(ctx context.Context, step tries.Step) tryResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.watchBlocks(func() { cancel(errBlocked) })
	defer e.unwatchBlocks()
	if e.checkStopping() || e.checkBlocked() {
		return tryResult{done: true}
	}
	cutOff := e.front.config.Reach.nextCutOff()
	if e.pickHost(step) {
		return e.runRelay(ctx, step)
	}
	if e.refuseCutOff(step) || !e.takeUp(ctx) {
		return tryResult{done: true}
	}
	from, notPlaced := e.placeStep(ctx, step, cutOff)
	defer e.dropOffer()
	if notPlaced != nil {
		return *notPlaced
	}
	if e.checkStopping() || e.checkBlocked() {
		e.placer().end(e.run, 0)
		return tryResult{done: true}
	}
	e.beginTry(step)
	from, err := e.awaitStopped(ctx, e.run.Endpoint.RoutedEndpoint, from)
	if err != nil {
		e.placer().end(e.run, 0)
		return tryResult{result: tries.NotSent, err: err}
	}
	e.endAbandoned()
	e.settleEndings(ctx, e.run.Endpoint.Address)
	e.logGoesOn(step, e.run.Endpoint.ID, from)
	e.stop, e.stopRequests, e.unended = runStop{}, e.newStopRequests(), nil
	end := e.try(ctx, from)
	for e.mayReachCopy(ctx, &end, from) {
		end = e.try(ctx, from)
	}
	e.before = sentTry{endpoint: e.run.Endpoint.RoutedEndpoint, err: end.err, handover: e.backup.handoverState()}
	if end.connection != 0 && e.backup.handoverState() != _handoverDone {
		e.unended = &leftRun{endpoint: e.run.Endpoint.RoutedEndpoint, connection: end.connection, endedAt: time.Now(), hasBegun: e.answerBegun}
		e.stop.connectionEnded()
	}
	e.recordAbandoned(&end)
	e.recordEnd(ctx, &end)
	if !end.done && !e.backupReady() {
		e.backup.drop(e.placer()) // the copy was to be made by this try
	}
	e.front.counters.countTry(end.result.String())
	if isConnectionEnd(end.err) {
		e.lostAddresses = append(e.lostAddresses, e.run.Endpoint.Address)
	}
	if !end.done {
		e.triedEndpoints = append(e.triedEndpoints, e.run.Endpoint.ID)
		e.failedHere = e.failedHere || end.health == place.Unreachable || end.health == place.Gone
	}
	if end.result == tries.NotSent && errors.Is(end.err, context.DeadlineExceeded) {
		e.unreached = append(e.unreached, e.run.Endpoint.ID)
	}
	e.placer().end(e.run, end.health)
	return end
}

// mayReachCopy waits a moment if a run that must run once may still go on from its copy: its endpoint could not be reached,
// nothing was sent, and the run is nowhere else. It returns false once callers may no longer wait for the next event.
func (e *exchange) mayReachCopy(ctx context.Context, end *tryResult, from string) bool {
	if end.result != tries.NotSent || from == "" || !e.delivered || e.request.Route.Resumable || !e.placer().usable(e.run.Endpoint.Key()) {
		return false
	}
	return time.Since(e.lastEventAt) < e.longestPauseOfCallers() && sleepUnlessDone(ctx, _copyRetryInterval)
}

// sentTry is what is logged of a try once the request goes on elsewhere.
type sentTry struct {
	endpoint core.RoutedEndpoint
	// err is why the try ended, handover how far its run had been handed over by then.
	err      error
	handover handover
}

// logGoesOn logs what is known of the run of the last try when the request goes on at another endpoint or host.
func (e *exchange) logGoesOn(step tries.Step, to, from string) {
	if step == tries.Again || e.before.endpoint.ID == "" {
		return
	}
	b, connection := &e.before, leave.Connection(0)
	if e.unended != nil {
		connection = e.unended.connection
	}
	e.log("A run goes on at another endpoint.", "Step", step.String(), "Before", b.endpoint.ID, "To", to, "From", from,
		"Cause", errorText(b.err), "Connection", connection.String(), "Evidence", e.stop.evidence.String(), "Handover", b.handover.String(),
		"Failures", e.stop.contact.Failures, "IsReplaced", e.stop.contact.IsReplaced, "IsWithdrawn", e.stop.contact.IsWithdrawn, "IsUnknown", e.stop.contact.IsUnknown,
		"IsReachedElsewhere", e.stop.contact.IsReachedElsewhere(time.Now()), "SinceEvent", time.Since(e.lastEventAt).Milliseconds())
}

// beginTry resets what is known of the current try.
func (e *exchange) beginTry(step tries.Step) {
	e.engineSpec()
	e.continued = e.continued || step != tries.Again
	e.resumed = !e.delivered
	e.leavingSince, e.noRoomLogged, e.failedCopyTargets = time.Time{}, false, nil
	e.answerBegun, e.firstEventAt, e.tryEvents = false, time.Time{}, 0
}

// placeStep sets the run of the next try: the one that was prepared, one at the endpoint of the
// copy, or a new one. A wait for room ends when cutOff is closed. from identifies the copy that it
// continues from, if any. If there is no run,
// end is the result of the try.
func (e *exchange) placeStep(ctx context.Context, step tries.Step, cutOff <-chan struct{}) (from string, end *tryResult) {
	if p := e.prepared; p != nil {
		e.run, e.offered, e.prepared = p.run, p.offer, nil
		e.backup.drop(e.placer())
		return p.from, nil
	}
	if step != tries.Continue {
		return "", e.place(ctx, step, cutOff)
	}
	key, from := e.backup.continuation()
	e.backup.drop(e.placer())
	run, ok := e.placer().placeOn(key, &e.request.RoutedRequest)
	if !ok {
		return "", &tryResult{result: tries.NotSent, err: errors.New("the endpoint that holds the copy accepts no work")}
	}
	e.run = run
	return from, nil
}

// notifyLoadChanged has this host's changed loads sent to other hosts if the request is
// a generation.
func (e *exchange) notifyLoadChanged() {
	if e.request.Prompt.Tokens > 0 {
		e.front.config.LoadChanged()
	}
}

// try sends the request to the endpoint of the run and relays the answer. from
// identifies the copy that the run continues from, if any.
func (e *exchange) try(ctx context.Context, from string) (end tryResult) {
	endpoint, names := e.run.Endpoint, e.front.config.Names
	e.chooseBackup()
	tryCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if e.offered != nil {
		e.tries.Withdrawn()
	}
	e.silence, e.counted, e.waitLogged, e.silenceRecorded, e.offersDeclined = e.newSilence(ctx, from != ""), false, false, false, 0
	pace, reading := e.placer().pace(e.run, &e.request.RoutedRequest), e.placer().reading(e.spec(nil))
	e.log(_tryBegins, "Digest", e.digest().String(), "Endpoint", endpoint.ID, "Build", string(endpoint.Build), "Address", endpoint.Address,
		"Resumes", e.incoming.Header.Get(names.Resumes), "LastEventID", e.incoming.Header.Get(names.LastEventID), "From", from, "Backup", e.backup.endpoint().ID,
		"Prompt", e.request.Prompt.Tokens, "SharedParts", e.sharedParts, "Expected", e.request.Prompt.Expected, "MaxOutput", e.request.Prompt.MaxOutput,
		"Waited", time.Since(e.request.Arrived).Milliseconds(), "SinceFirstAsked", sinceFirstAsked(&e.request.RoutedRequest).Milliseconds(),
		"TimeLeft", time.Until(e.request.Deadline).Milliseconds(), "StopEndsIn", e.front.planned.endsIn(time.Now()).Milliseconds(),
		"Runs", e.run.PriorLoad.Runs, "Tokens", e.run.PriorLoad.Tokens, "Prefill", e.run.PriorLoad.Prefill,
		"Slowness", hundredths(pace.Slowness), "PauseRisk", hundredths(pace.Risk),
		"PrefillLimit", reading.Limit, "ShortQueue", reading.Short, "EnginesKept", reading.Kept, "EnginesOpen", reading.Open)
	if e.offered == nil {
		if err := e.confirmBuild(tryCtx, e.run, from); err != nil {
			return tryResult{result: tries.NotSent, health: e.endpointOutcome(ctx, place.Unreachable), err: err}
		}
	}
	unwatch := e.watchCutOff(cancel)
	answer, err := e.send(tryCtx, endpoint.RoutedEndpoint, from)
	unwatch()
	var failed *links.Error
	if errors.As(err, &failed) && failed.Stage == links.StageDial {
		return tryResult{result: tries.NotSent, health: e.endpointOutcome(ctx, dialOutcome(err)), err: err}
	}
	e.countTry(from != "")
	if err != nil {
		return tryResult{result: e.lostResult(), health: e.endpointOutcome(ctx, answerOutcome(err)), err: err}
	}
	defer answer.Close()
	stopBackup := e.maintainBackup(tryCtx, cancel)
	defer func() { stopBackup(end.done) }()
	end = e.receive(ctx, answer)
	e.settleStop(&end)
	cause := context.Cause(tryCtx)
	switch {
	case cause != nil:
	case errors.Is(end.err, errSlow):
		cause = errSlow
	case e.backup.handoverState() == _handoverDone:
		cause = errHandedOver
	}
	if end.err != nil && cause != nil {
		end.err, end.health, end.brokenOff = cause, e.endpointOutcome(ctx, answerOutcome(cause)), false
		if !errors.Is(cause, errSlow) {
			end.connection = 0
		}
	}
	return end
}

// endpointOutcome returns the outcome of a failed try to record for the endpoint: none
// if the try ended because the caller disconnected or the deadline passed.
func (e *exchange) endpointOutcome(ctx context.Context, outcome place.Outcome) place.Outcome {
	if ctx.Err() != nil || outcome == place.Silent && e.silenceRecorded {
		return 0
	}
	return outcome
}

// dialOutcome returns the endpoint's outcome when no connection could be made.
func dialOutcome(err error) place.Outcome {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return place.Gone
	}
	return place.Unreachable
}

// answerOutcome returns the endpoint's outcome when the request was sent and no complete
// answer arrived.
func answerOutcome(err error) place.Outcome {
	switch {
	case errors.Is(err, errSlow):
		return place.Silent
	case errors.Is(err, errHandedOver), errors.Is(err, errBlocked), errors.Is(err, errNoBuffer), errors.Is(err, errCutOff):
		return 0
	}
	return place.Bad
}

// lostResult returns the result of a try whose answer is missing or incomplete.
func (e *exchange) lostResult() tries.Result {
	if e.delivered {
		return tries.Broken
	}
	return tries.Lost
}

// outgoing returns the request as it is sent to the endpoint of a run.
func (e *exchange) outgoing(run *place.Run, from string) *links.Request {
	names := e.front.config.Names
	header := forwardedHeader(e.incoming.Header, names)
	header.Set(names.RequestID, e.request.ID)
	header.Set(names.Deadline, strconv.FormatInt(max(time.Until(e.request.Deadline).Milliseconds(), 1), 10))
	header.Set(names.ExpectedEndpoint, run.Endpoint.ID)
	if e.request.Workspace != "" {
		header.Set(names.Workspace, string(e.request.Workspace))
	}
	if address := e.backup.endpoint().Address; address != "" {
		header.Set(names.Backup, address)
	}
	if from != "" {
		header.Set(names.ContinueFrom, from)
	}
	if e.position.Started() && e.delivered {
		header.Set(names.LastEventID, strconv.Itoa(e.position.Last()))
	}
	return &links.Request{
		Method:   e.incoming.Method,
		Target:   e.incoming.RequestURI,
		HostName: e.incoming.Host,
		Header:   header,
		Body:     e.request.body,
		Identify: func(answer *http.Response, isFirst bool) links.Ownership {
			return e.identify(run.Endpoint.RoutedEndpoint, answer, isFirst)
		},
		RequireFresh: e.request.Route.Kind != core.RouteIdempotent,

		MaxConnections: run.MaxConnections,
		Silence:        e.silence,
	}
}

// receive classifies an answer. It relays a stream that is valid; other answers are relayed once the run has
// ended, since callers may read them slowly.
func (e *exchange) receive(ctx context.Context, answer *links.Answer) tryResult {
	names := e.front.config.Names
	status := answer.StatusCode
	switch {
	case status == http.StatusMisdirectedRequest:
		e.skipBody(answer)
		return tryResult{result: tries.Refused, health: place.Gone, err: errors.New("another endpoint is at this address")}
	case answer.Header.Get(names.NotRun) != "":
		e.skipBody(answer)
		return tryResult{result: tries.Refused, err: errors.New("the endpoint refused with status " + strconv.Itoa(status))}
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		e.answerBegun = true
		if answer.Header.Get(names.Seal) == "" || answer.Header.Get("Content-Encoding") != "" {
			end := tryResult{result: e.lostResult(), health: place.Bad, err: errors.New("the answer has no seal or is content-encoded")}
			return *end.leftAt(answer)
		}
		if e.request.Route.Kind == core.RouteStreaming {
			return e.stream(ctx, answer)
		}
	}
	if e.delivered {
		return tryResult{result: tries.Broken, health: place.Bad, err: errors.New("the endpoint answered with status " + strconv.Itoa(status))}
	}
	body, err := e.readBuffered(answer)
	if err != nil {
		return tryResult{result: e.lostResult(), health: e.endpointOutcome(ctx, answerOutcome(err)), brokenOff: isConnectionEnd(err), err: err}
	}
	if end := e.falseEnd(ctx, answer); end != nil {
		return *end
	}
	if status < http.StatusInternalServerError && !meansNotRun(status) {
		e.recordWhole()
		return tryResult{done: true, whole: body, health: place.Good}
	}
	return tryResult{result: tries.Failed, failure: body, health: place.Bad, err: errors.New("the endpoint failed with status " + strconv.Itoa(status))}
}

// skipBody reads an answer to its end without relaying it, so that its connection can
// be reused.
func (e *exchange) skipBody(answer *links.Answer) {
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, _maxSkippedBytes)); err != nil {
		e.log("The rest of an answer could not be read.", "Cause", err.Error())
	}
}

// _maxSkippedBytes bounds the body of an answer that is not relayed.
const _maxSkippedBytes = 16 << 10

func (e *exchange) log(message string, values ...any) {
	e.front.log.Info(message, append([]any{"Request", e.request.ID}, values...)...)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
