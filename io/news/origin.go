package news

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/origin"
)

// MaxOrigins bounds the records, and the requests asked for, of one datagram, so that they fit
// into it.
const MaxOrigins = 48

type (
	wireOrigins struct {
		_         struct{} `cbor:",toarray"`
		Host      string
		Records   []wireOrigin
		Questions []string
		ReplyTo   string
		Unknown   []string
		HasSpan   bool
		SpanMs    int64
		Builds    []wireInService
	}

	wireOrigin struct {
		_       struct{} `cbor:",toarray"`
		Request string
		Service string
		Build   string
		LeftMs  int64
	}

	wireInService struct {
		_       struct{} `cbor:",toarray"`
		Service string
		Build   string
		AgeMs   int64
	}
)

// _claimMark begins a claim among the questions, and separates its fields. No ID has it, so that hosts which know
// no claims take one for the ID of a request of which they have no record.
const _claimMark = "\x00"

func claimToWire(c origin.Claim) string {
	return _claimMark + strings.Join([]string{c.Stream, c.By, string(c.Scope), strconv.Itoa(c.Event)}, _claimMark)
}

func claimFromWire(text string) (origin.Claim, bool) {
	fields := strings.Split(text, _claimMark)
	const count = 5 // the first one is empty
	if len(fields) != count || fields[0] != "" {
		return origin.Claim{}, false
	}
	last, err := strconv.Atoi(fields[4])
	return origin.Claim{Stream: fields[1], By: fields[2], Scope: origin.Scope(fields[3]), Event: last}, err == nil
}

// originsToWire returns what is sent now. Hosts' clocks differ, so times are sent as ages.
func originsToWire(o *Origins, now time.Time) *wireOrigins {
	w := &wireOrigins{Host: string(o.Host), Questions: o.Questions, ReplyTo: o.ReplyTo, Unknown: o.Unknown}
	for _, c := range o.Claims {
		w.Questions = append(slices.Clip(w.Questions), claimToWire(c))
	}
	for _, r := range o.Records {
		w.Records = append(w.Records, wireOrigin{
			Request: r.Request, Service: string(r.Service), Build: string(r.Build), LeftMs: r.Until.Sub(now).Milliseconds(),
		})
	}
	if o.Span.Since.IsZero() {
		return w
	}
	w.HasSpan, w.SpanMs = true, now.Sub(o.Span.Since).Milliseconds()
	for _, b := range o.Span.Builds {
		w.Builds = append(w.Builds, wireInService{Service: string(b.Service), Build: string(b.Build), AgeMs: now.Sub(b.LastSeen).Milliseconds()})
	}
	return w
}

func originsFromWire(w *wireOrigins, now time.Time) *Origins {
	o := &Origins{Host: core.HostName(w.Host), ReplyTo: w.ReplyTo, Unknown: w.Unknown}
	for _, question := range w.Questions {
		if claim, ok := claimFromWire(question); ok {
			o.Claims = append(o.Claims, claim)
		} else {
			o.Questions = append(o.Questions, question)
		}
	}
	for _, r := range w.Records {
		o.Records = append(o.Records, origin.Record{
			Request: r.Request, Origin: origin.Origin{Service: core.ServiceName(r.Service), Build: core.BuildName(r.Build)}, Until: now.Add(core.Milliseconds(r.LeftMs)),
		})
	}
	if !w.HasSpan {
		return o
	}
	o.Span.Since = now.Add(-core.Milliseconds(max(w.SpanMs, 0)))
	for _, b := range w.Builds {
		o.Span.Builds = append(o.Span.Builds, origin.InService{
			Origin: origin.Origin{Service: core.ServiceName(b.Service), Build: core.BuildName(b.Build)}, LastSeen: now.Add(-core.Milliseconds(max(b.AgeMs, 0))),
		})
	}
	return o
}
