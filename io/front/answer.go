package front

import (
	"context"
	"errors"
	"fmt"
	"io"
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

const (
	// _wholeBytes bounds an answer that is read before it is passed on, so that
	// one that breaks off is never taken for a whole one.
	_wholeBytes = 8 << 20
	// _streamBytes is how much of a stream is read at once.
	_streamBytes = 4 << 10
)

// whole is an endpoint's whole answer.
type whole struct {
	status int
	header http.Header
	body   []byte
}

func readWhole(answer *links.Answer) (*whole, error) {
	body, err := io.ReadAll(io.LimitReader(answer, _wholeBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read the answer's body: %w", err)
	}
	if len(body) > _wholeBytes {
		return nil, fmt.Errorf("the answer is longer than %d bytes", _wholeBytes)
	}
	return &whole{status: answer.StatusCode, header: answer.Header, body: body}, nil
}

// relay passes an endpoint's answer on. A status that promises that the request
// did not run is the endpoint's to give with its own mark only; without it, the
// request may have run.
func (e *exchange) relay(a *whole) {
	if saysNotRun(a.status) {
		e.answer(http.StatusBadGateway, "the endpoint failed; the request may have run", 0)
		return
	}
	e.front.counters.answered(a.status)
	e.front.counters.whole.took(time.Since(e.request.Arrived))
	e.log("Answered.", "Status", a.status, "Bytes", len(a.body), "Took", time.Since(e.request.Arrived).Milliseconds())
	echo := a.header.Get(e.front.config.Names.RequestID)
	invar.Check(invar.AnswerToOwnRequest, echo == "" || echo == e.request.ID, "request %s gets the answer to %s", e.request.ID, echo)
	header := e.writer.Header()
	copyAnswerHeader(header, a.header)
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	e.writer.WriteHeader(a.status)
	if _, err := e.writer.Write(a.body); err != nil {
		e.log("The caller was lost.", "Cause", err.Error())
	}
}

// saysNotRun tells whether a status promises that the request did not run.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// answer gives an answer of the host's own.
func (e *exchange) answer(status int, reason string, retryAfter time.Duration) {
	invar.Check(invar.NotRunMeansNotRun, !saysNotRun(status) || !e.tries.MayHaveRun(),
		"request %s is refused with status %d and may have run", e.request.ID, status)
	e.front.refuse(e.writer, e.incoming, e.request, &refusal{status: status, reason: reason, retryAfter: retryAfter})
}

func (e *exchange) timeout() {
	if e.delivered {
		e.cut("the request's time is over")
	}
	status, retry := http.StatusServiceUnavailable, _retryAfter
	if e.tries.MayHaveRun() {
		status, retry = http.StatusGatewayTimeout, 0
	}
	e.answer(status, errTimeout.Error(), retry)
}

// cut closes the caller's connection, so that the answer is visibly incomplete.
func (e *exchange) cut(reason string) {
	e.log("A stream was cut.", "Reason", reason, "Events", e.events, "Took", time.Since(e.request.Arrived).Milliseconds())
	e.front.counters.answered(0)
	panic(http.ErrAbortHandler)
}

// stream passes events on as they arrive.
func (e *exchange) stream(ctx context.Context, answer *links.Answer, slow *time.Timer) ended {
	e.splitter.Reset()
	chunk := make([]byte, _streamBytes)
	for {
		n, err := answer.Read(chunk)
		if n > 0 {
			slow.Stop()
			if e.canGoOn() {
				slow.Reset(e.silence())
			}
			if end := e.pass(answer, chunk[:n]); end != nil {
				return *end
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && e.splitter.Buffered() == 0 && e.delivered:
			e.finished(answer)
			return ended{done: true, health: place.Good}
		default:
			return ended{result: e.lost(), health: e.blame(ctx, unanswered(err)), err: err}
		}
	}
}

// finished ends a stream that is whole.
func (e *exchange) finished(answer *links.Answer) {
	e.freeBackup()
	e.front.counters.answered(answer.StatusCode)
	e.front.counters.whole.took(time.Since(e.request.Arrived))
	e.log("Streamed.", "Events", e.events, "Continued", e.continued, "Took", time.Since(e.request.Arrived).Milliseconds())
	if shape := e.engineShape(); shape != nil {
		e.desk().produced(&e.request.RoutedRequest, e.events*shape.EventTokens)
	}
}

// pass delivers the whole events among the bytes read so far.
func (e *exchange) pass(answer *links.Answer, p []byte) *ended {
	if err := e.splitter.Add(p); err != nil {
		return &ended{result: e.lost(), health: place.Bad, err: err}
	}
	wrote := false
	for {
		next, ok := e.splitter.Next()
		if !ok {
			break
		}
		before := e.position
		verdict := e.position.Accept(next, e.continued)
		if e.front.config.Switches.AnyEvent {
			verdict = event.Deliver
		}
		switch verdict {
		case event.Skip:
			continue
		case event.Gap:
			return &ended{result: e.lost(), health: place.Bad, err: errors.New("events are missing")}
		}
		if id, ok := event.ID(next); ok {
			invar.Check(invar.TokensOnceInOrder, !before.Started() || id == before.Last()+1,
				"request %s: event %d after event %d", e.request.ID, id, before.Last())
		}
		if !e.delivered {
			e.begin(answer)
		}
		if !e.resumed {
			e.resumed = true
			e.desk().read(e.run)
			e.log("The stream went on.", "Endpoint", e.run.Endpoint.ID, "Pause", time.Since(e.lastEvent).Milliseconds())
		}
		e.events++
		e.lastEvent = time.Now()
		if e.began.IsZero() {
			e.began = e.lastEvent
		}
		if _, err := e.writer.Write(next); err != nil {
			return &ended{done: true, err: err}
		}
		wrote = true
	}
	if wrote {
		if err := e.control.Flush(); err != nil {
			return &ended{done: true, err: err}
		}
	}
	return nil
}

// begin passes the header on, with the first event.
func (e *exchange) begin(answer *links.Answer) {
	e.desk().read(e.run)
	e.loadChanged()
	e.delivered = true
	e.front.counters.first.took(time.Since(e.request.Arrived))
	copyAnswerHeader(e.writer.Header(), answer.Header)
	e.writer.WriteHeader(answer.StatusCode)
	e.log("The first event came.", "Endpoint", e.run.Endpoint.ID, "Took", time.Since(e.request.Arrived).Milliseconds())
}

// _hopHeaders concern one connection only.
var _hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// passedOn gives the headers that go to an endpoint. What describes the request
// goes there whatever the Connection header says.
func passedOn(incoming http.Header, names core.HeaderNames) http.Header {
	header := incoming.Clone()
	dropConnectionHeaders(header, incoming)
	for _, name := range names.Reserved {
		header.Del(name)
	}
	for _, name := range []string{names.Model, names.Tokens, names.Parts, names.LastEventID} {
		if values := incoming.Values(name); len(values) > 0 {
			header[http.CanonicalHeaderKey(name)] = values
		}
	}
	return header
}

func dropConnectionHeaders(header, source http.Header) {
	for _, value := range source.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range _hopHeaders {
		header.Del(name)
	}
}

func copyAnswerHeader(to, from http.Header) {
	closing := to.Get("Connection")
	passed := from.Clone()
	dropConnectionHeaders(passed, from)
	for name, values := range passed {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // keeps net/http from guessing one
	}
	if closing != "" {
		to.Set("Connection", closing)
	}
}
