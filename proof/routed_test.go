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

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/reqst/tries"
	"apricotproxy/core/versn/table"
	"apricotproxy/fakes/hosts"
	"apricotproxy/fakes/routed"
	"apricotproxy/fakes/store"
	routes "apricotproxy/io/entry"
	"apricotproxy/io/front"
)

// Randomised runs of routed requests: entry hosts on loopback before endpoints that
// refuse, fail, break off and answer nonsense, while endpoints leave and join, data
// centres go out of service, the store fails and hosts are replaced.

const (
	_routedHosts     = 3
	_routedEndpoints = 5
	_routedCallers   = 12
	_routedFor       = 4 * time.Second
	_routedPieces    = 8
	_routedAttempts  = 3
	// _routedSpread is how soon every host must know what the store says.
	_routedSpread = 2 * time.Second
	_routedGrace  = 4 * time.Second
)

var _routedNames = core.HeaderNames{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", Seal: "Seal", NotRun: "Not-Run", ExpectedEndpoint: "Expect",
	LastEventID: "Last-Event-Id",
}

// decodeRouted reads the run's documents: "config" is a version, "out/NAME" a data
// centre out of service, anything else an endpoint: address, data centre, leaving.
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
				Name: prefix, HostName: "h", Prefix: prefix, Kind: kind, MaxAttempts: _routedAttempts, Timeout: 3 * time.Second,
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

// routedRun is one run.
type routedRun struct {
	*hosts.Hosts

	store *store.Store

	mu     sync.Mutex
	random *rand.Rand
	broken []string
	// runs counts the runs of each request, promised holds those that a host said
	// did not run.
	runs     map[string]int
	promised map[string]bool
	served   int
	// closed is since when an endpoint or data centre takes nothing new.
	closed map[string]time.Time
}

func (r *routedRun) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

func (r *routedRun) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// ran takes in that an endpoint runs a request.
func (r *routedRun) ran(id, kind, endpoint, centre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	most := 1
	if kind == "lookup" || kind == "feed" {
		most = _routedAttempts
	}
	if r.runs[id] > most {
		r.broken = append(r.broken, fmt.Sprintf("%s ran %d times", id, r.runs[id]))
	}
	for _, closed := range []string{endpoint, centre} {
		if since, ok := r.closed[closed]; ok && time.Since(since) > _routedSpread {
			r.broken = append(r.broken, fmt.Sprintf("%s ran on %s, %v after %s was closed", id, endpoint, time.Since(since), closed))
		}
	}
}

func piece(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// answer answers as an endpoint that now and then refuses, fails, breaks off or says
// something that belongs to nobody.
func (r *routedRun) answer(c *routed.Call, endpoint, centre string) bool {
	id := c.Header.Get("Request-Id")
	kind, _, _ := strings.Cut(strings.TrimPrefix(c.URL.Path, "/"), "/")
	echo := "Request-Id: " + id
	how := r.draw(24)
	switch how {
	case 0, 1:
		c.Answer(503, "busy", echo, "Not-Run: 1")
		return true
	case 2:
		c.Reset() // not run, and nobody can know
		return false
	}
	r.ran(id, kind, endpoint, centre)
	time.Sleep(time.Duration(2+r.draw(20)) * time.Millisecond)
	switch {
	case how == 3:
		c.Reset()
		return false
	case how == 4:
		c.Answer(500, "failed", echo)
		return true
	case kind == "draft" || kind == "feed":
		return r.stream(c, id, how)
	case how == 5:
		c.Write("HTTP/1.1 200 OK\r\n" + echo + "\r\nSeal: s\r\nContent-Length: 90\r\n\r\ncut")
		return false
	case how == 6 || how >= 20: // a late answer to another request first
		c.Answer(200, "answer to another", "Request-Id: another", "Seal: s")
	case how == 7: // bytes after the answer, on a connection that looks fit for use
		c.Answer(200, "answer to "+id, echo, "Seal: s")
		c.Answer(200, "answer to another", "Request-Id: another", "Seal: s")
		return true
	}
	c.Answer(200, "answer to "+id, echo, "Seal: s")
	return true
}

func (r *routedRun) stream(c *routed.Call, id string, how int) bool {
	first := 0
	if last := c.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			r.violation("%s goes on after event %q", id, last)
		}
		first = n + 1
	}
	c.BeginStream("Request-Id: "+id, "Seal: s")
	for n := first; n < _routedPieces; n++ {
		switch {
		case how == 8 && n == first && n > 0:
			c.Chunk(piece(id, n-1)) // delivered before
		case how == 9 && n == 4:
			continue // missing
		case how == 10 && n == 5:
			c.Chunk(piece(id, n)[:7])
			return false
		case how == 11 && n == 3:
			c.Reset()
			return false
		case how == 12 && n == 2:
			c.Chunk(piece(id, n))
			c.Chunk(piece(id, n))
			continue
		}
		c.Chunk(piece(id, n))
		time.Sleep(2 * time.Millisecond)
	}
	c.EndStream()
	return true
}

