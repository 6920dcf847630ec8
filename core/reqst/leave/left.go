package leave

import "time"

// _refusedTime is for how long an endpoint that refuses connections may still turn out to live: the path may
// refuse them for it, as long as hosts count as out of contact.
const _refusedTime = 3 * time.Second

// _beginTime is for how long after a run was left its endpoint may still begin it: it may have got the request, and
// act late.
const _beginTime = 1500 * time.Millisecond

// Left is what is known of a run that nobody needs any more, at an endpoint that may still work on it.
type Left struct {
	Now time.Time
	// At is when the run was left.
	At       time.Time
	Evidence Evidence
	// HasBegun is true if the run had sent an event.
	HasBegun bool
	// Connection is the state of the connection that carried the run.
	Connection Connection
	// IsReplaced is true if the endpoint has started again since, or another one has its address.
	IsReplaced bool
	// Deadline is when the endpoint gives the run up by itself.
	Deadline time.Time
}

// IsOver reports whether the endpoint does not have to be asked again to stop the run.
func (l Left) IsOver() bool {
	switch {
	case l.Evidence == Stopped, l.Evidence == Unsupported:
		return true
	case l.Evidence == NoRun && (l.HasBegun || l.Now.Sub(l.At) >= _beginTime):
		return true
	case l.Evidence == Refused && (l.Connection == Ended || l.Connection == Dead) && l.Now.Sub(l.At) >= _refusedTime:
		return true // a process that lives has its connections or its listener
	default:
		return l.IsReplaced || !l.Now.Before(l.Deadline)
	}
}
