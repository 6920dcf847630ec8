// Package front serves routed requests: HTTP requests with any body that are
// forwarded to endpoints by host name and path prefix. It carries out the decisions
// of core/procs/place and core/reqst/tries.
package front

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/reqst/tries"
	"apricotproxy/core/versn/table"
	"apricotproxy/io/guard"
	"apricotproxy/io/links"
)

const (
	// _defaultTimeout is the time-out of a request without a deadline header.
	_defaultTimeout = time.Minute
	// _maxDeadlineMs limits a deadline header, in milliseconds: the conversion of a number out of
	// range of time.Duration differs between processors.
	_maxDeadlineMs = float64(24 * time.Hour / time.Millisecond)
	// _bodyReadTimeout bounds the time that a caller may take to send a body. If it
	// takes longer, the request has not run and the caller is told so.
	_bodyReadTimeout = 10 * time.Second
	// _retryAfter is the Retry-After of a refused request unless a longer one applies.
	// By then this host has received the changes that are under way.
	_retryAfter = 300 * time.Millisecond
)

// Config holds what a Front needs.
type Config struct {
	Names        core.HeaderNames
	Paths        core.CallPaths
	SharedPlacer *SharedPlacer
	Detector     *SharedDetector
	// Origins finds the builds at which streams were begun; nil for a ledger of this front alone.
	Origins *SharedOrigins
	Links   *links.Pool
	// Reach tells whether this host reaches the endpoints and through which host it relays requests
	// otherwise; nil if it always does. RelayLinks are the connections to other hosts.
	Reach      *SharedReach
	RelayLinks *links.Pool
	// Self is the name of this host.
	Self core.HostName
	// ConfirmIncarnation asks an engine whether it still is the incarnation that the host
	// knows, before a stream begins or goes on there; nil to believe so.
	ConfirmIncarnation func(context.Context, core.RoutedEndpoint) error
	// DocumentsOutdated reports whether endpoints may have changed without the host's knowledge; nil
	// if they never do.
	DocumentsOutdated func() bool
	View              func() *know.View
	// SyncStatus is logged with each error, to show what the host knew when it answered.
	SyncStatus func() know.SyncStatus
	Logger     logr.Logger
	// LoadChanged is called when a generation or a copy of its memory was placed, and
	// when a generation's first event shows that its prompt was read. The other hosts of
	// the data centre must learn of these changes at once.
	LoadChanged func()
	// BufferBytes bounds the bytes of all answers that are read completely before they are
	// relayed; 0 for a default.
	BufferBytes int64
	// BodyBytes bounds the bytes of all bodies of requests that are being read or served; 0 for a
	// default.
	BodyBytes int64
	// Switches turn safeguards off, to verify that tests detect their absence.
	Switches Switches
}

// Switches turn safeguards off, to verify that tests detect their absence.
type Switches struct {
	Tries tries.Switches
	// AcceptAnyAnswer accepts every answer on a connection as the request's own.
	AcceptAnyAnswer bool
	// DeliverAnyEvent delivers every event, even if it was delivered before or others are
	// missing.
	DeliverAnyEvent bool
}

// Front is the handler of routed requests.
type Front struct {
	config             Config
	log                logr.Logger
	keepAlivesDisabled atomic.Bool
	running            atomic.Int64
	// relayed counts those in flight that other hosts relayed.
	relayed atomic.Int64
	// stopsForHosts counts the requests of other hosts to stop a run that are under way.
	stopsForHosts atomic.Int64
	buffers       *bufferLimit
	bodies        *bufferLimit
	counters      *counters
	planned       *planned
	endings       *endings
}

// New returns a handler for routed requests.
func New(config Config) *Front {
	if config.Origins == nil {
		config.Origins = NewSharedOrigins(OriginConfig{})
	}
	f := &Front{config: config, log: config.Logger.WithName("front"), buffers: newBufferLimit(config.BufferBytes), bodies: newBufferLimit(config.BodyBytes), counters: newCounters(), planned: newPlanned()}
	f.endings = newEndings(f)
	return f
}

