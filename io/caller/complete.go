package caller

import (
	"fmt"
	"net/http"
	"time"

	"apricotproxy/core"
	"apricotproxy/io/runs"
)

// serveCompletion runs a completion.
func (h *Handler) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := h.readBody(w, r)
	if err != nil {
		h.writeError(w, err)
		return
	}
	completion, asked, err := h.admit(r, body)
	if err != nil {
		h.writeError(w, err)
		return
	}
	var sink answerSink
	if asked.Stream {
		sink = h.newEventSink(w, completion.Model)
	} else {
		sink = &wholeSink{handler: h, writer: w, model: completion.Model}
	}
	if err := h.config.Runner.Complete(r.Context(), completion, sink); err != nil {
		sink.fail(err)
	}
}

// answerSink is a runs.Sink that can also tell an error.
type answerSink interface {
	runs.Sink
	fail(err error)
}

// admit builds the completion that a body asks for.
func (h *Handler) admit(r *http.Request, body []byte) (runs.Completion, completionBody, error) {
	asked, err := parseCompletion(body)
	if err != nil {
		return runs.Completion{}, asked, err
	}
	if err := h.ready(); err != nil {
		return runs.Completion{}, asked, err
	}
	request, service, refusal := h.config.Runner.Admit(time.Now(), runs.Wanted{
		Workspace: workspaceOf(r),
		Service:   asked.Service,
		Model:     asked.Model,
	})
	if refusal != nil {
		return runs.Completion{}, asked, refusal
	}
	if service.Kind != core.ServiceEngine {
		return runs.Completion{}, asked, core.NotRun(core.CauseBadRequest,
			fmt.Sprintf("service %q is a plain service; use POST /v1/calls or /v1/orders", service.Name), time.Time{})
	}
	if most := h.limits().OutputTokensAtMost; most > 0 && asked.MaxTokens > most {
		return runs.Completion{}, asked, core.NotRun(core.CauseBadRequest,
			fmt.Sprintf(`"max_tokens" is %d; expected at most %d`, asked.MaxTokens, most), time.Time{})
	}
	request.Delivery = asked.delivery()
	request.MaxTokens = asked.MaxTokens
	request.PromptTokens = core.PromptTokens(asked.Prompt)
	request.Prefixes = core.PrefixDigests(asked.Prompt)
	engineBody, err := engineBody(body, service.Model)
	if err != nil {
		return runs.Completion{}, asked, err
	}
	return runs.Completion{
		Request: request,
		Model:   service.Model,
		Adapter: service.Adapter,
		Body:    engineBody,
	}, asked, nil
}

// serveResumption continues a stream of any entry host.
func (h *Handler) serveResumption(w http.ResponseWriter, r *http.Request) {
	resumption, err := parseResumption(r.PathValue("generation"), r.Header.Get("Last-Event-ID"))
	if err != nil {
		h.writeError(w, err)
		return
	}
	resumption.Workspace = workspaceOf(r)
	sink := h.newEventSink(w, "")
	if err := h.config.Runner.Resume(r.Context(), resumption, sink); err != nil {
		sink.fail(err)
	}
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
