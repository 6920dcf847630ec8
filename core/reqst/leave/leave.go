// Package leave decides when a stream may go on at another endpoint although the endpoint of its
// current try did not end it: it fell silent, or sent what is no event. That endpoint may still
// work on the stream, and most endpoints, but not all, drop a request when its connection closes.
package leave

import "time"

// _repeatablePatience is how long a stream that may run at two endpoints at a time waits for the
// answer of the one that is asked to stop: many round trips within a region.
const _repeatablePatience = 200 * time.Millisecond

// Evidence is what this host knows of the run at the endpoint that is to be left.
type Evidence uint8

// Evidence. The zero Evidence means that the endpoint was not asked to stop the run.
const (
	// Asked: the endpoint accepted a connection and has not answered the request to stop the run.
	Asked Evidence = iota + 1
	// Stopped: the endpoint answered that it stopped the run.
	Stopped
	// NoRun: the endpoint answered that it has no such run. Its last events may be on their way.
	NoRun
	// Declined: the endpoint answered anything else. The run may go on.
	Declined
	// Unreachable: no connection to the endpoint could be opened.
	Unreachable
	// Unsupported: endpoints of the service cannot be asked.
	Unsupported
)

// String returns the name used in logs.
func (e Evidence) String() string {
	return [...]string{"NotAsked", "Asked", "Stopped", "NoRun", "Declined", "Unreachable", "Unsupported"}[e]
}

// Step is what to do now.
type Step uint8

// Steps.
const (
	// Wait: read on from the endpoint, and decide again later.
	Wait Step = iota + 1
	// Ask: ask the endpoint to stop the run.
	Ask
	// Leave: go on at the other endpoint.
	Leave
	// GiveUp: end the stream as incomplete.
	GiveUp
)

// String returns the name used in logs.
func (s Step) String() string { return [...]string{"None", "Wait", "Ask", "Leave", "GiveUp"}[s] }

// Situation is the input of a decision.
type Situation struct {
	Evidence Evidence
	// Repeatable is true if the stream may run at two endpoints at a time.
	Repeatable bool
	// Closed is true if this host has closed the connection, so that nothing more can come.
	Closed bool
	// Limit is the silence after which a stream may leave its endpoint.
	Limit time.Duration
	// Since is how long ago the endpoint was first asked.
	Since time.Duration
}

// Next returns the next step. A stream that must not run twice leaves only an endpoint that has
// stopped it or has not got it, or to which nothing gets through.
func (s Situation) Next() Step {
	switch s.Evidence {
	case 0:
		return Ask
	case Stopped, Unreachable:
		return Leave
	case Unsupported:
		return s.withoutProof(Wait)
	case Declined:
		if s.Repeatable || s.Closed {
			return s.afterPatience(s.withoutProof(Ask), Ask)
		}
		return Ask
	default:
		return s.afterPatience(Leave, Wait)
	}
}

// withoutProof returns the step if nothing will show that the run has stopped. An open connection
// may bring the rest of the stream.
func (s Situation) withoutProof(open Step) Step {
	switch {
	case s.Repeatable:
		return Leave
	case s.Closed:
		return GiveUp
	default:
		return open
	}
}

// afterPatience returns late if the endpoint was first asked too long ago, and early before.
func (s Situation) afterPatience(late, early Step) Step {
	patience := s.Limit // a sound endpoint may answer nothing for a second or so on any connection
	if s.Repeatable {
		patience = _repeatablePatience
	}
	if s.Since >= patience {
		return late
	}
	return early
}
