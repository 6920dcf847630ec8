package leave

import "time"

// _deadlineMargin is how long before a request's deadline, by this host's clock, an endpoint may stop
// work at it: it is handed the time left in whole milliseconds, and its clock may run ahead.
const _deadlineMargin = 10 * time.Millisecond

// _inFlight is how long after an engine has declined to stop a run what it sent before may still arrive: a round
// trip, and the repetition of a lost packet.
const _inFlight = 300 * time.Millisecond

// StopRequests is what became of this host's requests to stop the run of one try. An endpoint that
// stops a run closes its stream without its end, before or after it answers. Only an answer that
// excludes it shows that a request did not stop the run: an error, or no answer at all, does not. An endpoint may
// act late on a request that it has not answered, also once this host has given that up, and on one that it has answered with Stopped.
type StopRequests struct {
	pending int
	// mayStop is true if the endpoint may act on a request at any time.
	mayStop bool
	// wasDeclined is true if the endpoint has answered a request with an error, after which no event has shown that the
	// run went on.
	wasDeclined bool
	// settledAt is when it became known what came of the last request.
	settledAt time.Time
}

// Send records that a request is about to be sent.
func (s *StopRequests) Send() { s.pending++ }

// Settle records what came of a request. An endpoint that was not reached got none, and one that
// has no such run had ended it by itself, unless an earlier request may have stopped it.
func (s *StopRequests) Settle(now time.Time, evidence Evidence) {
	s.pending--
	s.settledAt = now
	switch {
	case evidence.failed(), evidence == NoRun:
	case evidence == Declined:
		s.wasDeclined = true
	default:
		s.mayStop = true
	}
}

// RecordEvent records that an event of the run arrived, for which this host had waited since a time with
// nothing else to read. A run that goes on long after the endpoint has declined all requests was not stopped.
func (s *StopRequests) RecordEvent(awaitedSince time.Time) {
	if s.pending == 0 && !awaitedSince.Before(s.settledAt.Add(_inFlight)) {
		s.wasDeclined = false
	}
}

// Pending reports whether requests are under way.
func (s *StopRequests) Pending() bool { return s.pending > 0 }

// MayHaveStopped reports whether the endpoint may have stopped the run because of a request.
func (s *StopRequests) MayHaveStopped() bool { return s.mayStop || s.wasDeclined || s.pending > 0 }

// End describes an answer without framing, with neither a length nor chunks, whose connection was
// closed. The close is the end of the answer only if the endpoint had no other reason for it.
type End struct {
	// MayHaveStopped is true if the endpoint may have stopped the run because of this host.
	MayHaveStopped bool
	// TimeLeft is the time until the deadline that the endpoint was handed.
	TimeLeft time.Duration
	// EndpointEnded reports whether the endpoint has ended. It is called only if the answer matters.
	EndpointEnded func() bool
}

// Cause is why a connection was closed.
type Cause uint8

// Causes.
const (
	// AnswerComplete: the endpoint ended its answer.
	AnswerComplete Cause = iota + 1
	// RunStopped: the endpoint may have stopped the run because of this host.
	RunStopped
	// DeadlineReached: the endpoint may have stopped work at the deadline.
	DeadlineReached
	// EndpointEnded: the endpoint has ended, whether it had announced that or not.
	EndpointEnded
)

// String returns the name used in logs.
func (c Cause) String() string {
	return [...]string{"None", "AnswerComplete", "RunStopped", "DeadlineReached", "EndpointEnded"}[c]
}

// Cause returns why the connection was closed, as far as it can be known: AnswerComplete only if
// nothing else explains it.
func (e End) Cause() Cause {
	switch {
	case e.MayHaveStopped:
		return RunStopped
	case e.TimeLeft <= _deadlineMargin:
		return DeadlineReached
	case e.EndpointEnded():
		return EndpointEnded
	default:
		return AnswerComplete
	}
}
