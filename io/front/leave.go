package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/reqst/leave"
	"apricotproxy/core/reqst/tries"
	"apricotproxy/io/links"
)

// _stopPoll is how often the answer of an endpoint is looked for that was asked to stop a run.
const _stopPoll = 20 * time.Millisecond

// _endDelay is how long an endpoint that sends no stream any more has to close the connection. It
// is taken to work on otherwise.
const _endDelay = 20 * time.Millisecond

// runStop is what is known of stopping the run of one try, which is to go on elsewhere.
type runStop struct {
	evidence leave.Evidence
	// since is when the endpoint was first asked.
	since time.Time
	// from identifies the copy that the endpoint made when it stopped the run; empty for none.
	from string
	// pending is the request that is under way; nil for none.
	pending *stopRequest
}

// stopRequest is one request to stop a run. Its result may be read once done is closed.
type stopRequest struct {
	cancel   context.CancelFunc
	done     chan struct{}
	evidence leave.Evidence
	from     string
}

// decideLeave returns whether the stream may go on at the endpoint to, though source did not end
// the run. It asks source to stop the run first, and has to be called again until that is known.
// closed is true if the connection to source is closed.
func (e *exchange) decideLeave(ctx context.Context, source, to core.RoutedEndpoint, closed bool) leave.Step {
	s := &e.stop
	if s.pending != nil {
		select {
		case <-s.pending.done:
			s.finish()
			e.log("An endpoint was asked to stop a run.", "Endpoint", source.ID, "Evidence", s.evidence.String(), "To", to.ID)
		default:
		}
	}
	if spec := e.engineSpec(); s.evidence == 0 && (spec == nil || !spec.Moves) {
		s.evidence = leave.Unsupported
	}
	now := time.Now()
	if s.since.IsZero() {
		s.since = now
	}
	situation := leave.Situation{Evidence: s.evidence, Repeatable: e.request.Route.Resumable, Closed: closed, Limit: e.silenceTimeout(), Since: now.Sub(s.since)}
	step := situation.Next()
	if step == leave.Ask && s.pending == nil {
		s.pending = e.requestStop(ctx, source, to)
		if s.evidence == 0 {
			s.evidence = leave.Asked
		}
	}
	return step
}

// finish takes over the result of the request that was under way.
func (s *runStop) finish() {
	s.evidence, s.from = s.pending.evidence, s.pending.from
	s.pending = nil
}

// requestStop asks an endpoint to stop the run and to copy its memory to another one.
func (e *exchange) requestStop(ctx context.Context, source, to core.RoutedEndpoint) *stopRequest {
	ctx, cancel := context.WithTimeout(ctx, _moveTimeout)
	request := &stopRequest{cancel: cancel, done: make(chan struct{})}
	stops := e.stopRequests // of the try whose run is to be stopped: the next one may begin meanwhile
	go func() {
		defer close(request.done)
		defer cancel()
		// A new connection shows whether the endpoint can be reached; an idle one may be dead.
		if err := e.front.config.Links.Connect(ctx, source); err != nil {
			request.evidence = leave.Unreachable
			return
		}
		moved := e.requestMove(ctx, source, to.Address, stops)
		request.evidence = moved.evidence()
		if moved.status == http.StatusOK && request.evidence == leave.Stopped {
			request.from = source.Address + "/" + moved.handle
		}
	}()
	return request
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
		return leave.Unreachable
	case m.status == 0 && errors.Is(m.err, context.DeadlineExceeded):
		return leave.Asked
	default:
		return leave.Declined
	}
}

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
	if end.err != nil && s.evidence == leave.Stopped && e.prepared != nil {
		e.continueFrom(s.from)
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

// awaitStopped waits until a stream whose last try was ended by this host may go on at the
// endpoint of the current run. It returns the copy to continue from: from if there is no newer
// one.
func (e *exchange) awaitStopped(ctx context.Context, from string) (string, error) {
	source := *e.unended
	e.stop = runStop{}
	for {
		switch e.decideLeave(ctx, source, e.run.Endpoint.RoutedEndpoint, true) {
		case leave.Leave:
			if e.stop.from != "" {
				from = e.stop.from
			}
			return from, nil
		case leave.GiveUp:
			return "", errNotStopped
		}
		select {
		case <-ctx.Done():
			return "", context.Cause(ctx)
		case <-time.After(_stopPoll):
		}
	}
}

// leftWhileRunning sets in a failed try whether the endpoint may still work on the stream: it does
// not if it ended the connection itself.
func (t *tryResult) leftWhileRunning(answer *links.Answer) *tryResult {
	t.mayStillRun = !answer.EndsWithin(_endDelay)
	return t
}
