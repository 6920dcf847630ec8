package caller

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"apricotproxy/core"
	"apricotproxy/io/runs"
)

// serveCompletion serves POST /v1/completions.
func (h *Handler) serveCompletion(w http.ResponseWriter, r *http.Request) {
	completion, stream := h.openCompletion(w, r)
	switch {
	case completion == nil:
	case stream:
		h.serveStream(w, r, h.newEventSink(w, completion.Model), func(ctx context.Context, sink runs.Sink) error {
			return h.config.Runner.Complete(ctx, completion, sink)
		})
	default:
		sink := &wholeSink{handler: h, writer: w, model: completion.Model}
		if err := h.config.Runner.Complete(r.Context(), completion, sink); err != nil {
			sink.fail(err)
		}
	}
}

// openCompletion reads and checks a request. If the request is refused, it writes
// the error and returns nil.
func (h *Handler) openCompletion(w http.ResponseWriter, r *http.Request) (completion *runs.Completion, stream bool) {
	body, err := h.readBody(w, r)
	if err != nil {
		h.writeError(w, err)
		return nil, false
	}
	parsed, err := parseCompletion(body)
	if err == nil {
		err = h.checkReady()
	}
	if err != nil {
		h.writeError(w, err)
		return nil, false
	}
	completion, err = h.admit(workspaceOf(r), &parsed, body)
	if err != nil {
		h.writeError(w, err)
		return nil, false
	}
	return completion, parsed.Stream
}

// admit checks a request against the configuration and builds the completion.
func (h *Handler) admit(workspace core.WorkspaceName, parsed *completionBody, body []byte) (*runs.Completion, error) {
	request, service, refusal := h.config.Runner.Admit(time.Now(), runs.RequestedNames{
		Workspace: workspace,
		Service:   parsed.Service,
		Model:     parsed.Model,
	})
	if refusal != nil {
		return nil, refusal
	}
	if limit := h.limits().OutputTokensAtMost; limit > 0 && parsed.MaxTokens > limit {
		return nil, core.NotRun(core.CauseBadRequest,
			fmt.Sprintf(`"max_tokens" is %d; expected at most %d`, parsed.MaxTokens, limit), time.Time{})
	}
	request.Delivery = parsed.delivery()
	request.MaxTokens = parsed.MaxTokens
	request.PromptTokens = core.PromptTokens(parsed.Prompt)
	request.Prefixes = core.PrefixDigests(parsed.Prompt)
	engineBody, err := engineBody(body, service.Model)
	if err != nil {
		return nil, err
	}
	return &runs.Completion{
		Request: request,
		Model:   service.Model,
		Adapter: service.Adapter,
		Body:    engineBody,
	}, nil
}

// serveResumption continues a stream, which any entry host may have started.
func (h *Handler) serveResumption(w http.ResponseWriter, r *http.Request) {
	resumption, err := parseResumption(r.PathValue("generation"), r.Header.Get("Last-Event-ID"))
	if err != nil {
		h.writeError(w, err)
		return
	}
	resumption.Workspace = workspaceOf(r)
	h.serveStream(w, r, h.newEventSink(w, ""), func(ctx context.Context, sink runs.Sink) error {
		return h.config.Runner.Resume(ctx, resumption, sink)
	})
}

// parseResumption parses the generation in the path and the event id in the header.
// Without the header the stream starts again at token 0.
func parseResumption(generation, lastEventID string) (runs.Resumption, error) {
	resumption := runs.Resumption{Generation: core.GenerationID(generation)}
	if lastEventID == "" {
		return resumption, nil
	}
	named, index, err := runs.ParseEventID(lastEventID)
	if err != nil {
		return runs.Resumption{}, badRequest("the header Last-Event-ID is wrong: "+err.Error(), nil)
	}
	if named != resumption.Generation {
		return runs.Resumption{}, badRequest("the header Last-Event-ID names another generation than the path", nil)
	}
	resumption.Next = index + 1
	return resumption, nil
}
