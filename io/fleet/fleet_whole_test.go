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

// The tests in this file run a whole site in one synctest bubble. By default it has three
// data centres with entry hosts, engines and a plain worker each, a platform, and a load
// balancer. The balancer picks hosts from a list that follows their readiness with a lag.

const (
	_listLag  = 3 * time.Second
	_balancer = "balancer:8080"
)

var _centres = []string{"gatton", "laidley", "forest-hill"}

const _siteBase = `
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

// site is the site under test.
type site struct {
	t              *testing.T
	network        *memnet.Network
	platform       *fakeplatf.Platform
	engines        map[string][]*engine.Engine // by data centre
	workers        []*plain.Service
	servers        []*http.Server
	config         core.Config
	spec           siteSpec
	modelVersion   string // in the configuration
	switches       fleet.Switches
	leavingAddress string // address of an engine that the configuration marks as leaving

	mu        sync.Mutex
	processes map[core.HostName]*process
	// listed is the balancer's list: true for hosts that it sends requests to.
	listed     map[core.HostName]bool
	nextTarget int // position of the balancer in its round robin
}

// process is one process of a host.
type process struct {
	host   *host.Host
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// siteSpec describes a site.
type siteSpec struct {
	// centres lists the data centres. The default is _centres.
	centres          []string
	enginesPerCentre int
	hostsPerCentre   int
	// batchKnee is BatchKnee of the engines, 0 for none.
	batchKnee int
	// memoryTokens is MemoryTokens of the engines. The default is 8000.
	memoryTokens int64
	// policy builds the routing policy of a baseline. If it is nil, hosts use the
	// product's policy.
	policy func() core.RoutePolicy
}

// runSite runs a test of a site in virtual time.
func runSite(t *testing.T, spec siteSpec, test func(*testing.T, *site)) {
	if spec.memoryTokens == 0 {
		spec.memoryTokens = 8000
	}
	if spec.centres == nil {
		spec.centres = _centres
	}
	synctest.Test(t, func(t *testing.T) {
		s := &site{
			t:            t,
			network:      memnet.New(time.Millisecond),
			platform:     fakeplatf.New(fakeplatf.Config{ReadsPerSecond: 2000, ListLag: _listLag, LoadsPerMinute: 60}),
			engines:      make(map[string][]*engine.Engine),
			spec:         spec,
			modelVersion: "1",
			processes:    make(map[core.HostName]*process),
			listed:       make(map[core.HostName]bool),
		}
		s.serve(_platform+":80", s.platform)
		for i, centre := range spec.centres {
			for j := range spec.enginesPerCentre {
				e := engine.New(engine.Config{
					Seed: uint64(10*i + j), Model: core.LoadedModel{Model: "m", Version: "1"},
					MemoryTokens: spec.memoryTokens, ColdLimit: 2, WarmAfter: 3, StartWarm: true, BatchKnee: spec.batchKnee,
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
		time.Sleep(20 * time.Second) // until slots are open and the balancer's list is complete
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

// publish publishes a revision in which the given data centres are out of service.
func (s *site) publish(revision core.Revision, out ...string) {
	var b strings.Builder
	b.WriteString("[Site]\nName = whole\nRegion = r\n")
	for i, centre := range s.spec.centres {
		inService := "yes"
		if strings.Contains(strings.Join(out, " "), centre) {
			inService = "no"
		}
		fmt.Fprintf(&b, "\n[DataCentre %s]\nInService = %s\nHosts = 10.%d.1.[1-%d]\n", centre, inService, i+1, s.spec.hostsPerCentre)
	}
	fmt.Fprintf(&b, "\n[Service draft]\nKind = Engine\nModel = m\nVersion = %s\n", s.modelVersion)
	b.WriteString("\n[Service desk]\nKind = Plain\nRepeatableCalls = look\nUnrepeatableCalls = book\n")
	for i, centre := range s.spec.centres {
		fmt.Fprintf(&b, "\n[Endpoints draft.%s]\nAddresses = 10.%d.2.[1-%d]\n", centre, i+1, s.spec.enginesPerCentre)
		if strings.HasPrefix(s.leavingAddress, fmt.Sprintf("10.%d.", i+1)) {
			fmt.Fprintf(&b, "Leaving = %s\n", s.leavingAddress)
		}
		fmt.Fprintf(&b, "\n[Endpoints desk.%s]\nAddresses = 10.%d.3.1\n", centre, i+1)
	}
	b.WriteString("\n[Workspaces all]\nNames = w-1, w-2\nServices = draft, desk\n")
	bundle := core.Bundle{Revision: revision, Base: fmt.Sprintf(_siteBase, s.spec.memoryTokens), Overlay: b.String()}
	config, err := confg.Parse(bundle, "whole")
	if err != nil {
		s.t.Fatal(err)
	}
	s.config = config
	if err := s.platform.PublishBundle("whole", bundle); err != nil {
		s.t.Fatal(err)
	}
}

// machineOf returns the machine of an address in the simulated network.
func machineOf(address string) string { return memnet.Addr(address).Machine() }

// start starts a new process of a configured host.
func (s *site) start(position core.Host) *process {
	id := core.HostID{Host: position.Name, Incarnation: core.Incarnation(time.Now().UnixNano())}
	started, err := host.New(host.Settings{
		Site: "whole", Self: id, CallerAddress: position.CallerAddress, PeerAddress: position.PeerAddress,
		Platform: _platform + ":80", Seeds: []string{s.config.Hosts[0].PeerAddress},
		Dialer: s.network.Dialer(machineOf(position.PeerAddress)), Listen: s.network.Listen,
		Logger: logr.Discard(), Seed: uint64(len(s.processes) + 1),
		Switches: host.Switches{Fleet: s.switches, Policy: s.spec.policy},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{host: started, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = started.Run(ctx)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes[position.Name] = p
	go func() {
		<-started.Started()
		s.listAfterLag(position.Name, true)
	}()
	return p
}

// stop makes a planned stop of a host and waits for its exit.
func (s *site) stop(position core.Host) {
	p := s.processes[position.Name]
	p.cancel()
	go s.listAfterLag(position.Name, false)
	<-p.done
	if p.err != nil {
		s.t.Errorf("%s: %v", position.Name, p.err)
	}
}

// listAfterLag changes the balancer's list after its lag.
func (s *site) listAfterLag(name core.HostName, ready bool) {
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
	time.Sleep(5 * time.Second) // until the servers have closed their connections
}

// DialContext dials for callers. The address of the balancer leads to a listed host, chosen
// round robin.
func (s *site) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if address != _balancer {
		return s.network.Dialer("callers").DialContext(ctx, network, address)
	}
	return s.network.Dialer("callers").DialContext(ctx, network, s.pickTarget())
}

func (s *site) pickTarget() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range s.config.Hosts {
		s.nextTarget++
		position := s.config.Hosts[s.nextTarget%len(s.config.Hosts)]
		if s.listed[position.Name] {
			return position.CallerAddress
		}
	}
	return s.config.Hosts[0].CallerAddress
}

// load sends drafts, lookups, calls and orders through the balancer and returns the
// results.
func (s *site) load(rate float64, duration time.Duration, seed uint64) load.Result {
	result, err := load.Run(context.Background(), load.Settings{
		Targets: []string{_balancer}, Rate: rate, Duration: duration, AnswerTimeout: 5 * time.Minute,
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

// checkNoInterruption checks the same as checkOutcomes, and that no request had the
// outcome Interrupted or Unknown.
func (s *site) checkNoInterruption(result load.Result) {
	s.t.Helper()
	s.checkOutcomes(result)
	for _, kind := range result.Kinds {
		if count := kind.Interrupted + kind.Unknown; count > 0 {
			s.t.Errorf("%s: %d requests were interrupted or have an unknown outcome: %v", kind.Kind, count, result.Details)
		}
	}
}

// checkOutcomes checks that every request was sent, reached a host and had a consistent
// outcome, and that no order ran twice.
func (s *site) checkOutcomes(result load.Result) {
	s.t.Helper()
	for _, kind := range result.Kinds {
		s.t.Logf("%-7s sent %4d done %4d not run %d interrupted %d unknown %d broken %d unreached %d; "+
			"first token p50 %.0f p99 %.0f ms, between p99 %.0f ms", kind.Kind, kind.Sent, kind.Done, kind.NotRun,
			kind.Interrupted, kind.Unknown, kind.Broken, kind.Unreached,
			kind.FirstToken.P50Millis, kind.FirstToken.P99Millis, kind.Between.P99Millis)
		if count := kind.Broken + kind.Unreached + kind.Skipped; count > 0 {
			s.t.Errorf("%s: %d requests were broken, unreached or skipped: %v", kind.Kind, count, result.Details)
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

// startLoad runs load in the background. The returned function waits for the results.
func (s *site) startLoad(rate float64, duration time.Duration, seed uint64) func() load.Result {
	result := make(chan load.Result, 1)
	go func() { result <- s.load(rate, duration, seed) }()
	return func() load.Result { return <-result }
}

// post sends a request to one host, as a caller does, and returns the status and the
// decoded body of the answer.
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

func (s *site) newTicket(position core.Host) string {
	status, answer := s.post(position, "/v1/tickets", map[string]int{"Count": 1})
	tickets, ok := answer["Tickets"].([]any)
	if status != http.StatusOK || !ok || len(tickets) != 1 {
		s.t.Fatalf("a ticket at %s: %d %v", position.Name, status, answer)
	}
	return tickets[0].(string)
}

func (s *site) sendOrder(position core.Host, ticket string) int {
	status, answer := s.post(position, "/v1/orders", map[string]any{
		"Ticket": ticket, "Service": "desk", "Call": "book", "Body": map[string]int{"Turn": 1},
	})
	if status != http.StatusOK {
		s.t.Logf("the order at %s: %d %v", position.Name, status, answer)
	}
	return status
}

// All nine hosts are replaced one after the other under load. No answer is interrupted,
// every order runs at most once, and an order with the ticket of a host that has stopped
// succeeds at another host.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	runSite(t, siteSpec{enginesPerCentre: 1, hostsPerCentre: 3}, func(t *testing.T, s *site) {
		waitForLoad := s.startLoad(2, 4*time.Minute, 1)
		for i, position := range s.config.Hosts {
			next := s.config.Hosts[(i+1)%len(s.config.Hosts)]
			ticket := s.newTicket(position)
			s.stop(position)
			<-s.start(position).host.Started()
			time.Sleep(2 * time.Second)
			for range 2 {
				if status := s.sendOrder(next, ticket); status != http.StatusOK {
					t.Errorf("the order of %s after it stopped: status %d", position.Name, status)
				}
			}
		}
		result := waitForLoad()
		s.checkNoInterruption(result)
	})
}

// Two hosts stop at the same time. Orders with the tickets of both succeed at a third
// host, whichever host took over the ledgers.
func TestTwoHostsStopAtOnce(t *testing.T) {
	t.Parallel()
	runSite(t, siteSpec{enginesPerCentre: 1, hostsPerCentre: 3}, func(t *testing.T, s *site) {
		first, second, third := s.config.Hosts[0], s.config.Hosts[1], s.config.Hosts[2]
		tickets := []string{s.newTicket(first), s.newTicket(second)}
		var stops sync.WaitGroup
		stops.Go(func() { s.stop(first) })
		stops.Go(func() { s.stop(second) })
		stops.Wait()
		for _, ticket := range tickets {
			if status := s.sendOrder(third, ticket); status != http.StatusOK {
				t.Errorf("an order of a host that has stopped: status %d", status)
			}
		}
		s.checkNoInterruption(load.Result{})
	})
}

// A ledger that moved several times is found, also by hosts that started after its moves.
func TestLedgerMovesFromHostToHost(t *testing.T) {
	t.Parallel()
	runSite(t, siteSpec{enginesPerCentre: 1, hostsPerCentre: 3}, func(t *testing.T, s *site) {
		ticket := s.newTicket(s.config.Hosts[0])
		for _, position := range s.config.Hosts[:8] {
			s.stop(position)
			<-s.start(position).host.Started()
			time.Sleep(2 * time.Second)
		}
		if status := s.sendOrder(s.config.Hosts[0], ticket); status != http.StatusOK {
			t.Errorf("the order after eight moves: status %d", status)
		}
		s.checkNoInterruption(load.Result{})
	})
}

// A stopping host loses the network links to all other hosts at different moments of the
// ledger handover, as if the new holder had died. The links come back before the host
// gives up the handover, or after. An order with its ticket runs at most once, and a
// caller that got its result gets it again.
func TestLinksBreakDuringHandover(t *testing.T) {
	t.Parallel()
	outcomes := make(map[int]int)
	for _, breakFor := range []time.Duration{5 * time.Second, time.Minute} {
		for _, offset := range []time.Duration{0, 1, 2, 3, 4, 6} {
			runSite(t, siteSpec{enginesPerCentre: 1, hostsPerCentre: 1}, func(t *testing.T, s *site) {
				first, last := s.config.Hosts[0], s.config.Hosts[2]
				ticket := s.newTicket(first)
				var others []string
				for _, position := range s.config.Hosts[1:] {
					others = append(others, machineOf(position.PeerAddress))
				}
				time.AfterFunc(s.config.Limits.DrainNotice+offset*time.Millisecond, func() {
					heal := s.network.Partition([]string{machineOf(first.PeerAddress)}, others)
					time.AfterFunc(breakFor, heal)
				})
				s.stop(first)
				before := s.sendOrder(last, ticket)
				time.Sleep(10 * time.Second)
				after := s.sendOrder(last, ticket)
				if before == http.StatusOK && after != http.StatusOK {
					t.Errorf("links broken at %d ms for %v: the order succeeded and then had status %d", offset, breakFor, after)
				}
				outcomes[before]++
				t.Logf("links broken at %d ms for %v: status %d, later %d", offset, breakFor, before, after)
				s.checkNoInterruption(load.Result{})
			})
		}
	}
	t.Logf("statuses of the order after the handover: %v", outcomes)
	if outcomes[http.StatusOK] == 0 || len(outcomes) == 1 {
		t.Errorf("no break affected the handover, or all did: statuses %v", outcomes)
	}
}

// generationsStarted returns the number of generations that started on a data centre's
// engines between two points in time.
func (s *site) generationsStarted(centre string, from, to time.Time) int {
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

// coldOverloads returns how often an engine got more than its cold limit.
func (s *site) coldOverloads() int {
	count := 0
	for _, engines := range s.engines {
		for _, e := range engines {
			count += len(e.ColdOverloads())
		}
	}
	return count
}

// A data centre that is taken out of service gets no new work after 3 s, and gets work
// again once it is back in service. No request is interrupted.
func TestDataCentreOutAndIn(t *testing.T) {
	t.Parallel()
	runSite(t, siteSpec{enginesPerCentre: 1, hostsPerCentre: 3}, func(t *testing.T, s *site) {
		waitForLoad := s.startLoad(2, 2*time.Minute, 2)
		time.Sleep(30 * time.Second)
		out := time.Now()
		s.publish(2, "laidley")
		time.Sleep(30 * time.Second)
		in := time.Now()
		if late := s.generationsStarted("laidley", out.Add(3*time.Second), in); late > 0 {
			t.Errorf("%d generations started in laidley later than 3 s after it was taken out of service", late)
		}
		s.publish(3)
		result := waitForLoad()
		if again := s.generationsStarted("laidley", in, time.Now()); again == 0 {
			t.Error("laidley got no work after it was back in service")
		}
		if cold := s.coldOverloads(); cold > 0 {
			t.Errorf("cold engines were overloaded %d times", cold)
		}
		s.checkNoInterruption(result)
	})
}

// An endpoint that the configuration marks as leaving gets no new work after 3 s, and the
// requests that run on it finish.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	t.Parallel()
	runSite(t, siteSpec{enginesPerCentre: 1, hostsPerCentre: 3}, func(t *testing.T, s *site) {
		waitForLoad := s.startLoad(2, time.Minute, 6)
		time.Sleep(20 * time.Second)
		left := time.Now()
		s.leavingAddress = "10.2.2.1"
		s.publish(2)
		result := waitForLoad()
		if before := s.generationsStarted("laidley", time.Time{}, left); before == 0 {
			t.Error("the endpoint had no work before it was leaving")
		}
		if late := s.generationsStarted("laidley", left.Add(3*time.Second), time.Now()); late > 0 {
			t.Errorf("%d generations started on the endpoint later than 3 s after it was leaving", late)
		}
		s.checkNoInterruption(result)
	})
}

// The configuration service is down for ten minutes under load, and a host is replaced
// meanwhile. No request is interrupted.
func TestSiteWithoutConfigService(t *testing.T) {
	t.Parallel()
	runSite(t, siteSpec{enginesPerCentre: 1, hostsPerCentre: 1}, func(t *testing.T, s *site) {
		s.platform.SetDown(true)
		waitForLoad := s.startLoad(0.5, 10*time.Minute, 3)
		time.Sleep(5 * time.Minute)
		position := s.config.Hosts[1]
		s.stop(position)
		<-s.start(position).host.Started()
		result := waitForLoad()
		s.platform.SetDown(false)
		s.checkNoInterruption(result)
	})
}

// A partition separates laidley from the rest for a minute while callers reach both
// sides, and only one side learns of a revision published meanwhile. No outcome is wrong,
// no order runs twice, no cold engine is overloaded, and afterwards both sides have the
// new revision.
func TestPartitionUnderLoad(t *testing.T) {
	t.Parallel()
	runSite(t, siteSpec{enginesPerCentre: 1, hostsPerCentre: 3}, func(t *testing.T, s *site) {
		waitForLoad := s.startLoad(2, 3*time.Minute, 4)
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
		result := waitForLoad()
		if cold := s.coldOverloads(); cold > 0 {
			t.Errorf("cold engines were overloaded %d times", cold)
		}
		s.checkOutcomes(result)
	})
}

// The configuration changes the version of the model. Every engine gets exactly one order
// to load it, from its steward, and no request is interrupted.
func TestEngineOrdersFollowConfiguration(t *testing.T) {
	t.Parallel()
	runSite(t, siteSpec{enginesPerCentre: 1, hostsPerCentre: 3}, func(t *testing.T, s *site) {
		waitForLoad := s.startLoad(0.5, 4*time.Minute, 5)
		time.Sleep(time.Minute)
		s.modelVersion = "2"
		s.publish(2)
		result := waitForLoad()
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
		s.checkNoInterruption(result)
	})
}
