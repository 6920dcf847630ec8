package proof_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/core/procs/slots"
	"apricotproxy/core/versn/confg"
	"apricotproxy/fakes/engine"
	"apricotproxy/fakes/memnet"
	"apricotproxy/fakes/plain"
	"apricotproxy/fakes/platf"
	"apricotproxy/io/host"
)

// The tests of a whole fleet run nine complete entry hosts in one process, in the
// virtual time of testing/synctest. The hosts communicate over an in-memory network
// with fakes of the engines, the plain services and the platform.

const (
	_site            = "proof"
	_platformAddress = "10.0.0.9:80"
	_base            = `
[Ports]
Caller = 8080
Peer = 7443
Endpoint = 9000

[Defaults Engine]
ColdSlots = 2
WarmSlots = 12
MemoryTokens = 1500
ChecksFencing = yes

[Defaults Plain]
ColdSlots = 2
WarmSlots = 8

[Limits]
RequestTimeout = 60s
QueueTimeout = 20s
LeaseTerm = 2s
ConfigSpread = 4s
DrainNotice = 4s
WarmProof = 2
TicketTerm = 5m
ReportInterval = 1s
`
)

// siteChanges are the settings that operators change from revision to revision.
type siteChanges struct {
	out     map[string]bool // data centres out of service
	leaving map[string]bool // endpoint machines that are leaving
}

var _dataCentres = []string{"a", "b", "c"}

// overlay returns the site's overlay: three hosts, two engines and one endpoint of
// the plain service in each data centre.
func overlay(changes siteChanges) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[Site]\nName = %s\nRegion = r\n", _site)
	for i, dc := range _dataCentres {
		inService := "yes"
		if changes.out[dc] {
			inService = "no"
		}
		fmt.Fprintf(&b, "\n[DataCentre %s]\nInService = %s\nHosts = 10.%d.1.[1-3]\n", dc, inService, i+1)
	}
	b.WriteString("\n[Service draft]\nKind = Engine\nModel = m\nVersion = 1\n")
	b.WriteString("\n[Service desk]\nKind = Plain\nRepeatableCalls = look\nUnrepeatableCalls = book\n")
	for i, dc := range _dataCentres {
		fmt.Fprintf(&b, "\n[Endpoints draft.%s]\nAddresses = 10.%d.2.[1-2]\n", dc, i+1)
		var leaving []string
		for _, machine := range engineMachines(i) {
			if changes.leaving[machine] {
				leaving = append(leaving, machine)
			}
		}
		if leaving != nil {
			fmt.Fprintf(&b, "Leaving = %s\n", strings.Join(leaving, ", "))
		}
		fmt.Fprintf(&b, "\n[Endpoints desk.%s]\nAddresses = 10.%d.3.1\n", dc, i+1)
	}
	b.WriteString("\n[Workspaces all]\nNames = w-[1-3]\nServices = draft, desk\n")
	return b.String()
}

func engineMachines(dataCentre int) []string {
	return []string{fmt.Sprintf("10.%d.2.1", dataCentre+1), fmt.Sprintf("10.%d.2.2", dataCentre+1)}
}

// process is one incarnation of an entry host.
type process struct {
	spec            core.Host // the host's entry in the configuration
	host            *host.Host
	cancel          context.CancelFunc
	done            chan struct{}
	err             error
	killed          bool
	highestRevision core.Revision
}

func (p *process) machine() string { return memnet.Addr(p.spec.PeerAddress).Machine() }

// machine returns the machine of the host at an index of the host list.
func (c *cluster) machine(i int) string { return memnet.Addr(c.hosts[i].PeerAddress).Machine() }

// randomInt returns a random number from 0 to n-1.
func (c *cluster) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// cluster is the fleet under test with its network, endpoints and platform.
type cluster struct {
	t             *testing.T
	seed          uint64
	random        *rand.Rand
	switches      host.Switches
	network       *memnet.Network
	platform      *platf.Platform
	engines       map[string]*engine.Engine // by machine
	plainServices map[string]*plain.Service
	servers       []*http.Server
	// unplannedFaults is true if any fault of the run is not planned.
	unplannedFaults bool
	// hosts is the configured host list. It does not change during a run.
	hosts []core.Host
	// replacing holds one semaphore per host. It is acquired while the host's process
	// is being replaced.
	replacing []chan struct{}

	mu               sync.Mutex
	config           core.Config
	changes          siteChanges
	processes        []*process // by index in hosts
	processesStarted int
	killedProcesses  []*process
	violations       []string
	exclusions       []exclusion
	trace            []string
	stopped          chan struct{}
}

