package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/tmaxmax/go-sse"

	"apricotproxy/core"
	"apricotproxy/core/procs/ticket"
	fakeengine "apricotproxy/fakes/engine"
	"apricotproxy/fakes/memnet"
	"apricotproxy/fakes/place"
	"apricotproxy/fakes/plain"
	"apricotproxy/io/caller"
	"apricotproxy/io/engine"
	"apricotproxy/io/runs"
	"apricotproxy/io/wire"
)

const (
	_workspace = "cards"
	_silence   = 4 * time.Second
	_latency   = time.Millisecond
)

// rig is an in-memory site for tests: entry hosts, two model engines and two plain
// services.
type rig struct {
	t             *testing.T
	network       *memnet.Network
	config        core.Config
	engines       []*fakeengine.Engine
	plainServices []*plain.Service
	servers       []*http.Server
	draining      bool
	// Safeguards to disable, for tests of the checks.
	switches       runs.Switches
	ledgerSwitches ticket.Switches

	// mu guards hosts and clients.
	mu      sync.Mutex
	hosts   map[core.HostName]*host
	clients []*http.Transport
	// wrapPeer adds faults to the calls between two hosts; nil for none.
	wrapPeer func(from, to core.HostName, peer wire.Peer) wire.Peer
}

// host is one entry host of the rig.
type host struct {
	id         core.HostID
	dispatcher *place.Dispatcher
	client     *engine.Client
	runner     *runs.Runner
	orders     *runs.Orders
	handler    *caller.Handler
}

// seededReader is a source of nonces that is the same in every run.
type seededReader struct {
	mu     sync.Mutex
	source *rand.ChaCha8
}

func newSeededReader(name core.HostName, incarnation core.Incarnation) *seededReader {
	var seed [32]byte
	copy(seed[:], name)
	seed[len(seed)-1] = byte(incarnation)
	return &seededReader{source: rand.NewChaCha8(seed)}
}

func (s *seededReader) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Read(p)
}

// discardAuditor discards audit events.
type discardAuditor struct{}

func (discardAuditor) Record(core.AuditEvent) {}

func testConfig() core.Config {
	config := core.Config{
		Site:     "texas",
		Revision: 1,
		Services: []core.Service{
			{Name: "book", Kind: core.ServicePlain, Calls: []core.Call{{Name: "engrave"}, {Name: "lookup", Repeatable: true}}},
			{Name: "draft", Kind: core.ServiceEngine, Model: "m"},
		},
		Workspaces: []core.Workspace{
			{Name: _workspace, Services: []core.ServiceName{"book", "draft"}},
			{Name: "other", Services: []core.ServiceName{"book", "draft"}},
		},
		Limits: core.Limits{
			RequestTimeout: 20 * time.Second,
			QueueTimeout:   10 * time.Second,
			SilenceTimeout: _silence,
			DialTimeout:    time.Second,
			AbandonGrace:   15 * time.Second,
			TicketTerm:     time.Minute,
			LedgerSize:     100,
			BodyBytes:      64 << 10,
		},
	}
	for i := range 2 {
		config.Endpoints = append(config.Endpoints,
			core.Endpoint{Name: core.EndpointName(fmt.Sprintf("draft-%d", i)), Service: "draft", Address: fmt.Sprintf("engine-%d:80", i)},
			core.Endpoint{Name: core.EndpointName(fmt.Sprintf("book-%d", i)), Service: "book", Address: fmt.Sprintf("plain-%d:80", i)})
	}
	for i := range 3 {
		config.Hosts = append(config.Hosts, core.Host{Name: core.HostName(fmt.Sprintf("entry-%d", i))})
	}
	return config
}

