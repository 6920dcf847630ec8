package front

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/reqst/leave"
	"apricotproxy/core/reqst/tries"
	"apricotproxy/io/links"
)

// _stopPoll is how often the answer of an endpoint is looked for that was asked to stop a run.
const _stopPoll = 20 * time.Millisecond

// _endDelay is how long an endpoint that sends no stream any more has to close the connection. It
// is taken to work on otherwise.
const _endDelay = 20 * time.Millisecond

// _connectDelay is after which time without a connection other hosts are asked to stop a run: some round trips
// within a region.
const _connectDelay = 100 * time.Millisecond

// _maxStopPause bounds the pause, which doubles, before a lost endpoint is asked again to stop a run.
const _maxStopPause = 320 * time.Millisecond

// runStop is what is known of stopping the run of one try, which is to go on elsewhere.
type runStop struct {
	evidence leave.Evidence
	// elsewhere is what another host told at the last request; 0 if none did.
	elsewhere leave.Evidence
	// since is when the endpoint was first asked, asked how often.
	since time.Time
	asked int
	// contact is what the requests have shown of the endpoint besides.
	contact leave.Contact
	// stoppedAt is when the endpoint first answered that it stopped the run; zero if it did not. from identifies the
	// copy that it made then, at the address to; empty for none.
	stoppedAt time.Time
	from, to  string
	// pending is the request that is under way; nil for none.
	pending *stopRequest
	// answeredAt is when the last answer arrived, askAt when the endpoint may be asked again, pause the time
	// between them.
	answeredAt, askAt time.Time
	pause             time.Duration
}

// stopRequest is one request to stop a run. Its result may be read once done is closed.
type stopRequest struct {
	cancel   context.CancelFunc
	done     chan struct{}
	sentAt   time.Time
	evidence leave.Evidence
	// elsewhere is what another host told; 0 if none did.
	elsewhere leave.Evidence
	from, to  string
}

// leftRun is a run that the endpoint of a try may still work on.
type leftRun struct {
	endpoint   core.RoutedEndpoint
	connection leave.Connection
	// endedAt is when its connection was found to have ended; zero if it is open.
	endedAt time.Time
	// hasBegun is true if the endpoint has begun to answer.
	hasBegun bool
}

// currentRun returns the run of the current try, whose connection is open.
func (e *exchange) currentRun() *leftRun {
	return &leftRun{endpoint: e.run.Endpoint.RoutedEndpoint, connection: leave.Open, hasBegun: e.answerBegun}
}

// decideLeave returns whether the stream may go on at the endpoint to, though a run may not have
// ended. It asks the run's endpoint to stop it first, and has to be called again until that is known.
func (e *exchange) decideLeave(ctx context.Context, run *leftRun, to core.RoutedEndpoint) leave.Step {
	s, now := &e.stop, time.Now()
	if s.pending == nil && s.since.Before(e.lastEventAt) {
		*s = runStop{} // the endpoint has gone on since it was asked
	}
	if s.pending != nil {
		select {
		case <-s.pending.done:
			s.finish()
			s.contact.RefusedWhileOpen = s.contact.RefusedWhileOpen || s.evidence == leave.Refused && run.connection == leave.Open
			e.log("An endpoint was asked to stop a run.", "Endpoint", run.endpoint.ID, "Evidence", s.evidence.String(), "To", to.ID, "Elsewhere", s.elsewhere.String(),
				"Asked", s.asked, "Connection", run.connection.String(), "Failures", s.contact.Failures)
		default:
		}
	}
	if spec := e.engineSpec(); s.evidence == 0 && (spec == nil || !spec.Moves) {
		s.evidence = leave.Unsupported
	}
	if s.since.IsZero() {
		s.since = now
	}
	e.lookUp(&s.contact, run.endpoint)
	situation := leave.Situation{
		Now: now, Evidence: s.evidence, Connection: run.connection, Contact: s.contact, HasBegun: run.hasBegun,
		Repeatable: e.request.Route.Resumable, Limit: e.silenceTimeout(), AskedAt: s.since, AnsweredAt: s.answeredAt, StoppedAt: s.stoppedAt, GiveUpAt: e.giveUpAt(run),
	}
	step := situation.Next()
	if step == leave.Ask && s.pending == nil && !now.Before(s.askAt) {
		s.asked++
		s.pending = e.requestStop(ctx, run.endpoint, to)
		if s.evidence == 0 {
			s.evidence = leave.Asked
		}
	}
	return step
}

// lookUp sets what the documents tell of an endpoint.
func (e *exchange) lookUp(contact *leave.Contact, endpoint core.RoutedEndpoint) {
	config := e.front.config
	contact.IsUnknown = config.DocumentsOutdated != nil && config.DocumentsOutdated()
	contact.IsWithdrawn = !contact.IsUnknown && !slices.ContainsFunc(config.View().Endpoints, func(other know.Endpoint) bool {
		return other.Key() == endpoint.Key() && other.DropAt.IsZero()
	})
	contact.IsReplaced = e.front.isReplaced(endpoint)
}

