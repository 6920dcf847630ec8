package origin

import (
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
)

// _intervalShare is the share of an endpoint's heartbeat interval that passes at least between
// two heartbeats.
const _intervalShare = 0.8

// History is a part of the store's history up to now.
type History struct {
	Documents []core.Document
	// FromStart is true if nothing was written to the store before it.
	FromStart bool
	// Interval is how often an endpoint renews its document.
	Interval time.Duration
}

// beat is a renewal of an endpoint's document in a history.
type beat struct {
	at       int
	key      core.EndpointKey
	sequence uint64
}

// departure is the place in a history where an endpoint began to drain, or its document ended.
type departure struct {
	Origin
	at int
}

// past is what a history shows of endpoints.
type past struct {
	interval   time.Duration
	beats      []beat
	departures []departure
	// unknown is the position of the last deletion of a document whose content the history lacks; -1 for none.
	unknown int
}

// SpanOf returns which builds the history shows in service. How long ago it begins, and an endpoint left, is told by the
// heartbeats that an endpoint counted since. A deleted document whose content the history
// lacks may be that of an endpoint of any build: only departures after it are known then.
func SpanOf(now time.Time, h History, decode know.Decode) Span {
	shown := past{interval: h.Interval, unknown: -1}
	members := make(map[string]*core.RoutedEndpoint)
	written := make(map[string]bool)
	seen := make(map[Origin]bool)
	for i, d := range h.Documents {
		content, err := decode(d)
		if err != nil {
			continue // it names no endpoint
		}
		if d.Deleted && !written[d.Name] && content == (know.Content{}) {
			shown.unknown = i
		}
		e, before := content.Endpoint, members[d.Name]
		if hasLeft(before, e) {
			shown.departures = append(shown.departures, departure{originOf(before), i})
		}
		if e != nil && e.Draining && !written[d.Name] {
			shown.departures = append(shown.departures, departure{originOf(e), i})
		}
		written[d.Name], members[d.Name] = true, e
		if e == nil {
			continue
		}
		seen[originOf(e)] = true
		shown.beats = append(shown.beats, beat{i, e.Key(), e.Sequence})
	}
	length := shown.timeSince(shown.unknown)
	if h.FromStart && shown.unknown < 0 {
		length = _maxSpan
	}
	span := Span{DeparturesSince: now.Add(-min(length, _maxSpan))}
	leftAt := shown.leftAt(now)
	if shown.unknown >= 0 {
		for o, at := range leftAt {
			span.Builds = append(span.Builds, InService{Origin: o, LeftAt: at})
		}
		return span
	}
	span.Since = span.DeparturesSince
	for o := range seen {
		span.Builds = append(span.Builds, InService{Origin: o, LastSeen: now, LeftAt: leftAt[o]})
	}
	return span
}

// hasLeft reports whether an endpoint begins no streams any more once its document has been replaced.
func hasLeft(before, after *core.RoutedEndpoint) bool {
	if before == nil || before.Draining {
		return false
	}
	return after == nil || after.Draining || after.Key() != before.Key() || originOf(after) != originOf(before)
}

func originOf(e *core.RoutedEndpoint) Origin { return Origin{Service: e.Service, Build: e.Build} }

// timeSince returns the least time that passed after a document of the history, by its position.
func (p *past) timeSince(at int) time.Duration {
	first := make(map[core.EndpointKey]uint64)
	length := time.Duration(0)
	for _, b := range p.beats {
		if b.at <= at {
			continue
		}
		before, known := first[b.key]
		if !known {
			first[b.key], before = b.sequence, b.sequence
		}
		if b.sequence > before {
			length = max(length, time.Duration(_intervalShare*float64(b.sequence-before)*float64(p.interval)))
		}
	}
	return length
}

// leftAt returns when an endpoint of each build last left, at the latest.
func (p *past) leftAt(now time.Time) map[Origin]time.Time {
	left := make(map[Origin]time.Time)
	for _, d := range slices.Backward(p.departures) {
		if _, isKnown := left[d.Origin]; !isKnown {
			left[d.Origin] = now.Add(-min(p.timeSince(d.at), _maxSpan))
		}
	}
	return left
}
