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

// rig is a site in memory: entry hosts, two engines and two plain workers.
type rig struct {
	t        *testing.T
	network  *memnet.Network
	config   core.Config
	engines  []*fakeengine.Engine
	plains   []*plain.Service
	servers  []*http.Server
	draining bool
	// Mechanisms that are switched off, for tests of the checks.
	switches       runs.Switches
	ledgerWeakness ticket.Switches

	// mu guards hosts and clients.
	mu      sync.Mutex
	hosts   map[core.HostName]*host
	clients []*http.Transport
	// wrap puts faults between two hosts; nil for none.
	wrap func(from, to core.HostName, peer wire.Peer) wire.Peer
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

// seeded is a source of nonces that is the same in every run.
type seeded struct {
	mu     sync.Mutex
	source *rand.ChaCha8
}

func newSeeded(name core.HostName, incarnation core.Incarnation) *seeded {
	var seed [32]byte
	copy(seed[:], name)
	seed[len(seed)-1] = byte(incarnation)
	return &seeded{source: rand.NewChaCha8(seed)}
}

func (s *seeded) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Read(p)
}

// audits drops audit events.
type audits struct{}

func (audits) Record(core.AuditEvent) {}

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

// inRig runs a test in a bubble of virtual time.
func inRig(t *testing.T, config core.Config, test func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{t: t, network: memnet.New(_latency), config: config, hosts: map[core.HostName]*host{}}
		for i := range 2 {
			e := fakeengine.New(fakeengine.Config{Seed: 1, StartWarm: true, ColdLimit: 100, MeanTokens: 40})
			r.engines = append(r.engines, e)
			r.serve(fmt.Sprintf("engine-%d:80", i), e)
			p := plain.New(plain.Config{CallTime: 10 * time.Millisecond})
			r.plains = append(r.plains, p)
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
	// The fakes' own goroutines end with their last step.
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

// startHost starts an incarnation at a roster position.
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
		Auditor:    audits{},
		Logger:     logr.Discard(),
		Random:     newSeeded(name, incarnation),
		Switches:   r.switches,
	})
	orders, err := runs.NewOrders(runs.OrdersConfig{
		Runner:   h.runner,
		Site:     r.config.Site,
		Self:     h.id,
		Auditor:  audits{},
		Logger:   logr.Discard(),
		Random:   newSeeded(name, incarnation),
		Switches: r.ledgerWeakness,
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
		Ready:      r.ready,
		Logger:     logr.Discard(),
	})
	r.serve(fmt.Sprintf("%s:80", name), h.handler)
	return h
}

// peerLink is a host as another one sees it. Calls go straight to the other
// host's methods, unless a fault is set.
type peerLink struct {
	wire.Peer
	host *host
}

func (p peerLink) ForwardOrder(ctx context.Context, q *wire.ForwardOrderRequest) (*wire.ForwardOrderReply, error) {
	return p.host.orders.ForwardOrder(ctx, q)
}

func (p peerLink) HandOver(ctx context.Context, q *wire.HandOverRequest) (*wire.HandOverReply, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return p.host.orders.HandOver(ctx, q)
}

func (p peerLink) Adopt(ctx context.Context, q *wire.AdoptRequest) (*wire.AdoptReply, error) {
	return p.host.runner.Adopt(ctx, q)
}

func (r *rig) peer(from, to core.HostName) wire.Peer {
	r.mu.Lock()
	h, ok := r.hosts[to]
	r.mu.Unlock()
	if !ok {
		return nil
	}
	if r.wrap != nil {
		return r.wrap(from, to, peerLink{host: h})
	}
	return peerLink{host: h}
}

func (r *rig) ready() *core.OutcomeError {
	if !r.draining {
		return nil
	}
	return core.NotRun(core.CauseDraining, "this host is leaving; ask again, another host will answer", time.Now())
}

// client gives a caller's HTTP client of its own machine.
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

// received is what a caller has of one stream.
type received struct {
	mu     sync.Mutex
	lastID string
	texts  []string
	count  int
	whole  bool
	failed string
}

func (s *received) id() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastID
}

// take adds one event and checks that it is the next one.
func (s *received) take(t *testing.T, event sse.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if event.Type == "error" {
		s.failed = event.Data
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
		t.Errorf("event %d came in place of %d", index, len(s.texts))
	}
	s.lastID = event.LastEventID
	if data.Choices[0].FinishReason != nil {
		s.whole = true
		s.count = data.Usage.CompletionTokens
		return
	}
	s.texts = append(s.texts, data.Choices[0].Text)
}

// stream reads server-sent events until the connection ends.
func (r *rig) stream(client *http.Client, request *http.Request, s *received) error {
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
		s.take(r.t, event)
	}
	return nil
}

func (r *rig) wantWhole(s *received) {
	r.t.Helper()
	if !s.whole || s.count != len(s.texts) || s.count == 0 {
		r.t.Errorf("whole=%t count=%d tokens=%d failed=%q; want a whole answer", s.whole, s.count, len(s.texts), s.failed)
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

// orderRuns counts how often orders ran, over all plain workers.
func (r *rig) orderRuns() int {
	runs := 0
	for _, p := range r.plains {
		for _, run := range p.Runs() {
			if run.Call == "engrave" {
				runs++
			}
		}
	}
	return runs
}