// inRig runs a test with a new rig in virtual time.
func inRig(t *testing.T, config core.Config, test func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{t: t, network: memnet.New(_latency), config: config, hosts: map[core.HostName]*host{}}
		for i := range 2 {
			e := fakeengine.New(fakeengine.Config{Seed: 1, StartWarm: true, ColdLimit: 100, MeanTokens: 40})
			r.engines = append(r.engines, e)
			r.serve(fmt.Sprintf("engine-%d:80", i), e)
			p := plain.New(plain.Config{CallTime: 10 * time.Millisecond})
			r.plainServices = append(r.plainServices, p)
			r.serve(fmt.Sprintf("plain-%d:80", i), p)
		}
		for _, h := range config.Hosts {
			r.startHost(h.Name, 1)
		}
		defer r.close()
		test(r)
	})
}

func (r *rig) close() {
	for _, c := range r.clients {
		c.CloseIdleConnections()
	}
	for _, h := range r.hosts {
		h.runner.Wait()
		h.client.Close()
	}
	for _, s := range r.servers {
		if err := s.Close(); err != nil {
			r.t.Errorf("close a server: %v", err)
		}
	}
	// Let the goroutines of the fakes end.
	time.Sleep(time.Minute)
}

func (r *rig) serve(address string, handler http.Handler) {
	listener, err := r.network.Listen("tcp", address)
	if err != nil {
		r.t.Fatal(err)
	}
	server := caller.NewServer(handler)
	r.servers = append(r.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			r.t.Errorf("serve %s: %v", address, err)
		}
	}()
}

// startHost starts an incarnation of the named host.
func (r *rig) startHost(name core.HostName, incarnation core.Incarnation) *host {
	h := &host{id: core.HostID{Host: name, Incarnation: incarnation}, dispatcher: place.New(r.config)}
	h.client = engine.New(engine.Config{
		Dialer: r.network.Dialer(string(name)),
		Limits: func() core.Limits { return r.config.Limits },
	})
	h.runner = runs.New(runs.Config{
		Self:       h.id,
		Dispatcher: h.dispatcher,
		Client:     h.client,
		Peer:       func(to core.HostName) wire.Peer { return r.peer(name, to) },
		Auditor:    discardAuditor{},
		Logger:     logr.Discard(),
		Random:     newSeededReader(name, incarnation),
		Switches:   r.switches,
	})
	orders, err := runs.NewOrders(runs.OrdersConfig{
		Runner:   h.runner,
		Site:     r.config.Site,
		Self:     h.id,
		Auditor:  discardAuditor{},
		Logger:   logr.Discard(),
		Random:   newSeededReader(name, incarnation),
		Switches: r.ledgerSwitches,
	})
	if err != nil {
		r.t.Fatal(err)
	}
	h.orders = orders
	r.mu.Lock()
	r.hosts[name] = h
	r.mu.Unlock()
	h.handler = caller.New(caller.Config{
		Self:       h.id,
		Dispatcher: h.dispatcher,
		Runner:     h.runner,
		Orders:     h.orders,
		CheckReady: r.checkReady,
		Logger:     logr.Discard(),
	})
	r.serve(fmt.Sprintf("%s:80", name), h.handler)
	return h
}

// inMemoryPeer is the client of another host. It calls the host's methods directly.
type inMemoryPeer struct {
	wire.Peer
	host *host
}

func (p inMemoryPeer) ForwardOrder(ctx context.Context, q *wire.ForwardOrderRequest) (*wire.ForwardOrderReply, error) {
	return p.host.orders.ForwardOrder(ctx, q)
}

func (p inMemoryPeer) HandOver(ctx context.Context, q *wire.HandOverRequest) (*wire.HandOverReply, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return p.host.orders.HandOver(ctx, q)
}

func (p inMemoryPeer) Adopt(ctx context.Context, q *wire.AdoptRequest) (*wire.AdoptReply, error) {
	return p.host.runner.Adopt(ctx, q)
}

func (r *rig) peer(from, to core.HostName) wire.Peer {
	r.mu.Lock()
	h, ok := r.hosts[to]
	r.mu.Unlock()
	if !ok {
		return nil
	}
	if r.wrapPeer != nil {
		return r.wrapPeer(from, to, inMemoryPeer{host: h})
	}
	return inMemoryPeer{host: h}
}

