package origin

import (
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

// SpanOf returns which builds the history shows in service. How long ago it begins is told by the
// heartbeats that an endpoint counted within it. A deleted document whose content the history
// lacks may be that of an endpoint of any build; the span is then empty.
func SpanOf(now time.Time, h History, decode know.Decode) Span {
	firstBeats := make(map[core.EndpointKey]uint64)
	written := make(map[string]bool)
	seen := make(map[Origin]bool)
	length := time.Duration(0)
	for _, d := range h.Documents {
		content, err := decode(d)
		if err != nil {
			continue // it names no endpoint
		}
		e := content.Endpoint
		if d.Deleted && !written[d.Name] && content == (know.Content{}) {
			return Span{}
		}
		written[d.Name] = true
		if e == nil {
			continue
		}
		seen[Origin{Service: e.Service, Build: e.Build}] = true
		first, known := firstBeats[e.Key()]
		if !known {
			firstBeats[e.Key()], first = e.Sequence, e.Sequence
		}
		if e.Sequence > first {
			length = max(length, time.Duration(_intervalShare*float64(e.Sequence-first)*float64(h.Interval)))
		}
	}
	if h.FromStart {
		length = _maxSpan
	}
	span := Span{Since: now.Add(-min(length, _maxSpan))}
	for o := range seen {
		span.Builds = append(span.Builds, InService{Origin: o, LastSeen: now})
	}
	return span
}
