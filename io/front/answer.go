package front

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/reqst/event"
	"apricotproxy/io/links"
)

// _streamReadBytes is the size of the read buffer of a stream.
const _streamReadBytes = 4 << 10

// _emptyRead is how long a read takes at least that found nothing and had to wait.
const _emptyRead = 2 * time.Millisecond

// bufferedAnswer is an endpoint's complete answer.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// relay sends an endpoint's answer to the caller. Callers take some statuses as a
// promise that the request did not run. An endpoint makes that promise only with the
// Not-Run header, and answers that have it are not relayed; without it the request
// may have run, so the caller gets status 502 instead.
func (e *exchange) relay(a *bufferedAnswer) {
	if meansNotRun(a.status) {
		e.answerError(http.StatusBadGateway, "the endpoint failed; the request may have run", 0)
		return
	}
	e.front.counters.countAnswer(a.status)
	e.recordAnswered()
	e.log(_answered, "Status", a.status, "Bytes", len(a.body), "Took", time.Since(e.request.Arrived).Milliseconds())
	echo := a.header.Get(e.front.config.Names.RequestID)
	invar.Check(invar.AnswerToOwnRequest, echo == "" || echo == e.request.ID, "request %s gets the answer to %s", e.request.ID, echo)
	e.hasBegun.Store(true)
	header := e.writer.Header()
	copyAnswerHeader(header, a.header)
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	e.writer.WriteHeader(a.status)
	if _, err := e.writer.Write(a.body); err != nil {
		e.log("The answer could not be sent to the caller.", "Cause", err.Error())
	}
}

// meansNotRun reports whether a status promises the caller that the request did not
// run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// answerError answers the caller with an error of this host's own.
func (e *exchange) answerError(status int, reason string, retryAfter time.Duration) {
	invar.Check(invar.NotRunMeansNotRun, !meansNotRun(status) || !e.tries.MayHaveRun(),
		"request %s is refused with status %d and may have run", e.request.ID, status)
	e.front.writeError(e.writer, e.incoming, e.request, &errorAnswer{status: status, reason: reason, retryAfter: retryAfter})
}

// timeout ends a request whose deadline has passed, or whose host ends before its answer began.
func (e *exchange) timeout(cause error) {
	reason := errTimeout.Error()
	if errors.Is(cause, errStopping) {
		reason = errStopping.Error()
	}
	if e.delivered {
		e.cut(reason)
	}
	status, retry := http.StatusServiceUnavailable, _retryAfter
	if e.tries.MayHaveRun() {
		status, retry = http.StatusGatewayTimeout, 0
	}
	e.answerError(status, reason, retry)
}

// cut closes the caller's connection, so that the caller sees that the stream is
// incomplete. It does not return: it panics with http.ErrAbortHandler.
func (e *exchange) cut(reason string) {
	e.log("A stream was cut.", "Reason", reason, "Events", e.events, "Took", time.Since(e.request.Arrived).Milliseconds())
	e.front.counters.countAnswer(0)
	if !e.incoming.ProtoAtLeast(1, 1) {
		e.resetCaller()
	}
	panic(http.ErrAbortHandler)
}

// resetCaller resets the caller's connection. An answer to HTTP/1.0 ends with its connection, so that a
// close would make a part of it complete.
func (e *exchange) resetCaller() {
	conn, _, err := e.controller.Hijack()
	if err != nil {
		e.log("The caller's connection could not be reset.", "Cause", err.Error())
		return
	}
	raw := conn
	for {
		outer, ok := raw.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		raw = outer.NetConn()
	}
	if tcp, ok := raw.(interface{ SetLinger(seconds int) error }); ok {
		if err := tcp.SetLinger(0); err != nil {
			e.log("The caller's connection could not be reset.", "Cause", err.Error())
		}
	}
	_ = raw.Close()
	_ = conn.Close()
}

