package entry_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/versn/table"
	"apricotproxy/fakes/hosts"
	"apricotproxy/fakes/routed"
	"apricotproxy/fakes/store"
	"apricotproxy/io/entry"
)

// decode decodes simplified documents: "config" holds a version, a path prefix, whether
// the route's answers are streams of an engine, whether these may not be resumed, and the route's
// time-out, "out/NAME" takes a data centre out of
// service, and any other name is an endpoint with its address, and its build if there is a
// space, as the value.
func decode(d core.Document) (know.Content, error) {
	if name, ok := strings.CutPrefix(d.Name, "out/"); ok {
		return know.Content{OutOfService: core.DataCentreName(name)}, nil
	}
	if d.Deleted {
		return know.Content{}, nil
	}
	if d.Name == "config" {
		var c struct {
			Version           uint64
			Prefix            string
			Streams, RunsOnce bool
			TimeoutMs         int
		}
		if err := json.Unmarshal(d.Value, &c); err != nil {
			return know.Content{}, err
		}
		service := core.RoutedService{Name: "desk"}
		route := core.Route{
			Name: "r", HostName: "h", Prefix: c.Prefix, Kind: core.RouteIdempotent, MaxAttempts: 1, Timeout: 5 * time.Second,
			Goal: time.Second, Services: []core.WeightedService{{Service: "desk", Weight: 1}},
		}
		if c.Streams {
			service.Engine = &core.EngineSpec{Slots: 9, MemoryTokens: 100_000, EventTokens: 4}
			route.Kind, route.Resumable, route.MaxAttempts, route.GapGoal = core.RouteStreaming, !c.RunsOnce, 2, 200*time.Millisecond
		}
		if c.TimeoutMs > 0 {
			route.Timeout = time.Duration(c.TimeoutMs) * time.Millisecond
		}
		built, err := table.Build(table.Source{Version: c.Version, Services: []core.RoutedService{service}, Routes: []core.Route{route}})
		return know.Content{Table: built}, err
	}
	fields := append(strings.Fields(string(d.Value)), "", "") // address, build and start in milliseconds
	born, err := strconv.ParseInt(cmp.Or(fields[2], "1"), 10, 64)
	slots := 9
	if fields[1] != "" {
		slots = 64 // for all streams of a host that has ended: its last report counts for two seconds
	}
	return know.Content{Endpoint: &core.RoutedEndpoint{
		ID: d.Name, Service: "desk", Address: fields[0], Build: core.BuildName(fields[1]), DataCentre: "b", Slots: slots, Born: time.UnixMilli(born),
	}}, err
}

// _leavingSpread is the time within which hosts must learn that an endpoint is leaving.
const _leavingSpread = 2 * time.Second

// _stopGrace is how long a process may keep running after SIGTERM.
const _stopGrace = 4 * time.Second

type site struct {
	*hosts.Hosts

	t     *testing.T
	store *store.Store
	front []string
	ready []string
}

// newSite starts n hosts on loopback that share one store.
func newSite(t *testing.T, n int) *site {
	t.Helper()
	s := newStoppedSite(t, n)
	for i := range n {
		s.start(i)
	}
	return s
}

// newStoppedSite prepares n hosts on loopback that share one store, and starts none.
func newStoppedSite(t *testing.T, n int) *site {
	t.Helper()
	documents := store.New()
	s := &site{t: t, store: documents, Hosts: hosts.New(n, documents, entry.Settings{
		EntrySettings: core.EntrySettings{
			DataCentre: "a",
			Bounds: core.EntryBounds{
				LeavingSpread: _leavingSpread, StopGrace: _stopGrace, RetryWindow: 10 * time.Second, RetryExtra: 58,
				EndpointInterval: time.Second,
			},
		},
		Names:  core.HeaderNames{RequestID: "Request-Id", Deadline: "Deadline-Ms", Seal: "Seal", NotRun: "Not-Run", Leaving: "Leaving", RateLimit: "Limit", Brittle: "Brittle", ExpectedEndpoint: "Expect", Tokens: "Tokens", Parts: "Parts", LastEventID: "Last-Event-Id", Resumes: "Resumes"},
		Paths:  core.CallPaths{Ready: "/ready"},
		Decode: decode,
		Seed:   1,
	})}
	for _, settings := range s.Settings {
		s.front = append(s.front, settings.CallerAddress)
		s.ready = append(s.ready, settings.ReadyAddress)
	}
	return s
}

