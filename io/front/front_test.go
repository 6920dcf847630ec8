package front_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"apricotproxy/core"
	"apricotproxy/core/procs/await"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/origin"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/versn/table"
	"apricotproxy/fakes/cutoff"
	"apricotproxy/fakes/routed"
	"apricotproxy/io/front"
	"apricotproxy/io/links"
)

var _names = core.HeaderNames{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", Key: "Key", Workspace: "Workspace", ExpectedEndpoint: "Expect-Endpoint",
	NotRun: "Not-Run", Seal: "Seal", Model: "Model", Tokens: "Tokens", Parts: "Parts", ExpectedTokens: "Expected-Tokens",
	LastEventID: "Last-Event-Id", Resumes: "Resumes", Backup: "Backup", ContinueFrom: "Continue-From",
	Reserved: []string{"Backup", "Continue-From", "Workspace", "Expect-Endpoint", "Key"},
}

// fixture is a front with endpoints whose answers a test defines.
type fixture struct {
	t         *testing.T
	server    *httptest.Server
	front     *front.Front
	endpoints []*routed.Endpoint
	// networks are those in front of the endpoints, by the endpoints' addresses; nil for none.
	networks map[string]*cutoff.Link
	placer   *front.SharedPlacer
	detector *front.SharedDetector
	origins  *front.SharedOrigins
	view     atomic.Pointer[know.View]
	// errorLines receives the log lines of errors that the host itself answers.
	errorLines chan string
	// documentsOutdated reports whether the view may be outdated; nil for never.
	documentsOutdated func() bool
}

func newFixture(t *testing.T, handlers ...routed.Handler) *fixture {
	t.Helper()
	return newFixtureWithOrigins(t, nil, handlers...)
}

// newFixtureWithOrigins uses a ledger of the test's own; nil for one that asks no one and has known
// all builds for a minute.
func newFixtureWithOrigins(t *testing.T, origins *front.SharedOrigins, handlers ...routed.Handler) *fixture {
	t.Helper()
	only := func(service core.ServiceName) []core.WeightedService {
		return []core.WeightedService{{Service: service, Weight: 1}}
	}
	built, err := table.Build(table.Source{
		Version: 1,
		Services: []core.RoutedService{{Name: "all", Engine: &core.EngineSpec{
			Slots: 8, MemoryTokens: 100_000, Backups: true, Moves: true, EventTokens: 4,
		}}},
		Routes: []core.Route{
			{Name: "lookup", HostName: "h", Prefix: "/lookup/", Kind: core.RouteIdempotent, MaxAttempts: 2, Timeout: time.Second, Goal: 200 * time.Millisecond, Services: only("all")},
			{Name: "order", HostName: "h", Prefix: "/order/", Kind: core.RouteNonIdempotent, MaxAttempts: 1, Timeout: time.Second, Goal: 200 * time.Millisecond, Services: only("all")},
			{Name: "draft", HostName: "h", Prefix: "/draft/", Kind: core.RouteStreaming, MaxAttempts: 1, Timeout: 5 * time.Second, Goal: 500 * time.Millisecond, GapGoal: 50 * time.Millisecond, Services: only("all")},
			{Name: "novel", HostName: "h", Prefix: "/novel/", Kind: core.RouteStreaming, MaxAttempts: 1, Timeout: 15 * time.Second, Goal: 1500 * time.Millisecond, GapGoal: 50 * time.Millisecond, Services: only("all")},
			{Name: "check", HostName: "h", Prefix: "/check/", Kind: core.RouteStreaming, Resumable: true, MaxAttempts: 2, Timeout: 5 * time.Second, Goal: 500 * time.Millisecond, GapGoal: 50 * time.Millisecond, Services: only("all")},
			{Name: "recheck", HostName: "h", Prefix: "/recheck/", Kind: core.RouteStreaming, Resumable: true, MaxAttempts: 2, Timeout: 5 * time.Second, Goal: 500 * time.Millisecond, GapGoal: 50 * time.Millisecond, Services: only("all")},
			{Name: "open", HostName: "h", Prefix: "/open/", Kind: core.RouteIdempotent, Anonymous: true, MaxAttempts: 1, Services: only("all")},
		},
		Workspaces: []table.Workspace{{Name: "travis", Keys: []string{"k"}}, {Name: "jill", Keys: []string{"k2"}}},
		Limits:     core.CallerLimits{BodyBytes: 1 << 16, HeaderBytes: 1 << 13},
	})
	if err != nil {
		t.Fatal(err)
	}
	detector := front.NewSharedDetector(logr.Discard(), func() {}, func() {})
	r := &fixture{t: t, detector: detector, errorLines: make(chan string, 64)}
	view := &know.View{Table: built, OutOfService: map[core.DataCentreName]bool{}}
	for _, handle := range handlers {
		view.Endpoints = append(view.Endpoints, r.start(routed.Start, handle))
	}
	bounds := core.EntryBounds{RetryShare: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 1000}
	random := rand.New(rand.NewPCG(1, 1))
	placer := place.New("self", "", bounds, random)
	r.placer = front.NewSharedPlacer(placer, await.New(placer, random, await.Switches{}))
	// A host uses no share of the common limits in the first seconds after its start, and does
	// not know the builds before it, so its start is set to a minute ago.
	start := time.Now().Add(-time.Minute)
	r.origins = origins
	if origins == nil {
		r.origins = front.NewSharedOrigins(front.OriginConfig{})
		r.origins.Update(func(l *origin.Ledger) { l.SetCurrent(start, true) })
	}
	r.apply(view)
	r.placer.Update(func(p *place.Placer) { p.ExpirePeerLoads(start) })
	r.serve(nil)
	return r
}

