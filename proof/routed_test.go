package proof_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/reqst/tries"
	"apricotproxy/core/versn/table"
	"apricotproxy/fakes/hosts"
	"apricotproxy/fakes/routed"
	"apricotproxy/fakes/store"
	"apricotproxy/io/entry"
	"apricotproxy/io/front"
)

// The tests of this file are randomised runs of routed requests. Entry hosts on loopback
// forward them to endpoints that refuse, fail, break off and send wrong answers.
// Meanwhile endpoints leave and join, a data centre goes out of service, the store
// fails and a host is replaced.

const (
	_routedHosts     = 3
	_routedEndpoints = 5
	_routedCallers   = 12
	_routedDuration  = 4 * time.Second
	// _routedFaultInterval is the pause between two faults.
	_routedFaultInterval = 100 * time.Millisecond
	_routedEvents        = 8
	_routedMaxAttempts   = 3
	// _routedSpread is the longest time until every host applies a change in the store.
	_routedSpread    = 2 * time.Second
	_routedStopGrace = 4 * time.Second
)

var _routedNames = core.HeaderNames{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", Seal: "Seal", NotRun: "Not-Run", ExpectedEndpoint: "Expect",
	LastEventID: "Last-Event-Id",
}

// decodeRouted decodes a document of the run's store. "config" holds the version of the
// routes, "out/NAME" marks a data centre as out of service, and any other document
// describes an endpoint: its address, its data centre and whether it is leaving.
func decodeRouted(d core.Document) (know.Content, error) {
	if name, ok := strings.CutPrefix(d.Name, "out/"); ok {
		return know.Content{OutOfService: core.DataCentreName(name)}, nil
	}
	if d.Deleted {
		return know.Content{}, nil
	}
	if d.Name == "config" {
		version, err := strconv.ParseUint(string(d.Value), 10, 64)
		if err != nil {
			return know.Content{}, fmt.Errorf("version: %w", err)
		}
		source := table.Source{Version: version, Services: []core.RoutedService{{Name: "desk"}}}
		for prefix, kind := range map[string]core.RouteKind{
			"/order/": core.RouteNonIdempotent, "/lookup/": core.RouteIdempotent, "/draft/": core.RouteStreaming, "/feed/": core.RouteStreaming,
		} {
			source.Routes = append(source.Routes, core.Route{
				Name: prefix, HostName: "h", Prefix: prefix, Kind: kind, MaxAttempts: _routedMaxAttempts, Timeout: 3 * time.Second,
				Goal: 300 * time.Millisecond, GapGoal: 200 * time.Millisecond, Resumable: prefix == "/feed/",
				Services: []core.WeightedService{{Service: "desk", Weight: 1}},
			})
		}
		built, err := table.Build(source)
		return know.Content{Table: built}, err
	}
	var e struct {
		Address, Centre string
		Leaving         bool
	}
	if err := json.Unmarshal(d.Value, &e); err != nil {
		return know.Content{}, fmt.Errorf("endpoint: %w", err)
	}
	return know.Content{Endpoint: &core.RoutedEndpoint{
		ID: d.Name, Service: "desk", Address: e.Address, DataCentre: core.DataCentreName(e.Centre), Slots: 6, Draining: e.Leaving,
	}}, nil
}

// routedRun is the state of one run.
type routedRun struct {
	*hosts.Hosts

	store *store.Store

	seed   uint64
	faults []routedFault

	mu         sync.Mutex
	violations []string
	// arrivals counts the arrivals of each request at endpoints.
	arrivals map[string]int
	// runs counts the runs of each request by its id. reportedNotRun holds the requests
	// that a host reported as not run.
	runs           map[string]int
	reportedNotRun map[string]bool
	served         int // requests whose answer was complete and correct
	// closedSince is when an endpoint started leaving or a data centre went out of
	// service, by name.
	closedSince map[string]time.Time
}

func (r *routedRun) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// arrivalSource returns a source of random numbers for one arrival of a request, so that
// what it meets at an endpoint depends only on the seed.
func (r *routedRun) arrivalSource(id string) *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[id]++
	return rand.New(rand.NewPCG(r.seed, xxhash.Sum64String(fmt.Sprint(id, " ", r.arrivals[id]))))
}

