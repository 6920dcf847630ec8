package front_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/core/procs/reach"
	"apricotproxy/fakes/cutoff"
	"apricotproxy/fakes/routed"
	"apricotproxy/io/front"
	"apricotproxy/io/links"
)

// directDialer opens connections past the networks in front of endpoints.
type directDialer struct {
	net.Dialer
	targets map[string]string // by the network's address
}

func (d *directDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if target, ok := d.targets[address]; ok {
		address = target
	}
	return d.Dialer.DialContext(ctx, network, address)
}

// otherHost returns the handler for other hosts of a host whose connections pass the networks in front of endpoints.
func otherHost(t *testing.T, r *fixture, networks map[string]*cutoff.Link) http.Handler {
	dialer := &directDialer{targets: make(map[string]string)}
	for target, link := range networks {
		dialer.targets[link.Address] = target
	}
	pool := links.New(links.Settings{Dialer: dialer, DialTimeout: 300 * time.Millisecond, MaxIdle: 2})
	t.Cleanup(pool.Close)
	return front.New(front.Config{
		Names: _names, Paths: core.CallPaths{Move: "/move", Handle: "/handle/"}, Links: pool, Self: "other", View: r.view.Load, Logger: logr.Discard(),
	}).PeerHandler(http.NotFoundHandler())
}

// serveWithHosts has a fixture's host know of other hosts that say that they reach endpoints.
func serveWithHosts(t *testing.T, r *fixture, handlers map[core.HostName]http.Handler) {
	t.Helper()
	shared := front.NewSharedReach(reach.New("self", "a", rand.New(rand.NewPCG(1, 1))), func(_, _ reach.State, _ time.Duration) {})
	var hosts []reach.Host
	for name, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		hosts = append(hosts, reach.Host{Name: name, DataCentre: "a", SameRegion: true, Address: server.Listener.Addr().String(), Reaches: true, Incarnation: 1})
	}
	heartbeats := time.NewTicker(100 * time.Millisecond)
	stopped := make(chan struct{})
	t.Cleanup(func() { heartbeats.Stop(); close(stopped) })
	record := func() {
		for _, host := range hosts {
			shared.RecordHost(host)
		}
	}
	record()
	go func() {
		for {
			select {
			case <-stopped:
				return
			case <-heartbeats.C:
				record()
			}
		}
	}()
	r.serve(shared)
}

// answering returns the handler of a host that gives all requests the same answer.
func answering(status int, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	})
}

// silentHost returns the handler of a host that does not answer.
func silentHost() http.Handler {
	return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices the end of the connection from then on
		<-r.Context().Done()
	})
}

