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
	_maxBodyBytes = 16 << 20
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
	raw, err := io.ReadAll(io.LimitReader(r.Body, _maxBodyBytes))
	if err != nil {
		return // the caller went away before it had sent the whole request
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
	// A priority that is missing or not a number counts as 0.
	priority, _ := strconv.Atoi(r.Header.Get("Priority"))
	g := &generation{
		id:           id,
		priority:     priority,
		promptTokens: int64(core.PromptTokens(body.Prompt)),
		length:       e.length(body.Prompt, id),
		finishReason: "stop",
		changed:      make(chan struct{}),
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
		g.length, g.finishReason = body.MaxTokens, "length"
	}
	return g
}

// accept starts the generation, or returns the status with which it is refused.
func (e *Engine) accept(g *generation) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failuresLeft > 0 {
		e.failuresLeft--
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

// streamState is the state of a generation and its stream at one moment.
type streamState struct {
	produced int
	done     bool
	lost     bool
	fault    StreamFault // of the stream
	token    TokenFault  // of the next token
	changed  chan struct{}
}

// readState returns the state of a stream that was opened in an epoch and is to send
// the token with index next. A pending token fault is used up only if that token has
// been produced.
func (e *Engine) readState(g *generation, epoch, next int) streamState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := streamState{produced: g.produced, done: g.done, lost: g.lost, changed: g.changed}
	if epoch != e.streamEpoch {
		state.fault = e.streamFault
	}
	if next < g.produced {
		state.token, e.tokenFault = e.tokenFault, TokenHealthy
	}
	return state
}

// stream sends the generation's events from an index on, and waits for those that
// are yet to be produced.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	e.mu.Lock()
	epoch := e.streamEpoch
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	_ = out.Flush() // a broken connection shows at the next flush
	for next := from; ; {
		state := e.readState(g, epoch, next)
		switch {
		case state.fault == StreamSilent:
			<-r.Context().Done()
			return
		case state.fault == StreamCut || state.lost:
			panic(http.ErrAbortHandler)
		case next < state.produced:
			next = sendTokens(w, g, next, state)
		case state.done:
			sendFinal(w, g)
			return
		default:
			waitOrPing(w, r, state.changed)
		}
		if out.Flush() != nil || r.Context().Err() != nil {
			return
		}
	}
}

// waitOrPing waits for a change, at most for the ping interval, after which it sends
// a comment.
func waitOrPing(w io.Writer, r *http.Request, changed <-chan struct{}) {
	ping := time.NewTimer(_pingInterval)
	defer ping.Stop()
	select {
	case <-changed:
	case <-r.Context().Done():
	case <-ping.C:
		_, _ = io.WriteString(w, ": ping\n\n") // a broken connection shows at the flush
	}
}

// sendTokens sends the tokens that have been produced, from index next on, and
// returns the index of the one to send after them. The token fault applies to the
// first.
func sendTokens(w io.Writer, g *generation, next int, state streamState) int {
	for ; next < state.produced; next++ {
		index, id := next, g.id
		switch state.token {
		case TokenTwice:
			sendEvent(w, id, index, tokenEvent(g, index))
		case TokenMissing:
			state.token = TokenHealthy
			continue
		case TokenForeign:
			id += "x"
		}
		state.token = TokenHealthy
		sendEvent(w, id, index, tokenEvent(g, index))
	}
	return next
}

func tokenEvent(g *generation, index int) event {
	return event{Choices: []choice{{Text: TokenText(g.run.Prompt, g.id, index)}}}
}

// sendFinal sends the last event, with the usage, and the end marker.
func sendFinal(w io.Writer, g *generation) {
	sendEvent(w, g.id, g.length, event{
		Choices: []choice{{FinishReason: &g.finishReason}},
		Usage:   &usage{PromptTokens: g.promptTokens, CompletionTokens: g.length},
	})
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func sendEvent(w io.Writer, id core.GenerationID, index int, body event) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // an event's fields always marshal
	}
	_, _ = fmt.Fprintf(w, "id: %s.%d\ndata: %s\n\n", id, index, data)
}
