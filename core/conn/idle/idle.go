// Package idle decides whether a connection has gone silent. The peer of a
// live connection sends something, if only a comment, within a known time; a
// connection without a byte for longer is replaced, since nothing else tells
// when a device between the two ends has lost track of it.
package idle

import "time"

// Timeout is the state of one connection. The zero value is never silent.
type Timeout struct {
	// deadline is when the connection counts as silent.
	deadline time.Time
	// armed is the deadline that the shell last set on the connection. It may
	// lag behind deadline, so that not every byte costs a timer change.
	armed time.Time
}

// WithHeard returns the state after a byte was read, or after the connection
// was opened, given the longest silence of the settings. A limit of zero or
// less means that the connection may be silent for ever.
func (p Timeout) WithHeard(now time.Time, limit time.Duration) Timeout {
	if limit <= 0 {
		return Timeout{}
	}
	p.deadline = now.Add(limit)
	return p
}

// Deadline gives the time at which the connection counts as silent; zero for
// never.
func (p Timeout) Deadline() time.Time { return p.deadline }

// Silent tells whether the connection counts as silent at now.
func (p Timeout) Silent(now time.Time) bool {
	return !p.deadline.IsZero() && !now.Before(p.deadline)
}

// NeedsArming tells whether the deadline on the connection is too early by a
// quarter of the limit or more. An early alarm does no harm: the shell asks
// Silent and arms again.
//
// With a limit of 4 s and a token every 27 ms, the timer of the connection is
// changed once in 37 tokens instead of with each.
func (p Timeout) NeedsArming(limit time.Duration) bool {
	if p.deadline.IsZero() {
		return false
	}
	return p.armed.IsZero() || p.deadline.Sub(p.armed) >= limit/4
}

// WithArmed returns the state after the shell has set Deadline on the
// connection.
func (p Timeout) WithArmed() Timeout {
	p.armed = p.deadline
	return p
}