// A stream went on at another endpoint while its own, which refused new connections of this host and had lost
// its connection to it, worked on and was reached by other hosts.
func TestStreamIsStoppedThroughAHostThatReachesItsEndpoint(t *testing.T) {
	const (
		cutLength = time.Second
		busy      = http.StatusMisdirectedRequest
	)
	reset := func(link *cutoff.Link) error { return link.Cut(cutoff.Reset) }
	hang := func(link *cutoff.Link) error {
		err := link.Cut(cutoff.HangNew)
		link.ResetOpen()
		return err
	}
	for _, c := range []struct {
		name string
		cut  func(link *cutoff.Link) error
		// others are the answers of other hosts besides the one that reaches the endpoint, if that is true.
		others    map[core.HostName]http.Handler
		isReached bool
		moveDelay time.Duration
		// goesOnWithin is the longest time in which the stream goes on; 0 for any.
		goesOnWithin time.Duration
	}{
		{"refused", reset, nil, true, 0, 500 * time.Millisecond},
		{"unanswered", hang, nil, true, 0, 500 * time.Millisecond},
		{"refused, and the run stops late", reset, nil, true, time.Second, 0},
		{"refused, and another host does not answer", reset, map[core.HostName]http.Handler{"silent": silentHost()}, true, 0, 500 * time.Millisecond},
		{"refused, and another host is busy", reset, map[core.HostName]http.Handler{"busy": answering(busy, "")}, true, 0, 500 * time.Millisecond},
		{"unanswered, and other hosts do not know the request", hang, map[core.HostName]http.Handler{
			"missing": answering(http.StatusNotFound, ""), "documents": answering(http.StatusOK, "{}"),
		}, false, 0, 0},
		{"unanswered, and other hosts take no requests", hang, map[core.HostName]http.Handler{"busy": answering(busy, ""), "silent": silentHost()}, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			engines := &liveEngines{moveDelay: c.moveDelay}
			r := newFixture(t, engines.handle, engines.handle)
			networks := linkEndpoints(t, r)
			hosts := map[core.HostName]http.Handler{}
			if c.isReached {
				hosts["other"] = otherHost(t, r, networks)
			}
			for name, handler := range c.others {
				hosts[name] = handler
			}
			serveWithHosts(t, r, hosts)
			var cutAt atomic.Int64
			engines.trouble = func(address string) {
				link := networks[address]
				cutAt.Store(time.Now().UnixNano())
				if err := c.cut(link); err != nil {
					t.Error(err)
				}
				time.AfterFunc(cutLength, func() {
					if err := link.Restore(); err != nil {
						t.Error(err)
					}
				})
			}
			got := r.send(http.MethodPost, "/novel/", "", "Tokens: 100,400", "Deadline-Ms: 12000")
			if got.err != nil || got.body != wantStream(_novelEvents-1) {
				t.Errorf("stream %q, %v; want %d events", got.body, got.err, _novelEvents)
			}
			if runs := engines.check(t); runs != 2 {
				t.Fatalf("%d runs, want 2", runs)
			}
			after := engines.runs[1].begun.Sub(time.Unix(0, cutAt.Load()))
			t.Logf("the stream went on from %q after %v", engines.runs[1].from, after.Round(time.Millisecond))
			if c.goesOnWithin > 0 && after > c.goesOnWithin {
				t.Errorf("the stream went on after %v, want at most %v", after, c.goesOnWithin)
			}
		})
	}
}

// A stream waited for other hosts although its endpoint had ended, and refused connections of all hosts.
func TestStreamLeavesAnEndedEndpointWithoutAWait(t *testing.T) {
	const (
		maxWait       = 100 * time.Millisecond
		maxWaitForOne = 500 * time.Millisecond // for the head of the answer of a host that sends none
	)
	goesOnAfter := func(t *testing.T, names ...core.HostName) time.Duration {
		engines := &liveEngines{}
		r := newFixture(t, engines.handle, engines.handle)
		networks := linkEndpoints(t, r)
		hosts := map[core.HostName]http.Handler{}
		for _, name := range names {
			hosts[name] = otherHost(t, r, networks)
			if name == "silent" {
				hosts[name] = silentHost()
			}
		}
		serveWithHosts(t, r, hosts)
		var endedAt time.Time
		engines.trouble = func(address string) {
			endedAt = time.Now()
			for _, endpoint := range r.endpoints {
				if endpoint.Address == address {
					endpoint.CloseListener()
				}
			}
			engines.stop("r1", address, true)
			networks[address].Close()
		}
		got := r.send(http.MethodPost, "/novel/", "", "Tokens: 100,400", "Deadline-Ms: 12000")
		if got.err != nil || got.body != wantStream(_novelEvents-1) {
			t.Errorf("stream %q, %v; want %d events", got.body, got.err, _novelEvents)
		}
		if runs := engines.check(t); runs != 2 {
			t.Fatalf("%d runs, want 2", runs)
		}
		return engines.runs[1].begun.Sub(endedAt)
	}
	alone, withHosts, withSilent := goesOnAfter(t), goesOnAfter(t, "one", "two"), goesOnAfter(t, "silent")
	t.Logf("the stream went on after %v without other hosts, %v with them, %v with one that is silent", alone, withHosts, withSilent)
	if withSilent > alone+maxWaitForOne {
		t.Errorf("the stream went on after %v, %v without other hosts; want at most %v more", withSilent, alone, maxWaitForOne)
	}
	if withHosts > alone+maxWait {
		t.Errorf("the stream went on after %v, %v without other hosts; want at most %v more", withHosts, alone, maxWait)
	}
}

