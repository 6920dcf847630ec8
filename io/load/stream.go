package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"
)

// Bounds of an answer.
const (
	_eventBytes  = 1 << 20
	_answerBytes = 16 << 20
)

// exchange is one request and the reading of its answer.
type exchange struct {
	client   *http.Client
	settings Settings
	arrival  arrival
	due      time.Time
}

// answer is what came of a request.
type answer struct {
	Outcome Outcome
	// FirstToken, Whole and Between are zero or empty unless measured.
	FirstToken time.Duration
	Whole      time.Duration
	Between    []time.Duration
	Tokens     int
	// Detail tells why the outcome is not Done.
	Detail string
}

func (x *exchange) run(ctx context.Context) answer {
	switch x.arrival.Kind {
	case KindDraft:
		return x.complete(ctx, x.settings.DraftPrompt, x.settings.DraftTokens)
	case KindLookup:
		return x.complete(ctx, x.settings.LookupPrompt, x.settings.LookupTokens)
	case KindCall:
		return x.call(ctx)
	default:
		return x.order(ctx)
	}
}

// completionBody is the OpenAI-compatible request.
type completionBody struct {
	Service   string `json:"service"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
}

// complete runs one streamed generation.
func (x *exchange) complete(ctx context.Context, prompt string, tokens int) answer {
	body := completionBody{
		Service:   string(x.settings.Service),
		Prompt:    fmt.Sprintf("%s (request %d)", prompt, x.arrival.Serial),
		MaxTokens: tokens,
		Stream:    true,
	}
	response, failed := x.post(ctx, "/v1/completions", body)
	if response == nil {
		return failed
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return x.refused(response)
	}
	return x.readStream(response.Body)
}

// post sends a JSON body. Without a response, the answer tells why.
func (x *exchange) post(ctx context.Context, path string, body any) (*http.Response, answer) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, answer{Outcome: Unreached, Detail: err.Error()}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, x.settings.scheme()+x.arrival.Target+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, answer{Outcome: Unreached, Detail: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Workspace", string(x.arrival.Workspace))
	response, err := x.client.Do(request)
	if err != nil {
		return nil, answer{Outcome: Unreached, Detail: err.Error()}
	}
	return response, answer{}
}

// closeBody reads what is left of a short body, so that the connection can be
// used again.
func closeBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, _eventBytes)
	_ = response.Body.Close()
}

// streamEvent is the data of one event.
type streamEvent struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Outcome string
	Cause   string
}

// streamReader verifies a stream: one generation, indices from 0 without gap
// or repetition, and a last event whose count is what came.
type streamReader struct {
	due        time.Time
	last       time.Time
	generation string
	count      int
	final      bool
	answer     answer
}

func (x *exchange) readStream(body io.Reader) answer {
	r := &streamReader{due: x.due}
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: _eventBytes}) {
		if err != nil {
			return r.broken("the stream broke after %d tokens: %v", r.count, err)
		}
		if ended := r.take(event, time.Now()); ended {
			return r.answer
		}
	}
	return r.broken("the stream ended after %d tokens without an outcome", r.count)
}

func (r *streamReader) broken(format string, arguments ...any) answer {
	r.answer.Outcome = Broken
	r.answer.Detail = fmt.Sprintf(format, arguments...)
	return r.answer
}

// take reads one event and reports whether the answer is complete.
func (r *streamReader) take(event sse.Event, now time.Time) (ended bool) {
	if event.Data == "[DONE]" {
		if !r.final {
			r.broken("[DONE] came before the last event")
			return true
		}
		r.answer.Outcome = Done
		r.answer.Whole = now.Sub(r.due)
		return true
	}
	var data streamEvent
	if err := json.Unmarshal([]byte(event.Data), &data); err != nil {
		r.broken("event %d is not JSON: %v", r.count, err)
		return true
	}
	if event.Type == "error" {
		r.takeError(data)
		return true
	}
	if detail := r.checkID(event.LastEventID); detail != "" {
		r.broken("%s", detail)
		return true
	}
	if data.Usage != nil {
		return r.takeFinal(data)
	}
	r.takeToken(now)
	return false
}

// takeError takes an outcome within the stream. After a token it cannot be that
// nothing ran.
func (r *streamReader) takeError(data streamEvent) {
	r.answer.Outcome = outcomeOf(data.Outcome)
	r.answer.Detail = data.Outcome + " " + data.Cause
	if r.answer.Outcome == NotRun && r.count > 0 {
		r.broken("NotRun came after %d tokens", r.count)
	}
}

func (r *streamReader) checkID(id string) (detail string) {
	if r.final {
		return fmt.Sprintf("event %s came after the last one", id)
	}
	dot := strings.LastIndexByte(id, '.')
	if dot < 0 {
		return fmt.Sprintf("event %d has the id %q", r.count, id)
	}
	generation, index := id[:dot], id[dot+1:]
	if r.generation == "" {
		r.generation = generation
	}
	if generation != r.generation {
		return fmt.Sprintf("event %d is of another generation", r.count)
	}
	if index != strconv.Itoa(r.count) {
		return fmt.Sprintf("index %s came where %d was due", index, r.count)
	}
	return ""
}

func (r *streamReader) takeFinal(data streamEvent) (ended bool) {
	r.final = true
	if data.Usage.CompletionTokens != r.count {
		r.broken("%d of %d tokens came", r.count, data.Usage.CompletionTokens)
		return true
	}
	return false
}

func (r *streamReader) takeToken(now time.Time) {
	if r.count == 0 {
		r.answer.FirstToken = now.Sub(r.due)
	} else {
		r.answer.Between = append(r.answer.Between, now.Sub(r.last))
	}
	r.last = now
	r.count++
	r.answer.Tokens = r.count
}
