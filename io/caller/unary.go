package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"apricotproxy/core"
	"apricotproxy/io/runs"
)

// unaryHandler returns a go-kit server for calls with one request and one answer. It
// first reads the body, within the limits on its size and time.
func (h *Handler) unaryHandler(decode kithttp.DecodeRequestFunc, serve endpoint.Endpoint) http.Handler {
	server := kithttp.NewServer(serve, decode, h.encodeAnswer,
		kithttp.ServerBefore(withWorkspace),
		kithttp.ServerErrorEncoder(func(_ context.Context, err error, w http.ResponseWriter) { h.writeError(w, err) }),
		kithttp.ServerErrorHandler(discardErrors{}),
	)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := h.readBody(w, r)
		if err != nil {
			h.writeError(w, err)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		server.ServeHTTP(w, r)
	})
}

// discardErrors ignores errors, because the error encoder handles them already.
type discardErrors struct{}

// Handle does nothing.
func (discardErrors) Handle(context.Context, error) {}

func (h *Handler) encodeAnswer(_ context.Context, w http.ResponseWriter, answer any) error {
	h.writeJSON(w, http.StatusOK, answer)
	return nil
}

// rawAnswer returns the value to encode for a plain service's answer: the answer
// itself if it is JSON, otherwise a string.
func rawAnswer(answer []byte) any {
	if json.Valid(answer) {
		return json.RawMessage(answer)
	}
	return string(answer)
}

type callRequest struct {
	wanted runs.RequestedNames
	body   []byte
}

func decodeCall(ctx context.Context, r *http.Request) (any, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, badRequest("the body could not be read", err)
	}
	if len(body) > 0 && !json.Valid(body) {
		return nil, badRequest("the body is not JSON", nil)
	}
	return callRequest{
		wanted: runs.RequestedNames{
			Workspace: workspaceFrom(ctx),
			Service:   core.ServiceName(r.PathValue("service")),
			Call:      core.CallName(r.PathValue("call")),
		},
		body: body,
	}, nil
}

func (h *Handler) serveCall(ctx context.Context, request any) (any, error) {
	req, _ := request.(callRequest)
	if err := h.checkReady(); err != nil {
		return nil, err
	}
	admitted, _, refusal := h.config.Runner.Admit(time.Now(), req.wanted)
	if refusal != nil {
		return nil, refusal
	}
	if !admitted.Repeatable {
		return nil, core.NotRun(core.CauseBadRequest,
			"this call may not be repeated; get a ticket by POST /v1/tickets and use POST /v1/orders", time.Time{})
	}
	answer, err := h.config.Runner.Call(ctx, admitted, req.body)
	if err != nil {
		return nil, err
	}
	return rawAnswer(answer), nil
}

// ticketsRequest is the body of POST /v1/tickets.
type ticketsRequest struct {
	Count int
}

// ticketsAnswer is the answer to POST /v1/tickets.
type ticketsAnswer struct {
	Tickets   []string
	ExpiresAt time.Time
}

func decodeTickets(_ context.Context, r *http.Request) (any, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, badRequest("the body could not be read", err)
	}
	return parseTickets(body)
}

func parseTickets(body []byte) (ticketsRequest, error) {
	request := ticketsRequest{Count: 1}
	if len(bytes.TrimSpace(body)) == 0 {
		return request, nil
	}
	if err := parseStrict(body, &request); err != nil {
		return ticketsRequest{}, err
	}
	return request, nil
}

func (h *Handler) serveTickets(ctx context.Context, request any) (any, error) {
	req, _ := request.(ticketsRequest)
	if err := h.checkReady(); err != nil {
		return nil, err
	}
	tickets, expiresAt, err := h.config.Orders.Issue(workspaceFrom(ctx), req.Count)
	if err != nil {
		return nil, err
	}
	return ticketsAnswer{Tickets: tickets, ExpiresAt: expiresAt.UTC()}, nil
}

// orderRequest is the body of POST /v1/orders.
type orderRequest struct {
	Ticket  string
	Service core.ServiceName
	Call    core.CallName
	Body    json.RawMessage
}

func decodeOrder(_ context.Context, r *http.Request) (any, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, badRequest("the body could not be read", err)
	}
	return parseOrder(body)
}

func parseOrder(body []byte) (orderRequest, error) {
	var request orderRequest
	if err := parseStrict(body, &request); err != nil {
		return orderRequest{}, err
	}
	if request.Ticket == "" || request.Service == "" || request.Call == "" {
		return orderRequest{}, badRequest("an order needs Ticket, Service and Call", nil)
	}
	return request, nil
}

func (h *Handler) serveOrder(ctx context.Context, request any) (any, error) {
	req, _ := request.(orderRequest)
	answer, err := h.config.Orders.Order(ctx, runs.Order{
		Workspace: workspaceFrom(ctx),
		Ticket:    req.Ticket,
		Service:   req.Service,
		Call:      req.Call,
		Body:      req.Body,
	})
	if err != nil {
		return nil, err
	}
	return rawAnswer(answer), nil
}