// isReplaced reports whether an endpoint has started again since, or another one has its address.
func (f *Front) isReplaced(endpoint core.RoutedEndpoint) bool {
	return slices.ContainsFunc(f.config.View().Endpoints, func(other know.Endpoint) bool {
		return (other.ID == endpoint.ID || other.Address == endpoint.Address) && !endpoint.Born.IsZero() && other.Born.After(endpoint.Born)
	})
}

// giveUpAt returns until when an endpoint is asked. If the stream ends then, the endpoint has that time from the end of its
// connection: the last event may be older than callers wait, since the endpoint was silent before, or this
// host stood still.
func (e *exchange) giveUpAt(run *leftRun) time.Time {
	since := e.lastEventAt
	if run.endedAt.After(since) && !e.request.Route.Resumable {
		since = run.endedAt
	}
	return since.Add(e.longestPauseOfCallers())
}

// longestPauseOfCallers returns for how long callers wait for the next event of a stream, by the
// platform's documentation.
func (e *exchange) longestPauseOfCallers() time.Duration {
	return max(_maxPause, _maxPauseGoals*e.request.Route.Goal, _maxPauseGaps*e.request.Route.GapGoal)
}

// copyAt returns the copy that the endpoint made at an address when it stopped the run; empty for none.
func (s *runStop) copyAt(address string) string {
	if s.to != address {
		return ""
	}
	return s.from
}

// finish takes over the result of the request that was under way.
func (s *runStop) finish() {
	r := s.pending
	s.evidence, s.elsewhere, s.pending, s.answeredAt = r.evidence, r.elsewhere, nil, time.Now()
	isFirstStop := r.evidence == leave.Stopped && s.stoppedAt.IsZero()
	if r.evidence == leave.Stopped {
		s.setStopped(r)
	}
	s.contact.RecordElsewhere(s.answeredAt, r.elsewhere)
	s.pause = min(max(2*s.pause, _stopPoll), _maxStopPause)
	s.askAt = s.answeredAt.Add(s.pause)
	if isFirstStop {
		s.askAt = s.answeredAt // to confirm it
	}
	if r.evidence != leave.Unreachable && r.evidence != leave.Refused {
		s.contact.Failures = 0
		return
	}
	if s.contact.Failures == 0 {
		s.contact.FailingSince = r.sentAt
	}
	s.contact.Failures++
}

// setStopped takes over an answer that the run was stopped. One without a copy keeps that of an earlier answer.
func (s *runStop) setStopped(r *stopRequest) {
	if s.stoppedAt.IsZero() {
		s.stoppedAt = s.answeredAt
	}
	if r.from != "" {
		s.from, s.to = r.from, r.to
	}
}

// connectionEnded drops what no longer holds once the connection that carried the run has ended: an endpoint that refused a
// connection before may listen again.
func (s *runStop) connectionEnded() {
	if s.evidence != leave.Stopped && s.evidence != leave.NoRun {
		s.evidence, s.askAt = 0, time.Time{}
	}
}

// requestStop asks an endpoint to stop the run and to copy its memory to another one, through other hosts if this
// one cannot open a connection to it.
func (e *exchange) requestStop(ctx context.Context, source, to core.RoutedEndpoint) *stopRequest {
	ctx, cancel := context.WithTimeout(ctx, _moveTimeout)
	request := &stopRequest{cancel: cancel, done: make(chan struct{}), sentAt: time.Now(), to: to.Address}
	stops := e.stopRequests // of the try whose run is to be stopped: the next one may begin meanwhile
	go func() {
		defer close(request.done)
		defer cancel()
		e.stopRun(ctx, request, source, to, stops)
	}()
	return request
}

// stopRun carries out a request to stop a run.
func (e *exchange) stopRun(ctx context.Context, request *stopRequest, source, to core.RoutedEndpoint, stops *stopRequests) {
	connected := make(chan error, 1)
	go func() { connected <- e.front.config.Links.Connect(ctx, source) }()
	isKnown, err := awaitConnected(connected)
	if isKnown && err == nil {
		err = e.stopDirectly(ctx, request, source, to, stops)
	}
	if isKnown && err == nil {
		return
	}
	report := e.stopThroughHosts(ctx, source, to, stops)
	request.setReport(source, report)
	if report.evidence == leave.Stopped || report.evidence == leave.NoRun {
		return
	}
	if !isKnown {
		err = <-connected
		if err == nil {
			err = e.stopDirectly(ctx, request, source, to, stops)
		}
	}
	if err != nil {
		request.evidence = dialEvidence(err).With(report.evidence)
	}
}

