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

// Nine whole hosts run in one process over a network in memory, with fakes for
// engines, plain services and the platform, in a testing/synctest bubble.

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

// siteChanges is what operators may change from revision to revision.
type siteChanges struct {
	out     map[string]bool // data centres out of service
	leaving map[string]bool // endpoint machines that are leaving
}

var _dataCentres = []string{"a", "b", "c"}

// overlay writes the site's overlay: three hosts, two engines and one plain
// worker in each data centre.
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

// process is one life of an entry host.
type process struct {
	position core.Host
	host     *host.Host
	cancel   context.CancelFunc
	done     chan struct{}
	err      error
	dead     bool
	highest  core.Revision
}

func (p *process) machine() string { return memnet.Addr(p.position.PeerAddress).Machine() }

// machine gives the machine of a roster position.
func (c *cluster) machine(i int) string { return memnet.Addr(c.hosts[i].PeerAddress).Machine() }

// draw gives a random number below n.
func (c *cluster) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// cluster is the fleet under test with all that surrounds it.
type cluster struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand
	switches host.Switches
	network  *memnet.Network
	platform *platf.Platform
	engines  map[string]*engine.Engine // by machine
	desks    map[string]*plain.Service
	servers  []*http.Server
	// faulty is true when other faults than planned ones take place.
	faulty bool
	// hosts is the roster, which stays as it is.
	hosts []core.Host
	// busy holds a token for each position whose process is being replaced.
	busy []chan struct{}

	mu        sync.Mutex
	config    core.Config
	changes   siteChanges
	processes []*process // by roster position
	lives     int
	zombies   []*process
	broken    []string
	moves     []move
	trace     []string
	stopped   chan struct{}
}

// move is a change after which endpoints must get no new work.
type move struct {
	machines []string
	from     time.Time
	// until is when the machines are in service again; zero for never.
	until time.Time
}

// newCluster starts everything. The handler of broken promises is the caller's
// to restore.
func newCluster(t *testing.T, seed uint64, switches host.Switches) *cluster {
	c := &cluster{
		t:        t,
		seed:     seed,
		random:   rand.New(rand.NewPCG(seed, 0)),
		switches: switches,
		network:  memnet.New(time.Millisecond),
		platform: platf.New(platf.Config{ListLag: 2 * time.Second, ReadsPerSecond: 2000, LoadsPerMinute: 60}),
		engines:  map[string]*engine.Engine{},
		desks:    map[string]*plain.Service{},
		changes:  siteChanges{out: map[string]bool{}, leaving: map[string]bool{}},
		stopped:  make(chan struct{}),
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
		c.desks[machine] = plain.New(plain.Config{CallTime: 50 * time.Millisecond})
		c.serve(machine+":9000", c.desks[machine])
	}
	c.publish()
	c.hosts = c.config.Hosts
	c.processes = make([]*process, len(c.hosts))
	for i := range c.hosts {
		c.busy = append(c.busy, make(chan struct{}, 1))
		c.start(i)
	}
	c.list()
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

// publish publishes the site as it is now under the next revision.
func (c *cluster) publish() { c.changeSite(func(siteChanges) {}) }

// changeSite publishes a change.
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

// list tells the platform's host list who lives.
func (c *cluster) list() {
	var hosts []core.ListedHost
	c.mu.Lock()
	for _, p := range c.processes {
		if p != nil && !p.dead {
			hosts = append(hosts, core.ListedHost{Host: p.position.Name, Address: p.position.PeerAddress})
		}
	}
	c.mu.Unlock()
	c.platform.SetHosts(hosts)
}

// start starts a new process at a roster position.
func (c *cluster) start(i int) {
	position := c.hosts[i]
	c.mu.Lock()
	c.lives++
	life := c.lives
	c.mu.Unlock()
	machine := c.machine(i)
	h, err := host.New(host.Settings{
		Site:          _site,
		Self:          core.HostID{Host: position.Name, Incarnation: core.Incarnation(time.Now().UnixNano() + int64(life))},
		CallerAddress: position.CallerAddress,
		PeerAddress:   position.PeerAddress,
		Platform:      _platformAddress,
		Dialer:        c.network.Dialer(machine),
		Listen:        c.network.Listen,
		Logger:        logr.Discard(),
		Seed:          c.seed<<16 + uint64(life),
		Switches:      c.switches,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{position: position, host: h, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = h.Run(ctx)
	}()
	c.mu.Lock()
	c.processes[i] = p
	c.mu.Unlock()
}

// kill ends a process without notice.
func (c *cluster) kill(i int) {
	c.mu.Lock()
	p := c.processes[i]
	p.dead = true
	c.zombies = append(c.zombies, p)
	c.mu.Unlock()
	c.network.Isolate(p.machine())
	// What is left of the process runs out in isolation.
	p.cancel()
}

// replace stops a process as planned and starts another at its position.
func (c *cluster) replace(i int) {
	c.mu.Lock()
	p := c.processes[i]
	c.mu.Unlock()
	p.cancel()
	c.await(p)
	if p.err != nil {
		c.fail("planned stop of %s: %v", p.position.Name, p.err)
	}
	c.start(i)
	c.list()
}

// fail records a broken promise.
func (c *cluster) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

func (c *cluster) addMove(m move) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moves = append(c.moves, m)
}

// note adds a line to the trace that a failing run prints.
func (c *cluster) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)).Round(time.Millisecond)
	c.trace = append(c.trace, fmt.Sprintf("%8s ", at)+fmt.Sprintf(format, args...))
}

// watchRevisions requires that no process ever goes back to a lower revision.
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
			if revision < p.highest {
				c.fail("%s went from revision %d to %d", p.position.Name, p.highest, revision)
			}
			p.highest = max(p.highest, revision)
		}
	}
}

// stop ends everything.
func (c *cluster) stop() {
	close(c.stopped)
	for _, p := range c.processes {
		p.cancel()
	}
	for _, p := range append(slices.Clone(c.processes), c.zombies...) {
		c.await(p)
	}
	if len(c.zombies) > 0 {
		// A process that dies leaves goroutines behind, which a real death
		// would have ended; a planned stop may leave none.
		time.Sleep(_stopBound)
	}
	for _, e := range c.engines {
		e.Kill()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// _stopBound is virtual time in which each process must have stopped.
const _stopBound = 10 * time.Minute

// await waits until a process has stopped. One that never does cannot be ended
// from outside, so that the whole run ends here.
func (c *cluster) await(p *process) {
	select {
	case <-p.done:
	case <-time.After(_stopBound):
		panic(fmt.Sprintf("seed %d: %s has not stopped in %v; broken: %v; trace:\n%s",
			c.seed, p.position.Name, _stopBound, c.broken, strings.Join(c.trace, "\n")))
	}
}

// settle is how long the fleet may take to act on what changed at an endpoint:
// a report is acted on for its validity, and its content lags.
func (c *cluster) settle() time.Duration {
	terms := slots.TermsOf(c.config.Limits)
	return terms.Validity + terms.Lag
}

// collectBroken makes broken promises of the program fail the run.
func collectBroken(c *cluster) (restore func()) {
	return invar.SetHandler(func(v *invar.Violation) { c.fail("in the program: %v", v) })
}
