package front

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/origin"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/reqst/leave"
	"apricotproxy/core/reqst/tries"
)

const (
	// _maxEndings bounds the runs that this host has ended in the background at a time.
	_maxEndings = 256
	// _endPause is the pause before an endpoint is asked again to end a run. It doubles up to _maxEndPause.
	_endPause    = 40 * time.Millisecond
	_maxEndPause = 160 * time.Millisecond
	// _maxDeclinedPause is the same for an endpoint that has answered otherwise.
	_maxDeclinedPause = 8 * _maxEndPause
	// _endPatience is how long the endpoint has to answer on an idle connection, which may be dead, or to accept
	// a new one. The run ends within this time and a pause once the endpoint can be reached again.
	_endPatience = 200 * time.Millisecond
	// _endedCheck is the pause between two checks whether all runs have ended.
	_endedCheck = 5 * time.Millisecond
)

// _endings counts the runs that were ended in the background, by what the endpoint's last answer showed.
var _endings = expvar.NewMap("apricotproxy.Routed.Endings")

// endings ends runs that nobody needs any more, at endpoints that may still work on them: those of resumable streams, and
// those that were left because their endpoints could not be reached. It is safe for concurrent use.
type endings struct {
	front *Front
	// stopped ends when the front is closed.
	stopped context.Context
	stop    context.CancelFunc
	// slots holds one element for each run that is being ended.
	slots chan struct{}

	mu sync.Mutex
	// unsettled holds the runs that are being ended, until their endpoints act on no request to stop them any more.
	unsettled map[endingKey][]*ending
}

// abandonedRun is a run that is to be ended.
type abandonedRun struct {
	request  string
	scope    origin.Scope
	endpoint core.RoutedEndpoint
	deadline time.Time
	// connection is the state of the connection that carried the run, which was left at leftAt.
	connection leave.Connection
	leftAt     time.Time
	// hasBegun is true if the run had sent an event.
	hasBegun bool
	// pending is a request to stop the run that is under way; nil for none.
	pending *stopRequest
	// unansweredAt is when the last request to stop the run was given up that got no answer; zero for none.
	unansweredAt time.Time
	// answeredAt is when it was known that the run had ended, before the ending is settled.
	answeredAt time.Time
}

// ending is a run that is being ended.
type ending struct {
	// run may be read by others once done is closed, but for its request, scope and endpoint.
	run *abandonedRun
	// done is closed once the endpoint does not have to be asked any more, or cancel was called.
	done   chan struct{}
	cancel context.CancelFunc
	// isOver is true if the run is over, and may be read once done is closed. A run that is not was given up.
	isOver bool
	// settled is closed once the endpoint acts on no request to stop the run any more. It stays open if the run was
	// given up.
	settled chan struct{}
}

func newEndings(f *Front) *endings {
	e := &endings{front: f, slots: make(chan struct{}, _maxEndings), unsettled: make(map[endingKey][]*ending)}
	e.stopped, e.stop = context.WithCancel(context.Background())
	return e
}

// begin ends a run in the background. It returns nil if too many are being ended.
func (e *endings) begin(run *abandonedRun) *ending {
	select {
	case e.slots <- struct{}{}:
	default:
		_endings.Add("NotTaken", 1)
		return nil
	}
	begun := &ending{run: run, done: make(chan struct{}), settled: make(chan struct{})}
	var ctx context.Context
	ctx, begun.cancel = context.WithDeadline(e.stopped, run.deadline)
	e.add(begun)
	go func() {
		defer e.remove(begun)
		e.finish(ctx, begun)
		if begun.isOver {
			e.settle(begun)
		}
	}()
	return begun
}

// finish ends a run.
func (e *endings) finish(ctx context.Context, begun *ending) {
	defer func() {
		begun.cancel()
		<-e.slots
		close(begun.done)
	}()
	run, began := begun.run, time.Now()
	evidence, asked := e.end(ctx, run)
	_endings.Add(evidence.String(), 1)
	e.front.log.Info("A run that nobody needs was ended.", "Request", run.request, "Endpoint", run.endpoint.ID,
		"Evidence", evidence.String(), "Asked", asked, "Took", time.Since(began).Milliseconds())
	begun.isOver = e.front.isOver(run, evidence)
	if begun.isOver {
		run.cancelPending()
	}
}

