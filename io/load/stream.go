package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"
)

const (
	_maxEventBytes  = 1 << 20
	_maxAnswerBytes = 16 << 20
	// _resumeDelay is the wait before the second resumption; each later one waits
	// for one _resumeDelay more. Without it a host that is not ready would use up
	// all resumptions at once.
	_resumeDelay = 500 * time.Millisecond
)

// exchange sends one request and reads its answer.
type exchange struct {
	client   *http.Client
	settings Settings
	arrival  arrival
	due      time.Time // the scheduled arrival
}

// answer is the result of one request.
type answer struct {
	Outcome Outcome
	// FirstToken and Total are measured from the scheduled arrival. They are zero,
	// and TokenGaps is empty, if they were not measured.
	FirstToken time.Duration
	Total      time.Duration
	TokenGaps  []time.Duration
	Tokens     int
	Resumes    int
	// Detail is the reason if the outcome is not Done.
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

// completionBody is the body of an OpenAI-compatible completion request.
type completionBody struct {
	Service   string `json:"service"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
}

// complete runs one streamed generation. If the stream breaks or stalls after its
// first event, it is resumed at the next target, as a caller would do.
func (x *exchange) complete(ctx context.Context, prompt string, tokens int) answer {
	body := completionBody{
		Service:   string(x.settings.Service),
		Prompt:    fmt.Sprintf("%s (request %d)", prompt, x.arrival.Serial),
		MaxTokens: tokens,
		Stream:    true,
	}
	reader := &streamReader{due: x.due}
	ended := reader.attempt(ctx, x.settings.Silence, func(ctx context.Context) (*http.Response, answer) {
		return x.post(ctx, "/v1/completions", body)
	})
	for resumes := 1; !ended && resumes <= x.settings.Resumes; resumes++ {
		if !sleepUntil(ctx, time.Now().Add(time.Duration(resumes-1)*_resumeDelay)) {
			break
		}
		reader.answer.Resumes = resumes
		ended = reader.attempt(ctx, x.settings.Silence, func(ctx context.Context) (*http.Response, answer) {
			return x.resume(ctx, reader, resumes)
		})
	}
	return reader.answer
}

// resume requests the rest of a stream from another target.
func (x *exchange) resume(ctx context.Context, reader *streamReader, resumes int) (*http.Response, answer) {
	return x.send(resumes, func(target string) (*http.Request, error) {
		address := target + "/v1/completions/" + url.PathEscape(reader.generation)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
		if err == nil {
			request.Header.Set("Last-Event-ID", fmt.Sprintf("%s.%d", reader.generation, reader.count-1))
		}
		return request, err
	})
}

// post sends a JSON body. If the response is nil, the answer holds the reason.
func (x *exchange) post(ctx context.Context, path string, body any) (*http.Response, answer) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, answer{Outcome: Unreached, Detail: err.Error()}
	}
	return x.send(0, func(target string) (*http.Request, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, target+path, bytes.NewReader(encoded))
		if err == nil {
			request.Header.Set("Content-Type", "application/json")
		}
		return request, err
	})
}

// send sends a request to the target at the index serial number + skip, modulo the
// number of targets. Like a load balancer, it continues with the next target when the
// dial fails: nothing was sent to the failed one.
func (x *exchange) send(skip int, build func(target string) (*http.Request, error)) (*http.Response, answer) {
	var lastErr error
	for i := range x.settings.Targets {
		index := (x.arrival.Serial + skip + i) % len(x.settings.Targets)
		request, err := build(x.settings.scheme() + x.settings.Targets[index])
		if err != nil {
			return nil, answer{Outcome: Unreached, Detail: err.Error()}
		}
		request.Header.Set("Workspace", string(x.arrival.Workspace))
		response, err := x.client.Do(request)
		if err == nil {
			return response, answer{}
		}
		lastErr = err
		var opErr *net.OpError
		if !errors.As(err, &opErr) || opErr.Op != "dial" {
			break
		}
	}
	return nil, answer{Outcome: Unreached, Detail: lastErr.Error()}
}

// closeBody reads the rest of a short body, so that the connection can be reused.
func closeBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, _maxEventBytes)
	_ = response.Body.Close()
}

// streamEvent is the data of one server-sent event.
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

// streamReader reads and verifies a stream. All events must be of one generation,
// their indices must count up from 0 without a gap or a repetition, and the token
// count in the final event must match the tokens received.
type streamReader struct {
	due        time.Time // the scheduled arrival
	last       time.Time // when the latest token arrived
	generation string
	count      int  // tokens received
	final      bool // the final event was received
	answer     answer
}

// attempt reads the stream over one connection. It returns true when the answer is
// final and false when the stream may be resumed.
func (r *streamReader) attempt(ctx context.Context, silence time.Duration, connect func(context.Context) (*http.Response, answer)) (ended bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, failure := connect(ctx)
	if response == nil {
		r.answer.Outcome, r.answer.Detail = failure.Outcome, failure.Detail
		return r.count == 0
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return r.handleRefusal(response)
	}
	timer := time.AfterFunc(silence, cancel)
	defer timer.Stop()
	ended = r.read(&timedReader{reader: response.Body, timer: timer, silence: silence})
	if !ended {
		cancel() // keeps closeBody from reading the rest of a broken stream
	}
	return ended || r.count == 0
}

// handleRefusal processes an error response. If it refuses a resumption, the answer
// is final only when the response says that the generation is lost.
func (r *streamReader) handleRefusal(response *http.Response) (ended bool) {
	refusal := readRefusal(response)
	r.answer.Outcome, r.answer.Detail = refusal.Outcome, refusal.Detail
	if r.count == 0 {
		return true
	}
	if refusal.Outcome == NotRun {
		// NotRun is about the resumption; the generation itself did run.
		r.setBroken("the stream was not resumed: %s", refusal.Detail)
	}
	return refusal.Outcome == Interrupted || refusal.Outcome == Unknown
}

// timedReader restarts the silence timer whenever data arrives, pings included.
type timedReader struct {
	reader  io.Reader
	timer   *time.Timer
	silence time.Duration
}

// Read reads from the stream and restarts the timer.
func (t *timedReader) Read(p []byte) (int, error) {
	n, err := t.reader.Read(p)
	if n > 0 {
		t.timer.Reset(t.silence)
	}
	return n, err
}

// read processes events until the answer is final or the connection ends.
func (r *streamReader) read(body io.Reader) (ended bool) {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: _maxEventBytes}) {
		if err != nil {
			r.setBroken("the stream failed after %d tokens: %v", r.count, err)
			return false
		}
		if r.handleEvent(event, time.Now()) {
			return true
		}
	}
	r.setBroken("the stream ended after %d tokens without an outcome", r.count)
	return false
}

func (r *streamReader) setBroken(format string, arguments ...any) answer {
	r.answer.Outcome = Broken
	r.answer.Detail = fmt.Sprintf(format, arguments...)
	return r.answer
}

// handleEvent processes one event and reports whether the answer is final.
func (r *streamReader) handleEvent(event sse.Event, now time.Time) (ended bool) {
	if event.Data == "[DONE]" {
		if !r.final {
			r.setBroken("[DONE] arrived before the final event")
			return true
		}
		r.answer.Outcome = Done
		r.answer.Total = now.Sub(r.due)
		return true
	}
	var data streamEvent
	if err := json.Unmarshal([]byte(event.Data), &data); err != nil {
		r.setBroken("event %d is not JSON: %v", r.count, err)
		return true
	}
	if event.Type == "error" {
		r.handleError(data)
		return true
	}
	if detail := r.checkID(event.LastEventID); detail != "" {
		r.setBroken("%s", detail)
		return true
	}
	if data.Usage != nil {
		return r.handleFinal(data)
	}
	r.handleToken(now)
	return false
}

// handleError processes an error event. NotRun after a token is a contradiction.
func (r *streamReader) handleError(data streamEvent) {
	r.answer.Outcome = parseOutcome(data.Outcome)
	r.answer.Detail = data.Outcome + " " + data.Cause
	if r.answer.Outcome == NotRun && r.count > 0 {
		r.setBroken("got NotRun after %d tokens", r.count)
	}
}

func (r *streamReader) checkID(id string) (detail string) {
	if r.final {
		return fmt.Sprintf("event %s arrived after the final one", id)
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
		return fmt.Sprintf("event %d belongs to another generation", r.count)
	}
	if index != strconv.Itoa(r.count) {
		return fmt.Sprintf("got index %s, expected %d", index, r.count)
	}
	return ""
}

func (r *streamReader) handleFinal(data streamEvent) (ended bool) {
	r.final = true
	if data.Usage.CompletionTokens != r.count {
		r.setBroken("got %d of %d tokens", r.count, data.Usage.CompletionTokens)
		return true
	}
	return false
}

func (r *streamReader) handleToken(now time.Time) {
	if r.count == 0 {
		r.answer.FirstToken = now.Sub(r.due)
	} else {
		r.answer.TokenGaps = append(r.answer.TokenGaps, now.Sub(r.last))
	}
	r.last = now
	r.count++
	r.answer.Tokens = r.count
}