// stream relays events as they arrive. Only complete events show that the engine still works:
// one that has stalled may send a byte now and then.
func (e *exchange) stream(ctx context.Context, answer *links.Answer) tryResult {
	e.splitter.Reset()
	e.buffered.resize(0)
	chunk := make([]byte, _streamReadBytes)
	for {
		readAt := time.Now()
		n, err := answer.Read(chunk)
		if n > 0 {
			e.front.config.Detector.RecordAnswer(e.run.Endpoint.Key())
			before := e.received
			if end := e.deliverEvents(answer, chunk[:n]); end != nil {
				if end.done {
					return *end
				}
				return *end.leftAt(answer)
			}
			if e.received > before {
				if time.Since(readAt) >= _emptyRead {
					e.stopRequests.recordEvent(readAt)
				}
				e.hasGoneOn()
				e.silence.AskAt = time.Now().Add(e.silenceTimeout())
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && e.splitter.Buffered() == 0 && e.delivered && e.mayEndStream(answer):
			if end := e.falseEnd(ctx, answer); end != nil {
				return *end.leftAt(answer)
			}
			e.finishStream(answer)
			return tryResult{done: true, health: place.Good}
		default:
			end := tryResult{result: e.lostResult(), health: e.endpointOutcome(ctx, answerOutcome(err)), brokenOff: true, err: err}
			if errors.Is(err, errSlow) && e.host == nil {
				return end // its run has ended, or need not have
			}
			return *end.leftAt(answer)
		}
	}
}

// mayEndStream reports whether an answer that was read to its end may be the end of the stream.
// An engine that goes on after the last event has no event to send. It still answers with a
// stream that ends by its framing, since a connection that closes after the head tells nothing.
func (e *exchange) mayEndStream(answer *links.Answer) bool {
	if !e.firstEventAt.IsZero() {
		return true
	}
	contentType, _, _ := strings.Cut(answer.Header.Get("Content-Type"), ";")
	return answer.Framed() && strings.EqualFold(strings.TrimSpace(contentType), "text/event-stream")
}

// finishStream records the end of a complete stream.
func (e *exchange) finishStream(answer *links.Answer) {
	e.freeCopy()
	e.recordWhole()
	e.front.counters.countAnswer(answer.StatusCode)
	e.recordAnswered()
	e.log(_streamComplete, "Events", e.events, "Continued", e.continued, "Framed", answer.Framed(),
		"StopAsked", e.stopRequests.wasAsked(), "LeftByNotice", e.leftByNotice(), "TimeLeft", time.Until(e.request.Deadline).Milliseconds(), "LongestPause", e.longestPause.Milliseconds(), "Took", time.Since(e.request.Arrived).Milliseconds())
	if spec := e.engineSpec(); spec != nil {
		e.placer().recordOutputLength(&e.request.RoutedRequest, e.events*spec.EventTokens)
	}
}

// deliverEvents delivers the complete events among the bytes read so far. It returns
// nil if the try goes on.
func (e *exchange) deliverEvents(answer *links.Answer, p []byte) *tryResult {
	if !e.buffered.resize(int64(e.splitter.Buffered() + len(p))) {
		return &tryResult{result: e.lostResult(), health: place.Bad, err: errBuffersFull}
	}
	defer func() { e.buffered.resize(int64(e.splitter.Buffered())) }()
	if err := e.splitter.Add(p); err != nil {
		return &tryResult{result: e.lostResult(), health: place.Bad, err: err}
	}
	before, lastEventAt, isFirst := e.events, e.lastEventAt, e.tryEvents == 0
	end := e.writeEvents(answer)
	if e.events > before {
		if !isFirst {
			e.recordPause(lastEventAt)
		}
		if err := e.controller.Flush(); err != nil {
			return &tryResult{done: true, err: err}
		}
		e.writtenAt = time.Now()
	}
	return end
}

// _maxWriteShare is the share of a pause that this host may have spent on sending the event before
// it to a slow caller: otherwise the pause tells little of the engine.
const _maxWriteShare = 0.25

// recordPause records the pause before the events that were read last, as one of the engine. Events
// that arrive together have one pause.
func (e *exchange) recordPause(lastEventAt time.Time) {
	took, writing := e.lastEventAt.Sub(lastEventAt), e.writtenAt.Sub(lastEventAt)
	if float64(writing) <= _maxWriteShare*float64(took) {
		e.placer().recordPause(e.run, &e.request.RoutedRequest, took)
	}
}

// hundredths rounds a factor or share to hundredths, for the log.
func hundredths(x float64) float64 { return math.Round(x*100) / 100 }

// writeEvents writes the complete events that were read. It returns nil if the try goes on.
func (e *exchange) writeEvents(answer *links.Answer) *tryResult {
	for {
		next, ok := e.splitter.Next()
		if !ok {
			return nil
		}
		if !event.IsValid(next) {
			return &tryResult{result: e.lostResult(), health: place.Bad, err: errors.New("the stream has bytes that are no event")}
		}
		e.received++
		before := e.position
		verdict := e.position.Accept(next, e.continued || e.takenUp)
		if e.front.config.Switches.DeliverAnyEvent {
			verdict = event.Deliver
		}
		switch verdict {
		case event.Skip:
			continue
		case event.Gap:
			return &tryResult{result: e.lostResult(), health: place.Bad, err: errors.New("events are missing")}
		}
		if id, ok := event.ID(next); ok {
			invar.Check(invar.TokensOnceInOrder, !before.Started() || id == before.Last()+1,
				"request %s: event %d after event %d", e.request.ID, id, before.Last())
		}
		if !e.delivered {
			e.beginStream(answer)
		}
		if !e.resumed {
			e.resumed = true
			e.placer().recordPrefillDone(e.run)
			e.log("The stream continued.", "Endpoint", e.run.Endpoint.ID, "Pause", time.Since(e.lastEventAt).Milliseconds())
		}
		e.events++
		e.tryEvents++
		now := time.Now()
		if e.events > 1 {
			e.longestPause = max(e.longestPause, now.Sub(e.lastEventAt))
		}
		e.lastEventAt = now
		if e.firstEventAt.IsZero() {
			e.firstEventAt = e.lastEventAt
			e.unwatchBlocks()
		}
		if e.tryEvents >= _eventsOfSuccess {
			e.recordBegun()
		}
		if _, err := e.writer.Write(next); err != nil {
			return &tryResult{done: true, err: err}
		}
	}
}

// beginStream sends the header to the caller when the first event has arrived.
func (e *exchange) beginStream(answer *links.Answer) {
	e.placer().recordPrefillDone(e.run)
	e.notifyLoadChanged()
	e.delivered = true
	e.hasBegun.Store(true)
	e.begun, e.build = true, e.run.Endpoint.Build
	e.recordBegin()
	e.front.counters.firstEventTime.record(time.Since(e.request.Arrived))
	copyAnswerHeader(e.writer.Header(), answer.Header)
	e.tellBuild(e.writer.Header())
	e.writer.WriteHeader(answer.StatusCode)
	e.log(_firstEvent, "Endpoint", e.run.Endpoint.ID, "Took", time.Since(e.request.Arrived).Milliseconds())
}

// _hopByHopHeaders lists headers that concern only one connection.
var _hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardedHeader returns the headers that are sent to an endpoint. Headers that
// describe the request are sent even if the Connection header names them.
func forwardedHeader(incoming http.Header, names core.HeaderNames) http.Header {
	header := incoming.Clone()
	dropHopByHopHeaders(header, incoming)
	for _, name := range names.Reserved {
		header.Del(name)
	}
	dropRelayHeaders(header)
	for _, name := range []string{names.Model, names.Tokens, names.Parts, names.LastEventID} {
		if values := incoming.Values(name); len(values) > 0 {
			header[http.CanonicalHeaderKey(name)] = values
		}
	}
	return header
}

func dropHopByHopHeaders(header, source http.Header) {
	for _, value := range source.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range _hopByHopHeaders {
		header.Del(name)
	}
}

func copyAnswerHeader(to, from http.Header) {
	connection := to.Get("Connection")
	relayed := from.Clone()
	dropHopByHopHeaders(relayed, from)
	for name, values := range relayed {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // keeps net/http from detecting one
	}
	if connection != "" {
		to.Set("Connection", connection)
	}
}
