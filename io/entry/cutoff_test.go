package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/versn/table"
	"apricotproxy/fakes/routed"
	"apricotproxy/io/entry"
)

const (
	// _contactTime is the time after a cut from which requests must be served.
	_contactTime = 3 * time.Second
	// _cutHost is the host that is cut off.
	_cutHost = 0
	// _cutKey is the key of the workspace that the routes require.
	_cutKey = "key-1"
	// _cutEvents is the number of events of a stream.
	_cutEvents = 8
	// _longEvents is the number of events of a stream that is under way when its host is cut off.
	_longEvents = 150
)

// cutSite is hosts before plain endpoints and engines. Their connections to them can be cut.
type cutSite struct {
	*site
	dialers []*cutDialer

	mu        sync.Mutex
	addresses map[string]bool
	// runs counts the requests that endpoints ran, by the requests' IDs.
	runs map[string]int
	sent int
	// slow receives when an endpoint runs a slow order, left whether the connection of an order closed
	// before it was answered.
	slow chan struct{}
	left chan bool
}

// cutRequest is one request of a test and the answer that it wants.
type cutRequest struct {
	name, method, path, body string
	headers                  []string
	want                     string
}

// deadline returns how long the caller waits.
func (r cutRequest) deadline() time.Duration {
	if r.path == "/check/long" {
		return 5 * time.Second
	}
	return 2 * time.Second
}

func newCutSite(t *testing.T, hosts int) *cutSite {
	t.Helper()
	s := &cutSite{site: newStoppedSite(t, hosts), addresses: make(map[string]bool), runs: make(map[string]int), slow: make(chan struct{}, 1), left: make(chan bool, 1)}
	for i := range s.Settings {
		s.dialers = append(s.dialers, &cutDialer{dialer: entry.NewDialer(), isEndpoint: s.isEndpoint})
		s.Settings[i].Dialer = s.dialers[i]
		s.Settings[i].Decode = decodeCutSite
		s.Settings[i].Names.Key = "Key"
		s.Settings[i].Names.Reserved = []string{"Key"}
	}
	s.store.Put("config", "1")
	for i := range 3 {
		s.addEndpoint(fmt.Sprint("desk-", i), s.serveDesk)
		s.addEndpoint(fmt.Sprint("engine-", i), s.serveEngine)
	}
	for i := range hosts {
		s.start(i)
	}
	s.eventually("all hosts serve all requests", 5*time.Second, func() bool {
		for host := range s.front {
			for _, r := range s.requests() {
				if s.send(host, r) != nil {
					return false
				}
			}
		}
		return true
	})
	return s
}

func decodeCutSite(d core.Document) (know.Content, error) {
	if d.Name != "config" {
		content, err := decode(d)
		if content.Endpoint != nil {
			service, _, _ := strings.Cut(d.Name, "-")
			content.Endpoint.Service = core.ServiceName(service)
		}
		return content, err
	}
	route := func(name string, kind core.RouteKind, service core.ServiceName, attempts int) core.Route {
		return core.Route{
			Name: name, HostName: "h", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Timeout: 5 * time.Second, Goal: time.Second,
			GapGoal: 200 * time.Millisecond, Services: []core.WeightedService{{Service: service, Weight: 1}},
		}
	}
	resumable := route("check", core.RouteStreaming, "engine", 2)
	resumable.Resumable = true
	built, err := table.Build(table.Source{
		Version: 1,
		Services: []core.RoutedService{
			{Name: "desk"}, {Name: "engine", Engine: &core.EngineSpec{Slots: 9, MemoryTokens: 100_000, EventTokens: 4}},
		},
		Routes: []core.Route{
			route("lookup", core.RouteIdempotent, "desk", 2), route("order", core.RouteNonIdempotent, "desk", 1),
			route("draft", core.RouteStreaming, "engine", 1), resumable,
		},
		Workspaces: []table.Workspace{{Name: "travis", Keys: []string{_cutKey}}},
	})
	return know.Content{Table: built}, err
}

func (s *cutSite) isEndpoint(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addresses[address]
}

func (s *cutSite) addEndpoint(name string, handle routed.Handler) {
	e := s.listen(func(c *routed.Call) bool {
		s.mu.Lock()
		s.runs[c.Header.Get("Request-Id")]++
		s.mu.Unlock()
		return handle(c)
	})
	s.store.Put(name, e.Address+" v1")
	s.mu.Lock()
	s.addresses[e.Address] = true
	s.mu.Unlock()
}

func (s *cutSite) serveDesk(c *routed.Call) bool {
	switch c.URL.Path {
	case "/order/slow":
		s.slow <- struct{}{}
		time.Sleep(500 * time.Millisecond)
	case "/order/lost":
		c.Reset()
		return false
	case "/order/watched":
		s.slow <- struct{}{}
		s.left <- c.WaitClosed(3 * time.Second)
		return false
	}
	c.Answer(200, fmt.Sprint(c.Method, " ", c.RequestURI, " ", len(c.BodyText), c.Header.Get("Note"), c.Header.Get("Key"), c.Header.Get("Relayed-By")),
		"Request-Id: "+c.Header.Get("Request-Id"), "Seal: s", "Extra: yes")
	return true
}