// Running returns the number of requests in flight.
func (f *Front) Running() int { return int(f.running.Load()) }

// errorAnswer is an error that this host itself answers to a caller.
type errorAnswer struct {
	status int
	reason string
	// retryAfter is the time after which a retry makes sense; 0 if a retry does not
	// help.
	retryAfter time.Duration
}

// ServeHTTP serves one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.serve(w, r, "") }

// serve serves one request. relayedBy is the host that relayed it; empty for a caller's.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, relayedBy core.HostName) {
	f.running.Add(1)
	defer f.running.Add(-1)
	if f.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	arrived := time.Now()
	request, failure := f.admit(r, arrived, relayedBy)
	room := share{limit: f.bodies}
	defer room.release()
	if failure == nil {
		failure = f.readBody(w, r, request, &room)
	}
	if failure != nil {
		f.writeError(w, r, request, failure)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), request.Deadline, errTimeout)
	defer cancel()
	e := newExchange(f, w, r, request)
	ctx, done := f.planned.track(ctx, e)
	defer done()
	e.serve(ctx)
}

// request is a routed request and its body.
type request struct {
	core.RoutedRequest
	body []byte
	// relayedBy is the host that relayed the request; empty for a caller's.
	relayedBy core.HostName
}

// admit finds the request's route, workspace and deadline, or returns the error to
// answer with.
func (f *Front) admit(r *http.Request, arrived time.Time, relayedBy core.HostName) (*request, *errorAnswer) {
	names := f.config.Names
	req := &request{RoutedRequest: core.RoutedRequest{ID: r.Header.Get(names.RequestID), Arrived: arrived}, relayedBy: relayedBy}
	if req.ID == "" {
		return req, &errorAnswer{status: http.StatusBadRequest, reason: "the request has no id"}
	}
	view := f.config.View()
	if view == nil || view.Table == nil {
		return req, &errorAnswer{status: http.StatusServiceUnavailable, reason: "no configuration is known yet", retryAfter: _retryAfter}
	}
	t := view.Table
	path, _, _ := strings.Cut(r.RequestURI, "?")
	hostName, _, _ := strings.Cut(strings.ToLower(r.Host), ":")
	route, ok := t.Match(hostName, path)
	if !ok || !strings.HasPrefix(r.RequestURI, "/") {
		return req, &errorAnswer{status: http.StatusNotFound, reason: "no route matches"}
	}
	req.Route, req.Priority = route, route.Priority
	req.limitAttempts(r.Header)
	if failure := f.authorize(t, r, req); failure != nil {
		return req, failure
	}
	req.Service = table.Pick(route, rand.Float64())
	req.Deadline = f.deadline(r, req)
	req.Prompt = f.prompt(r)
	limits := t.Limits()
	if limits.HeaderBytes > 0 && relayedBy == "" && headerBytes(r) > limits.HeaderBytes {
		return req, &errorAnswer{status: http.StatusRequestHeaderFieldsTooLarge, reason: "the header is too long"}
	}
	if limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes {
		return req, &errorAnswer{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}
	}
	if limits.BodyBytes > 0 {
		r.Body = http.MaxBytesReader(nil, r.Body, limits.BodyBytes)
	}
	return req, nil
}

// authorize sets the request's workspace and priority by its key. It returns an error
// if the route requires a key and this one is unknown.
func (f *Front) authorize(t *table.Table, r *http.Request, req *request) *errorAnswer {
	if !t.HasKeys() {
		return nil
	}
	var workspace *table.Workspace
	known := false
	if keys := r.Header.Values(f.config.Names.Key); len(keys) == 1 {
		workspace, known = t.Workspace(keys[0])
	}
	if known {
		req.Workspace = workspace.Name
		if workspace.HasPriority {
			req.Priority = workspace.Priority
		}
		return nil
	}
	if req.Route.Anonymous {
		return nil
	}
	return &errorAnswer{status: http.StatusUnauthorized, reason: "the key is not known"}
}