// stopDirectly asks the endpoint over a new connection, which shows that it can be reached; an idle one may be
// dead. It returns an error if there was no connection.
func (e *exchange) stopDirectly(ctx context.Context, request *stopRequest, source, to core.RoutedEndpoint, stops *stopRequests) error {
	moved := e.requestMove(ctx, source, to.Address, stops)
	var failed *links.Error
	if errors.As(moved.err, &failed) && failed.Stage == links.StageDial {
		return moved.err
	}
	request.evidence = moved.evidence()
	if moved.hasCopy() {
		request.from = source.Address + "/" + moved.handle
	}
	return nil
}

// awaitConnected returns the result of an attempt to connect; false if there is none for a while.
func awaitConnected(connected <-chan error) (isKnown bool, err error) {
	timer := time.NewTimer(_connectDelay)
	defer timer.Stop()
	select {
	case err := <-connected:
		return true, err
	case <-timer.C:
		return false, nil
	}
}

// setReport sets what another host told of the run.
func (r *stopRequest) setReport(source core.RoutedEndpoint, report hostReport) {
	r.evidence, r.elsewhere = report.evidence, report.evidence
	if report.handle != "" {
		r.from = source.Address + "/" + report.handle
	}
}

// dialEvidence tells what a failed attempt to connect says of a run.
func dialEvidence(err error) leave.Evidence {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return leave.Refused
	}
	return leave.Unreachable
}

// evidence tells what the answer to a request to stop a run says of the run.
func (m moveResult) evidence() leave.Evidence {
	var failed *links.Error
	switch {
	case (m.status == http.StatusOK || m.status == http.StatusServiceUnavailable) && m.handle != "":
		return leave.Stopped
	case m.status == http.StatusNotFound:
		return leave.NoRun
	case m.status == 0 && errors.As(m.err, &failed) && failed.Stage == links.StageDial:
		return dialEvidence(m.err)
	case !m.isWhole, m.status == http.StatusOK:
		return leave.Asked
	default:
		return leave.Declined
	}
}

// hasCopy reports whether the engine stopped the run and copied its memory.
func (m moveResult) hasCopy() bool { return m.status == http.StatusOK && m.handle != "" }

// settleStop waits for the answer of an endpoint that was asked to stop the run, since the
// endpoint ends the stream before it answers. The stream then goes on from the copy.
func (e *exchange) settleStop(end *tryResult) {
	s := &e.stop
	if s.pending == nil {
		return
	}
	if !end.done {
		timer := time.NewTimer(_handoverTimeout)
		defer timer.Stop()
		select {
		case <-s.pending.done:
		case <-timer.C:
		}
	}
	s.pending.cancel()
	<-s.pending.done
	s.finish()
	if end.err != nil && !s.stoppedAt.IsZero() && e.prepared != nil {
		e.continueFrom(s.copyAt(e.prepared.run.Endpoint.Address))
		end.err, end.brokenOff = errSlow, false
	}
}

// continueFrom has the request go on from a copy at the place that was prepared; empty if there is
// no such copy.
func (e *exchange) continueFrom(from string) {
	if from != "" {
		e.prepared.dropOffer()
		e.prepared.step, e.prepared.from = tries.Continue, from
	}
}

// errNotStopped means that a stream cannot go on elsewhere, since it may still run.
var errNotStopped = errors.New("the endpoint that was left may still work on the stream")

// awaitStopped waits until a stream may go on elsewhere, though the run of its last try may not have
// ended. It returns the copy to continue from at the endpoint to: from if there is no newer one.
func (e *exchange) awaitStopped(ctx context.Context, to core.RoutedEndpoint, from string) (string, error) {
	if e.unended == nil || !e.delivered {
		return from, nil
	}
	for {
		switch e.decideLeave(ctx, e.unended, to) {
		case leave.Leave:
			if copied := e.stop.copyAt(to.Address); copied != "" {
				from = copied
			}
			return from, nil
		case leave.GiveUp:
			return "", errNotStopped
		}
		if err := e.stop.await(ctx); err != nil {
			return "", err
		}
	}
}

// await waits for the end of the request that is under way, or until the next one may be sent.
func (s *runStop) await(ctx context.Context) error {
	var done chan struct{}
	pause := max(time.Until(s.askAt), _stopPoll)
	if s.pending != nil {
		done, pause = s.pending.done, _stopPoll
	}
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-done:
	case <-time.After(pause):
	}
	return nil
}

// connectionAfter returns the state of a connection whose answer failed with an error. What the endpoint
// may still send on it is discarded.
func connectionAfter(answer *links.Answer, err error) leave.Connection {
	switch {
	case errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return leave.Dead
	case isConnectionEnd(err), answer.EndsWithin(_endDelay):
		return leave.Ended
	default:
		return leave.Closed
	}
}

// leftAt sets in a failed try how the connection to its endpoint ended.
func (t *tryResult) leftAt(answer *links.Answer) *tryResult {
	t.connection = connectionAfter(answer, t.err)
	return t
}
