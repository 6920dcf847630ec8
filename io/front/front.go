// Package front serves routed requests: HTTP requests of any body that are
// passed on by host name and path prefix. It carries out what core/procs/place
// and core/reqst/tries decide.
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
	"apricotproxy/io/links"
)

const (
	// _deadlineDefault bounds a request that names no time, on a route that
	// names none.
	_deadlineDefault = time.Minute
	// _bodyRead bounds the time that a caller may take to send a body, beyond
	// which the request has not run and is told so.
	_bodyRead = 10 * time.Second
	// _retryAfter is when a refused caller does well to ask again: by then a
	// change that is under way is known.
	_retryAfter = 300 * time.Millisecond
)

// Config is what a Front is built from.
type Config struct {
	Names  core.HeaderNames
	Paths  core.CallPaths
	Desk   *Desk
	Links  *links.Pool
	View   func() *know.View
	Logger logr.Logger
	// LoadChanged is called when a generation was placed or its prompt was read: the
	// hosts of the data centre are to know at once.
	LoadChanged func()
	// Switches turn safeguards off, to show that tests notice.
	Switches Switches
}

// Switches turn safeguards off.
type Switches struct {
	Tries tries.Switches
	// AnyAnswer takes every answer on a connection for the request's own.
	AnyAnswer bool
	// AnyEvent passes every event on, delivered before or not.
	AnyEvent bool
}

// Front is the handler of routed requests.
type Front struct {
	config   Config
	log      logr.Logger
	closing  atomic.Bool
	running  atomic.Int64
	counters *counters
}

// New builds a front.
func New(config Config) *Front {
	return &Front{config: config, log: config.Logger.WithName("front"), counters: newCounters()}
}

// Close makes each answer the last one of its connection.
func (f *Front) Close() { f.closing.Store(true) }

// Running counts the requests in flight.
func (f *Front) Running() int { return int(f.running.Load()) }

// refusal is an answer of the front's own.
type refusal struct {
	status int
	reason string
	// retryAfter is when asking again makes sense; 0 for never.
	retryAfter time.Duration
}

// ServeHTTP serves one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.running.Add(1)
	defer f.running.Add(-1)
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	arrived := time.Now()
	request, refused := f.admit(r, arrived)
	if refused == nil {
		refused = f.readBody(w, r, request)
	}
	if refused != nil {
		f.refuse(w, r, request, refused)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), request.Deadline, errTimeout)
	defer cancel()
	newExchange(f, w, r, request).serve(ctx)
}

// request is a routed request with what is passed on.
type request struct {
	core.RoutedRequest
	body []byte
}

// admit finds route, workspace and deadline, or says why not.
func (f *Front) admit(r *http.Request, arrived time.Time) (*request, *refusal) {
	names := f.config.Names
	req := &request{RoutedRequest: core.RoutedRequest{ID: r.Header.Get(names.RequestID), Arrived: arrived}}
	if req.ID == "" {
		return req, &refusal{status: http.StatusBadRequest, reason: "the request has no id"}
	}
	view := f.config.View()
	if view == nil || view.Table == nil {
		return req, &refusal{status: http.StatusServiceUnavailable, reason: "no configuration is known yet", retryAfter: _retryAfter}
	}
	t := view.Table
	path, _, _ := strings.Cut(r.RequestURI, "?")
	hostName, _, _ := strings.Cut(strings.ToLower(r.Host), ":")
	route, ok := t.Match(hostName, path)
	if !ok || !strings.HasPrefix(r.RequestURI, "/") {
		return req, &refusal{status: http.StatusNotFound, reason: "no route matches"}
	}
	req.Route, req.Priority = route, route.Priority
	if refused := f.authorize(t, r, req); refused != nil {
		return req, refused
	}
	req.Service = table.Pick(route, rand.Float64())
	req.Deadline = f.deadline(r, req)
	req.Prompt = f.prompt(r)
	limits := t.Limits()
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return req, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "the header is too long"}
	}
	if limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes {
		return req, &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}
	}
	if limits.BodyBytes > 0 {
		r.Body = http.MaxBytesReader(nil, r.Body, limits.BodyBytes)
	}
	return req, nil
}

func (f *Front) authorize(t *table.Table, r *http.Request, req *request) *refusal {
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
	return &refusal{status: http.StatusUnauthorized, reason: "the key is not known"}
}

func (f *Front) deadline(r *http.Request, req *request) time.Time {
	deadline := req.Arrived.Add(_deadlineDefault)
	if ms, err := strconv.ParseFloat(r.Header.Get(f.config.Names.Deadline), 64); err == nil && ms >= 0 {
		deadline = req.Arrived.Add(time.Duration(ms * float64(time.Millisecond)))
	}
	if limit := req.Route.Timeout; limit > 0 && req.Arrived.Add(limit).Before(deadline) {
		deadline = req.Arrived.Add(limit)
	}
	return deadline
}

// prompt reads the description of a prompt; what cannot be read is left out.
func (f *Front) prompt(r *http.Request) core.Prompt {
	names := f.config.Names
	var p core.Prompt
	tokens, output, _ := strings.Cut(r.Header.Get(names.Tokens), ",")
	p.Tokens, _ = strconv.Atoi(strings.TrimSpace(tokens))
	p.MaxOutput, _ = strconv.Atoi(strings.TrimSpace(output))
	p.Expected, _ = strconv.Atoi(strings.TrimSpace(r.Header.Get(names.ExpectedTokens)))
	for part := range strings.SplitSeq(r.Header.Get(names.Parts), ",") {
		id, size, ok := strings.Cut(strings.TrimSpace(part), ":")
		n, err := strconv.Atoi(size)
		if ok && err == nil {
			p.Parts = append(p.Parts, core.PromptPart{ID: id, Tokens: n})
		}
	}
	return p
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

// readBody reads the whole body, so that it can be sent again.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, req *request) *refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	until := req.Arrived.Add(_bodyRead)
	if req.Deadline.Before(until) {
		until = req.Deadline
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(until); err != nil {
		f.log.Error(err, "A read deadline cannot be set.", "Request", req.ID)
	}
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = control.SetReadDeadline(time.Time{})
		req.body = body
	}
	var long *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &long):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too long"}
	default:
		return &refusal{status: http.StatusRequestTimeout, reason: "the body did not arrive in time"}
	}
}

// refuse answers a request that did not run.
func (f *Front) refuse(w http.ResponseWriter, r *http.Request, req *request, why *refusal) {
	f.log.Info("A request was refused.", "Request", req.ID, "Status", why.status, "Reason", why.reason, "Path", r.URL.Path)
	f.counters.answered(why.status)
	header := w.Header()
	if req.ID != "" {
		header.Set(f.config.Names.RequestID, req.ID)
	}
	if why.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(why.retryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(why.status)
	_, _ = io.WriteString(w, why.reason+"\n")
}
