package proof_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"apricotproxy/core"
	"apricotproxy/fakes/engine"
)

// requestResult is the final outcome of one request as its caller received it.
type requestResult struct {
	key     string
	kind    string
	outcome string // empty if the caller received none
	cause   string
	at      time.Time
}

// callers send random requests, and repeat them and reconnect at other hosts.
type callers struct {
	cluster *cluster
	// plannedFaultsOnly is true if the run has only planned faults. Then no request
	// may be interrupted.
	plannedFaultsOnly bool

	mu      sync.Mutex
	results []requestResult
	group   sync.WaitGroup
}

// _requestTimeout is the longest time that a caller waits for one HTTP request.
const _requestTimeout = 90 * time.Second

// run starts a number of callers, which send requests until the deadline.
func (cs *callers) run(count int, until time.Time) {
	for i := range count {
		random := rand.New(rand.NewPCG(cs.cluster.seed, uint64(i)+1))
		cs.group.Go(func() { cs.sendRequests(i, random, until) })
	}
}

func (cs *callers) sendRequests(number int, random *rand.Rand, until time.Time) {
	machine := fmt.Sprintf("10.9.0.%d", number+1)
	transport := &http.Transport{
		DialContext:           cs.cluster.network.Dialer(machine).DialContext,
		ResponseHeaderTimeout: _requestTimeout,
		IdleConnTimeout:       10 * time.Second,
	}
	defer transport.CloseIdleConnections()
	caller := &caller{callers: cs, random: random, client: &http.Client{Transport: transport}}
	for n := 0; time.Now().Before(until); n++ {
		key := fmt.Sprintf("k-%d-%d", number, n)
		switch random.IntN(4) {
		case 0, 1:
			caller.requestStream(key)
		case 2:
			caller.requestWhole(key)
		default:
			caller.placeOrder(key)
		}
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
	}
}

func (cs *callers) record(result requestResult) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	result.at = time.Now()
	cs.results = append(cs.results, result)
}

type caller struct {
	callers *callers
	random  *rand.Rand
	client  *http.Client
}

// randomHostAddress returns the caller address of a random entry host.
func (c *caller) randomHostAddress() string {
	hosts := c.callers.cluster.hosts
	return hosts[c.random.IntN(len(hosts))].CallerAddress
}

func (c *caller) do(ctx context.Context, method, url, body string, header http.Header) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header = header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	request.Header.Set("Workspace", "w-1")
	return c.client.Do(request)
}

func (c *caller) prompt(key string) string {
	tokens := 5 + c.random.IntN(200)
	return fmt.Sprintf("%s [[key=%s]] [[tokens=%d]]", strings.Repeat("roll ", c.random.IntN(100)), key, tokens)
}

// streamState is the progress of a streamed request.
type streamState struct {
	prompt     string
	generation string
	next       int // index of the next token
	complete   bool
	// outcome and cause are from an error response or error event.
	outcome string
	cause   string
}

// requestStream requests a streamed answer. It resumes the stream at other hosts when
// the connection breaks.
func (c *caller) requestStream(key string) {
	s := &streamState{prompt: c.prompt(key)}
	body, _ := json.Marshal(map[string]any{"model": "m", "prompt": s.prompt, "stream": true})
	c.readStream(s, http.MethodPost, "/v1/completions", string(body), nil)
	for tries := 0; s.generation != "" && !s.complete && s.outcome == "" && tries < 8; tries++ {
		time.Sleep(time.Duration(200+c.random.IntN(800)) * time.Millisecond)
		header := http.Header{}
		if s.next > 0 {
			header.Set("Last-Event-ID", s.generation+"."+strconv.Itoa(s.next-1))
		}
		c.readStream(s, http.MethodGet, "/v1/completions/"+s.generation, "", header)
	}
	if s.complete {
		s.outcome = "Done"
	}
	c.callers.record(requestResult{key: key, kind: "stream", outcome: s.outcome, cause: s.cause})
}

// readStream reads the stream on one connection. It closes a connection that is
// silent for too long, as the documentation for callers advises.
func (c *caller) readStream(s *streamState, method, path, body string, header http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), _requestTimeout)
	defer cancel()
	response, err := c.do(ctx, method, "http://"+c.randomHostAddress()+path, body, header)
	if err != nil {
		if s.generation == "" {
			s.outcome, s.cause = outcomeOfError(err)
		}
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		s.readError(response)
		return
	}
	const silence = 10 * time.Second
	watchdog := time.AfterFunc(silence, cancel)
	defer watchdog.Stop()
	lines := bufio.NewScanner(response.Body)
	id, isError := "", false
	for lines.Scan() {
		watchdog.Reset(silence)
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id = strings.TrimPrefix(line, "id: ")
		case line == "event: error":
			isError = true
		case line == "data: [DONE]":
		case strings.HasPrefix(line, "data: "):
			c.acceptEvent(s, id, strings.TrimPrefix(line, "data: "), isError)
			id, isError = "", false
		}
	}
}