// recordRun records that an endpoint runs a request. It checks that the request may run
// once more, and that the endpoint and its data centre are not closed.
func (r *routedRun) recordRun(id, kind, endpoint, centre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	maxRuns := 1
	if kind == "lookup" || kind == "feed" {
		maxRuns = _routedMaxAttempts
	}
	if r.runs[id] > maxRuns {
		r.violations = append(r.violations, fmt.Sprintf("%s ran %d times", id, r.runs[id]))
	}
	for _, closed := range []string{endpoint, centre} {
		if since, ok := r.closedSince[closed]; ok && time.Since(since) > _routedSpread {
			r.violations = append(r.violations, fmt.Sprintf("%s ran on %s, %v after %s was closed", id, endpoint, time.Since(since), closed))
		}
	}
}

func eventText(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// answer answers a request at an endpoint. At random the endpoint refuses, fails, breaks
// off or sends an answer to another request. The result is false if the connection is
// no longer usable.
func (r *routedRun) answer(c *routed.Call, endpoint, centre string) bool {
	id := c.Header.Get("Request-Id")
	kind, _, _ := strings.Cut(strings.TrimPrefix(c.URL.Path, "/"), "/")
	echo := "Request-Id: " + id
	random := r.arrivalSource(id)
	variant := random.IntN(24)
	switch variant {
	case 0, 1:
		c.Answer(503, "busy", echo, "Not-Run: 1")
		return true
	case 2:
		c.Reset() // the request did not run, but the host cannot detect that
		return false
	}
	r.recordRun(id, kind, endpoint, centre)
	time.Sleep(time.Duration(2+random.IntN(20)) * time.Millisecond)
	switch {
	case variant == 3:
		c.Reset()
		return false
	case variant == 4:
		c.Answer(500, "failed", echo)
		return true
	case kind == "draft" || kind == "feed":
		return r.stream(c, id, variant)
	case variant == 5:
		c.Write("HTTP/1.1 200 OK\r\n" + echo + "\r\nSeal: s\r\nContent-Length: 90\r\n\r\ncut")
		return false
	case variant == 6 || variant >= 20: // an answer to another request comes first
		c.Answer(200, "answer to another", "Request-Id: another", "Seal: s")
	case variant == 7: // more bytes after the answer, on a connection that seems reusable
		c.Answer(200, "answer to "+id, echo, "Seal: s")
		c.Answer(200, "answer to another", "Request-Id: another", "Seal: s")
		return true
	}
	c.Answer(200, "answer to "+id, echo, "Seal: s")
	return true
}

// stream sends the events that follow the caller's last event id. variant selects what
// goes wrong, if anything.
func (r *routedRun) stream(c *routed.Call, id string, variant int) bool {
	first := 0
	if last := c.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			r.recordViolation("%s resumes after event %q", id, last)
		}
		first = n + 1
	}
	c.BeginStream("Request-Id: "+id, "Seal: s")
	for n := first; n < _routedEvents; n++ {
		switch {
		case variant == 8 && n == first && n > 0:
			c.Chunk(eventText(id, n-1)) // repeats an event that was delivered already
		case variant == 9 && n == 4:
			continue // leaves out an event
		case variant == 10 && n == 5:
			c.Chunk(eventText(id, n)[:7])
			return false
		case variant == 11 && n == 3:
			c.Reset()
			return false
		case variant == 12 && n == 2:
			c.Chunk(eventText(id, n))
			c.Chunk(eventText(id, n))
			continue
		}
		c.Chunk(eventText(id, n))
		time.Sleep(2 * time.Millisecond)
	}
	c.EndStream()
	return true
}

