// Package caller is the HTTP server for callers. It answers with JSON or with
// server-sent events; docs/callers.md describes the protocol.
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/io/runs"
)

const (
	_headerTimeout = 5 * time.Second
	_bodyTimeout   = 10 * time.Second
	_idleTimeout   = 2 * time.Minute
	_headerBytes   = 16 << 10
	// _defaultBodyBytes limits a body if the settings do not.
	_defaultBodyBytes = 1 << 20
	// _defaultWriteTimeout limits a write if the settings give no silence timeout.
	_defaultWriteTimeout = 10 * time.Second
)

// Config configures a Handler.
type Config struct {
	Self       core.HostID
	Dispatcher core.Dispatcher
	Runner     *runs.Runner
	Orders     *runs.Orders
	// CheckReady returns the refusal of new requests, or nil while the host accepts
	// them. Orders and resumptions are always accepted.
	CheckReady func() *core.OutcomeError
	Logger     logr.Logger
}

// Handler serves the requests of callers.
type Handler struct {
	config Config
	logger logr.Logger
	mux    *http.ServeMux
}

var _ http.Handler = (*Handler)(nil)

// New returns a handler.
func New(config Config) *Handler {
	h := &Handler{
		config: config,
		logger: config.Logger.WithName("caller"),
		mux:    http.NewServeMux(),
	}
	h.mux.HandleFunc("POST /v1/completions", h.serveCompletion)
	h.mux.HandleFunc("GET /v1/completions/{generation}", h.serveResumption)
	h.mux.Handle("POST /v1/calls/{service}/{call}", h.unaryHandler(decodeCall, h.serveCall))
	h.mux.Handle("POST /v1/tickets", h.unaryHandler(decodeTickets, h.serveTickets))
	h.mux.Handle("POST /v1/orders", h.unaryHandler(decodeOrder, h.serveOrder))
	h.mux.HandleFunc("/", h.serveUnknown)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// NewServer returns a server for the handler, with limits on slow callers. At a
// planned stop, call Runner.Wait after Shutdown, which does not wait for streams
// whose connections were hijacked.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: _headerTimeout,
		IdleTimeout:       _idleTimeout,
		MaxHeaderBytes:    _headerBytes,
	}
}

func (h *Handler) limits() core.Limits { return h.config.Dispatcher.Config().Limits }

func (h *Handler) serveUnknown(w http.ResponseWriter, r *http.Request) {
	h.writeError(w, &statusError{
		status: http.StatusNotFound,
		err: core.NotRun(core.CauseBadRequest,
			"no such call: "+r.Method+" "+clip(r.URL.Path)+"; see the page for callers", time.Time{}),
	})
}

// checkReady returns the refusal of new requests, or nil.
func (h *Handler) checkReady() error {
	if h.config.CheckReady == nil {
		return nil
	}
	if refusal := h.config.CheckReady(); refusal != nil {
		return refusal
	}
	return nil
}

func workspaceOf(r *http.Request) core.WorkspaceName {
	return core.WorkspaceName(r.Header.Get("Workspace"))
}

type workspaceKey struct{}

// withWorkspace adds the workspace to the context, from which the decoders and
// endpoints of go-kit read it.
func withWorkspace(ctx context.Context, r *http.Request) context.Context {
	return context.WithValue(ctx, workspaceKey{}, workspaceOf(r))
}

func workspaceFrom(ctx context.Context) core.WorkspaceName {
	name, _ := ctx.Value(workspaceKey{}).(core.WorkspaceName)
	return name
}

func clip(text string) string {
	const maxBytes = 64
	if len(text) <= maxBytes {
		return text
	}
	return text[:maxBytes] + "..."
}