func (s *cutSite) serveEngine(c *routed.Call) bool {
	c.BeginStream("Request-Id: "+c.Header.Get("Request-Id"), "Seal: s")
	first := 0
	if id, err := strconv.Atoi(c.Header.Get("Last-Event-Id")); err == nil {
		first = id + 1
	}
	if c.URL.Path == "/check/watched" {
		for id := first; id < _longEvents; id++ {
			c.Chunk(pieceText("v1", id, id))
			if c.WaitClosed(15 * time.Millisecond) {
				s.left <- true
				return false
			}
		}
		c.EndStream()
		return true
	}
	events, pause := _cutEvents, 5*time.Millisecond
	if c.URL.Path == "/check/long" {
		events, pause = _longEvents, 15*time.Millisecond
	}
	for id := first; id < events; id++ {
		c.Chunk(pieceText("v1", id, id))
		time.Sleep(pause)
	}
	c.EndStream()
	return true
}

// requests returns one request of each kind.
func (s *cutSite) requests() []cutRequest {
	prompt := []string{"Tokens: 3000,32", "Parts: common:2000,own:1000"}
	return []cutRequest{
		{name: "lookup", method: "GET", path: "/lookup/a?b=c", headers: []string{"Note: n"}, want: "GET /lookup/a?b=c 0n"},
		{name: "order", method: "POST", path: "/order/a", body: "text", want: "POST /order/a 4"},
		{name: "long order", method: "POST", path: "/order/b", body: strings.Repeat("x", 100_000), want: "POST /order/b 100000"},
		{name: "stream that runs once", method: "POST", path: "/draft/a", headers: prompt, want: pieceText("v1", 0, _cutEvents-1)},
		{name: "resumable stream", method: "POST", path: "/check/a", headers: prompt, want: pieceText("v1", 0, _cutEvents-1)},
		{name: "take-up", method: "POST", path: "/check/a", headers: append(prompt, "Last-Event-Id: 2", "Resumes: unknown"), want: pieceText("v1", 3, _cutEvents-1)},
	}
}

// send sends a request with an ID of its own to a host, and returns what is wrong with its answer.
func (s *cutSite) send(host int, r cutRequest) error {
	s.mu.Lock()
	s.sent++
	id := fmt.Sprint("r", s.sent)
	s.mu.Unlock()
	req, err := http.NewRequestWithContext(s.t.Context(), r.method, "http://"+s.front[host]+r.path, strings.NewReader(r.body))
	if err != nil {
		return err
	}
	req.Host = "h"
	for _, h := range append([]string{"Request-Id: " + id, "Deadline-Ms: " + strconv.FormatInt(r.deadline().Milliseconds(), 10), "Key: " + _cutKey}, r.headers...) {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	began := time.Now()
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK || string(body) != r.want || res.Header.Get("Request-Id") != id {
		return fmt.Errorf("%s %s: status %d after %v with %.80q, %w, id %q", r.name, id, res.StatusCode, time.Since(began).Round(time.Millisecond), body, err, res.Header.Get("Request-Id"))
	}
	return nil
}

// wantServed sends each kind of request to a host several times, and fails the test if one is not served.
func (s *cutSite) wantServed(host int) {
	s.t.Helper()
	for range 5 {
		for _, r := range s.requests() {
			if err := s.send(host, r); err != nil {
				s.t.Error(err)
			}
		}
	}
}

// wantOnce fails the test if a request other than a lookup or a resumable stream may have run twice.
func (s *cutSite) wantOnce() {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.runs {
		if n > 1 && id != "" {
			s.t.Errorf("request %s ran %d times", id, n)
		}
	}
}

// load sends lookups to a host until the returned function is called.
func (s *cutSite) load(host int) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
				group.Go(func() { _ = s.send(host, s.requests()[0]) })
			}
		}
	})
	return func() {
		close(done)
		group.Wait()
	}
}

// Callers of a host that reached no endpoint were turned away, although the other hosts served the
// same requests. From _contactTime on they are served, and afterwards by the host itself again.
func TestCallersOfHostThatReachesNoEndpointAreServed(t *testing.T) {
	for name, state := range map[string]cut{"hanging": _hanging, "resetting": _resetting, "refusing new connections": _refusingNew} {
		for _, loaded := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, loaded %t", name, loaded), func(t *testing.T) {
				t.Parallel()
				s := newCutSite(t, 3)
				stop := func() {}
				if loaded {
					stop = s.load(_cutHost)
				}
				s.dialers[_cutHost].setCut(state)
				time.Sleep(_contactTime)
				s.wantServed(_cutHost)
				s.wantServed(1)
				stop()
				s.dialers[_cutHost].setCut(_reaching)
				time.Sleep(2 * time.Second)
				written := s.dialers[_cutHost].written.Load()
				s.wantServed(_cutHost)
				if n := s.dialers[_cutHost].written.Load() - written; n < 5*int64(len(s.requests())) {
					t.Errorf("after the cut the host itself sent %d requests of %d", n, 5*len(s.requests()))
				}
				s.wantOnce()
			})
		}
	}
}

