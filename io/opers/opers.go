// Package opers serves the HTTP API for operators of one process:
//
//	GET /healthz     200 whenever the process answers
//	GET /readyz      200 when the host accepts requests, otherwise 503 with the reason
//	GET /statusz     the status as JSON, with field names in Pascal case
//	GET /auditz      the audit trail: After=<number> returns the entries after that
//	                 sequence number, Follow=yes keeps streaming new ones
//	GET /debug/vars  the metrics published by expvar
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

// Limits of a request's header. There is no time-out for a whole answer, since
// /auditz streams; _writeTimeout limits each write of the stream.
const (
	_headerTimeout  = 5 * time.Second
	_maxHeaderBytes = 16 << 10
	_writeTimeout   = 10 * time.Second
	_pingInterval   = 5 * time.Second
	// _idleTimeout is longer than the pause between two requests of a collector of metrics.
	_idleTimeout = 5 * time.Minute
)

// AuditSilenceTimeout is how long a client waits for the next line of an audit stream
// before it treats the stream as broken. While there are no events, the server sends
// an empty line every 5 s.
const AuditSilenceTimeout = 3 * _pingInterval

// Dependencies are the sources of what the API shows.
type Dependencies struct {
	// Ready returns nil when the host accepts requests, otherwise the reason.
	Ready func() error
	// Status returns a value that is encoded to JSON with field names in Pascal case.
	Status func() any
	Trail  *audit.Trail
	Logger logr.Logger
}

// NewServer returns the server. The caller provides the listener and shuts the server
// down. Shutdown ends the audit streams, since it would otherwise wait for them
// forever.
func NewServer(dependencies Dependencies) *http.Server {
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{
		Handler:           NewHandler(dependencies),
		ReadHeaderTimeout: _headerTimeout,
		MaxHeaderBytes:    _maxHeaderBytes,
		IdleTimeout:       _idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	server.RegisterOnShutdown(cancel)
	return server
}

// NewHandler returns the handler for the paths in the package comment.
func NewHandler(dependencies Dependencies) http.Handler {
	h := &handlers{Dependencies: dependencies}
	h.Logger = h.Logger.WithName("opers")
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", h.health)
	mux.HandleFunc("GET /readyz", h.ready)
	mux.HandleFunc("GET /statusz", h.status)
	mux.HandleFunc("GET /auditz", h.audit)
	mux.HandleFunc("GET /debug/vars", h.vars)
	return rejectBody(mux)
}

// rejectBody refuses requests that have a body and closes their connections, since
// the server would otherwise wait for the end of a slow body.
func rejectBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			http.Error(w, "the operators' surface takes no body; send a GET without one", http.StatusBadRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

type handlers struct {
	Dependencies
}

// Health is the body of /healthz and /readyz.
type Health struct {
	OK     bool
	Reason string `json:",omitempty"`
}

func (h *handlers) health(w http.ResponseWriter, _ *http.Request) {
	h.write(w, http.StatusOK, Health{OK: true})
}

func (h *handlers) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.Ready(); err != nil {
		h.write(w, http.StatusServiceUnavailable, Health{Reason: err.Error()})
		return
	}
	h.write(w, http.StatusOK, Health{OK: true})
}

func (h *handlers) status(w http.ResponseWriter, _ *http.Request) {
	h.write(w, http.StatusOK, h.Status())
}

func (h *handlers) write(w http.ResponseWriter, status int, body any) {
	encoded, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		h.Logger.Error(err, "Failed to encode the response.")
		http.Error(w, "the answer did not encode; see the log", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(append(encoded, '\n')); err != nil {
		h.Logger.V(1).Info("The client disconnected.", "Cause", err.Error())
	}
}

// vars writes the process's expvar variables and adds the host's counts of audit
// events. The counts are not an expvar variable, since all hosts of the process would
// share it.
func (h *handlers) vars(w http.ResponseWriter, _ *http.Request) {
	body := map[string]json.RawMessage{}
	expvar.Do(func(variable expvar.KeyValue) {
		body[variable.Key] = toJSON(variable.Value.String())
	})
	counts, err := json.Marshal(h.Trail.Counts())
	if err != nil {
		h.Logger.Error(err, "Failed to encode the audit counts.")
	}
	body["apricotproxy.Audit"] = counts
	h.write(w, http.StatusOK, body)
}

// toJSON converts the text of a variable to JSON. Text that is not valid JSON is
// quoted: a float that is not a number prints as NaN, which would make the whole
// response invalid.
func toJSON(text string) json.RawMessage {
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return json.RawMessage("null") // a string always encodes
	}
	return quoted
}

// audit writes one JSON object per line. With Follow=yes it keeps streaming.
func (h *handlers) audit(w http.ResponseWriter, r *http.Request) {
	after, follow, err := parseAuditQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	stream := &auditStream{writer: w, control: http.NewResponseController(w)}
	if err := stream.send(h.Trail.After(after)); err != nil || !follow {
		h.logDisconnect(err)
		return
	}
	h.logDisconnect(stream.follow(r.Context(), h.Trail, after))
}

func (h *handlers) logDisconnect(err error) {
	if err != nil {
		h.Logger.V(1).Info("The client of an audit stream disconnected.", "Cause", err.Error())
	}
}

func parseAuditQuery(r *http.Request) (after uint64, follow bool, err error) {
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