// exclusion is a period in which machines must receive no new requests.
type exclusion struct {
	machines []string
	from     time.Time
	// until is when the machines are in service again; zero if they stay excluded.
	until time.Time
}

// newCluster starts the platform, the endpoints and all hosts. The caller sets and
// restores the handler of broken promises.
func newCluster(t *testing.T, seed uint64, switches host.Switches) *cluster {
	c := &cluster{
		t:             t,
		seed:          seed,
		random:        rand.New(rand.NewPCG(seed, 0)),
		switches:      switches,
		network:       memnet.New(time.Millisecond),
		platform:      platf.New(platf.Config{ListLag: 2 * time.Second, ReadsPerSecond: 2000, LoadsPerMinute: 60}),
		engines:       map[string]*engine.Engine{},
		plainServices: map[string]*plain.Service{},
		changes:       siteChanges{out: map[string]bool{}, leaving: map[string]bool{}},
		stopped:       make(chan struct{}),
	}
	c.serve(_platformAddress, c.platform)
	for i := range _dataCentres {
		for _, machine := range engineMachines(i) {
			e := engine.New(engine.Config{
				Seed:           seed,
				Model:          core.LoadedModel{Model: "m", Version: "1"},
				MemoryTokens:   1500,
				WarmAfter:      3,
				RestartAfter:   5 * time.Second,
				ReportLag:      300 * time.Millisecond,
				CacheLag:       time.Second,
				DropCacheEvery: 7,
				ChecksFencing:  true,
			})
			c.engines[machine] = e
			c.serve(machine+":9000", e)
		}
		machine := fmt.Sprintf("10.%d.3.1", i+1)
		c.plainServices[machine] = plain.New(plain.Config{CallTime: 50 * time.Millisecond})
		c.serve(machine+":9000", c.plainServices[machine])
	}
	c.publish()
	c.hosts = c.config.Hosts
	c.processes = make([]*process, len(c.hosts))
	for i := range c.hosts {
		c.replacing = append(c.replacing, make(chan struct{}, 1))
		c.start(i)
	}
	c.publishHosts()
	go c.watchRevisions()
	return c
}

func (c *cluster) serve(address string, handler http.Handler) {
	listener, err := c.network.Listen("tcp", address)
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }()
}

// publish publishes the unchanged site as the next revision.
func (c *cluster) publish() { c.changeSite(func(siteChanges) {}) }

// changeSite applies a change to the site and publishes it as the next revision.
func (c *cluster) changeSite(change func(siteChanges)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.changes)
	bundle := core.Bundle{Revision: c.config.Revision + 1, Base: _base, Overlay: overlay(c.changes)}
	config, err := confg.Parse(bundle, _site)
	if err != nil {
		c.t.Fatal(err)
	}
	c.config = config
	if err := c.platform.PublishBundle(_site, bundle); err != nil {
		c.t.Fatal(err)
	}
}

// publishHosts sets the platform's host list to the hosts whose process was not
// killed.
func (c *cluster) publishHosts() {
	var hosts []core.ListedHost
	c.mu.Lock()
	for _, p := range c.processes {
		if p != nil && !p.killed {
			hosts = append(hosts, core.ListedHost{Host: p.spec.Name, Address: p.spec.PeerAddress})
		}
	}
	c.mu.Unlock()
	c.platform.SetHosts(hosts)
}