// cutOff cuts a host off and waits until it relays requests.
func (s *cutSite) cutOff(hosts ...int) {
	s.t.Helper()
	for _, host := range hosts {
		s.dialers[host].setCut(_resetting)
	}
	if len(hosts) < len(s.front) {
		s.eventually("requests are relayed", _contactTime, func() bool { return s.send(hosts[0], s.requests()[1]) == nil })
	}
}

// order sends an order with an ID to a host, and returns the answer's status and Retry-After.
func (s *cutSite) order(ctx context.Context, host int, path, id string) (int, string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.front[host]+path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = "h"
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "3000", "Key": _cutKey, "Relayed-By": "host-9"} {
		req.Header.Set(name, value)
	}
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, ""
	}
	_ = res.Body.Close()
	return res.StatusCode, res.Header.Get("Retry-After")
}

// ran returns how often endpoints ran a request.
func (s *cutSite) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// A relayed order that is lost at its endpoint, or with the host that sent it there, may have run: it is
// not sent again.
func TestRelayedOrderIsSentOnce(t *testing.T) {
	s := newCutSite(t, 2)
	s.cutOff(_cutHost)
	if status, _ := s.order(t.Context(), _cutHost, "/order/lost", "lost"); status != http.StatusBadGateway || s.ran("lost") != 1 {
		t.Errorf("an order lost at its endpoint: status %d, ran %d times", status, s.ran("lost"))
	}
	go func() {
		<-s.slow
		_ = s.Kill(1)
	}()
	if status, _ := s.order(t.Context(), _cutHost, "/order/slow", "slow"); status != http.StatusBadGateway || s.ran("slow") != 1 {
		t.Errorf("an order lost with the host that sent it: status %d, ran %d times", status, s.ran("slow"))
	}
}

// The end of the caller's connection ends the request at its endpoint.
func TestCallerOfRelayedRequestLeaves(t *testing.T) {
	s := newCutSite(t, 2)
	s.cutOff(_cutHost)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-s.slow
		cancel()
	}()
	if status, _ := s.order(ctx, _cutHost, "/order/watched", "watched"); status != 0 {
		t.Errorf("status %d for a caller that left", status)
	}
	if !<-s.left {
		t.Error("the endpoint's connection stayed open after the caller had left")
	}
}

// While no host reaches endpoints, requests are refused soon, with a time to come back. Callers cannot
// ask for what hosts ask of each other.
func TestNoHostReachesEndpoints(t *testing.T) {
	s := newCutSite(t, 2)
	if status, _ := s.order(t.Context(), _cutHost, "/order/a", "before"); status != http.StatusOK {
		t.Errorf("status %d for a caller that sends the header of a relayed request", status)
	}
	s.cutOff(0, 1)
	time.Sleep(_contactTime)
	for i := range 5 {
		limit := 200 * time.Millisecond
		if i == 0 { // the hosts are idle and learn of the cut by this request
			limit = 1500 * time.Millisecond
		}
		began := time.Now()
		status, retryAfter := s.order(t.Context(), _cutHost, "/order/a", "while all are cut off")
		if took := time.Since(began); status != http.StatusServiceUnavailable || retryAfter == "" || took > limit {
			t.Errorf("status %d with Retry-After %q after %v", status, retryAfter, took)
		}
	}
	if n := s.ran("while all are cut off"); n > 0 {
		t.Errorf("the order ran %d times", n)
	}
}

// A stream that may be resumed and whose connection is lost by the cut goes on through another host, with
// each event once. The caller may take it up there later, since its build is known.
func TestResumableStreamGoesOnThroughAnotherHost(t *testing.T) {
	for name, state := range map[string]cut{"hanging": _hanging, "resetting": _resetting} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCutSite(t, 3)
			r := cutRequest{name: "long stream", method: "POST", path: "/check/long", headers: s.requests()[4].headers, want: pieceText("v1", 0, _longEvents-1)}
			time.Sleep(2 * time.Second) // a host that has just started makes no retries
			// A host suspects no cut in the second after it opened a connection.
			time.AfterFunc(1200*time.Millisecond, func() { s.dialers[_cutHost].setCut(state) })
			if err := s.send(_cutHost, r); err != nil {
				t.Error(err)
			}
			if n := s.ran(fmt.Sprint("r", s.sent)); n != 2 {
				t.Errorf("the stream ran at %d endpoints, want 2", n)
			}
		})
	}
}
