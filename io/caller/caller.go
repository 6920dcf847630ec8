// Package caller serves callers by HTTP and server-sent events, as
// docs/callers.md describes.
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
	// _defaultBodyBytes bounds a body when the settings give no bound.
	_defaultBodyBytes = 1 << 20
	// _writeTimeout bounds a write when the settings give no silence timeout.
	_writeTimeout = 10 * time.Second
)

// Config is what the handler is built from.
type Config struct {
	Self       core.HostID
	Dispatcher core.Dispatcher
	Runner     *runs.Runner
	Orders     *runs.Orders
	// Ready gives the refusal of new work while the host cannot take any; nil
	// result when it can. Orders and resumptions are always taken.
	Ready  func() *core.OutcomeError
	Logger logr.Logger
}

// Handler serves callers.
type Handler struct {
	config Config
	logger logr.Logger
	mux    *http.ServeMux
}

var _ http.Handler = (*Handler)(nil)

// New builds the handler.
func New(config Config) *Handler {
	h := &Handler{
		config: config,
		logger: config.Logger.WithName("caller"),
		mux:    http.NewServeMux(),
	}
	h.mux.HandleFunc("POST /v1/completions", h.serveCompletion)
	h.mux.HandleFunc("GET /v1/completions/{generation}", h.serveResumption)
	h.mux.Handle("POST /v1/calls/{service}/{call}", h.unary(decodeCall, h.call))
	h.mux.Handle("POST /v1/tickets", h.unary(decodeTickets, h.tickets))
	h.mux.Handle("POST /v1/orders", h.unary(decodeOrder, h.order))
	h.mux.HandleFunc("/", h.serveUnknown)
	return h
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// NewServer builds a server around a handler, with bounds on slow callers. At a
// planned stop Runner.Wait follows its Shutdown, which does not know streams.
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

// ready gives the refusal of new work, if any.
func (h *Handler) ready() error {
	if h.config.Ready == nil {
		return nil
	}
	if refusal := h.config.Ready(); refusal != nil {
		return refusal
	}
	return nil
}

func workspaceOf(r *http.Request) core.WorkspaceName {
	return core.WorkspaceName(r.Header.Get("Workspace"))
}

type workspaceKey struct{}

// withWorkspace carries the workspace into decoders and endpoints of go-kit.
func withWorkspace(ctx context.Context, r *http.Request) context.Context {
	return context.WithValue(ctx, workspaceKey{}, workspaceOf(r))
}

func workspaceFrom(ctx context.Context) core.WorkspaceName {
	name, _ := ctx.Value(workspaceKey{}).(core.WorkspaceName)
	return name
}

func clip(text string) string {
	const longest = 64
	if len(text) <= longest {
		return text
	}
	return text[:longest] + "..."
}