// start starts an endpoint and returns its entry in a view.
func (r *fixture) start(start func(routed.Handler) (*routed.Endpoint, error), handle routed.Handler) know.Endpoint {
	r.t.Helper()
	e, err := start(withMoves(handle))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(e.Close)
	r.endpoints = append(r.endpoints, e)
	return know.Endpoint{RoutedEndpoint: core.RoutedEndpoint{ID: fmt.Sprint("e", len(r.endpoints)-1), Service: "all", Address: e.Address, Slots: 8}}
}

// withMoves returns a handler that answers a request to stop a run that has ended as engines do. All
// other calls are left to handle.
func withMoves(handle routed.Handler) routed.Handler {
	var mu sync.Mutex
	running := make(map[string]int)
	add := func(id string, n int) {
		mu.Lock()
		defer mu.Unlock()
		running[id] += n
	}
	isRunning := func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return running[id] > 0
	}
	return func(c *routed.Call) bool {
		var move struct {
			ID   string
			Last bool
		}
		if c.URL.Path == "/move" {
			if err := json.Unmarshal([]byte(c.BodyText), &move); err == nil && move.Last && !isRunning(move.ID) {
				c.Answer(http.StatusNotFound, "")
				return true
			}
			return handle(c)
		}
		id := c.Header.Get("Request-Id")
		add(id, 1)
		defer add(id, -1)
		return handle(c)
	}
}

// serve starts a front, which send uses from then on. What it knows of reaching endpoints is nil for one
// that always reaches them.
func (r *fixture) serve(reached *front.SharedReach) {
	newPool := func() *links.Pool {
		pool := links.New(links.Settings{Dialer: &smallBuffers{}, DialTimeout: time.Second, MaxIdle: 2})
		r.t.Cleanup(pool.Close)
		return pool
	}
	r.front = front.New(front.Config{
		Names: _names, Paths: core.CallPaths{Move: "/move", Handle: "/handle/"}, SharedPlacer: r.placer, Links: newPool(),
		Detector: r.detector, Origins: r.origins, BufferBytes: _bufferBytes, BodyBytes: _bodyBytes,
		Reach: reached, RelayLinks: newPool(), Self: "self",
		View: r.view.Load, Logger: r.logger(), LoadChanged: func() {}, DocumentsOutdated: r.documentsOutdated,
		SyncStatus: func() know.SyncStatus { return know.SyncStatus{AsOf: 12, FreshAt: time.Now().Add(-_documentAge)} },
	})
	r.server = httptest.NewServer(r.front)
	r.t.Cleanup(r.front.Close)
	r.t.Cleanup(r.server.Close)
}

// apply puts a view in force.
func (r *fixture) apply(view *know.View) {
	r.view.Store(view)
	r.origins.Update(func(l *origin.Ledger) { l.Observe(time.Now(), view) })
	r.placer.Apply(view)
}