// call sends one request to a host and checks its answer.
func (r *routedRun) call(client *http.Client, address, id, kind string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+kind+"/x", strings.NewReader("body"))
	if err != nil {
		r.recordViolation("%s: %v", id, err)
		return
	}
	request.GetBody = nil // keeps net/http from repeating requests
	request.Host = "h"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "2000")
	res, err := client.Do(request)
	if err != nil {
		return // no outcome was reported
	}
	defer func() { _ = res.Body.Close() }()
	switch {
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests ||
		res.StatusCode == http.StatusRequestTimeout || res.StatusCode == http.StatusMisdirectedRequest:
		r.mu.Lock()
		r.reportedNotRun[id] = true
		r.mu.Unlock()
	case res.StatusCode != http.StatusOK:
	case kind == "draft" || kind == "feed":
		r.readStream(res, id)
	default:
		body, err := io.ReadAll(res.Body)
		switch {
		case err != nil:
		case string(body) != "answer to "+id:
			r.recordViolation("%s got %q", id, body)
		default:
			r.countServed()
		}
	}
}

func (r *routedRun) countServed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served++
}

func (r *routedRun) readStream(res *http.Response, id string) {
	reader := bufio.NewReader(res.Body)
	for n := 0; ; n++ {
		var got strings.Builder
		for !strings.HasSuffix(got.String(), "\n\n") {
			line, err := reader.ReadString('\n')
			got.WriteString(line)
			if err == io.EOF {
				if got.Len() > 0 || n != _routedEvents {
					r.recordViolation("%s ended without an error after %d events and %q", id, n, got.String())
				} else {
					r.countServed()
				}
				return
			}
			if err != nil {
				return // the caller can see that the stream was cut off
			}
		}
		if got.String() != eventText(id, n) {
			r.recordViolation("%s got %q, want event %d", id, got.String(), n)
			return
		}
	}
}

func (r *routedRun) startHost(i int) {
	if _, err := r.Start(i); err != nil {
		r.recordViolation("%v", err)
	}
}

func (r *routedRun) putEndpoint(name, address, centre string, leaving bool) {
	r.store.Put(name, fmt.Sprintf(`{"Address":%q,"Centre":%q,"Leaving":%t}`, address, centre, leaving))
}

func (r *routedRun) setClosed(name string, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.closedSince, name)
	if closed {
		r.closedSince[name] = time.Now()
	}
}

// injectFault carries out a fault and then publishes a new version of the routes.
func (r *routedRun) injectFault(n int, fault routedFault, addresses map[string]string) {
	endpoint := fault.endpoint
	switch fault.kind {
	case endpointLeaves: // its document stays in the store
		r.putEndpoint(endpoint, addresses[endpoint], dataCentreOf(endpoint), true)
		r.setClosed(endpoint, true)
	case endpointReturns:
		r.setClosed(endpoint, false)
		r.putEndpoint(endpoint, addresses[endpoint], dataCentreOf(endpoint), false)
	case centreCloses:
		r.store.Put("out/b", "")
		r.setClosed("b", true)
	case centreOpens:
		r.setClosed("b", false)
		r.store.Delete("out/b")
	case storeFails, storeRecovers:
		r.Clients[fault.host].SetDown(fault.kind == storeFails)
	}
	r.store.Put("config", strconv.Itoa(n+2))
}

func dataCentreOf(endpoint string) string {
	if endpoint == "e0" || endpoint == "e2" {
		return "a"
	}
	return "b"
}

// runRouted performs one run. It returns the violations and the number of requests
// that were served.
func runRouted(t *testing.T, seed uint64, faults []routedFault, switches entry.Switches) (violations []string, served int) {
	t.Helper()
	documents := store.New()
	r := &routedRun{
		store: documents, seed: seed, faults: faults, arrivals: make(map[string]int),
		runs: make(map[string]int), reportedNotRun: make(map[string]bool), closedSince: make(map[string]time.Time),
	}
	r.Hosts = hosts.New(_routedHosts, documents, entry.Settings{
		EntrySettings: core.EntrySettings{
			DataCentre: "a",
			Bounds: core.EntryBounds{
				LeavingSpread: _routedSpread, StopGrace: _routedStopGrace, RetryWindow: 10 * time.Second, RetryShare: 0.5, RetryExtra: 500,
				EndpointInterval: time.Minute,
			},
		},
		Names: _routedNames, Paths: core.CallPaths{Ready: "/ready"}, Decode: decodeRouted, Seed: seed, Switches: switches,
	})
	defer invar.SetHandler(func(v *invar.Violation) { r.recordViolation("%v", v) })()
	addresses := make(map[string]string)
	for i := range _routedEndpoints {
		name := fmt.Sprint("e", i)
		e, err := routed.Start(func(c *routed.Call) bool { return r.answer(c, name, dataCentreOf(name)) })
		if err != nil {
			t.Fatal(err)
		}
		defer e.Close()
		addresses[name] = e.Address
		r.putEndpoint(name, e.Address, dataCentreOf(name), false)
	}
	r.store.Put("config", "1")
	for i := range r.Settings {
		r.startHost(i)
	}
	if len(r.violations) > 0 {
		t.Fatal(r.violations)
	}
	r.execute(addresses)
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.reportedNotRun {
		if r.runs[id] > 0 {
			r.violations = append(r.violations, id+" ran although a host reported it as not run")
		}
	}
	return r.violations, r.served
}