// end asks the endpoint to stop a run until it is over. It returns what the last answer has shown, and how
// often the endpoint was asked.
func (e *endings) end(ctx context.Context, run *abandonedRun) (evidence leave.Evidence, asked int) {
	if run.pending != nil {
		select {
		case <-run.pending.done:
		case <-time.After(_endPatience):
		case <-ctx.Done():
		}
		evidence = run.takePending()
	}
	destinations := e.front.destinations(run.endpoint)
	for pause := _endPause; ; pause *= 2 {
		if e.front.isOver(run, evidence) || ctx.Err() != nil {
			return evidence, asked
		}
		limit := _maxEndPause
		if evidence == leave.Declined {
			limit = _maxDeclinedPause
		}
		pause = min(pause, limit)
		if asked > 0 && !sleepUnlessDone(ctx, pause) {
			return evidence, asked
		}
		evidence = e.ask(ctx, run, destinations[asked%len(destinations)], asked == 0)
		asked++
		if isUnanswered(evidence) {
			run.unansweredAt = time.Now()
		}
		if told := run.takePending(); told.TellsMoreThan(evidence) {
			evidence = told
		}
	}
}

// isOver reports whether an endpoint does not have to be asked again to stop a run.
func (f *Front) isOver(run *abandonedRun, evidence leave.Evidence) bool {
	left := leave.Left{Now: time.Now(), At: run.leftAt, Evidence: evidence, HasBegun: run.hasBegun, Connection: run.connection, IsReplaced: f.isReplaced(run.endpoint), Deadline: run.deadline}
	return left.IsOver()
}

// destinations returns the addresses to which an endpoint may be asked to copy the memory of a run that it stops, in the
// order in which they are tried. Endpoints stop no run for a destination that they do not reach, nor for themselves.
func (f *Front) destinations(endpoint core.RoutedEndpoint) []string {
	var same, others []string
	for _, other := range f.config.View().Endpoints {
		switch {
		case other.Service != endpoint.Service || other.Address == endpoint.Address || other.Draining || !other.DropAt.IsZero():
		case other.Build == endpoint.Build && other.DataCentre == endpoint.DataCentre:
			same = append(same, other.Address)
		default:
			others = append(others, other.Address)
		}
	}
	rand.Shuffle(len(same), func(i, j int) { same[i], same[j] = same[j], same[i] })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if len(same)+len(others) == 0 {
		return []string{endpoint.Address} // it still tells whether it has the run
	}
	return append(same, others...)
}

// ask asks the endpoint to stop a run, and frees the copy of its memory. Only the first time it uses an idle
// connection.
func (e *endings) ask(ctx context.Context, run *abandonedRun, to string, isFirst bool) leave.Evidence {
	patienceCtx, cancel := context.WithTimeout(ctx, _endPatience)
	defer cancel()
	stopCtx := patienceCtx
	if !isFirst {
		if err := e.front.config.Links.Connect(patienceCtx, run.endpoint); err != nil {
			return dialEvidence(err)
		}
		stopCtx = ctx // an endpoint that is silent stops the run once it reads the request
	}
	moved := e.front.requestMove(stopCtx, run.request, run.endpoint, to, true)
	if moved.handle != "" {
		if err := e.front.freeHandle(ctx, run.endpoint, moved.handle); err != nil {
			e.front.log.Info("The memory of a run that was ended could not be freed.", "Request", run.request, "Cause", err.Error())
		}
	}
	return moved.evidence()
}

