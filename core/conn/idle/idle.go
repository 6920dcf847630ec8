// Package idle detects connections that have gone silent. The peer of a live
// connection sends something, if only a comment, within a known time. A
// connection that is silent for longer is replaced, because nothing else reveals
// that a device between the two ends has dropped its state of the connection.
package idle

import "time"

// Timeout is the state of one connection. The zero value is never silent.
type Timeout struct {
	// deadline is when the connection counts as silent.
	deadline time.Time
	// armed is the deadline last set on the connection. It may lag behind
	// deadline, so that not every byte changes a timer.
	armed time.Time
}

// WithActivity returns the state after bytes were transferred at now, or after the
// connection was opened. The limit is the longest silence allowed; zero or less
// means no limit.
func (t Timeout) WithActivity(now time.Time, limit time.Duration) Timeout {
	if limit <= 0 {
		return Timeout{}
	}
	t.deadline = now.Add(limit)
	return t
}

// Deadline returns the time at which the connection counts as silent; zero for
// never.
func (t Timeout) Deadline() time.Time { return t.deadline }

// Silent reports whether the connection counts as silent at now.
func (t Timeout) Silent(now time.Time) bool {
	return !t.deadline.IsZero() && !now.Before(t.deadline)
}

// NeedsArming reports whether the deadline set on the connection is too early by
// a quarter of the limit or more. A deadline that expires early does no harm: the
// caller checks Silent and sets the deadline again.
//
// With a limit of 4 s and a token every 27 ms, the connection's deadline is
// changed once per 37 tokens instead of for each.
func (t Timeout) NeedsArming(limit time.Duration) bool {
	if t.deadline.IsZero() {
		return false
	}
	return t.armed.IsZero() || t.deadline.Sub(t.armed) >= limit/4
}

// WithArmed returns the state after the caller has set Deadline on the
// connection.
func (t Timeout) WithArmed() Timeout {
	t.armed = t.deadline
	return t
}
