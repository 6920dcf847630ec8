package event_test

import (
	"bytes"
	"strings"
	"testing"

	"apricotproxy/core/reqst/event"
)

func TestSplitterReturnsCompleteEvents(t *testing.T) {
	const stream = "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\nda"
	for step := 1; step <= len(stream); step++ {
		var s event.Splitter
		var got []string
		for rest := []byte(stream); len(rest) > 0; rest = rest[min(step, len(rest)):] {
			if err := s.Add(rest[:min(step, len(rest))]); err != nil {
				t.Fatal(err)
			}
			for e, ok := s.Next(); ok; e, ok = s.Next() {
				got = append(got, string(e))
			}
		}
		if want := "id: 0\ndata: a\n\n|id: 1\ndata: b\n\n"; strings.Join(got, "|") != want {
			t.Errorf("in steps of %d: %q, want %q", step, strings.Join(got, "|"), want)
		}
		if s.Buffered() != len("id: 2\nda") {
			t.Errorf("in steps of %d: %d bytes are buffered, want those of the incomplete event", step, s.Buffered())
		}
	}
}

func TestSplitterBoundsAnEvent(t *testing.T) {
	var s event.Splitter
	var err error
	for range 2 * event.MaxEventBytes / 1024 {
		if err = s.Add(bytes.Repeat([]byte("x"), 1024)); err != nil {
			break
		}
	}
	if err == nil {
		t.Error("an event longer than the limit was accepted")
	}
}

// When a stream continues on another endpoint, no event is missing and none is
// delivered twice.
func TestPosition(t *testing.T) {
	for _, c := range []struct {
		name      string
		delivered []string
		next      string
		continued bool
		want      event.Verdict
	}{
		{"the first event", nil, "id: 5\ndata: x\n\n", false, event.Deliver},
		{"the next one", []string{"id: 5\n\n"}, "id: 6\n\n", true, event.Deliver},
		{"one that was delivered", []string{"id: 5\n\n"}, "id: 5\n\n", true, event.Skip},
		{"one after a missing event", []string{"id: 5\n\n"}, "id: 7\n\n", true, event.Gap},
		{"one without an id", []string{"id: 5\n\n"}, "data: x\n\n", false, event.Deliver},
		{"one without an id, on another endpoint", []string{"id: 5\n\n"}, "data: x\n\n", true, event.Gap},
		{"an id after another field", []string{"id: 5\n\n"}, "versions: 2\nid: 6\n\n", true, event.Deliver},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p event.Position
			for _, e := range c.delivered {
				p.Accept([]byte(e), false)
			}
			if got := p.Accept([]byte(c.next), c.continued); got != c.want {
				t.Errorf("verdict %v, want %v", got, c.want)
			}
		})
	}
}

// A caller that takes a stream up gets the event after its last one, and no other.
func TestPositionAfter(t *testing.T) {
	for text, want := range map[string]event.Verdict{
		"id: 4\n\n": event.Skip, "id: 5\n\n": event.Skip, "id: 6\n\n": event.Deliver, "id: 7\n\n": event.Gap, "data: x\n\n": event.Gap,
	} {
		p := event.After(5)
		if got := p.Accept([]byte(text), true); got != want {
			t.Errorf("verdict %v on %q, want %v", got, text, want)
		}
	}
}

// The text or head of an error in front of an event was a part of it.
func TestIsValid(t *testing.T) {
	for text, want := range map[string]bool{
		"id: 1\ndata: x\n\n":                       true,
		"id:1\nevent: piece\ndata: x\ndata: y\n\n": true,
		"data\n\n":                                 true,
		": ping\n\n":                               true,
		"retry: 100\n\n":                           true,
		"\nid: 1\n\n":                              true,
		"engine-versions: 2\nid: 6\ndata: x\n\n":   true,
		"upstream failed\n\n":                      false,
		"upstream failed\nid: 1\ndata: x\n\n":      false,
		"error: failed\nid: 1\ndata: x\n\n":        false,
		"Code: 500\nid: 1\ndata: x\n\n":            false,
		"HTTP/1.1 500 Failed\nid: 1\ndata: x\n\n":  false,
		"Status: 5\r\n\r\nid: 1\ndata: x\n\n":      false,
		"\r\nid: 1\ndata: x\n\n":                   false,
		"id: 1\ndata: pie\nid: 1\ndata: piece\n\n": false,
		"<html>\nid: 1\ndata: x\n\n":               false,
		"{\"error\": 5}\n\n":                       false,
	} {
		if got := event.IsValid([]byte(text)); got != want {
			t.Errorf("IsValid(%q) = %v, want %v", text, got, want)
		}
	}
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\n\nid: 2\n\n"), 3)
	f.Fuzz(func(t *testing.T, stream []byte, step int) {
		if step <= 0 {
			return
		}
		var s event.Splitter
		var p event.Position
		var out []byte
		for rest := stream; len(rest) > 0; rest = rest[min(step, len(rest)):] {
			if err := s.Add(rest[:min(step, len(rest))]); err != nil {
				return
			}
			for e, ok := s.Next(); ok; e, ok = s.Next() {
				p.Accept(e, true)
				out = append(out, e...)
			}
		}
		if !bytes.HasPrefix(stream, out) || len(stream)-len(out) != s.Buffered() {
			t.Errorf("%q was split into %q with %d bytes buffered", stream, out, s.Buffered())
		}
	})
}