// sleepUnlessDone reports whether a time has passed before ctx has ended.
func sleepUnlessDone(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// recordAbandoned records the run of a try that has ended, if the endpoint may still work on it although the
// stream may go on elsewhere. It is ended at once, unless the stream waits for its end.
func (e *exchange) recordAbandoned(end *tryResult) {
	spec := e.engineSpec()
	if !e.mayWorkOn(end) || !e.isResumable() && e.unended == nil || spec == nil || !spec.Moves {
		return
	}
	e.abandoned = e.abandonedRun(e.run)
	e.abandoned.connection, e.abandoned.hasBegun = max(end.connection, leave.Closed), !e.firstEventAt.IsZero()
	if end.done || e.unended == nil {
		e.endAbandoned()
	}
}

// mayWorkOn reports whether the endpoint of a try that has ended may still work on the request. A run that brought
// no event matters only while the request goes on.
func (e *exchange) mayWorkOn(end *tryResult) bool {
	if !e.firstEventAt.IsZero() {
		return !end.done || end.err != nil
	}
	goesOn := !end.done && e.incoming.Context().Err() == nil
	return goesOn && e.counted && (end.result == tries.Lost || end.result == tries.Broken)
}

// abandonedRun returns the run as one of this request that is to be ended, whose connection was closed.
func (e *exchange) abandonedRun(run *place.Run) *abandonedRun {
	return &abandonedRun{
		request: e.request.ID, scope: e.scope(), endpoint: run.Endpoint.RoutedEndpoint, deadline: e.request.Deadline, connection: leave.Closed,
	}
}

// endOffered ends the exchange with an endpoint to which the request was sent while a silent one was waited for, and has
// its run ended if the request goes on.
func (e *exchange) endOffered(o *offer, run *place.Run) {
	_, isDeclined := e.resultOfOffer(o)
	o.drop()
	spec := e.engineSpec()
	if isDeclined || !e.isResumable() || spec == nil || !spec.Moves || e.incoming.Context().Err() != nil {
		return
	}
	left := e.abandonedRun(run)
	left.leftAt = time.Now()
	if begun := e.front.endings.begin(left); begun != nil {
		e.endings = append(e.endings, begun)
	}
}

// endAbandonedAtEnd has the run of the last try ended when the request is done. A stream that nobody can take up
// does not go on then.
func (e *exchange) endAbandonedAtEnd() {
	if e.isResumable() {
		e.endAbandoned()
	}
}

// endAbandoned has the run of the last try ended, unless it is known to have ended.
func (e *exchange) endAbandoned() {
	run := e.abandoned
	e.abandoned = nil
	if run == nil {
		return
	}
	run.leftAt = time.Now()
	evidence := leave.Evidence(0)
	if !e.stop.since.Before(e.lastEventAt) {
		evidence, run.pending = e.stop.evidence, e.stop.pending
	}
	isOver := e.front.isOver(run, evidence)
	if isOver && run.pending != nil {
		run.pending.cancel() // it may reach what is at the address now
	}
	if !isOver || run.pending != nil {
		if begun := e.front.endings.begin(run); begun != nil {
			e.endings = append(e.endings, begun)
		}
	}
}

// settleEndings gives up ending earlier runs of the request at an address, or at all of them if it is empty, if that
// takes long: the next run may be there and has the same ID.
func (e *exchange) settleEndings(ctx context.Context, address string) {
	for _, earlier := range e.endings {
		if address != "" && earlier.run.endpoint.Address != address {
			continue
		}
		select {
		case <-earlier.settled:
		case <-ctx.Done():
		case <-time.After(_claimTimeout):
		}
		earlier.cancel()
		<-earlier.done
		if address != "" && !earlier.isOver {
			earlier.run.cancelPending()
		}
	}
}

// endRelayed has another host end its attempt at a stream that this one had relayed to it and that may go on
// elsewhere. It waits for that for a moment, since the next run has the same ID and may be at the same endpoint. The
// other host is asked further in the background.
func (e *exchange) endRelayed(ctx context.Context, host core.HostName, end *tryResult) {
	isComplete := end.done && end.err == nil
	if isComplete || !e.delivered || !e.isResumable() {
		return
	}
	answered := e.front.config.Origins.endAt(e.front.endings.stopped, host, origin.Claim{Stream: origin.Key(e.request.ID), Scope: e.scope(), Event: e.position.Last()})
	if e.relayedAt != "" {
		e.relayedRuns = append(e.relayedRuns, relayedRun{endpoint: e.relayedAt, over: answered, until: time.Now().Add(_relayedEndTime)})
	}
	select {
	case <-answered:
	case <-ctx.Done():
	case <-time.After(_peerAnswerTimeout):
	}
}

// isResumable reports whether the request is a stream that callers may take up at any host.
func (e *exchange) isResumable() bool {
	return e.request.Route.Kind == core.RouteStreaming && e.request.Route.Resumable
}

// end ends an exchange that is being served, also while it writes to a caller that does not read.
func (e *exchange) end(cause error) {
	e.cancel(cause)
	e.servedMu.Lock()
	defer e.servedMu.Unlock()
	if e.served {
		return // the caller's connection may carry its next request
	}
	if err := e.controller.SetWriteDeadline(time.Now()); err != nil {
		e.log("The caller's connection could not be ended.", "Cause", err.Error())
	}
}

// setServed records that the exchange was served.
func (e *exchange) setServed() {
	e.cancel(nil)
	e.servedMu.Lock()
	defer e.servedMu.Unlock()
	e.served = true
	close(e.done)
}

// errTakenUp ends an attempt at a stream that goes on with another one.
var errTakenUp = errors.New("the stream was taken up elsewhere")

// _claimed counts the attempts that ended since their streams had been taken up.
var _claimed = expvar.NewInt("apricotproxy.Routed.Claimed")

// EndAttempts ends the attempts at a stream that another one goes on with: their callers' connections are cut, and
// their runs ended. wait, which is nil if there are none, returns once that is done or when its context ends. It reports
// whether the runs are over; if they go on elsewhere with the same ID, also that no request to stop them is under way.
func (f *Front) EndAttempts(claim origin.Claim) (wait func(context.Context) bool) {
	var ended []*exchange
	f.planned.running.Range(func(key, _ any) bool {
		e, ok := key.(*exchange)
		if !ok || !e.hasBegun.Load() || !e.isResumable() {
			return true
		}
		if claim.Ends(origin.Attempt{Request: origin.Key(e.request.ID), BegunBy: e.begunBy, Scope: e.scope(), Began: e.beganAt(), HasBegun: true}) {
			e.log("A stream goes on with another attempt.", "By", claim.By)
			_claimed.Add(1)
			e.end(errTakenUp)
			ended = append(ended, e)
		}
		return true
	})
	key := endingKey{request: claim.Stream, scope: claim.Scope}
	goesOn := claim.By == ""
	if len(ended) == 0 && (!goesOn || len(f.endings.of(key)) == 0) {
		return nil
	}
	return func(ctx context.Context) bool {
		for _, e := range ended {
			e.awaitEnded(ctx)
		}
		return (!goesOn || f.endings.awaitSettled(ctx, key)) && ctx.Err() == nil
	}
}

// beganAt returns the last event that the caller had before the request.
func (e *exchange) beganAt() int {
	last, err := strconv.Atoi(e.incoming.Header.Get(e.front.config.Names.LastEventID))
	if err != nil {
		return origin.NoEvent
	}
	return last
}

// awaitEnded waits until the exchange was served and its last run is over.
func (e *exchange) awaitEnded(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-e.done:
	}
	for _, begun := range e.endings {
		select {
		case <-ctx.Done():
		case <-begun.done:
		}
	}
}

// EndRuns cuts the resumable streams that still run, and returns once their endpoints have ended the runs, or
// when ctx ends. Their callers may take them up at other hosts.
func (f *Front) EndRuns(ctx context.Context) {
	for {
		running := 0
		f.planned.running.Range(func(key, _ any) bool {
			if e, ok := key.(*exchange); ok && e.hasBegun.Load() && e.isResumable() {
				running++
				e.end(errStopping)
			}
			return true
		})
		if running == 0 && len(f.endings.slots) == 0 || !sleepUnlessDone(ctx, _endedCheck) {
			return
		}
	}
}

// Close has the front ask no endpoint any more to end a run.
func (f *Front) Close() { f.endings.stop() }
