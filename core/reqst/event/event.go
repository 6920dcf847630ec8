// Package event splits a stream of server-sent events into whole events and
// tells their ids, without changing a byte. It lives for one request: after the
// stream goes on at another endpoint, it checks that nothing is missing and
// nothing comes twice.
package event

import (
	"bytes"
	"fmt"
	"strconv"
)

// LongestEvent bounds an event's bytes: a stream that exceeds it is no event
// stream.
const LongestEvent = 256 << 10

// Splitter cuts bytes into whole events.
type Splitter struct {
	buffer []byte
	start  int
}

// Reset drops what is not whole, as after a broken connection.
func (s *Splitter) Reset() { s.buffer, s.start = s.buffer[:0], 0 }

// Add takes in bytes. It fails when an event grows beyond LongestEvent.
func (s *Splitter) Add(p []byte) error {
	if s.start > 0 {
		s.buffer = append(s.buffer[:0], s.buffer[s.start:]...)
		s.start = 0
	}
	s.buffer = append(s.buffer, p...)
	if len(s.buffer) > LongestEvent && !bytes.Contains(s.buffer, _end) {
		return fmt.Errorf("an event is longer than %d bytes", LongestEvent)
	}
	return nil
}

var _end = []byte("\n\n")

// Next gives the next whole event with its blank line. The slice is valid until
// the next call of Add.
func (s *Splitter) Next() ([]byte, bool) {
	window := s.buffer[s.start:]
	i := bytes.Index(window, _end)
	if i < 0 {
		return nil, false
	}
	s.start += i + len(_end)
	return window[:i+len(_end)], true
}

// Rest counts the bytes of an event that is not whole yet.
func (s *Splitter) Rest() int { return len(s.buffer) - s.start }

// ID gives the number in an event's id field; false when it has none.
func ID(event []byte) (int, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
		return n, err == nil
	}
	return 0, false
}

// Verdict tells what to do with an event.
type Verdict uint8

// Verdicts.
const (
	Deliver Verdict = iota + 1
	Skip            // delivered already
	Gap             // events before it are missing: nothing may follow
)

// Position is how far a stream has been delivered.
type Position struct {
	last    int
	started bool
}

// Started tells whether an event was delivered.
func (p *Position) Started() bool { return p.started }

// Last gives the id of the last event delivered.
func (p *Position) Last() int { return p.last }

// Take decides about the next event and moves on if it is to be delivered. An
// event without an id is delivered only before the stream was continued, which
// the caller tells.
func (p *Position) Take(event []byte, continued bool) Verdict {
	id, ok := ID(event)
	if !ok {
		if continued {
			return Gap
		}
		return Deliver
	}
	if p.started && id <= p.last {
		return Skip
	}
	if p.started && id != p.last+1 {
		return Gap
	}
	p.last, p.started = id, true
	return Deliver
}
