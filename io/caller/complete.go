package caller

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"apricotproxy/core"
	"apricotproxy/io/runs"
)

// serveCompletion runs a completion.
func (h *Handler) serveCompletion(w http.ResponseWriter, r *http.Request) {
	completion, stream := h.openCompletion(w, r)
	switch {
	case completion == nil:
	case stream:
		h.stream(w, r, h.newEventSink(w, completion.Model), func(ctx context.Context, sink runs.Sink) error {
			return h.config.Runner.Complete(ctx, completion, sink)
		})
	default:
		sink := &wholeSink{handler: h, writer: w, model: completion.Model}
		if err := h.config.Runner.Complete(r.Context(), completion, sink); err != nil {
			sink.fail(err)
		}
	}
}

// openCompletion reads and checks a request. It answers one that is refused, and
// returns nil then.
func (h *Handler) openCompletion(w http.ResponseWriter, r *http.Request) (completion *runs.Completion, stream bool) {
	body, err := h.readBody(w, r)
	if err != nil {
		h.writeError(w, err)
		return nil, false
	}
	asked, err := parseCompletion(body)
	if err == nil {
		err = h.ready()
	}
	if err != nil {
		h.writeError(w, err)
		return nil, false
	}
	completion, err = h.admit(workspaceOf(r), &asked, body)
	if err != nil {
		h.writeError(w, err)
		return nil, false
	}
	return completion, asked.Stream
}

// admit builds the completion that a body asks for.
func (h *Handler) admit(workspace core.WorkspaceName, asked *completionBody, body []byte) (*runs.Completion, error) {
	request, service, refusal := h.config.Runner.Admit(time.Now(), runs.Wanted{
		Workspace: workspace,
		Service:   asked.Service,
		Model:     asked.Model,
	})
	if refusal != nil {
		return nil, refusal
	}
	if most := h.limits().OutputTokensAtMost; most > 0 && asked.MaxTokens > most {
		return nil, core.NotRun(core.CauseBadRequest,
			fmt.Sprintf(`"max_tokens" is %d; expected at most %d`, asked.MaxTokens, most), time.Time{})
	}
	request.Delivery = asked.delivery()
	request.MaxTokens = asked.MaxTokens
	request.PromptTokens = core.PromptTokens(asked.Prompt)
	request.Prefixes = core.PrefixDigests(asked.Prompt)
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

// serveResumption continues a stream of any entry host.
func (h *Handler) serveResumption(w http.ResponseWriter, r *http.Request) {
	resumption, err := parseResumption(r.PathValue("generation"), r.Header.Get("Last-Event-ID"))
	if err != nil {
		h.writeError(w, err)
		return
	}
	resumption.Workspace = workspaceOf(r)
	h.stream(w, r, h.newEventSink(w, ""), func(ctx context.Context, sink runs.Sink) error {
		return h.config.Runner.Resume(ctx, resumption, sink)
	})
}

// parseResumption reads the generation of the path and the event id of the
// header; without the header the stream starts over at 0.
func parseResumption(generation, lastEventID string) (runs.Resumption, error) {
	resumption := runs.Resumption{Generation: core.GenerationID(generation)}
	if lastEventID == "" {
		return resumption, nil
	}
	named, index, err := runs.ParseEventID(lastEventID)
	if err != nil {
		return runs.Resumption{}, badBody("the header Last-Event-ID is wrong: "+err.Error(), nil)
	}
	if named != resumption.Generation {
		return runs.Resumption{}, badBody("the header Last-Event-ID names another generation than the path", nil)
	}
	resumption.Next = index + 1
	return resumption, nil
}
