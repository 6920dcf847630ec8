// Package event splits a stream of server-sent events into complete events and
// reads their ids, without changing a byte. When a stream continues on another
// endpoint, it checks that no event is missing and none is delivered twice. Its
// state belongs to one request.
package event

import (
	"bytes"
	"fmt"
	"strconv"
)

// MaxEventBytes is the greatest length of an event in bytes. A stream with a
// longer one is not treated as an event stream.
const MaxEventBytes = 256 << 10

// Splitter splits bytes into complete events.
type Splitter struct {
	buffer []byte
	start  int
}

// Reset drops buffered bytes, for use after a broken connection.
func (s *Splitter) Reset() { s.buffer, s.start = s.buffer[:0], 0 }

// Add appends bytes to the buffer. It fails if the buffer exceeds MaxEventBytes
// without a complete event in it.
func (s *Splitter) Add(p []byte) error {
	if s.start > 0 {
		s.buffer = append(s.buffer[:0], s.buffer[s.start:]...)
		s.start = 0
	}
	s.buffer = append(s.buffer, p...)
	if len(s.buffer) > MaxEventBytes && !bytes.Contains(s.buffer, _eventEnd) {
		return fmt.Errorf("an event is longer than %d bytes", MaxEventBytes)
	}
	return nil
}

var _eventEnd = []byte("\n\n")

// Next returns the next complete event with its blank line. The slice is valid
// until the next call of Add.
func (s *Splitter) Next() ([]byte, bool) {
	window := s.buffer[s.start:]
	i := bytes.Index(window, _eventEnd)
	if i < 0 {
		return nil, false
	}
	s.start += i + len(_eventEnd)
	return window[:i+len(_eventEnd)], true
}

// Buffered returns the number of buffered bytes that Next has not returned.
func (s *Splitter) Buffered() int { return len(s.buffer) - s.start }

// ID returns the number in an event's id field; false if it has none.
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

// IsValid reports whether an event has only fields of event streams, and at most one id. An
// engine may also write a field with a lower-case name and a number, such as "versions: 2". What
// a failing engine writes amid its events would otherwise count as a part of the next event, for
// example in "HTTP/1.1 500 Internal Server Error\r\n\r\nid: 7\ndata: x\n\n".
func IsValid(event []byte) bool {
	ids := 0
	for line := range bytes.Lines(event) {
		name, value, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\n")), []byte(":"))
		switch string(name) {
		case "", "data", "event", "retry":
			continue
		case "id":
			ids++
			continue
		}
		if _, err := strconv.Atoi(string(bytes.TrimSpace(value))); err != nil || !isFieldName(name) {
			return false
		}
	}
	return ids <= 1
}

func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// Verdict is what to do with an event.
type Verdict uint8

// Verdicts on an event.
const (
	Deliver Verdict = iota + 1
	Skip            // was already delivered
	Gap             // events before it are missing, so the stream cannot go on
)

// Position is how far a stream has been delivered.
type Position struct {
	last    int
	started bool
}

// After returns the position of a caller that has the events up to and including last.
func After(last int) Position { return Position{last: last, started: true} }

// Started reports whether an event with an id was delivered.
func (p *Position) Started() bool { return p.started }

// Last returns the id of the last event delivered.
func (p *Position) Last() int { return p.last }

// Accept returns the verdict on the next event and advances the position if the event
// is to be delivered.
// continued is true if events of the stream came from another endpoint; then an event
// without an id is a gap, since it cannot be checked.
func (p *Position) Accept(event []byte, continued bool) Verdict {
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