// deadline returns the request's deadline: the caller's, or the default if the caller
// gave none, and at the latest the route's time-out.
func (f *Front) deadline(r *http.Request, req *request) time.Time {
	deadline := req.Arrived.Add(_defaultTimeout)
	if ms, err := strconv.ParseFloat(r.Header.Get(f.config.Names.Deadline), 64); err == nil && ms >= 0 {
		deadline = req.Arrived.Add(time.Duration(min(ms, _maxDeadlineMs) * float64(time.Millisecond)))
	}
	if limit := req.Route.Timeout; limit > 0 && req.Arrived.Add(limit).Before(deadline) {
		deadline = req.Arrived.Add(limit)
	}
	return deadline
}

// prompt parses the headers that describe a prompt. Values that cannot be parsed are
// left out.
func (f *Front) prompt(r *http.Request) core.Prompt {
	names := f.config.Names
	var p core.Prompt
	tokens, output, _ := strings.Cut(r.Header.Get(names.Tokens), ",")
	p.Tokens, p.MaxOutput, p.Expected = tokenCount(tokens), tokenCount(output), tokenCount(r.Header.Get(names.ExpectedTokens))
	for part := range strings.SplitSeq(r.Header.Get(names.Parts), ",") {
		id, size, ok := strings.Cut(strings.TrimSpace(part), ":")
		n, err := strconv.Atoi(size)
		if ok && err == nil {
			p.Parts = append(p.Parts, core.PromptPart{ID: id, Tokens: min(max(n, 0), _maxTokens)})
		}
	}
	return p
}

// _maxTokens is more than any engine holds, and far below what overflows when the tokens of all requests are added.
const _maxTokens = 1 << 32

// tokenCount parses a number of tokens; 0 if it cannot be parsed or is negative. One beyond _maxTokens counts as that.
func tokenCount(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0
	}
	return min(max(n, 0), _maxTokens)
}

func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

// readBody reads the whole body, so that it can be sent again. It takes room for it until the request
// is done.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, req *request, room *share) *errorAnswer {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	readDeadline := req.Arrived.Add(_bodyReadTimeout)
	if req.Deadline.Before(readDeadline) {
		readDeadline = req.Deadline
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(readDeadline); err != nil {
		f.log.Error(err, "The read deadline of a request's body could not be set.", "Request", req.ID)
	}
	body, err := io.ReadAll(room.reader(r.Body))
	if err == nil {
		err = control.SetReadDeadline(time.Time{})
		req.body = body
	}
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLong):
		return &errorAnswer{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}
	case errors.Is(err, errBuffersFull), errors.Is(err, guard.ErrNoRoom):
		w.Header().Set("Connection", "close") // net/http would read the rest before it answers
		return &errorAnswer{status: http.StatusServiceUnavailable, reason: "there is no room for the body", retryAfter: _retryAfter}
	default:
		return &errorAnswer{status: http.StatusRequestTimeout, reason: "the body did not arrive in time"}
	}
}

// writeError answers a request with an error of this host's own.
func (f *Front) writeError(w http.ResponseWriter, r *http.Request, req *request, failure *errorAnswer) {
	status := f.config.SyncStatus()
	f.log.Info("A request was answered with an error.", "Request", req.ID, "Status", failure.status, "Reason", failure.reason, "RetryAfter", failure.retryAfter.Milliseconds(), "Path", r.URL.Path,
		"Version", f.config.View().Version(), "Epoch", status.Epoch, "AsOf", status.AsOf, "DocumentAge", status.Age(time.Now()).Milliseconds())
	header := w.Header()
	code := failure.status
	if req.relayedBy != "" {
		code = f.relayedStatus(header, code)
	}
	f.counters.countAnswer(code)
	if req.ID != "" {
		header.Set(f.config.Names.RequestID, req.ID)
	}
	if failure.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(failure.retryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(code)
	_, _ = io.WriteString(w, failure.reason+"\n")
}