// A request of another host made a host connect to any address, or to so many endpoints that its own requests
// found no connections.
func TestHostStopsRunsForOthersOnlyAtEndpointsThatItKnows(t *testing.T) {
	engines := &liveEngines{}
	r := newFixture(t, engines.handle, engines.handle)
	view := *r.view.Load()
	view.Endpoints = slices.Clone(view.Endpoints)
	for i := range view.Endpoints {
		view.Endpoints[i].Born = time.Now()
	}
	r.apply(&view)
	stranger, err := routed.Start(engines.handle)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stranger.Close)
	server := httptest.NewServer(otherHost(t, r, nil))
	t.Cleanup(server.Close)
	source, target := view.Endpoints[0], view.Endpoints[1]
	type command struct {
		Endpoint                        core.EndpointKey
		Address, Service, RequestID, To string
	}
	known := command{source.Key(), source.Address, "all", "r9", target.Address}
	with := func(change func(c *command)) command {
		changed := known
		change(&changed)
		return changed
	}
	for _, c := range []struct {
		name    string
		command any
		status  int
		head    string
	}{
		{"known", known, http.StatusOK, "Asked"},
		{"another address", with(func(c *command) { c.Address = stranger.Address }), http.StatusMisdirectedRequest, ""},
		{"another incarnation", with(func(c *command) { c.Endpoint.Born = c.Endpoint.Born.Add(-time.Hour) }), http.StatusMisdirectedRequest, ""},
		{"another service", with(func(c *command) { c.Service = "other" }), http.StatusMisdirectedRequest, ""},
		{"unknown target", with(func(c *command) { c.To = stranger.Address }), http.StatusMisdirectedRequest, ""},
		{"no command", "r9", http.StatusMisdirectedRequest, ""},
		{"long", with(func(c *command) { c.RequestID = strings.Repeat("r", 5000) }), http.StatusMisdirectedRequest, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			body, err := json.Marshal(c.command)
			if err != nil {
				t.Fatal(err)
			}
			res, err := http.Post(server.URL+"/stop-run", "application/json", bytes.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }()
			text, err := io.ReadAll(res.Body)
			if err != nil || res.StatusCode != c.status || res.Header.Get("Stop-Run") != c.head {
				t.Errorf("status %d, head %q, %v; want %d, %q", res.StatusCode, res.Header.Get("Stop-Run"), err, c.status, c.head)
			}
			if c.status == http.StatusOK && strings.TrimSpace(string(text)) != `{"Evidence":"NoRun","Handle":""}` {
				t.Errorf("body %q", text)
			}
		})
	}
	if n := stranger.Connections(); n != 0 {
		t.Errorf("%d connections to an endpoint that is not known", n)
	}
}

// A host stops a bounded number of runs for others at a time.
func TestBusyHostStopsNoMoreRunsForOthers(t *testing.T) {
	const most = 64
	release := make(chan struct{})
	r := newFixture(t, fine, fine)
	engine, err := routed.Start(func(c *routed.Call) bool { <-release; return knowsNoRun(c) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Close)
	view := *r.view.Load()
	view.Endpoints = slices.Clone(view.Endpoints)
	view.Endpoints[0].Address = engine.Address
	r.apply(&view)
	server := httptest.NewServer(otherHost(t, r, nil))
	t.Cleanup(server.Close)
	endpoints := r.view.Load().Endpoints
	body, err := json.Marshal(map[string]any{
		"Endpoint": endpoints[0].Key(), "Address": endpoints[0].Address, "Service": "all", "RequestID": "r9", "To": endpoints[1].Address,
	})
	if err != nil {
		t.Fatal(err)
	}
	stop := func() int {
		res, err := http.Post(server.URL+"/stop-run", "application/json", bytes.NewReader(body))
		if err != nil {
			t.Error(err)
			return 0
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		return res.StatusCode
	}
	statuses := make(chan int, most+1)
	for range most + 1 {
		go func() { statuses <- stop() }()
	}
	if status := <-statuses; status != http.StatusMisdirectedRequest {
		t.Errorf("status %d beyond the bound, want %d", status, http.StatusMisdirectedRequest)
	}
	close(release)
	for range most {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("status %d within the bound", status)
		}
	}
}
