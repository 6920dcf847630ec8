package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotproxy/core"
	fakeplatf "apricotproxy/fakes/platf"

	"apricotproxy/fakes/memnet"
	"apricotproxy/io/fleet"
	"apricotproxy/io/peers"
	"apricotproxy/io/platf"
	"apricotproxy/io/wire"
)

const (
	_port     = ":7443"
	_platform = "platform"
	_site     = core.SiteName("test")
)

// parse decodes the bundles of the tests. The base lists the hosts, the overlay the data
// centres that are out of service. A base that contains "invalid" is rejected.
func parse(bundle core.Bundle) (core.Config, error) {
	if strings.Contains(bundle.Base, "invalid") {
		return core.Config{}, errors.New("base.ini:1: the text is invalid")
	}
	config := core.Config{
		DataCentres: []core.DataCentre{{Name: "a", InService: !strings.Contains(bundle.Overlay, "a")}},
		Limits: core.Limits{
			HeartbeatInterval: time.Second, TicketTerm: time.Hour, ServiceReads: 20,
			ConfigSpread: 14 * time.Second, DrainNotice: 5 * time.Second,
		},
	}
	for name := range strings.FieldsSeq(bundle.Base) {
		host := core.Host{Name: core.HostName(name), DataCentre: "a", PeerAddress: name + _port}
		config.Hosts = append(config.Hosts, host)
	}
	return config, nil
}

// cluster is a group of hosts and a platform in one synctest bubble.
type cluster struct {
	t        *testing.T
	network  *memnet.Network
	platform *fakeplatf.Platform
	server   *http.Server
	served   sync.WaitGroup
	hosts    map[string]*testHost
	names    []string
}

// testHost is an entry host: its fleet, and a fake for the rest of the host.
type testHost struct {
	fleet *fleet.Fleet
	stop  func()

	mu           sync.Mutex
	applied      core.Config
	inForce      time.Time
	acknowledged map[core.HostID]core.Revision
	supersededBy core.HostID
	running      int
	refusing     bool
	holder       core.HostID
	snapshot     []byte
	auditCounts  map[core.AuditKind]int
}

func newCluster(t *testing.T, count int) *cluster {
	c := &cluster{
		t:        t,
		network:  memnet.New(time.Millisecond),
		platform: fakeplatf.New(fakeplatf.Config{ReadsPerSecond: 2000, ListLag: 5 * time.Second}),
		hosts:    make(map[string]*testHost),
	}
	for i := range count {
		c.names = append(c.names, fmt.Sprintf("entry-%d", i+1))
	}
	l, err := c.network.Listen("tcp", _platform+_port)
	if err != nil {
		t.Fatal(err)
	}
	c.server = &http.Server{Handler: c.platform}
	c.served.Go(func() { _ = c.server.Serve(l) })
	c.publish(7, "")
	return c
}

// publish publishes a revision that lists all hosts.
func (c *cluster) publish(revision core.Revision, overlay string) {
	c.publishBundle(revision, strings.Join(c.names, " "), overlay)
}

func (c *cluster) publishBundle(revision core.Revision, base, overlay string) {
	err := c.platform.PublishBundle(_site, core.Bundle{Revision: revision, Base: base, Overlay: overlay})
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) startAll() {
	for _, name := range c.names {
		c.start(name)
	}
	time.Sleep(3 * time.Second)
}

// stub serves the peer protocol: the fleet's calls with the fleet, Snapshot with a fake
// answer. It panics on all other calls.
type stub struct {
	*fleet.Fleet
	wire.Peer
	host *testHost
}

func (s stub) Heartbeat(ctx context.Context, q *wire.HeartbeatRequest) (*wire.HeartbeatReply, error) {
	return s.Fleet.Heartbeat(ctx, q)
}

func (s stub) FetchRevision(ctx context.Context, q *wire.FetchRevisionRequest) (*wire.FetchRevisionReply, error) {
	return s.Fleet.FetchRevision(ctx, q)
}

func (s stub) Snapshot(context.Context, *wire.SnapshotRequest) (*wire.SnapshotReply, error) {
	return &wire.SnapshotReply{Decider: []byte("estimates")}, nil
}

