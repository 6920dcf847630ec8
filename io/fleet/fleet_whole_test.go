package fleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/core/versn/confg"
	"apricotproxy/fakes/engine"
	"apricotproxy/fakes/memnet"
	"apricotproxy/fakes/plain"
	fakeplatf "apricotproxy/fakes/platf"
	"apricotproxy/io/fleet"
	"apricotproxy/io/host"
	"apricotproxy/io/load"
)

// Whole hosts in one bubble: three data centres with three entry hosts, engines
// and a plain worker each, a platform, and a balancer that picks ready hosts
// by a list that lags.

const (
	_listLag  = 3 * time.Second
	_balancer = "balancer:8080"
)

var _centres = []string{"gatton", "laidley", "forest-hill"}

const _wholeBase = `
[Ports]
Caller = 8080
Peer = 7443
Endpoint = 9000

[Defaults Engine]
ColdSlots = 2
WarmSlots = 12
MemoryTokens = %d
ChecksFencing = yes

[Defaults Plain]
ColdSlots = 4
WarmSlots = 8

[Limits]
RequestTimeout = 60s
QueueTimeout = 30s
LeaseTerm = 2s
ConfigSpread = 4s
DrainNotice = 4s
TicketTerm = 5m
`

// site is the whole site under test.
type site struct {
	t        *testing.T
	network  *memnet.Network
	platform *fakeplatf.Platform
	engines  map[string][]*engine.Engine // by data centre
	workers  []*plain.Service
	servers  []*http.Server
	config   core.Config
	size     size
	version  string // of the model that the configuration asks for
	switches fleet.Switches
	leaving  string // the machine of an engine that operators remove

	mu        sync.Mutex
	processes map[core.HostName]*life
	// listed is what the balancer knows; it follows after the lag.
	listed map[core.HostName]bool
	turn   int
}

