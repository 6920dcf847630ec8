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

// told is what a caller was told of one request in the end.
type told struct {
	key     string
	kind    string
	outcome string // "" when the caller was told nothing
	cause   string
	at      time.Time
}

// callers are random callers that repeat and reconnect at other hosts.
type callers struct {
	cluster *cluster
	// strict callers meet no faults but planned ones: each of their requests
	// must be answered whole.
	strict bool

	mu    sync.Mutex
	told  []told
	group sync.WaitGroup
}

// patience bounds one try of a caller.
const _patience = 90 * time.Second

// run lets a number of callers work until the deadline.
func (cs *callers) run(count int, until time.Time) {
	for i := range count {
		random := rand.New(rand.NewPCG(cs.cluster.seed, uint64(i)+1))
		cs.group.Go(func() { cs.work(i, random, until) })
	}
}

func (cs *callers) work(number int, random *rand.Rand, until time.Time) {
	machine := fmt.Sprintf("10.9.0.%d", number+1)
	transport := &http.Transport{
		DialContext:           cs.cluster.network.Dialer(machine).DialContext,
		ResponseHeaderTimeout: _patience,
		IdleConnTimeout:       10 * time.Second,
	}
	defer transport.CloseIdleConnections()
	caller := &caller{callers: cs, random: random, client: &http.Client{Transport: transport}}
	for n := 0; time.Now().Before(until); n++ {
		key := fmt.Sprintf("k-%d-%d", number, n)
		switch random.IntN(4) {
		case 0, 1:
			caller.stream(key)
		case 2:
			caller.whole(key)
		default:
			caller.order(key)
		}
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
	}
}

func (cs *callers) tell(t told) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	t.at = time.Now()
	cs.told = append(cs.told, t)
}

// caller is one caller.
type caller struct {
	callers *callers
	random  *rand.Rand
	client  *http.Client
}

// anyHost gives the address of a random entry host.
func (c *caller) anyHost() string {
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

// reading is how far a stream has come.
type reading struct {
	prompt     string
	generation string
	next       int
	whole      bool
	// outcome is what an error told.
	outcome string
	cause   string
}

// stream asks for a streamed answer and reconnects at other hosts when the link
// breaks.
func (c *caller) stream(key string) {
	r := &reading{prompt: c.prompt(key)}
	body, _ := json.Marshal(map[string]any{"model": "m", "prompt": r.prompt, "stream": true})
	c.readStream(r, http.MethodPost, "/v1/completions", string(body), nil)
	for tries := 0; r.generation != "" && !r.whole && r.outcome == "" && tries < 8; tries++ {
		time.Sleep(time.Duration(200+c.random.IntN(800)) * time.Millisecond)
		header := http.Header{}
		if r.next > 0 {
			header.Set("Last-Event-ID", r.generation+"."+strconv.Itoa(r.next-1))
		}
		c.readStream(r, http.MethodGet, "/v1/completions/"+r.generation, "", header)
	}
	if r.whole {
		r.outcome = "Done"
	}
	c.callers.tell(told{key: key, kind: "stream", outcome: r.outcome, cause: r.cause})
}

// readStream reads one connection's worth. The caller gives up on a connection
// that is silent, as the page for callers advises.
func (c *caller) readStream(r *reading, method, path, body string, header http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), _patience)
	defer cancel()
	response, err := c.do(ctx, method, "http://"+c.anyHost()+path, body, header)
	if err != nil {
		if r.generation == "" {
			r.outcome, r.cause = lost(err)
		}
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		r.readError(response)
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
			c.take(r, id, strings.TrimPrefix(line, "data: "), isError)
			id, isError = "", false
		}
	}
}

// take takes one event and requires that it is the next of the same generation
// and belongs to the prompt.
func (c *caller) take(r *reading, id, data string, isError bool) {
	if isError {
		r.setError([]byte(data))
		return
	}
	fail := c.callers.cluster.fail
	dot := strings.LastIndexByte(id, '.')
	if dot < 0 {
		fail("event without an index: id %q data %s", id, data)
		return
	}
	generation := id[:dot]
	index, err := strconv.Atoi(id[dot+1:])
	if r.generation == "" {
		r.generation = generation
	}
	if err != nil || generation != r.generation || index != r.next || r.whole {
		fail("stream of %s: event %s after %d tokens (whole %t)", r.generation, id, r.next, r.whole)
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
		fail("event %s has data %s", id, data)
		return
	}
	if event.Choices[0].FinishReason != nil {
		r.whole = true
		if event.Usage == nil || event.Usage.CompletionTokens != r.next {
			fail("the last event of %s counts %+v, the caller %d", generation, event.Usage, r.next)
		}
		return
	}
	if want := engine.TokenText(r.prompt, core.GenerationID(generation), index); event.Choices[0].Text != want {
		fail("token %s is %q and belongs to another request; want %q", id, event.Choices[0].Text, want)
	}
	r.next++
}