// execute sends requests while faults are injected and one host is replaced with a
// planned stop. Then it stops all hosts.
func (r *routedRun) execute(addresses map[string]string) {
	ctx, cancel := context.WithTimeout(context.Background(), _routedDuration)
	defer cancel()
	var group sync.WaitGroup
	for caller := range _routedCallers {
		group.Go(func() {
			transport := &http.Transport{DisableKeepAlives: caller%2 == 0}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			random := rand.New(rand.NewPCG(r.seed, uint64(caller)))
			for n := 0; ctx.Err() == nil; n++ {
				kind := [...]string{"order", "lookup", "draft", "feed"}[(caller+n)%4]
				host := r.Settings[random.IntN(len(r.Settings))].CallerAddress
				r.call(client, host, fmt.Sprintf("%s-%d-%d", kind, caller, n), kind)
			}
		})
	}
	group.Go(func() {
		for n, fault := range r.faults {
			r.injectFault(n, fault, addresses)
			time.Sleep(_routedFaultInterval)
		}
	})
	time.Sleep(_routedDuration / 4)
	r.Stop(0)
	if err := <-r.Ended(0); err != nil {
		r.recordViolation("a planned stop returned %v", err)
	}
	r.startHost(0)
	group.Wait()
	for i := range r.Settings {
		r.Stop(i)
	}
	for i := range r.Settings {
		if err := <-r.Ended(i); err != nil {
			r.recordViolation("host %d returned %v", i, err)
		}
	}
}

func TestRoutedUnderFaults(t *testing.T) {
	seeds := max(seedCount()/3, 1)
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			violations, served := runRouted(t, uint64(seed), drawFaults(uint64(seed), nil), entry.Switches{})
			for _, violation := range violations {
				t.Error(violation)
			}
			if served < 100 {
				t.Errorf("only %d requests were served", served)
			}
		})
	}
}

// The checks must find a violation when a safeguard is disabled. exercises reports whether
// the faults of a run can bring one about.
func TestRoutedChecksDetectDisabledSafeguards(t *testing.T) {
	requireSeeds(t)
	for name, c := range map[string]struct {
		switches  entry.Switches
		exercises func([]routedFault) bool
	}{
		"retry rules":                      {switches: entry.Switches{Front: front.Switches{Tries: tries.Switches{RepeatAnything: true}}}},
		"answer matching":                  {switches: entry.Switches{Front: front.Switches{AcceptAnyAnswer: true}}},
		"event filter":                     {switches: entry.Switches{Front: front.Switches{DeliverAnyEvent: true}}},
		"exclusion of leaving endpoints":   {switches: entry.Switches{Place: place.Switches{UseLeaving: true}}, exercises: hasLeavingEndpoint},
		"exclusion of closed data centres": {switches: entry.Switches{Place: place.Switches{UseOutOfService: true}}, exercises: hasClosedCentre},
	} {
		t.Run(name, func(t *testing.T) {
			violations, _ := runRouted(t, 7, drawFaults(7, c.exercises), c.switches)
			if len(violations) == 0 {
				t.Fatal("no check detected the disabled safeguard")
			}
			t.Logf("%d violations, the first: %s", len(violations), violations[0])
		})
	}
}
