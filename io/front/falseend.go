package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"apricotproxy/core/mutex"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/reqst/leave"
	"apricotproxy/io/links"
)

var (
	// errEndedUnframed ends a try whose answer had neither a length nor chunks when its endpoint ended.
	errEndedUnframed = fmt.Errorf("the endpoint ended, and its answer does not tell its length: %w", io.ErrUnexpectedEOF)
	// errStopped ends such a try if its endpoint may have stopped the run for this host.
	errStopped = fmt.Errorf("the endpoint may have stopped the run, and its answer does not tell its length: %w", io.ErrUnexpectedEOF)
)

// errUnconfirmedEnd ends such a try if it cannot be found out whether its endpoint has ended.
var errUnconfirmedEnd = errors.New("it is not known whether the endpoint ended, and its answer does not tell its length")

// _goOnTime is the time that a stream may need to go on at another endpoint.
const _goOnTime = 500 * time.Millisecond

// _listenerDelay is how long an endpoint that ends may take from the end of its connections to that of its listener:
// the end of a process, and a round trip.
const _listenerDelay = 50 * time.Millisecond

// stopRequests records the requests to stop the run of one try. It is safe for concurrent use: they
// are sent while another goroutine reads the stream.
type stopRequests struct {
	mu       sync.Mutex
	requests leave.StopRequests
	asked    bool
	// isDoubtful is true if the endpoint may act on a request to stop an earlier run of the same ID.
	isDoubtful bool
	// doubtfulUntil is until when it may act on such a request although it has answered a later one.
	doubtfulUntil time.Time
	// settled is closed once no request is under way; nil if none is.
	settled chan struct{}
}

func (s *stopRequests) send() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = true
	s.requests.Send()
	if s.settled == nil {
		s.settled = make(chan struct{})
	}
}

func (s *stopRequests) settle(now time.Time, evidence leave.Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests.Settle(now, evidence)
	if !s.requests.Pending() {
		close(s.settled)
		s.settled = nil
	}
}

// recordEvent records that an event arrived that this host had awaited since a time.
func (s *stopRequests) recordEvent(awaitedSince time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests.RecordEvent(awaitedSince)
}

func (s *stopRequests) setDoubtfulUntil(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.doubtfulUntil) {
		s.doubtfulUntil = at
	}
}

// wasAsked reports whether the endpoint was asked to stop the run, whatever it answered.
func (s *stopRequests) wasAsked() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

// mayHaveStopped reports whether the endpoint may have stopped the run. It waits for the answers of
// requests that are under way, since the stream of a run that it has not stopped may end meanwhile.
func (s *stopRequests) mayHaveStopped(ctx context.Context, patience time.Duration) bool {
	settled := mutex.Get(&s.mu, func() chan struct{} { return s.settled })
	if settled != nil {
		timer := time.NewTimer(patience)
		defer timer.Stop()
		select {
		case <-settled:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return s.mayHaveStoppedNow()
}

// mayHaveStoppedNow is mayHaveStopped without the wait.
func (s *stopRequests) mayHaveStoppedNow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDoubtful || time.Now().Before(s.doubtfulUntil) || s.requests.MayHaveStopped()
}

// stopPatience returns how long the answers to requests to stop the run may be awaited once its stream has ended: if it is not
// complete, it can still go on elsewhere then before its caller leaves.
func (e *exchange) stopPatience() time.Duration {
	return max(time.Until(e.lastEventAt.Add(e.longestPauseOfCallers()-_goOnTime)), _handoverTimeout)
}

// falseEnd returns the result of a try whose answer was read to the end of its connection and is
// not shown to be complete by that; nil if it is complete. A connection that is opened to find out
// is kept.
func (e *exchange) falseEnd(ctx context.Context, answer *links.Answer) *tryResult {
	if answer.Framed() {
		return nil
	}
	var listening error
	end := leave.End{
		MayHaveStopped: e.stopRequests.mayHaveStopped(ctx, e.stopPatience()),
		TimeLeft:       time.Until(e.request.Deadline),
		EndpointEnded: func() bool {
			listening = e.front.config.Links.Listens(ctx, e.run.Endpoint.RoutedEndpoint, _listenerDelay)
			return listening != nil
		},
	}
	cause := end.Cause()
	if cause == leave.AnswerComplete {
		return nil
	}
	e.log("An answer without framing is not taken for complete.", "Endpoint", e.run.Endpoint.ID, "Reason", cause.String(),
		"Listening", errorText(listening), "Events", e.events, "TimeLeft", end.TimeLeft.Milliseconds(), "LeftByNotice", e.leftByNotice())
	switch cause {
	case leave.RunStopped:
		return &tryResult{result: e.lostResult(), brokenOff: true, err: errStopped}
	case leave.DeadlineReached:
		return &tryResult{result: e.lostResult(), err: errTimeout}
	}
	if isConnectionEnd(listening) || errors.Is(listening, syscall.ECONNREFUSED) {
		return &tryResult{result: e.lostResult(), health: e.endpointOutcome(ctx, place.Gone), brokenOff: true, err: errEndedUnframed}
	}
	return &tryResult{result: e.lostResult(), health: e.endpointOutcome(ctx, place.Unreachable), err: fmt.Errorf("%w: %w", errUnconfirmedEnd, listening)}
}
