// Package leave decides when a stream may go on at another endpoint although the endpoint of its
// current try may still work on it: once its run is known to have ended. A stream that may run twice goes on
// without that knowledge when its caller would leave otherwise. That an endpoint does not answer, or that a connection to it has ended, does not show
// that: the endpoint may be silent, its queue of new connections may be full, and the path may have reset
// the connection. Most endpoints, but not all, drop a request when its connection closes.
package leave

import "time"

const (
	// _minAsked is how long an endpoint has to answer at least: many round trips within a region.
	_minAsked = 200 * time.Millisecond
	// _resumeTime is the time that the next endpoint may need until its first event.
	_resumeTime = 500 * time.Millisecond
	// _minFailures and _minUnreachable are how many attempts in a row to connect must have failed, and for
	// how long, until contact to an endpoint counts as lost. Packets of a few attempts may be lost.
	_minFailures    = 4
	_minUnreachable = 1500 * time.Millisecond
	// _minUnreachableUnknown is the same time while this host does not know whether the endpoint's document is gone: an
	// endpoint that lives would have to be silent for longer than a sound one may be.
	_minUnreachableUnknown = 3 * time.Second
)

// Evidence is what the last request to stop the run has shown.
type Evidence uint8

// Evidence. The zero Evidence means that the endpoint was not asked to stop the run.
const (
	// Asked: the endpoint accepted a connection and has not completely answered the request to stop the run.
	Asked Evidence = iota + 1
	// Stopped: the endpoint answered that it stopped the run. One that acts late may still work on it, and
	// is asked again.
	Stopped
	// NoRun: the endpoint answered that it has no such run. Its last events may be on their way.
	NoRun
	// Declined: the endpoint answered with an error. The run may go on.
	Declined
	// Refused: an attempt to connect was refused, by the endpoint's system or by something on the path.
	Refused
	// Unreachable: an attempt to connect got no answer.
	Unreachable
	// Unsupported: endpoints of the service cannot be asked.
	Unsupported
)

// String returns the name used in logs.
func (e Evidence) String() string {
	return [...]string{"NotAsked", "Asked", "Stopped", "NoRun", "Declined", "Refused", "Unreachable", "Unsupported"}[e]
}

// ParseEvidence returns the evidence with a name; false for a name of none.
func ParseEvidence(name string) (Evidence, bool) {
	for e := Asked; e <= Unsupported; e++ {
		if e.String() == name {
			return e, true
		}
	}
	return 0, false
}

// TellsMoreThan reports whether what one host told of a run tells more than what another one did.
func (e Evidence) TellsMoreThan(other Evidence) bool { return e.weight() > other.weight() }

func (e Evidence) weight() int {
	switch e {
	case Stopped:
		return 5
	case NoRun:
		return 4
	case Asked, Declined:
		return 3
	case Refused:
		return 2
	case Unreachable:
		return 1
	default:
		return 0
	}
}

// With returns the evidence of a failed attempt to connect together with what another host told of the run.
func (e Evidence) With(elsewhere Evidence) Evidence {
	if elsewhere == Stopped || elsewhere == NoRun {
		return elsewhere
	}
	return e
}

// failed reports whether there was no connection on which the endpoint could be asked.
func (e Evidence) failed() bool { return e == Refused || e == Unreachable }

// Connection is the state of the connection that carried the run.
type Connection uint8

// States of a connection.
const (
	// Open: it may bring the rest of the stream. The endpoint's system acknowledges what is sent on it, so
	// the endpoint has not ended.
	Open Connection = iota + 1
	// Closed: this host closed it.
	Closed
	// Ended: the endpoint, or something on the path, closed or reset it.
	Ended
	// Dead: nothing that was sent on it was acknowledged for some seconds.
	Dead
)

// String returns the name used in logs.
func (c Connection) String() string {
	return [...]string{"None", "Open", "Closed", "Ended", "Dead"}[c]
}

// Step is what to do now.
type Step uint8

// Steps.
const (
	// Wait: read on from the endpoint, and decide again later.
	Wait Step = iota + 1
	// Ask: ask the endpoint to stop the run, unless a request to do so is under way.
	Ask
	// Leave: go on at the other endpoint.
	Leave
	// GiveUp: end the stream as incomplete.
	GiveUp
)

// String returns the name used in logs.
func (s Step) String() string { return [...]string{"None", "Wait", "Ask", "Leave", "GiveUp"}[s] }