// call sends one request and judges its answer.
func (r *routedRun) call(client *http.Client, id, kind string) {
	address := r.Settings[r.draw(len(r.Settings))].CallerAddress
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+kind+"/x", strings.NewReader("body"))
	if err != nil {
		r.violation("%s: %v", id, err)
		return
	}
	request.GetBody = nil // net/http repeats nothing by itself
	request.Host = "h"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "2000")
	res, err := client.Do(request)
	if err != nil {
		return // nothing was promised
	}
	defer func() { _ = res.Body.Close() }()
	switch {
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests ||
		res.StatusCode == http.StatusRequestTimeout || res.StatusCode == http.StatusMisdirectedRequest:
		r.mu.Lock()
		r.promised[id] = true
		r.mu.Unlock()
	case res.StatusCode != http.StatusOK:
	case kind == "draft" || kind == "feed":
		r.readStream(res, id)
	default:
		body, err := io.ReadAll(res.Body)
		switch {
		case err != nil:
		case string(body) != "answer to "+id:
			r.violation("%s got %q", id, body)
		default:
			r.success()
		}
	}
}

func (r *routedRun) success() {
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
				if got.Len() > 0 || n != _routedPieces {
					r.violation("%s ended as whole after %d pieces and %q", id, n, got.String())
				} else {
					r.success()
				}
				return
			}
			if err != nil {
				return // visibly cut
			}
		}
		if got.String() != piece(id, n) {
			r.violation("%s got %q, want piece %d", id, got.String(), n)
			return
		}
	}
}

func (r *routedRun) startHost(i int) {
	if _, err := r.Start(i); err != nil {
		r.violation("%v", err)
	}
}

func (r *routedRun) put(name, address, centre string, leaving bool) {
	r.store.Put(name, fmt.Sprintf(`{"Address":%q,"Centre":%q,"Leaving":%t}`, address, centre, leaving))
}

func (r *routedRun) setClosed(name string, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.closed, name)
	if closed {
		r.closed[name] = time.Now()
	}
}

// trouble makes one change of the operators or one failure.
func (r *routedRun) trouble(n int, addresses map[string]string) {
	endpoint := fmt.Sprint("e", r.draw(_routedEndpoints))
	switch r.draw(5) {
	case 0: // leaves; its document stays until it is back
		r.put(endpoint, addresses[endpoint], centreOf(endpoint), true)
		r.setClosed(endpoint, true)
	case 1:
		r.setClosed(endpoint, false)
		r.put(endpoint, addresses[endpoint], centreOf(endpoint), false)
	case 2:
		r.store.Put("out/b", "")
		r.setClosed("b", true)
	case 3:
		r.setClosed("b", false)
		r.store.Delete("out/b")
	case 4:
		host := r.draw(_routedHosts)
		r.Clients[host].SetDown(r.draw(2) == 0)
	}
	r.store.Put("config", strconv.Itoa(n+2))
}

func centreOf(endpoint string) string {
	if endpoint == "e0" || endpoint == "e2" {
		return "a"
	}
	return "b"
}

