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

// departure is the end of an endpoint's document in a history.
type departure struct {
	Origin
	at int
}

// past is what a history shows of endpoints.
type past struct {
	interval   time.Duration
	beats      []beat
	departures []departure
}

// SpanOf returns which builds the history shows in service. How long ago it begins, and an endpoint left, is told by the
// heartbeats that an endpoint counted since. A deleted document whose content the history
// lacks may be that of an endpoint of any build; the span is then empty.
func SpanOf(now time.Time, h History, decode know.Decode) Span {
	shown := past{interval: h.Interval}
	last := make(map[string]*core.RoutedEndpoint)
	seen := make(map[Origin]bool)
	for i, d := range h.Documents {
		content, err := decode(d)
		if err != nil {
			continue // it names no endpoint
		}
		before, written := last[d.Name]
		if d.Deleted && !written && content == (know.Content{}) {
			return Span{}
		}
		e := content.Endpoint
		if before != nil && (e == nil || e.Key() != before.Key() || e.Build != before.Build || e.Service != before.Service) {
			shown.departures = append(shown.departures, departure{originOf(before), i})
		}
		last[d.Name] = e
		if e == nil {
			continue
		}
		seen[originOf(e)] = true
		shown.beats = append(shown.beats, beat{i, e.Key(), e.Sequence})
	}
	length := shown.timeSince(-1)
	if h.FromStart {
		length = _maxSpan
	}
	span := Span{Since: now.Add(-min(length, _maxSpan))}
	span.DeparturesSince = span.Since
	leftAt := shown.leftAt(now)
	for o := range seen {
		span.Builds = append(span.Builds, InService{Origin: o, LastSeen: now, LeftAt: leftAt[o]})
	}
	return span
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