func (c *cluster) start(name string) *testHost {
	h := &testHost{acknowledged: make(map[core.HostID]core.Revision), auditCounts: make(map[core.AuditKind]int)}
	dialer := c.network.Dialer(name)
	pool := peers.NewPool(peers.Settings{Dialer: dialer})
	client := platf.New(platf.Settings{Address: _platform + _port, Dialer: dialer})
	h.fleet = fleet.New(fleet.Settings{
		Self:          core.HostID{Host: core.HostName(name), Incarnation: core.Incarnation(time.Now().UnixNano())},
		Site:          _site,
		Seeds:         []string{c.names[0] + _port, c.names[len(c.names)-1] + _port},
		ConfigService: client,
		HostList:      client,
		PeerClient:    pool.Client,
		Parse:         parse,
		Seed:          uint64(len(name)) + uint64(name[len(name)-1]),
		Auditor:       h,
		Callbacks:     h.callbacks(pool, client),
	})
	server := peers.NewServer(peers.NewHandler(peers.Guard(stub{Fleet: h.fleet, host: h}, h.fleet.CheckSender)))
	l, err := c.network.Listen("tcp", name+_port)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = server.Serve(l) })
	done.Go(func() { _ = h.fleet.Run(ctx) })
	h.stop = sync.OnceFunc(func() {
		cancel()
		_ = server.Close()
		pool.Close()
		client.Close()
		done.Wait()
	})
	c.hosts[name] = h
	return h
}

func (h *testHost) callbacks(pool *peers.Pool, client *platf.Client) fleet.Callbacks {
	return fleet.Callbacks{
		Apply:            h.apply,
		Acknowledged:     h.acknowledge,
		Superseded:       h.superseded,
		Restore:          h.restore,
		Running:          h.Running,
		SetPeerAddresses: pool.CloseExcept,
		SetReadBudget:    client.SetReads,
	}
}

// stopAll stops all hosts and the platform.
func (c *cluster) stopAll() {
	for _, h := range c.hosts {
		h.stop()
	}
	_ = c.server.Close()
	c.served.Wait()
}

// partition separates hosts from all others and from the platform, until heal is called.
func (c *cluster) partition(names ...string) (heal func()) {
	separated := make(map[string]bool)
	for _, name := range names {
		separated[name] = true
	}
	others := []string{_platform}
	for _, name := range c.names {
		if !separated[name] {
			others = append(others, name)
		}
	}
	return c.network.Partition(names, others)
}

func (h *testHost) apply(config core.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applied = config
	h.inForce = time.Now()
}

func (h *testHost) acknowledge(id core.HostID, revision core.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acknowledged[id] = revision
}

func (h *testHost) superseded(id core.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.supersededBy = id
}

func (h *testHost) restore(snapshot []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.snapshot = snapshot
	return nil
}

// Record implements core.Auditor.
func (h *testHost) Record(event core.AuditEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.auditCounts[event.Kind]++
}

func (h *testHost) auditCount(kind core.AuditKind) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.auditCounts[kind]
}

func (h *testHost) revision() core.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.applied.Revision
}

// readLocked returns the value of a field that callbacks write.
func readLocked[T any](h *testHost, field *T) T {
	h.mu.Lock()
	defer h.mu.Unlock()
	return *field
}

// acknowledgedCount returns the number of other hosts known to have a revision in force.
func (h *testHost) acknowledgedCount(revision core.Revision) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, acknowledged := range h.acknowledged {
		if acknowledged == revision {
			count++
		}
	}
	return count
}

func (h *testHost) setRunning(running int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running = running
}

// Running implements fleet.Stopper, together with Refuse, HandOver and ReturnLeases.
func (h *testHost) Running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running
}

func (h *testHost) Refuse(context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusing = true
}

func (h *testHost) isRefusing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusing
}

func (h *testHost) HandOver(context.Context) (core.HostID, error) { return h.holder, nil }

func (h *testHost) ReturnLeases(context.Context) {}

// wantRevision checks that every host has the revision in force.
func (c *cluster) wantRevision(want core.Revision) {
	c.t.Helper()
	for name, h := range c.hosts {
		if got := h.revision(); got != want {
			c.t.Errorf("host %s is at revision %d, want %d", name, got, want)
		}
	}
}