// Contact is what is known of an endpoint besides its answers.
type Contact struct {
	// Failures counts the attempts in a row to connect to the endpoint that failed, the first of which began
	// at FailingSince.
	Failures     int
	FailingSince time.Time
	// ReachedElsewhereAt is when another host last told that it could open a connection to the endpoint; zero if none
	// did, or one was refused since.
	ReachedElsewhereAt time.Time
	// RefusedWhileOpen is true if the endpoint refused connections while the one that carried the run was open, so that
	// a refusal does not show its end.
	RefusedWhileOpen bool
	// IsReplaced is true if the endpoint has started again since, or another one has its address.
	IsReplaced bool
	// IsWithdrawn is true if the endpoint's document is gone, IsUnknown if this host does not know whether it is.
	IsWithdrawn bool
	IsUnknown   bool
}

// RecordElsewhere records what another host told of the endpoint; 0 if none did.
func (c *Contact) RecordElsewhere(now time.Time, e Evidence) {
	switch e {
	case Asked, Stopped, NoRun, Declined:
		c.ReachedElsewhereAt = now
	case Refused:
		c.ReachedElsewhereAt = time.Time{}
	}
}

// IsReachedElsewhere reports whether another host has reached the endpoint lately.
func (c Contact) IsReachedElsewhere(now time.Time) bool {
	return !c.ReachedElsewhereAt.IsZero() && now.Sub(c.ReachedElsewhereAt) < _minUnreachable
}

// isLost reports whether the endpoint cannot be reached any more, from any host that could tell.
func (c Contact) isLost(now time.Time) bool {
	if c.Failures < _minFailures || c.IsReachedElsewhere(now) {
		return false
	}
	failing := now.Sub(c.FailingSince)
	return c.IsWithdrawn && failing >= _minUnreachable || c.IsUnknown && failing >= _minUnreachableUnknown
}

// Situation is the input of a decision.
type Situation struct {
	Now        time.Time
	Evidence   Evidence
	Connection Connection
	Contact    Contact
	// HasBegun is true if the endpoint has begun to answer the request. Otherwise it may act late on it, and
	// begin after it has answered that it has no such run.
	HasBegun bool
	// Repeatable is true if the stream may run at two endpoints at a time.
	Repeatable bool
	// Limit is the silence after which a stream may leave its endpoint.
	Limit time.Duration
	// AskedAt is when the endpoint was first asked, AnsweredAt when the last request has shown the Evidence, and
	// StoppedAt when it first answered that it stopped the run; zero if it did not.
	AskedAt    time.Time
	AnsweredAt time.Time
	StoppedAt  time.Time
	// GiveUpAt is when the caller no longer waits for the next event.
	GiveUpAt time.Time
}

// Next returns the next step.
func (s Situation) Next() Step {
	switch {
	case s.Evidence == 0:
		return Ask
	case s.HasEnded(), s.Repeatable && s.isOverdue():
		return Leave
	case !s.Repeatable && s.Connection != Open && (s.Evidence == Unsupported || !s.Now.Before(s.GiveUpAt)):
		return GiveUp
	case s.Evidence == Unsupported, s.Evidence == NoRun && s.HasBegun:
		return Wait
	default:
		return Ask
	}
}

// HasEnded reports whether the run is known to have ended, or the endpoint cannot be reached any more.
func (s Situation) HasEnded() bool {
	gone := s.Connection == Ended || s.Connection == Dead
	switch {
	case s.Contact.IsReplaced, s.wasStopped():
		return true
	case s.Evidence == NoRun:
		return s.HasBegun && (s.Connection != Open || s.Now.Sub(s.AnsweredAt) >= s.Limit)
	case s.Evidence == Refused && gone && !s.Contact.RefusedWhileOpen && !s.Contact.IsReachedElsewhere(s.Now):
		return true // a process that lives has its connections or its listener
	case s.Evidence == Unsupported:
		return s.Connection == Ended // there is no way to find out more
	default:
		return s.Evidence.failed() && gone && s.Contact.isLost(s.Now)
	}
}

// wasStopped reports whether the endpoint has answered that it stopped the run, and does not have it any more.
// One that gives the same answer again may do so for a run that it has stopped.
func (s Situation) wasStopped() bool {
	return !s.StoppedAt.IsZero() && (s.Evidence == NoRun || s.Evidence.failed() || s.Now.Sub(s.StoppedAt) >= s.Limit)
}

// isOverdue reports whether the caller would leave before the next endpoint's first event if the stream
// went on any later. A caller that has left takes the stream up elsewhere, and nothing is known of the run then either.
func (s Situation) isOverdue() bool {
	return s.Evidence == Unsupported || s.asked() >= _minAsked && !s.Now.Before(s.GiveUpAt.Add(-_resumeTime))
}

func (s Situation) asked() time.Duration { return s.Now.Sub(s.AskedAt) }