// start starts a new process for the host at an index of the host list.
func (c *cluster) start(i int) {
	spec := c.hosts[i]
	c.mu.Lock()
	c.processesStarted++
	number := c.processesStarted
	c.mu.Unlock()
	machine := c.machine(i)
	h, err := host.New(host.Settings{
		Site:          _site,
		Self:          core.HostID{Host: spec.Name, Incarnation: core.Incarnation(time.Now().UnixNano() + int64(number))},
		CallerAddress: spec.CallerAddress,
		PeerAddress:   spec.PeerAddress,
		Platform:      _platformAddress,
		Dialer:        c.network.Dialer(machine),
		Listen:        c.network.Listen,
		Logger:        logr.Discard(),
		Seed:          c.seed<<16 + uint64(number),
		Switches:      c.switches,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{spec: spec, host: h, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = h.Run(ctx)
	}()
	c.mu.Lock()
	c.processes[i] = p
	c.mu.Unlock()
}

// kill cuts a host off from the network at once, without notice, as a crash would.
func (c *cluster) kill(i int) {
	c.mu.Lock()
	p := c.processes[i]
	p.killed = true
	c.killedProcesses = append(c.killedProcesses, p)
	c.mu.Unlock()
	c.network.Isolate(p.machine())
	// The process itself cannot be killed, so it stops while isolated.
	p.cancel()
}

// replace performs a planned stop of a host's process and starts another one in its
// place.
func (c *cluster) replace(i int) {
	c.mu.Lock()
	p := c.processes[i]
	c.mu.Unlock()
	p.cancel()
	c.awaitStop(p)
	if p.err != nil {
		c.recordViolation("planned stop of %s: %v", p.spec.Name, p.err)
	}
	c.start(i)
	c.publishHosts()
}

// recordViolation records a broken promise.
func (c *cluster) recordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *cluster) addExclusion(x exclusion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exclusions = append(c.exclusions, x)
}

// addTrace adds a line to the trace, which is printed if the run fails.
func (c *cluster) addTrace(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)).Round(time.Millisecond)
	c.trace = append(c.trace, fmt.Sprintf("%8s ", at)+fmt.Sprintf(format, args...))
}

// watchRevisions records a violation when the revision in force on a process
// decreases. It samples the revisions every 100 ms.
func (c *cluster) watchRevisions() {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-c.stopped:
			return
		case <-tick.C:
		}
		c.mu.Lock()
		processes := slices.Clone(c.processes)
		c.mu.Unlock()
		for _, p := range processes {
			revision := p.host.Status().Revision
			if revision < p.highestRevision {
				c.recordViolation("%s went back from revision %d to %d", p.spec.Name, p.highestRevision, revision)
			}
			p.highestRevision = max(p.highestRevision, revision)
		}
	}
}

// stop stops all hosts, endpoints and servers.
func (c *cluster) stop() {
	close(c.stopped)
	for _, p := range c.processes {
		p.cancel()
	}
	for _, p := range append(slices.Clone(c.processes), c.killedProcesses...) {
		c.awaitStop(p)
	}
	if len(c.killedProcesses) > 0 {
		// A killed process may leave goroutines behind, which a real crash would
		// have ended. They get time to return. A planned stop may leave none.
		time.Sleep(_stopTimeout)
	}
	for _, e := range c.engines {
		e.Kill()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// _stopTimeout is the virtual time within which each process must stop.
const _stopTimeout = 10 * time.Minute

// awaitStop waits until a process has stopped. It panics if the process does not
// stop within _stopTimeout, since nothing else can end it.
func (c *cluster) awaitStop(p *process) {
	select {
	case <-p.done:
	case <-time.After(_stopTimeout):
		panic(fmt.Sprintf("seed %d: %s did not stop within %v; violations: %v; trace:\n%s",
			c.seed, p.spec.Name, _stopTimeout, c.violations, strings.Join(c.trace, "\n")))
	}
}

// reactionTime is the longest time that the fleet may take to react to a change at
// an endpoint: the validity of a report plus the lag of its content.
func (c *cluster) reactionTime() time.Duration {
	terms := slots.TermsOf(c.config.Limits)
	return terms.Validity + terms.Lag
}

// recordBrokenPromises records the promises that the hosts themselves find broken as
// violations of the run.
func recordBrokenPromises(c *cluster) (restore func()) {
	return invar.SetHandler(func(v *invar.Violation) { c.recordViolation("assertion: %v", v) })
}
