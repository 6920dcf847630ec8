// Package opers serves the operators' HTTP surface of one process:
//
//	GET /healthz     200 while the process answers at all
//	GET /readyz      200 when the host takes requests; 503 and the reason otherwise
//	GET /statusz     JSON, field names in Pascal case
//	GET /auditz      the audit trail; ?After=<number>, ?Follow=yes streams
//	GET /debug/vars  metrics by expvar
package opers

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core/procs/audit"
)

// Bounds of a request's head. Answers have no bound on time, since /auditz
// streams.
const (
	_headTimeout  = 5 * time.Second
	_headBytes    = 16 << 10
	_writeTimeout = 10 * time.Second
	_pingInterval = 5 * time.Second
)

// AuditSilence is how long an audit stream may be without a line before its
// reader gives it up: a quiet one sends an empty line every 5 s.
const AuditSilence = 3 * _pingInterval

// Dependencies are what the surface shows.
type Dependencies struct {
	// Ready gives nil when the host takes requests, else the reason.
	Ready func() error
	// Status gives a value that encodes to JSON in Pascal case.
	Status func() any
	Trail  *audit.Trail
	Logger logr.Logger
}

// NewServer makes the server; the caller gives it a listener and shuts it down.
// Shutdown ends the audit streams, which would otherwise hold it for ever.
func NewServer(dependencies Dependencies) *http.Server {
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{
		Handler:           NewHandler(dependencies),
		ReadHeaderTimeout: _headTimeout,
		MaxHeaderBytes:    _headBytes,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	server.RegisterOnShutdown(cancel)
	return server
}

// NewHandler makes the handler of the paths above.
func NewHandler(dependencies Dependencies) http.Handler {
	s := &surface{Dependencies: dependencies}
	s.Logger = s.Logger.WithName("opers")
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /statusz", s.status)
	mux.HandleFunc("GET /auditz", s.audit)
	mux.HandleFunc("GET /debug/vars", s.vars)
	return withoutBody(mux)
}

// withoutBody refuses requests that announce a body and closes their
// connection: the server would otherwise wait for a slow body to end.
func withoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			http.Error(w, "the operators' surface takes no body; send a GET without one", http.StatusBadRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

type surface struct {
	Dependencies
}

// Health is the body of /healthz and /readyz.
type Health struct {
	OK     bool
	Reason string `json:",omitempty"`
}

func (s *surface) health(w http.ResponseWriter, _ *http.Request) {
	s.write(w, http.StatusOK, Health{OK: true})
}

func (s *surface) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		s.write(w, http.StatusServiceUnavailable, Health{Reason: err.Error()})
		return
	}
	s.write(w, http.StatusOK, Health{OK: true})
}

func (s *surface) status(w http.ResponseWriter, _ *http.Request) {
	s.write(w, http.StatusOK, s.Status())
}

func (s *surface) write(w http.ResponseWriter, status int, body any) {
	encoded, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		s.Logger.Error(err, "The answer did not encode.")
		http.Error(w, "the answer did not encode; see the log", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(append(encoded, '\n')); err != nil {
		s.Logger.V(1).Info("The reader went away.", "Cause", err.Error())
	}
}

// vars writes the process's variables as expvar does, and the host's counts of
// audit events beside them: a variable of expvar would be one for all hosts of
// the process.
func (s *surface) vars(w http.ResponseWriter, _ *http.Request) {
	body := map[string]json.RawMessage{}
	expvar.Do(func(variable expvar.KeyValue) {
		body[variable.Key] = jsonOf(variable.Value.String())
	})
	counts, err := json.Marshal(s.Trail.Counts())
	if err != nil {
		s.Logger.Error(err, "The audit counts did not encode.")
	}
	body["apricotproxy.Audit"] = counts
	s.write(w, http.StatusOK, body)
}

// jsonOf gives a variable's text as JSON. A float that is no number prints as
// NaN, which would spoil the whole answer; it becomes the string "NaN".
func jsonOf(text string) json.RawMessage {
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return json.RawMessage("null") // a string always encodes
	}
	return quoted
}

// audit writes one JSON object a line, and goes on with Follow=yes.
func (s *surface) audit(w http.ResponseWriter, r *http.Request) {
	after, follow, err := auditQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	stream := &auditStream{writer: w, control: http.NewResponseController(w)}
	if err := stream.send(s.Trail.After(after)); err != nil || !follow {
		s.logGone(err)
		return
	}
	s.logGone(stream.follow(r.Context(), s.Trail, after))
}

func (s *surface) logGone(err error) {
	if err != nil {
		s.Logger.V(1).Info("The audit reader went away.", "Cause", err.Error())
	}
}

func auditQuery(r *http.Request) (after uint64, follow bool, err error) {
	query := r.URL.Query()
	if text := query.Get("After"); text != "" {
		after, err = strconv.ParseUint(text, 10, 64)
		if err != nil {
			return 0, false, fmt.Errorf("the query After=%q is not a number of the trail; write for instance After=12", text)
		}
	}
	switch query.Get("Follow") {
	case "", "no":
		return after, false, nil
	case "yes":
		return after, true, nil
	default:
		return 0, false, errors.New("the query Follow takes yes or no")
	}
}