// _documentAge is the age of the fixture's documents.
const _documentAge = 3 * time.Second

// logger returns a logger that sends lines of errors to errorLines.
func (r *fixture) logger() logr.Logger {
	return funcr.New(func(_, line string) {
		if !strings.Contains(line, "answered with an error") {
			return
		}
		select {
		case r.errorLines <- line:
		default:
		}
	}, funcr.Options{})
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r *fixture) send(method, path, body string, headers ...string) answer {
	r.t.Helper()
	req, err := http.NewRequestWithContext(r.t.Context(), method, r.server.URL+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Request-Id", "r1")
	req.Header.Set("Key", "k")
	req.Header.Set("Deadline-Ms", "4000")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: string(text), err: err}
}

// calls returns how often requests arrived at endpoints, without the host's own calls.
func (r *fixture) calls() int {
	n := 0
	for _, e := range r.endpoints {
		for _, c := range e.Calls() {
			if c.Header.Get("Request-Id") != "" {
				n++
			}
		}
	}
	return n
}

const _seal = "Seal: s"

func echo(c *routed.Call) string { return "Request-Id: " + c.Header.Get("Request-Id") }

func fine(c *routed.Call) bool { c.Answer(200, "fine "+c.BodyText, echo(c), _seal); return true }

func refuse(c *routed.Call) bool { c.Answer(503, "", "Not-Run: 1"); return true }

func fail(c *routed.Call) bool { c.Answer(500, "failed", echo(c), _seal); return true }

func reset(c *routed.Call) bool { c.Reset(); return false }

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	r := newFixture(t, fine)
	got := r.send("POST", "/order/a%2Fb?x=1&y=%20", "body", "Custom: value", "Workspace: forged", "Backup: forged", "Connection: Tokens", "Tokens: 10,20")
	if got.status != 200 || got.body != "fine body" || got.header.Get("Seal") != "s" || got.header.Get("Request-Id") != "r1" {
		t.Errorf("answer %+v", got)
	}
	call := r.endpoints[0].Calls()[0]
	if call.Method != http.MethodPost || call.RequestURI != "/order/a%2Fb?x=1&y=%20" || call.Host != "h" || call.BodyText != "body" {
		t.Errorf("the endpoint got %s %s of %s with %q", call.Method, call.RequestURI, call.Host, call.BodyText)
	}
	for name, want := range map[string]string{
		"Custom": "value", "Request-Id": "r1", "Workspace": "travis", "Expect-Endpoint": "e0", "Tokens": "10,20", "Key": "", "Backup": "",
	} {
		if got := call.Header.Get(name); got != want {
			t.Errorf("header %s is %q, want %q", name, got, want)
		}
	}
}

