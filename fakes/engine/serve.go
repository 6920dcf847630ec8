package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"apricotproxy/core"
)

const (
	_pingInterval = time.Second
	_bodyBytes    = 16 << 20
)

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int   `json:"completion_tokens"`
}

type event struct {
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (e *Engine) serveStart(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, _bodyBytes))
	if err != nil {
		return // the caller is gone before its request was whole
	}
	var body completionBody
	if err := json.Unmarshal(raw, &body); err != nil {
		http.Error(w, "body: expected a JSON completion request", http.StatusBadRequest)
		return
	}
	id := core.GenerationID(r.Header.Get("Generation-Id"))
	if id == "" {
		http.Error(w, "Generation-Id: expected an id", http.StatusBadRequest)
		return
	}
	g := e.newGeneration(r, id, body)
	if status := e.accept(g); status != http.StatusOK {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused", status)
		return
	}
	e.stream(w, r, g, 0)
}

func (e *Engine) newGeneration(r *http.Request, id core.GenerationID, body completionBody) *generation {
	// A priority that is absent or no number counts as 0.
	priority, _ := strconv.Atoi(r.Header.Get("Priority"))
	g := &generation{
		id:       id,
		priority: priority,
		prompt:   int64(core.PromptTokens(body.Prompt)),
		length:   e.length(body.Prompt, id),
		reason:   "stop",
		changed:  make(chan struct{}),
		run: &Run{
			Generation: id,
			Prompt:     body.Prompt,
			Workspace:  r.Header.Get("Workspace"),
			Started:    time.Now(),
		},
	}
	if match := _keyDirective.FindStringSubmatch(body.Prompt); match != nil {
		g.run.Key = match[1]
	}
	if body.MaxTokens > 0 && g.length > body.MaxTokens {
		g.length, g.reason = body.MaxTokens, "length"
	}
	return g
}

// accept takes the generation or gives the status of its refusal.
func (e *Engine) accept(g *generation) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failures > 0 {
		e.failures--
		return e.failStatus
	}
	if _, known := e.generations[g.id]; known {
		return http.StatusConflict
	}
	g.run.Incarnation = e.incarnation
	e.begin(g)
	if !e.down {
		e.cache.store(time.Now(), core.PrefixDigests(g.run.Prompt), e.config)
	}
	return http.StatusOK
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	id := core.GenerationID(r.PathValue("generation"))
	from := 0
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		index, err := strconv.Atoi(strings.TrimPrefix(last, string(id)+"."))
		if err != nil {
			http.Error(w, "Last-Event-ID: expected <generation>.<index>", http.StatusBadRequest)
			return
		}
		from = index + 1
	}
	e.mu.Lock()
	g, ok := e.generations[id]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "generation is not held", http.StatusNotFound)
		return
	}
	e.stream(w, r, g, from)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.cancel(core.GenerationID(r.PathValue("generation")))
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// view is what a stream sees of its generation at one moment.
type view struct {
	produced int
	done     bool
	lost     bool
	fault    StreamFault
	token    TokenFault
	changed  chan struct{}
}

// look takes a view. A token fault is used up only when a token is due.
func (e *Engine) look(g *generation, epoch, next int) view {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := view{produced: g.produced, done: g.done, lost: g.lost, changed: g.changed}
	if epoch != e.streamEpoch {
		v.fault = e.lastFault
	}
	if next < g.produced {
		v.token, e.tokenFault = e.tokenFault, TokenHealthy
	}
	return v
}

// stream sends the generation's events from an index on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	e.mu.Lock()
	epoch := e.streamEpoch
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	_ = out.Flush() // a broken link shows at the next write
	for next := from; ; {
		v := e.look(g, epoch, next)
		switch {
		case v.fault == StreamSilent:
			<-r.Context().Done()
			return
		case v.fault == StreamCut || v.lost:
			panic(http.ErrAbortHandler)
		case next < v.produced:
			next = sendTokens(w, g, next, v)
		case v.done:
			sendFinal(w, g)
			return
		default:
			waitOrPing(w, r, v.changed)
		}
		if out.Flush() != nil || r.Context().Err() != nil {
			return
		}
	}
}

func waitOrPing(w io.Writer, r *http.Request, changed <-chan struct{}) {
	ping := time.NewTimer(_pingInterval)
	defer ping.Stop()
	select {
	case <-changed:
	case <-r.Context().Done():
	case <-ping.C:
		_, _ = io.WriteString(w, ": ping\n\n") // a broken link shows at the flush
	}
}

func sendTokens(w io.Writer, g *generation, next int, v view) int {
	for ; next < v.produced; next++ {
		index, id := next, g.id
		switch v.token {
		case TokenTwice:
			sendEvent(w, id, index, tokenEvent(g, index))
		case TokenMissing:
			v.token = TokenHealthy
			continue
		case TokenForeign:
			id += "x"
		}
		v.token = TokenHealthy
		sendEvent(w, id, index, tokenEvent(g, index))
	}
	return next
}

func tokenEvent(g *generation, index int) event {
	return event{Choices: []choice{{Text: TokenText(g.run.Prompt, g.id, index)}}}
}

func sendFinal(w io.Writer, g *generation) {
	sendEvent(w, g.id, g.length, event{
		Choices: []choice{{FinishReason: &g.reason}},
		Usage:   &usage{PromptTokens: g.prompt, CompletionTokens: g.length},
	})
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func sendEvent(w io.Writer, id core.GenerationID, index int, body event) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // a value of plain fields always marshals
	}
	_, _ = fmt.Fprintf(w, "id: %s.%d\ndata: %s\n\n", id, index, data)
}
