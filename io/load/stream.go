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

// Bounds of an answer.
const (
	_eventBytes  = 1 << 20
	_answerBytes = 16 << 20
	// _resumeDelay comes before the second resumption, twice that before the
	// third: a host that is not ready would use all of them up at once.
	_resumeDelay = 500 * time.Millisecond
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
	Resumes    int
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

// complete runs one streamed generation. A stream that breaks or goes silent
// after its first event is resumed at the next target, as a caller would.
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

// resume asks for the rest of a stream at another target.
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

// post sends a JSON body. Without a response, the answer tells why.
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

// send sends a request to the arrival's target, skipping some of the targets.
// A target that cannot be dialled is passed over, as a balancer would: nothing
// was sent to it.
func (x *exchange) send(skipped int, build func(target string) (*http.Request, error)) (*http.Response, answer) {
	var failed error
	for i := range x.settings.Targets {
		place := (x.arrival.Serial + skipped + i) % len(x.settings.Targets)
		request, err := build(x.settings.scheme() + x.settings.Targets[place])
		if err != nil {
			return nil, answer{Outcome: Unreached, Detail: err.Error()}
		}
		request.Header.Set("Workspace", string(x.arrival.Workspace))
		response, err := x.client.Do(request)
		if err == nil {
			return response, answer{}
		}
		failed = err
		var dial *net.OpError
		if !errors.As(err, &dial) || dial.Op != "dial" {
			break
		}
	}
	return nil, answer{Outcome: Unreached, Detail: failed.Error()}
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

// attempt reads the stream over one connection. It reports whether the answer
// has ended for good; otherwise the stream may be resumed.
func (r *streamReader) attempt(ctx context.Context, silence time.Duration, ask func(context.Context) (*http.Response, answer)) (ended bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, failed := ask(ctx)
	if response == nil {
		r.answer.Outcome, r.answer.Detail = failed.Outcome, failed.Detail
		return r.count == 0
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return r.takeRefusal(response)
	}
	watch := time.AfterFunc(silence, cancel)
	defer watch.Stop()
	ended = r.read(&watchedReader{reader: response.Body, watch: watch, silence: silence})
	if !ended {
		cancel() // what is left of a broken stream is not read
	}
	return ended || r.count == 0
}

// takeRefusal takes an error answer. To a resumption, it ends the answer only
// when it says that the generation is lost.
func (r *streamReader) takeRefusal(response *http.Response) (ended bool) {
	refusal := refused(response)
	r.answer.Outcome, r.answer.Detail = refusal.Outcome, refusal.Detail
	if r.count == 0 {
		return true
	}
	if refusal.Outcome == NotRun {
		// The resumption did not run, but the generation did.
		r.broken("the stream was not resumed: %s", refusal.Detail)
	}
	return refusal.Outcome == Interrupted || refusal.Outcome == Unknown
}

// watchedReader gives a stream time with each byte, pings included.
type watchedReader struct {
	reader  io.Reader
	watch   *time.Timer
	silence time.Duration
}

// Read reads and winds the watch up again.
func (w *watchedReader) Read(p []byte) (int, error) {
	n, err := w.reader.Read(p)
	if n > 0 {
		w.watch.Reset(w.silence)
	}
	return n, err
}

// read takes events until the answer or the connection ends.
func (r *streamReader) read(body io.Reader) (ended bool) {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: _eventBytes}) {
		if err != nil {
			r.broken("the stream broke after %d tokens: %v", r.count, err)
			return false
		}
		if r.take(event, time.Now()) {
			return true
		}
	}
	r.broken("the stream ended after %d tokens without an outcome", r.count)
	return false
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