func (r *rig) checkReady() *core.OutcomeError {
	if !r.draining {
		return nil
	}
	return core.NotRun(core.CauseDraining, "this host is leaving; ask again, another host will answer", time.Now())
}

// client returns an HTTP client that dials from the named machine.
func (r *rig) client(machine string) *http.Client {
	transport := &http.Transport{DialContext: r.network.Dialer(machine).DialContext}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clients = append(r.clients, transport)
	return &http.Client{Transport: transport}
}

func (r *rig) request(method, url, body string) *http.Request {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	request.Header.Set("Workspace", _workspace)
	return request
}

// post sends one request and reads the whole answer.
func (r *rig) post(url, body string) (status int, answer string) {
	res, err := r.client("caller").Do(r.request(http.MethodPost, url, body))
	if err != nil {
		r.t.Fatalf("POST %s: %v", url, err)
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		r.t.Fatalf("POST %s: %v", url, err)
	}
	_ = res.Body.Close()
	return res.StatusCode, string(data)
}

// receivedStream is what a caller has received of one stream, possibly over several
// connections.
type receivedStream struct {
	mu        sync.Mutex
	lastID    string
	texts     []string
	count     int
	complete  bool
	errorData string
}

func (s *receivedStream) id() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastID
}

// add records one event and checks that it is the next one of its generation.
func (s *receivedStream) add(t *testing.T, event sse.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if event.Type == "error" {
		s.errorData = event.Data
		return
	}
	if event.Data == "[DONE]" {
		return
	}
	var data struct {
		Choices []struct {
			Text         string  `json:"text"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal([]byte(event.Data), &data); err != nil {
		t.Fatalf("event %q: %v", event.Data, err)
	}
	generation, index, err := runs.ParseEventID(event.LastEventID)
	if err != nil {
		t.Fatal(err)
	}
	if s.lastID != "" {
		before, _, _ := runs.ParseEventID(s.lastID)
		if before != generation {
			t.Errorf("generation %s follows %s", generation, before)
		}
	}
	if index != len(s.texts) {
		t.Errorf("event %d received; want event %d", index, len(s.texts))
	}
	s.lastID = event.LastEventID
	if data.Choices[0].FinishReason != nil {
		s.complete = true
		s.count = data.Usage.CompletionTokens
		return
	}
	s.texts = append(s.texts, data.Choices[0].Text)
}

// stream reads server-sent events until the connection ends.
func (r *rig) stream(client *http.Client, request *http.Request, s *receivedStream) error {
	res, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(res.Body)
		return fmt.Errorf("status %d: %s", res.StatusCode, bytes.TrimSpace(data))
	}
	for event, err := range sse.Read(res.Body, nil) {
		if err != nil {
			return err
		}
		s.add(r.t, event)
	}
	return nil
}

func (r *rig) wantComplete(s *receivedStream) {
	r.t.Helper()
	if !s.complete || s.count != len(s.texts) || s.count == 0 {
		r.t.Errorf("complete=%t count=%d tokens=%d error=%q; want a complete answer", s.complete, s.count, len(s.texts), s.errorData)
	}
}

func (r *rig) tickets(host string, count int) []string {
	r.t.Helper()
	status, answer := r.post("http://"+host+":80/v1/tickets", fmt.Sprintf(`{"Count":%d}`, count))
	if status != http.StatusOK {
		r.t.Fatalf("tickets: status %d: %s", status, answer)
	}
	var body struct{ Tickets []string }
	if err := json.Unmarshal([]byte(answer), &body); err != nil {
		r.t.Fatal(err)
	}
	return body.Tickets
}

func orderBody(ticket string, name string) string {
	return fmt.Sprintf(`{"Ticket":%q,"Service":"book","Call":"engrave","Body":{"Name":%q}}`, ticket, name)
}

// orderRuns counts how many times orders ran on all plain services.
func (r *rig) orderRuns() int {
	runs := 0
	for _, p := range r.plainServices {
		for _, run := range p.Runs() {
			if run.Call == "engrave" {
				runs++
			}
		}
	}
	return runs
}