// acceptEvent processes one event. It requires that the event is the next one of the
// generation and that its token belongs to the prompt.
func (c *caller) acceptEvent(s *streamState, id, data string, isError bool) {
	if isError {
		s.setError([]byte(data))
		return
	}
	violation := c.callers.cluster.recordViolation
	dot := strings.LastIndexByte(id, '.')
	if dot < 0 {
		violation("event without an index: id %q, data %s", id, data)
		return
	}
	generation := id[:dot]
	index, err := strconv.Atoi(id[dot+1:])
	if s.generation == "" {
		s.generation = generation
	}
	if err != nil || generation != s.generation || index != s.next || s.complete {
		violation("stream of %s: event %s after %d tokens (complete: %t)", s.generation, id, s.next, s.complete)
		return
	}
	var event struct {
		Choices []struct {
			Text         string  `json:"text"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
		Usage *struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) != 1 {
		violation("event %s has the wrong data %s", id, data)
		return
	}
	if event.Choices[0].FinishReason != nil {
		s.complete = true
		if event.Usage == nil || event.Usage.CompletionTokens != s.next {
			violation("the last event of %s reports the usage %+v; the caller received %d tokens", generation, event.Usage, s.next)
		}
		return
	}
	if want := engine.TokenText(s.prompt, core.GenerationID(generation), index); event.Choices[0].Text != want {
		violation("token %s is %q, which does not belong to the request; want %q", id, event.Choices[0].Text, want)
	}
	s.next++
}

func (s *streamState) readError(response *http.Response) {
	data, err := io.ReadAll(response.Body)
	if err == nil {
		s.setError(data)
	}
}

// setError records the outcome and cause of an error. It ignores NotRun once the
// generation has begun: that only refuses to resume the stream.
func (s *streamState) setError(data []byte) {
	outcome, cause := parseError(data)
	if outcome == "NotRun" && s.generation != "" {
		return
	}
	s.outcome, s.cause = outcome, cause
}

// outcomeOfError returns the outcome of a request that failed without a response:
// _unsent if it was never sent because no host was listening, else an empty outcome.
func outcomeOfError(err error) (outcome, cause string) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return _unsent, ""
	}
	return "", err.Error()
}

// _unsent is the outcome of a request that was not sent because no host was
// listening.
const _unsent = "Unsent"

func parseError(data []byte) (outcome, cause string) {
	var body struct {
		Outcome string
		Cause   string
	}
	if json.Unmarshal(data, &body) != nil {
		return "", ""
	}
	return body.Outcome, body.Cause
}

// post sends one request and returns the body of the response. ok reports whether its
// status is 200.
func (c *caller) post(host, path string, body any) (data []byte, ok bool, err error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), _requestTimeout)
	defer cancel()
	response, err := c.do(ctx, http.MethodPost, "http://"+host+path, string(encoded), nil)
	if err != nil {
		return nil, false, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err = io.ReadAll(response.Body)
	return data, response.StatusCode == http.StatusOK, err
}

// requestWhole requests an answer that is delivered whole.
func (c *caller) requestWhole(key string) {
	prompt := c.prompt(key)
	data, ok, err := c.post(c.randomHostAddress(), "/v1/completions", map[string]any{"model": "m", "prompt": prompt, "delivery": "whole"})
	result := requestResult{key: key, kind: "whole"}
	switch {
	case err != nil:
		result.outcome, result.cause = outcomeOfError(err)
	case ok:
		result.outcome = "Done"
		c.checkWhole(prompt, data)
	default:
		result.outcome, result.cause = parseError(data)
	}
	c.callers.record(result)
}

func (c *caller) checkWhole(prompt string, data []byte) {
	var answer struct {
		ID      core.GenerationID `json:"id"`
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(data, &answer); err != nil || len(answer.Choices) != 1 {
		c.callers.cluster.recordViolation("a whole answer cannot be read: %s", data)
		return
	}
	var want strings.Builder
	for i := range answer.Usage.CompletionTokens {
		want.WriteString(engine.TokenText(prompt, answer.ID, i))
	}
	if want.String() != answer.Choices[0].Text {
		c.callers.cluster.recordViolation("the whole answer of %s does not belong to its prompt", answer.ID)
	}
}

// placeOrder gets a ticket and sends an order with it up to five times, to random
// hosts. After the outcome Done it stops in two of three cases. In one of three cases it
// also sends the order concurrently to one more randomly chosen host.
func (c *caller) placeOrder(key string) {
	data, ok, err := c.post(c.randomHostAddress(), "/v1/tickets", map[string]any{"Count": 1})
	var issued struct{ Tickets []string }
	if err != nil || !ok || json.Unmarshal(data, &issued) != nil || len(issued.Tickets) != 1 {
		return
	}
	order := map[string]any{
		"Ticket": issued.Tickets[0], "Service": "desk", "Call": "book", "Body": map[string]string{"Key": key},
	}
	if c.random.IntN(3) == 0 {
		host := c.randomHostAddress()
		c.callers.group.Go(func() { _, _, _ = c.post(host, "/v1/orders", order) })
	}
	result := requestResult{key: key, kind: "order"}
	for range 5 {
		data, ok, err := c.post(c.randomHostAddress(), "/v1/orders", order)
		c.mergeAnswer(&result, data, ok, err)
		if result.outcome == "Done" && c.random.IntN(3) > 0 {
			break
		}
		time.Sleep(time.Duration(c.random.IntN(3000)) * time.Millisecond)
	}
	c.callers.record(result)
}

// mergeAnswer adds another answer to the same order to its result. All definite
// outcomes of an order must agree.
func (c *caller) mergeAnswer(result *requestResult, data []byte, ok bool, err error) {
	outcome, cause := "Done", ""
	switch {
	case err != nil:
		return
	case ok:
		if !bytes.Contains(data, []byte(result.key)) {
			c.callers.cluster.recordViolation("order %s received the answer %s", result.key, data)
		}
	default:
		outcome, cause = parseError(data)
	}
	definite := result.outcome == "Done" || result.outcome == "NotRun"
	if definite && (outcome == "Done" || outcome == "NotRun") && outcome != result.outcome {
		c.callers.cluster.recordViolation("order %s had the outcome %s (%s) and then %s (%s)", result.key, result.outcome, result.cause, outcome, cause)
	}
	if !definite {
		result.outcome, result.cause = outcome, cause
	}
}