// start starts or restarts one host.
func (s *site) start(i int) {
	s.t.Helper()
	if _, err := s.Start(i); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { s.Stop(i) })
}

// stopAndWait stops one host and waits until it has ended.
func (s *site) stopAndWait(i int) {
	s.t.Helper()
	s.Stop(i)
	if err := <-s.Ended(i); err != nil {
		s.t.Fatal(err)
	}
}

// killHost ends one host at once and waits until it has ended.
func (s *site) killHost(i int) {
	s.t.Helper()
	if err := s.Kill(i); err != nil {
		s.t.Fatal(err)
	}
}

// get returns the status and the body of an answer, or 0 and an error's text.
func (s *site) get(address, path string, headers ...string) (int, string) {
	status, _, body := s.request(address, path, headers...)
	return status, body
}

// getHeader returns the status and the header of an answer.
func (s *site) getHeader(address, path string) (int, http.Header) {
	status, header, _ := s.request(address, path)
	return status, header
}

func (s *site) request(address, path string, headers ...string) (int, http.Header, string) {
	res, err := s.open(address, path, headers...)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	body, _ := io.ReadAll(res.Body)
	return res.StatusCode, res.Header, string(body)
}

// open sends a request and returns the answer, whose body has yet to be read.
func (s *site) open(address, path string, headers ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Request-Id", "r")
	req.Header.Set("Deadline-Ms", "3000")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	return (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
}

// eventually waits until a condition holds. It fails the test after a time limit.
func (s *site) eventually(what string, limit time.Duration, holds func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			s.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *site) endpoint(name string, handle routed.Handler) *routed.Endpoint {
	s.t.Helper()
	e := s.listen(handle)
	s.store.Put(name, e.Address)
	return e
}

// listen starts an endpoint without a document.
func (s *site) listen(handle routed.Handler) *routed.Endpoint {
	s.t.Helper()
	e, err := routed.Start(handle)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(e.Close)
	return e
}

// okHandler answers with status 200 and the given body.
func okHandler(name string) routed.Handler {
	return func(c *routed.Call) bool {
		c.Answer(200, name, "Request-Id: "+c.Header.Get("Request-Id"), "Seal: s")
		return true
	}
}

// allServe returns a condition: all hosts answer a path with status 200 and the body
// want.
func (s *site) allServe(path, want string) func() bool {
	return func() bool {
		for _, address := range s.front {
			if status, body := s.get(address, path); status != 200 || body != want {
				return false
			}
		}
		return true
	}
}

// A host is ready as soon as it can serve, and not before. Every host learns of
// changes, including hosts that cannot read the store.
func TestHostsRelayChangesToEachOther(t *testing.T) {
	s := newSite(t, 3)
	if status, _ := s.get(s.ready[0], "/ready"); status != 503 {
		t.Errorf("ready with status %d before anything is known", status)
	}
	if status, _ := s.get(s.front[0], "/a/"); status != 503 {
		t.Errorf("status %d before anything is known, want 503", status)
	}
	s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
	s.endpoint("e1", okHandler("one"))
	s.eventually("all serve", 2*time.Second, s.allServe("/a/", "one"))
	if status, _ := s.get(s.ready[2], "/ready"); status != 200 {
		t.Errorf("not ready: status %d", status)
	}
	s.Clients[0].SetDown(true)
	s.Clients[1].SetDown(true)
	s.store.Put("config", `{"Version":2,"Prefix":"/b/"}`)
	s.eventually("the new version is in force on all", 2*time.Second, s.allServe("/b/", "one"))
	if status, _ := s.get(s.front[0], "/a/"); status != 404 {
		t.Errorf("the removed route answers %d, want 404", status)
	}
	s.endpoint("e2", okHandler("two"))
	s.store.Delete("e1")
	s.eventually("the endpoint that left gets no requests", 2*time.Second, s.allServe("/b/", "two"))
	s.store.Put("out/b", "")
	s.eventually("the data centre out of service gets no requests", 2*time.Second, func() bool {
		for _, address := range s.front {
			if status, _ := s.get(address, "/b/"); status != 503 {
				return false
			}
		}
		return true
	})
}

// When the store has dropped its history, hosts list all documents again.
func TestLostHistory(t *testing.T) {
	s := newSite(t, 1)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
	s.endpoint("e1", okHandler("one"))
	s.eventually("it serves", 2*time.Second, s.allServe("/a/", "one"))
	s.Clients[0].SetDown(true)
	time.Sleep(300 * time.Millisecond)
	s.store.Put("config", `{"Version":2,"Prefix":"/b/"}`)
	s.store.DropHistory()
	s.Clients[0].SetDown(false)
	s.eventually("the new version is in force", 3*time.Second, s.allServe("/b/", "one"))
}

// A watch reports no change when the store drops its history meanwhile. The change
// must still be in force within the time in which hosts must learn that an endpoint is
// leaving. Seen when the store lost its history during a change of the configuration.
func TestSilentWatchDoesNotDelayChanges(t *testing.T) {
	s := newSite(t, 2)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
	s.endpoint("e1", okHandler("one"))
	s.eventually("all serve", 2*time.Second, s.allServe("/a/", "one"))
	for _, client := range s.Clients {
		client.SetSilent(true)
	}
	time.Sleep(time.Second) // by then, each watch in progress began after SetSilent
	s.store.Put("config", `{"Version":2,"Prefix":"/b/"}`)
	s.store.DropHistory()
	for _, client := range s.Clients {
		client.SetSilent(false)
	}
	s.eventually("the new version is in force", _leavingSpread, s.allServe("/b/", "one"))
}

// The number of calls to the store does not grow with the number of hosts.
func TestFewHostsReadTheStore(t *testing.T) {
	s := newSite(t, 6)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
	s.endpoint("e1", okHandler("one"))
	s.eventually("all serve", 2*time.Second, s.allServe("/a/", "one"))
	time.Sleep(time.Second)
	before := s.store.Calls()
	time.Sleep(2 * time.Second)
	// There are two readers. Each alternates a watch of 0.3 s and a pause of 0.3 s.
	if calls := s.store.Calls() - before; calls > 8 {
		t.Errorf("%d calls by six hosts in two seconds, want at most 8, those of two readers", calls)
	}
}

// In a planned stop the host is not ready at once, running requests finish, and then
// the process ends.
func TestPlannedStopFinishesRequests(t *testing.T) {
	s := newSite(t, 2)
	s.store.Put("config", `{"Version":1,"Prefix":"/a/"}`)
	running, finish := make(chan struct{}, 1), make(chan struct{})
	s.endpoint("e1", func(c *routed.Call) bool {
		if c.URL.Path == "/a/slow" {
			running <- struct{}{}
			<-finish
		}
		return okHandler("one")(c)
	})
	s.eventually("all serve", 2*time.Second, s.allServe("/a/", "one"))
	got := make(chan string, 1)
	go func() {
		status, body := s.get(s.front[0], "/a/slow")
		got <- fmt.Sprint(status, " ", body)
	}()
	<-running
	s.Stop(0)
	s.eventually("it is not ready", time.Second, func() bool {
		status, _ := s.get(s.ready[0], "/ready")
		return status == 503
	})
	if status, body := s.get(s.front[0], "/a/"); status != 200 {
		t.Errorf("a request before the balancer notices the stop gets %d %s", status, body)
	}
	// A request that was accepted 7 s after SIGTERM was once cut off and lost; see
	// deploy/days/stops.toml.
	s.eventually("no new request is accepted once the balancer has noticed", 3*time.Second, func() bool {
		status, _ := s.get(s.front[0], "/a/")
		return status == 0
	})
	close(finish)
	if answer := <-got; answer != "200 one" {
		t.Errorf("the running request got %q", answer)
	}
	select {
	case err := <-s.Ended(0):
		if err != nil {
			t.Errorf("the process ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the process did not end")
	}
}