// What the caller receives, by kind of request and behaviour of the endpoints. The
// first call runs handler a, later ones handler b.
func TestAnswers(t *testing.T) {
	byOrder := func(a, b routed.Handler) []routed.Handler {
		// Either endpoint may receive the first call.
		first := make(chan struct{}, 1)
		h := func(c *routed.Call) bool {
			select {
			case first <- struct{}{}:
				return a(c)
			default:
				return b(c)
			}
		}
		return []routed.Handler{h, h}
	}
	truncated := func(c *routed.Call) bool {
		c.Write("HTTP/1.1 200 OK\r\n" + echo(c) + "\r\n" + _seal + "\r\nContent-Length: 100\r\n\r\nshort")
		return false
	}
	encoded := func(c *routed.Call) bool { c.Answer(200, "x", echo(c), _seal, "Content-Encoding: gzip"); return true }
	unsealed := func(c *routed.Call) bool { c.Answer(200, "x", echo(c)); return true }
	foreign := func(c *routed.Call) bool { c.Answer(200, "x", "Request-Id: other", _seal); return false }
	busy := func(c *routed.Call) bool { c.Answer(503, "busy", echo(c), _seal); return true }
	misdirected := func(c *routed.Call) bool { c.Answer(421, ""); return true }
	missing := func(c *routed.Call) bool { c.Answer(404, "no such card", echo(c), _seal); return true }
	for _, c := range []struct {
		name   string
		path   string
		a, b   routed.Handler
		status int
		body   string
		calls  int
	}{
		{"a lookup is retried after a failure", "/lookup/x", fail, fine, 200, "fine ", 2},
		{"a lookup is retried after a reset", "/lookup/x", reset, fine, 200, "fine ", 2},
		{"a lookup is retried after a truncated answer", "/lookup/x", truncated, fine, 200, "fine ", 2},
		{"a lookup is retried after a content-encoded answer", "/lookup/x", encoded, fine, 200, "fine ", 2},
		{"a lookup is retried after an answer without a seal", "/lookup/x", unsealed, fine, 200, "fine ", 2},
		{"a lookup is retried after the answer to another request", "/lookup/x", foreign, fine, 200, "fine ", 2},
		{"a lookup that fails on every endpoint", "/lookup/x", fail, fail, 500, "failed", 2},
		{"an order is not retried after a failure", "/order/x", fail, fine, 500, "failed", 1},
		{"an order is not retried after a reset", "/order/x", reset, fine, 502, "", 1},
		{"an order is not retried after a truncated answer", "/order/x", truncated, fine, 502, "", 1},
		{"an order that was refused is sent to another endpoint", "/order/x", refuse, fine, 200, "fine ", 2},
		{"an order that reached the wrong endpoint is sent to another one", "/order/x", misdirected, fine, 200, "fine ", 2},
		{"an order that all endpoints refuse did not run", "/order/x", refuse, refuse, 503, "", 2},
		{"an order with status 503 but no Not-Run header may have run", "/order/x", busy, fine, 502, "", 1},
		{"an endpoint's 404 is relayed", "/lookup/x", missing, fine, 404, "no such card", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(t, byOrder(c.a, c.b)...)
			got := r.send("GET", c.path, "")
			if got.status != c.status || (c.body != "" && got.body != c.body) || got.err != nil {
				t.Errorf("answer %d %q %v, want %d %q", got.status, got.body, got.err, c.status, c.body)
			}
			if got.status == 503 && got.header.Get("Retry-After") == "" {
				t.Error("a refusal has no Retry-After header")
			}
			if n := r.calls(); n != c.calls {
				t.Errorf("endpoints received %d calls, want %d", n, c.calls)
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	r := newFixture(t, fine)
	for _, c := range []struct {
		name, path, body string
		headers          []string
		status           int
	}{
		{"no route", "/none/", "", nil, 404},
		{"an unknown key", "/lookup/x", "", []string{"Key: other"}, 401},
		{"an open route needs no key", "/open/x", "", []string{"Key: other"}, 200},
		{"no id", "/lookup/x", "", []string{"Request-Id: "}, 400},
		{"a body too long", "/lookup/x", strings.Repeat("x", 1<<17), nil, 413},
		{"a header too long", "/lookup/x", "", []string{"Long: " + strings.Repeat("x", 1<<13)}, 431},
	} {
		if got := r.send("POST", c.path, c.body, c.headers...); got.status != c.status {
			t.Errorf("%s: status %d, want %d", c.name, got.status, c.status)
		}
	}
}

// events writes the events of a stream with the ids from up to and including to.
func events(c *routed.Call, from, to int) {
	for id := from; id <= to; id++ {
		c.Chunk(routed.Event(id))
	}
}

// wantStream returns the stream of the events 0 up to and including to.
func wantStream(to int) string {
	text := ""
	for id := range to + 1 {
		text += routed.Event(id)
	}
	return text
}

// The line of a refusal shows whether the host answered by an outdated configuration.
func TestRefusalLogsConfiguration(t *testing.T) {
	r := newFixture(t)
	if a := r.send(http.MethodGet, "/nowhere/", ""); a.status != http.StatusNotFound {
		t.Fatalf("status %d, want 404", a.status)
	}
	line := <-r.errorLines
	for _, want := range []string{`"Status"=404`, `"Version"=1`, `"AsOf"=12`, `"DocumentAge"=3`} {
		if !strings.Contains(line, want) {
			t.Errorf("line %q, want it to have %s", line, want)
		}
	}
}

// When an engine is lost, its draft continues after the last complete event on the
// engine that has a copy of its memory.
func TestDraftContinuesFromItsCopy(t *testing.T) {
	handle := func(c *routed.Call) bool {
		if from := c.Header.Get("Continue-From"); from != "" {
			if c.Header.Get("Last-Event-Id") != "2" || !strings.HasSuffix(from, "/r1") {
				c.Answer(400, "")
				return true
			}
			c.BeginStream(echo(c), _seal)
			events(c, 3, 5)
			c.EndStream()
			return true
		}
		c.BeginStream(echo(c), _seal)
		events(c, 0, 2)
		c.Chunk("id: 3\ndata: pie")
		time.Sleep(_backupReadyAfter)
		return false
	}
	r := newFixture(t, handle, handle)
	got := r.send("POST", "/draft/x", "", "Tokens: 100,400")
	if got.err != nil || got.body != wantStream(5) {
		t.Errorf("stream %q, %v; want %q", got.body, got.err, wantStream(5))
	}
	if n := r.calls(); n != 2 {
		t.Errorf("%d calls, want 2", n)
	}
}

// _backupReadyAfter is how long a run must last before its backup is relied on.
const _backupReadyAfter = 1100 * time.Millisecond

// A draft whose copy failed, or that broke off before a copy can have been made, is not
// sent to any other engine: one without a copy may run it again from its start. In the
// fault behind this test, the engine of the copy answered 500 and the draft ran a second
// time on the next engine.
func TestDraftNeverRunsAnew(t *testing.T) {
	for name, c := range map[string]struct {
		second routed.Handler
		lasts  time.Duration
		calls  int
	}{
		"the engine of the copy fails":       {fail, _backupReadyAfter, 2},
		"it broke off before a copy existed": {fine, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			handle := func(call *routed.Call) bool {
				if call.Number > 0 || call.Header.Get("Continue-From") != "" {
					return c.second(call)
				}
				call.BeginStream(echo(call), _seal)
				events(call, 0, 0)
				time.Sleep(c.lasts)
				return false
			}
			r := newFixture(t, handle, handle, handle)
			if got := r.send("POST", "/draft/x", "", "Tokens: 100,400"); got.err == nil {
				t.Errorf("a cut stream looks complete: %q", got.body)
			}
			if n := r.calls(); n != c.calls {
				t.Errorf("engines received %d calls, want %d", n, c.calls)
			}
		})
	}
}

// The caller of a stream that cannot continue sees that it is incomplete.
func TestDraftWithoutACopyIsCut(t *testing.T) {
	for name, second := range map[string]routed.Handler{
		"the copy is refused":  refuse,
		"the engine fails":     fail,
		"events are missing":   func(c *routed.Call) bool { c.BeginStream(echo(c), _seal); events(c, 4, 5); c.EndStream(); return true },
		"the copy is lost too": reset,
	} {
		t.Run(name, func(t *testing.T) {
			handle := func(c *routed.Call) bool {
				if c.Header.Get("Continue-From") != "" {
					return second(c)
				}
				c.BeginStream(echo(c), _seal)
				events(c, 0, 2)
				time.Sleep(_backupReadyAfter)
				return false
			}
			got := newFixture(t, handle, handle).send("POST", "/draft/x", "", "Tokens: 100,400")
			if got.err == nil {
				t.Errorf("a cut stream looks complete: %q", got.body)
			}
			if !strings.HasPrefix(wantStream(5), got.body) {
				t.Errorf("stream %q is not the beginning of the generation", got.body)
			}
		})
	}
}

// A stream of a resumable route is resumed after its last event by another run, without
// a copy.
func TestCheckIsResumed(t *testing.T) {
	handle := func(c *routed.Call) bool {
		c.BeginStream(echo(c), _seal)
		if c.Header.Get("Last-Event-Id") == "1" {
			events(c, 1, 3) // event 1 was delivered before
			c.EndStream()
			return true
		}
		events(c, 0, 1)
		return false
	}
	r := newFixture(t, handle, handle)
	if got := r.send("POST", "/check/x", "", "Tokens: 100,400"); got.err != nil || got.body != wantStream(3) {
		t.Errorf("stream %q, %v; want %q", got.body, got.err, wantStream(3))
	}
}

// A stream whose engine stops sending continues on another engine.
func TestStreamContinuesWhenEngineFallsSilent(t *testing.T) {
	handle := func(c *routed.Call) bool {
		c.BeginStream(echo(c), _seal)
		if c.Header.Get("Last-Event-Id") != "" {
			events(c, 1, 2)
			c.EndStream()
			return true
		}
		events(c, 0, 0)
		c.WaitClosed(4 * time.Second)
		return false
	}
	began := time.Now()
	got := newFixture(t, handle, handle).send("POST", "/check/x", "", "Tokens: 100,400")
	if got.err != nil || got.body != wantStream(2) {
		t.Errorf("stream %q, %v; want %q", got.body, got.err, wantStream(2))
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the stream took %v with an engine that fell silent, want 2s at most", took)
	}
}

// When an engine is leaving, the run's memory is copied and the stream continues from
// that copy.
func TestMemoryIsCopiedWhenEngineLeaves(t *testing.T) {
	var r *fixture
	moveRequested := make(chan struct{})
	handle := func(c *routed.Call) bool {
		switch {
		case c.URL.Path == "/move":
			c.Answer(200, `{"handle":"h7","created":3}`)
			close(moveRequested)
		case c.Header.Get("Continue-From") != "":
			if !strings.HasSuffix(c.Header.Get("Continue-From"), "/h7") {
				c.Answer(400, "")
				return true
			}
			c.BeginStream(echo(c), _seal)
			events(c, 2, 3)
			c.EndStream()
		default:
			c.BeginStream(echo(c), _seal)
			events(c, 0, 1)
			r.leave(c.Header.Get("Expect-Endpoint"))
			<-moveRequested
			time.Sleep(50 * time.Millisecond)
			return false
		}
		return true
	}
	r = newFixture(t, handle, handle)
	// With Backups off, the only copy is the one made because the engine is leaving.
	service, _ := r.view.Load().Table.Service("all")
	service.Engine.Backups = false
	if got := r.send("POST", "/draft/x", "", "Tokens: 100,400"); got.err != nil || got.body != wantStream(3) {
		t.Errorf("stream %q, %v; want %q", got.body, got.err, wantStream(3))
	}
}

func (r *fixture) leave(id string) { r.placer.RecordLeaving(core.EndpointKey{ID: id}) }

// When a caller disconnects, the connection to the endpoint is closed, so that the
// endpoint can stop its work.
func TestCallerDisconnectReachesEndpoint(t *testing.T) {
	gone := make(chan bool, 1)
	r := newFixture(t, func(c *routed.Call) bool {
		c.BeginStream(echo(c), _seal)
		events(c, 0, 0)
		gone <- c.WaitClosed(3 * time.Second)
		return false
	})
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "POST /draft/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
	if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	if !<-gone {
		t.Error("the connection to the endpoint stayed open after the caller disconnected")
	}
}

// A request gets its final answer when its deadline passes, neither earlier nor much
// later.
func TestTimeout(t *testing.T) {
	r := newFixture(t, func(c *routed.Call) bool { c.WaitClosed(5 * time.Second); return false })
	began := time.Now()
	got := r.send("POST", "/order/x", "")
	if took := time.Since(began); got.status != 504 || took < time.Second || took > 1400*time.Millisecond {
		t.Errorf("status %d after %v, want 504 after the route's second", got.status, took)
	}
}

// A request whose deadline passes while its endpoint works gets 504, whichever of the
// timers that end at this moment fires first.
func TestDeadlineBelongsToTheRequest(t *testing.T) {
	const requests = 32
	for _, path := range []string{"/order/x", "/lookup/x", "/draft/x", "/check/x"} {
		r := newFixture(t, func(c *routed.Call) bool { c.WaitClosed(5 * time.Second); return false })
		var group sync.WaitGroup
		var timedOut atomic.Int64
		for i := range requests {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				switch got := r.send("POST", path, "", "Deadline-Ms: 150"); got.status {
				case 504:
					timedOut.Add(1)
				case 503: // it found no room and was not sent
				default:
					t.Errorf("%s: status %d, want 504, or 503 if it found no room", path, got.status)
				}
			})
		}
		group.Wait()
		if timedOut.Load() == 0 {
			t.Errorf("%s: no request was sent and timed out", path)
		}
	}
}

// Without any endpoint a request is refused at once and not kept until its deadline.
func TestNoEndpoint(t *testing.T) {
	r := newFixture(t)
	began := time.Now()
	got := r.send("POST", "/order/x", "")
	if took := time.Since(began); got.status != 503 || took > 500*time.Millisecond {
		t.Errorf("status %d after %v, want 503 soon", got.status, took)
	}
}