func (r *reading) readError(response *http.Response) {
	data, err := io.ReadAll(response.Body)
	if err == nil {
		r.setError(data)
	}
}

// setError takes what an error tells. A refusal to resume tells nothing of the
// request.
func (r *reading) setError(data []byte) {
	outcome, cause := parseError(data)
	if outcome == "NotRun" && r.generation != "" {
		return
	}
	r.outcome, r.cause = outcome, cause
}

// lost tells a request that never left the caller, because nobody listened, from
// one without an answer.
func lost(err error) (outcome, cause string) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return _unsent, ""
	}
	return "", err.Error()
}

// _unsent is the outcome of a request that found no listener.
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

// post sends one request and gives the answer's body; ok tells a status of 200.
func (c *caller) post(host, path string, body any) (data []byte, ok bool, err error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), _patience)
	defer cancel()
	response, err := c.do(ctx, http.MethodPost, "http://"+host+path, string(encoded), nil)
	if err != nil {
		return nil, false, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err = io.ReadAll(response.Body)
	return data, response.StatusCode == http.StatusOK, err
}

// whole asks for a whole answer.
func (c *caller) whole(key string) {
	prompt := c.prompt(key)
	data, ok, err := c.post(c.anyHost(), "/v1/completions", map[string]any{"model": "m", "prompt": prompt, "delivery": "whole"})
	t := told{key: key, kind: "whole"}
	switch {
	case err != nil:
		t.outcome, t.cause = lost(err)
	case ok:
		t.outcome = "Done"
		c.checkWhole(prompt, data)
	default:
		t.outcome, t.cause = parseError(data)
	}
	c.callers.tell(t)
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
		c.callers.cluster.fail("a whole answer is %s", data)
		return
	}
	var want strings.Builder
	for i := range answer.Usage.CompletionTokens {
		want.WriteString(engine.TokenText(prompt, answer.ID, i))
	}
	if want.String() != answer.Choices[0].Text {
		c.callers.cluster.fail("the whole answer of %s is not that of its prompt", answer.ID)
	}
}

// order places an order with a ticket, and again at other hosts until the
// outcome is definite, sometimes twice at a time.
func (c *caller) order(key string) {
	data, ok, err := c.post(c.anyHost(), "/v1/tickets", map[string]any{"Count": 1})
	var issued struct{ Tickets []string }
	if err != nil || !ok || json.Unmarshal(data, &issued) != nil || len(issued.Tickets) != 1 {
		return
	}
	order := map[string]any{
		"Ticket": issued.Tickets[0], "Service": "desk", "Call": "book", "Body": map[string]string{"Key": key},
	}
	if c.random.IntN(3) == 0 {
		host := c.anyHost()
		c.callers.group.Go(func() { _, _, _ = c.post(host, "/v1/orders", order) })
	}
	t := told{key: key, kind: "order"}
	for range 5 {
		data, ok, err := c.post(c.anyHost(), "/v1/orders", order)
		c.merge(&t, data, ok, err)
		if t.outcome == "Done" && c.random.IntN(3) > 0 {
			break
		}
		time.Sleep(time.Duration(c.random.IntN(3000)) * time.Millisecond)
	}
	c.callers.tell(t)
}

// merge takes one more answer to the same order. Definite answers must agree.
func (c *caller) merge(t *told, data []byte, ok bool, err error) {
	outcome, cause := "Done", ""
	switch {
	case err != nil:
		return
	case ok:
		if !bytes.Contains(data, []byte(t.key)) {
			c.callers.cluster.fail("order %s got the answer %s", t.key, data)
		}
	default:
		outcome, cause = parseError(data)
	}
	definite := t.outcome == "Done" || t.outcome == "NotRun"
	if definite && (outcome == "Done" || outcome == "NotRun") && outcome != t.outcome {
		c.callers.cluster.fail("order %s was told %s (%s) and then %s (%s)", t.key, t.outcome, t.cause, outcome, cause)
	}
	if !definite {
		t.outcome, t.cause = outcome, cause
	}
}