// life is one life of one host.
type life struct {
	host   *host.Host
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// size is what stands in each data centre.
type size struct {
	// centres are the data centres, _centres by default.
	centres []string
	engines int
	hosts   int
	// knee is the engines' BatchKnee, 0 for none.
	knee int
	// memory is the engines' memory in tokens, 8000 by default.
	memory int64
	// policy builds a baseline's routing policy; nil for the product's.
	policy func() core.RoutePolicy
}

func wholeSite(t *testing.T, size size, test func(*testing.T, *site)) {
	if size.memory == 0 {
		size.memory = 8000
	}
	if size.centres == nil {
		size.centres = _centres
	}
	synctest.Test(t, func(t *testing.T) {
		s := &site{
			t:         t,
			network:   memnet.New(time.Millisecond),
			platform:  fakeplatf.New(fakeplatf.Config{ReadsPerSecond: 2000, ListLag: _listLag, LoadsPerMinute: 60}),
			engines:   make(map[string][]*engine.Engine),
			size:      size,
			version:   "1",
			processes: make(map[core.HostName]*life),
			listed:    make(map[core.HostName]bool),
		}
		s.serve(_platform+":80", s.platform)
		for i, centre := range size.centres {
			for j := range size.engines {
				e := engine.New(engine.Config{
					Seed: uint64(10*i + j), Model: core.LoadedModel{Model: "m", Version: "1"},
					MemoryTokens: size.memory, ColdLimit: 2, WarmAfter: 3, StartWarm: true, BatchKnee: size.knee,
					ReportLag: 300 * time.Millisecond, ChecksFencing: true, RestartAfter: 10 * time.Second,
				}.WithDefaults())
				s.engines[centre] = append(s.engines[centre], e)
				s.serve(fmt.Sprintf("10.%d.2.%d:9000", i+1, j+1), e)
			}
			worker := plain.New(plain.Config{CallTime: 50 * time.Millisecond})
			s.workers = append(s.workers, worker)
			s.serve(fmt.Sprintf("10.%d.3.1:9000", i+1), worker)
		}
		s.publish(1)
		for _, position := range s.config.Hosts {
			s.start(position)
		}
		for _, position := range s.config.Hosts {
			<-s.processes[position.Name].host.Started()
		}
		time.Sleep(20 * time.Second) // slots open, lists fill
		test(t, s)
		s.close()
	})
}

func (s *site) serve(address string, handler http.Handler) {
	listener, err := s.network.Listen("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
}

// publish publishes a revision with some data centres out of service.
func (s *site) publish(revision core.Revision, out ...string) {
	var b strings.Builder
	b.WriteString("[Site]\nName = whole\nRegion = r\n")
	for i, centre := range s.size.centres {
		inService := "yes"
		if strings.Contains(strings.Join(out, " "), centre) {
			inService = "no"
		}
		fmt.Fprintf(&b, "\n[DataCentre %s]\nInService = %s\nHosts = 10.%d.1.[1-%d]\n", centre, inService, i+1, s.size.hosts)
	}
	fmt.Fprintf(&b, "\n[Service draft]\nKind = Engine\nModel = m\nVersion = %s\n", s.version)
	b.WriteString("\n[Service desk]\nKind = Plain\nRepeatableCalls = look\nUnrepeatableCalls = book\n")
	for i, centre := range s.size.centres {
		fmt.Fprintf(&b, "\n[Endpoints draft.%s]\nAddresses = 10.%d.2.[1-%d]\n", centre, i+1, s.size.engines)
		if strings.HasPrefix(s.leaving, fmt.Sprintf("10.%d.", i+1)) {
			fmt.Fprintf(&b, "Leaving = %s\n", s.leaving)
		}
		fmt.Fprintf(&b, "\n[Endpoints desk.%s]\nAddresses = 10.%d.3.1\n", centre, i+1)
	}
	b.WriteString("\n[Workspaces all]\nNames = w-1, w-2\nServices = draft, desk\n")
	bundle := core.Bundle{Revision: revision, Base: fmt.Sprintf(_wholeBase, s.size.memory), Overlay: b.String()}
	config, err := confg.Parse(bundle, "whole")
	if err != nil {
		s.t.Fatal(err)
	}
	s.config = config
	if err := s.platform.PublishBundle("whole", bundle); err != nil {
		s.t.Fatal(err)
	}
}

func machineOf(address string) string { return memnet.Addr(address).Machine() }

// start starts a new life at a roster position.
func (s *site) start(position core.Host) *life {
	id := core.HostID{Host: position.Name, Incarnation: core.Incarnation(time.Now().UnixNano())}
	started, err := host.New(host.Settings{
		Site: "whole", Self: id, CallerAddress: position.CallerAddress, PeerAddress: position.PeerAddress,
		Platform: _platform + ":80", Seeds: []string{s.config.Hosts[0].PeerAddress},
		Dialer: s.network.Dialer(machineOf(position.PeerAddress)), Listen: s.network.Listen,
		Logger: logr.Discard(), Seed: uint64(len(s.processes) + 1),
		Switches: host.Switches{Fleet: s.switches, Policy: s.size.policy},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &life{host: started, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = started.Run(ctx)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[position.Name] = p
	go func() {
		<-started.Started()
		s.list(position.Name, true)
	}()
	return p
}

// stop stops a host as planned and waits for its exit.
func (s *site) stop(position core.Host) {
	p := s.processes[position.Name]
	p.cancel()
	go s.list(position.Name, false)
	<-p.done
	if p.err != nil {
		s.t.Errorf("%s: %v", position.Name, p.err)
	}
}

func (s *site) list(name core.HostName, ready bool) {
	time.Sleep(_listLag)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed[name] = ready
}

func (s *site) close() {
	for _, p := range s.processes {
		p.cancel()
	}
	for _, p := range s.processes {
		<-p.done
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	time.Sleep(5 * time.Second) // servers linger on connections
}

// DialContext dials as the balancer does: a listed host in turn.
func (s *site) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if address != _balancer {
		return s.network.Dialer("callers").DialContext(ctx, network, address)
	}
	return s.network.Dialer("callers").DialContext(ctx, network, s.pick())
}

func (s *site) pick() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range s.config.Hosts {
		s.turn++
		position := s.config.Hosts[s.turn%len(s.config.Hosts)]
		if s.listed[position.Name] {
			return position.CallerAddress
		}
	}
	return s.config.Hosts[0].CallerAddress
}

// load runs a load of drafts, lookups, calls and orders through the balancer.
func (s *site) load(rate float64, span time.Duration, seed uint64) load.Result {
	result, err := load.Run(context.Background(), load.Settings{
		Targets: []string{_balancer}, Rate: rate, Duration: span, AnswerTimeout: 5 * time.Minute,
		Silence: 10 * time.Second, Resumes: 3, MaxOpen: 2000, Seed: seed,
		Workspaces: []core.WorkspaceName{"w-1", "w-2"},
		DraftShare: 0.4, LookupShare: 0.3, CallShare: 0.15, OrderShare: 0.15,
		Service: "draft", DraftPrompt: "card set", LookupPrompt: "name", DraftTokens: 400, LookupTokens: 12,
		Call:  load.PlainCall{Service: "desk", Call: "look"},
		Order: load.PlainCall{Service: "desk", Call: "book"},
	}, s, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	return result
}

// checkWhole asserts that no answer was cut, lost or contradicted, and that no
// order ran twice.
func (s *site) checkWhole(result load.Result) {
	s.t.Helper()
	s.checkHonest(result)
	for _, kind := range result.Kinds {
		if bad := kind.Interrupted + kind.Unknown; bad > 0 {
			s.t.Errorf("%s: %d requests were cut: %v", kind.Kind, bad, result.Details)
		}
	}
}

// checkHonest asserts that every request had an outcome that does not
// contradict itself, and that no order ran twice.
func (s *site) checkHonest(result load.Result) {
	s.t.Helper()
	for _, kind := range result.Kinds {
		s.t.Logf("%-7s sent %4d done %4d not run %d interrupted %d unknown %d broken %d unreached %d; "+
			"first token p50 %.0f p99 %.0f ms, between p99 %.0f ms", kind.Kind, kind.Sent, kind.Done, kind.NotRun,
			kind.Interrupted, kind.Unknown, kind.Broken, kind.Unreached,
			kind.FirstToken.P50Millis, kind.FirstToken.P99Millis, kind.Between.P99Millis)
		if bad := kind.Broken + kind.Unreached + kind.Skipped; bad > 0 {
			s.t.Errorf("%s: %d requests ended badly: %v", kind.Kind, bad, result.Details)
		}
	}
	for _, worker := range s.workers {
		for key, runs := range worker.RunsPerKey() {
			if runs > 1 {
				s.t.Errorf("the order with ticket %s ran %d times", key, runs)
			}
		}
	}
}

// startLoad loads the site in the background. The function that it returns waits
// for the result.
func (s *site) startLoad(rate float64, length time.Duration, seed uint64) func() load.Result {
	result := make(chan load.Result, 1)
	go func() { result <- s.load(rate, length, seed) }()
	return func() load.Result { return <-result }
}

// post sends a call to one host as a caller would.
func (s *site) post(position core.Host, path string, body any) (int, map[string]any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		s.t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost,
		"http://"+position.CallerAddress+path, bytes.NewReader(encoded))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Header.Set("Workspace", "w-1")
	client := &http.Client{Transport: &http.Transport{DialContext: s.DialContext, DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		s.t.Fatalf("%s at %s: %v", path, position.Name, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	var answer map[string]any
	if err := json.Unmarshal(text, &answer); err != nil {
		s.t.Fatalf("%s at %s: %q", path, position.Name, text)
	}
	return response.StatusCode, answer
}

func (s *site) ticket(position core.Host) string {
	status, answer := s.post(position, "/v1/tickets", map[string]int{"Count": 1})
	tickets, ok := answer["Tickets"].([]any)
	if status != http.StatusOK || !ok || len(tickets) != 1 {
		s.t.Fatalf("a ticket at %s: %d %v", position.Name, status, answer)
	}
	return tickets[0].(string)
}

func (s *site) order(position core.Host, ticket string) int {
	status, answer := s.post(position, "/v1/orders", map[string]any{
		"Ticket": ticket, "Service": "desk", "Call": "book", "Body": map[string]int{"Turn": 1},
	})
	if status != http.StatusOK {
		s.t.Logf("the order at %s: %d %v", position.Name, status, answer)
	}
	return status
}

// All nine hosts are replaced one after the other under load: every answer is
// whole, every order runs at most once, and tickets of each host that left run
// once at another.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	wholeSite(t, size{engines: 1, hosts: 3}, func(t *testing.T, s *site) {
		loaded := s.startLoad(2, 4*time.Minute, 1)
		for i, position := range s.config.Hosts {
			next := s.config.Hosts[(i+1)%len(s.config.Hosts)]
			ticket := s.ticket(position)
			s.stop(position)
			<-s.start(position).host.Started()
			time.Sleep(2 * time.Second)
			for range 2 {
				if status := s.order(next, ticket); status != http.StatusOK {
					t.Errorf("the order of %s after it left: status %d", position.Name, status)
				}
			}
		}
		result := loaded()
		s.checkWhole(result)
	})
}

// Two hosts leave at the same time, and the first one's ledger is found
// wherever it went.
func TestTwoHostsLeaveAtOnce(t *testing.T) {
	t.Parallel()
	wholeSite(t, size{engines: 1, hosts: 3}, func(t *testing.T, s *site) {
		first, second, third := s.config.Hosts[0], s.config.Hosts[1], s.config.Hosts[2]
		tickets := []string{s.ticket(first), s.ticket(second)}
		var stops sync.WaitGroup
		stops.Go(func() { s.stop(first) })
		stops.Go(func() { s.stop(second) })
		stops.Wait()
		for _, ticket := range tickets {
			if status := s.order(third, ticket); status != http.StatusOK {
				t.Errorf("an order of a host that left: status %d", status)
			}
		}
		s.checkWhole(load.Result{})
	})
}

// A ledger that moved twice is found, and hosts that start later find it too.
func TestLedgerMovesFromHostToHost(t *testing.T) {
	t.Parallel()
	wholeSite(t, size{engines: 1, hosts: 3}, func(t *testing.T, s *site) {
		ticket := s.ticket(s.config.Hosts[0])
		for _, position := range s.config.Hosts[:8] {
			s.stop(position)
			<-s.start(position).host.Started()
			time.Sleep(2 * time.Second)
		}
		if status := s.order(s.config.Hosts[0], ticket); status != http.StatusOK {
			t.Errorf("the order after eight moves: status %d", status)
		}
		s.checkWhole(load.Result{})
	})
}

// A leaving host loses its links to all others at any moment of the handover,
// as it would if the successor died, and gets them back before it gives up or
// after. The order of its ticket runs once at most, and who was told that it
// ran is told so again.
func TestLinksBreakInHandover(t *testing.T) {
	t.Parallel()
	outcomes := make(map[int]int)
	for _, breakFor := range []time.Duration{5 * time.Second, time.Minute} {
		for _, offset := range []time.Duration{0, 1, 2, 3, 4, 6} {
			wholeSite(t, size{engines: 1, hosts: 1}, func(t *testing.T, s *site) {
				first, last := s.config.Hosts[0], s.config.Hosts[2]
				ticket := s.ticket(first)
				var others []string
				for _, position := range s.config.Hosts[1:] {
					others = append(others, machineOf(position.PeerAddress))
				}
				time.AfterFunc(s.config.Limits.DrainNotice+offset*time.Millisecond, func() {
					heal := s.network.Partition([]string{machineOf(first.PeerAddress)}, others)
					time.AfterFunc(breakFor, heal)
				})
				s.stop(first)
				before := s.order(last, ticket)
				time.Sleep(10 * time.Second)
				after := s.order(last, ticket)
				if before == http.StatusOK && after != http.StatusOK {
					t.Errorf("break at %d ms for %v: the order was done and then had status %d", offset, breakFor, after)
				}
				outcomes[before]++
				t.Logf("links broken at %d ms for %v: status %d, later %d", offset, breakFor, before, after)
				s.checkWhole(load.Result{})
			})
		}
	}
	t.Logf("statuses of the order after the handover: %v", outcomes)
	if outcomes[http.StatusOK] == 0 || len(outcomes) == 1 {
		t.Errorf("the breaks met no moment of the handover: statuses %v", outcomes)
	}
}

// startsIn counts the generations that started on a data centre's engines
// within a time.
func (s *site) startsIn(centre string, from, to time.Time) int {
	count := 0
	for _, e := range s.engines[centre] {
		for _, run := range e.Runs() {
			if run.Started.After(from) && run.Started.Before(to) {
				count++
			}
		}
	}
	return count
}

func (s *site) coldOverloads() int {
	count := 0
	for _, engines := range s.engines {
		for _, e := range engines {
			count += len(e.ColdOverloads())
		}
	}
	return count
}

// A data centre that is taken out gets no new work after 3 s, and gets work
// again when it is back; nothing is cut.
func TestDataCentreOutAndIn(t *testing.T) {
	t.Parallel()
	wholeSite(t, size{engines: 1, hosts: 3}, func(t *testing.T, s *site) {
		loaded := s.startLoad(2, 2*time.Minute, 2)
		time.Sleep(30 * time.Second)
		out := time.Now()
		s.publish(2, "laidley")
		time.Sleep(30 * time.Second)
		in := time.Now()
		if late := s.startsIn("laidley", out.Add(3*time.Second), in); late > 0 {
			t.Errorf("%d generations started in laidley later than 3 s after it was out", late)
		}
		s.publish(3)
		result := loaded()
		if again := s.startsIn("laidley", in, time.Now()); again == 0 {
			t.Error("laidley got no work after it was back")
		}
		if cold := s.coldOverloads(); cold > 0 {
			t.Errorf("%d times a cold engine got more than it can bear", cold)
		}
		s.checkWhole(result)
	})
}

// An endpoint that operators remove gets no new work after 3 s, and what runs
// there finishes.
func TestEndpointLeaves(t *testing.T) {
	t.Parallel()
	wholeSite(t, size{engines: 1, hosts: 3}, func(t *testing.T, s *site) {
		loaded := s.startLoad(2, time.Minute, 6)
		time.Sleep(20 * time.Second)
		left := time.Now()
		s.leaving = "10.2.2.1"
		s.publish(2)
		result := loaded()
		if before := s.startsIn("laidley", time.Time{}, left); before == 0 {
			t.Error("the endpoint had no work before it left")
		}
		if late := s.startsIn("laidley", left.Add(3*time.Second), time.Now()); late > 0 {
			t.Errorf("%d generations started on the endpoint later than 3 s after it was leaving", late)
		}
		s.checkWhole(result)
	})
}

// The service is down for ten minutes under load, and a host is replaced
// meanwhile.
func TestWholeSiteWithoutService(t *testing.T) {
	t.Parallel()
	wholeSite(t, size{engines: 1, hosts: 1}, func(t *testing.T, s *site) {
		s.platform.SetDown(true)
		loaded := s.startLoad(0.5, 10*time.Minute, 3)
		time.Sleep(5 * time.Minute)
		position := s.config.Hosts[1]
		s.stop(position)
		<-s.start(position).host.Started()
		result := loaded()
		s.platform.SetDown(false)
		s.checkWhole(result)
	})
}

// A partition splits laidley from the rest for a minute while callers reach
// both sides, and a revision is published that one side learns only. Answers
// are honest, no order runs twice, no engine gets more than it bears, and both
// sides end at the new revision.
func TestPartitionUnderLoad(t *testing.T) {
	t.Parallel()
	wholeSite(t, size{engines: 1, hosts: 3}, func(t *testing.T, s *site) {
		loaded := s.startLoad(2, 3*time.Minute, 4)
		time.Sleep(20 * time.Second)
		left := []string{"10.2.1.1", "10.2.1.2", "10.2.1.3", "10.2.2.1", "10.2.3.1"}
		right := []string{_platform}
		for _, i := range []int{1, 3} {
			for j := range 3 {
				right = append(right, fmt.Sprintf("10.%d.1.%d", i, j+1))
			}
			right = append(right, fmt.Sprintf("10.%d.2.1", i), fmt.Sprintf("10.%d.3.1", i))
		}
		heal := s.network.Partition(left, right)
		time.Sleep(10 * time.Second)
		s.publish(2)
		time.Sleep(50 * time.Second)
		heal()
		time.Sleep(14 * time.Second)
		for _, position := range s.config.Hosts {
			if got := s.processes[position.Name].host.Status().Revision; got != 2 {
				t.Errorf("%s is at revision %d after the partition, want 2", position.Name, got)
			}
		}
		result := loaded()
		if cold := s.coldOverloads(); cold > 0 {
			t.Errorf("%d times a cold engine got more than it can bear", cold)
		}
		s.checkHonest(result)
	})
}

// The configuration asks for another version of the model: every engine is
// ordered to load it once, by one steward, below the rate; callers are not cut.
func TestEngineOrdersFollowConfiguration(t *testing.T) {
	t.Parallel()
	wholeSite(t, size{engines: 1, hosts: 3}, func(t *testing.T, s *site) {
		loaded := s.startLoad(0.5, 4*time.Minute, 5)
		time.Sleep(time.Minute)
		s.version = "2"
		s.publish(2)
		result := loaded()
		var loads []time.Time
		for centre, engines := range s.engines {
			for _, e := range engines {
				orders := e.Orders()
				if len(orders) != 1 || orders[0].Refused || orders[0].Order.Version != "2" {
					t.Errorf("orders to the engine of %s: %+v, want one to load version 2", centre, orders)
				}
				for _, order := range orders {
					loads = append(loads, order.At)
				}
			}
		}
		t.Logf("loads at %v", loads)
		s.checkWhole(result)
	})
}