// runRouted plays one run and gives what was broken.
func runRouted(t *testing.T, seed uint64, switches routes.Switches) (broken []string, served int) {
	t.Helper()
	documents := store.New()
	r := &routedRun{
		store: documents, random: rand.New(rand.NewPCG(seed, 1)),
		runs: make(map[string]int), promised: make(map[string]bool), closed: make(map[string]time.Time),
	}
	r.Hosts = hosts.New(_routedHosts, documents, routes.Settings{
		EntrySettings: core.EntrySettings{
			DataCentre: "a",
			Bounds: core.EntryBounds{
				LeavingSpread: _routedSpread, StopGrace: _routedGrace, RetryWindow: 10 * time.Second, RetryShare: 0.5, RetryExtra: 500,
				EndpointInterval: time.Minute,
			},
		},
		Names: _routedNames, Paths: core.CallPaths{Ready: "/ready"}, Decode: decodeRouted, Seed: seed, Switches: switches,
	})
	defer invar.SetHandler(func(v *invar.Violation) { r.violation("%v", v) })()
	addresses := make(map[string]string)
	for i := range _routedEndpoints {
		name := fmt.Sprint("e", i)
		e, err := routed.Start(func(c *routed.Call) bool { return r.answer(c, name, centreOf(name)) })
		if err != nil {
			t.Fatal(err)
		}
		defer e.Close()
		addresses[name] = e.Address
		r.put(name, e.Address, centreOf(name), false)
	}
	r.store.Put("config", "1")
	for i := range r.Settings {
		r.startHost(i)
	}
	if len(r.broken) > 0 {
		t.Fatal(r.broken)
	}
	r.play(addresses)
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.promised {
		if r.runs[id] > 0 {
			r.broken = append(r.broken, id+" ran and its caller was told that it had not")
		}
	}
	return r.broken, r.served
}

// play has callers call while trouble comes, and one host be replaced as planned.
func (r *routedRun) play(addresses map[string]string) {
	ctx, cancel := context.WithTimeout(context.Background(), _routedFor)
	defer cancel()
	var group sync.WaitGroup
	for caller := range _routedCallers {
		group.Go(func() {
			transport := &http.Transport{DisableKeepAlives: caller%2 == 0}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			for n := 0; ctx.Err() == nil; n++ {
				kind := [...]string{"order", "lookup", "draft", "feed"}[(caller+n)%4]
				r.call(client, fmt.Sprintf("%s-%d-%d", kind, caller, n), kind)
			}
		})
	}
	group.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			r.trouble(n, addresses)
			time.Sleep(100 * time.Millisecond)
		}
	})
	time.Sleep(_routedFor / 4)
	r.Stop(0)
	if err := <-r.Ended(0); err != nil {
		r.violation("a planned stop ended with %v", err)
	}
	r.startHost(0)
	group.Wait()
	for i := range r.Settings {
		r.Stop(i)
	}
	for i := range r.Settings {
		if err := <-r.Ended(i); err != nil {
			r.violation("host %d ended with %v", i, err)
		}
	}
}

func TestRoutedUnderTrouble(t *testing.T) {
	seeds := max(soakSeeds()/3, 1)
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			broken, served := runRouted(t, uint64(seed), routes.Switches{})
			for _, what := range broken {
				t.Error(what)
			}
			if served < 100 {
				t.Errorf("only %d requests were served", served)
			}
		})
	}
}

// Each safeguard that is switched off must show.
func TestRoutedChecksNotice(t *testing.T) {
	needsSeeds(t)
	for name, switches := range map[string]routes.Switches{
		"what may run again":          {Front: front.Switches{Tries: tries.Switches{RepeatAnything: true}}},
		"answers to other requests":   {Front: front.Switches{AcceptAnyAnswer: true}},
		"events that were delivered":  {Front: front.Switches{DeliverAnyEvent: true}},
		"endpoints that are leaving":  {Place: place.Switches{UseLeaving: true}},
		"data centres out of service": {Place: place.Switches{UseOutOfService: true}},
	} {
		t.Run(name, func(t *testing.T) {
			broken, _ := runRouted(t, 7, switches)
			if len(broken) == 0 {
				t.Fatal("no check noticed")
			}
			t.Logf("%d noticed, the first: %s", len(broken), broken[0])
		})
	}
}
