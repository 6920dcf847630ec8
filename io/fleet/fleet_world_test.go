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

// parse reads the texts of the tests: the base names the hosts, the overlay
// the data centres that are out; "invalid" is rejected.
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

// world is a fleet of hosts in one bubble, with a platform.
type world struct {
	t        *testing.T
	network  *memnet.Network
	platform *fakeplatf.Platform
	server   *http.Server
	served   sync.WaitGroup
	hosts    map[string]*entry
	names    []string
}

// entry is one entry host: its fleet, and a stand-in for the rest.
type entry struct {
	fleet *fleet.Fleet
	stop  func()

	mu       sync.Mutex
	applied  core.Config
	inForce  time.Time
	acked    map[core.HostID]core.Revision
	newer    core.HostID
	running  int
	refusing bool
	holder   core.HostID
	snapshot []byte
	kinds    map[core.AuditKind]int
}

func newWorld(t *testing.T, count int) *world {
	w := &world{
		t:        t,
		network:  memnet.New(time.Millisecond),
		platform: fakeplatf.New(fakeplatf.Config{ReadsPerSecond: 2000, ListLag: 5 * time.Second}),
		hosts:    make(map[string]*entry),
	}
	for i := range count {
		w.names = append(w.names, fmt.Sprintf("entry-%d", i+1))
	}
	l, err := w.network.Listen("tcp", _platform+_port)
	if err != nil {
		t.Fatal(err)
	}
	w.server = &http.Server{Handler: w.platform}
	w.served.Go(func() { _ = w.server.Serve(l) })
	w.publish(7, "")
	return w
}

// publish publishes a revision that names all hosts.
func (w *world) publish(revision core.Revision, overlay string) {
	w.publishText(revision, strings.Join(w.names, " "), overlay)
}

func (w *world) publishText(revision core.Revision, base, overlay string) {
	err := w.platform.PublishBundle(_site, core.Bundle{Revision: revision, Base: base, Overlay: overlay})
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) startAll() {
	for _, name := range w.names {
		w.start(name)
	}
	time.Sleep(3 * time.Second)
}

// stub answers what the fleet does not.
type stub struct {
	*fleet.Fleet
	wire.Peer
	host *entry
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

func (w *world) start(name string) *entry {
	h := &entry{acked: make(map[core.HostID]core.Revision), kinds: make(map[core.AuditKind]int)}
	dialer := w.network.Dialer(name)
	pool := peers.NewPool(peers.Settings{Dialer: dialer})
	client := platf.New(platf.Settings{Address: _platform + _port, Dialer: dialer})
	h.fleet = fleet.New(fleet.Settings{
		Self:      core.HostID{Host: core.HostName(name), Incarnation: core.Incarnation(time.Now().UnixNano())},
		Site:      _site,
		Seeds:     []string{w.names[0] + _port, w.names[len(w.names)-1] + _port},
		Service:   client,
		List:      client,
		Dial:      pool.At,
		Parse:     parse,
		Seed:      uint64(len(name)) + uint64(name[len(name)-1]),
		Auditor:   h,
		Callbacks: h.callbacks(pool, client),
	})
	server := peers.NewServer(peers.NewHandler(peers.Guard(stub{Fleet: h.fleet, host: h}, h.fleet.CheckSender)))
	l, err := w.network.Listen("tcp", name+_port)
	if err != nil {
		w.t.Fatal(err)
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
	w.hosts[name] = h
	return h
}

func (h *entry) callbacks(pool *peers.Pool, client *platf.Client) fleet.Callbacks {
	return fleet.Callbacks{
		Apply:        h.apply,
		Acknowledged: h.acknowledge,
		Superseded:   h.superseded,
		Restore:      h.restore,
		Running:      h.Running,
		KeepPeers:    pool.Keep,
		SetReads:     client.SetReads,
	}
}

// stopAll ends the bubble's goroutines.
func (w *world) stopAll() {
	for _, h := range w.hosts {
		h.stop()
	}
	_ = w.server.Close()
	w.served.Wait()
}

// partition keeps hosts apart from all others, platform included.
func (w *world) partition(names ...string) (heal func()) {
	left := make(map[string]bool)
	for _, name := range names {
		left[name] = true
	}
	right := []string{_platform}
	for _, name := range w.names {
		if !left[name] {
			right = append(right, name)
		}
	}
	return w.network.Partition(names, right)
}

func (h *entry) apply(config core.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applied = config
	h.inForce = time.Now()
}

func (h *entry) acknowledge(id core.HostID, revision core.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acked[id] = revision
}

func (h *entry) superseded(id core.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.newer = id
}

func (h *entry) restore(snapshot []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.snapshot = snapshot
	return nil
}

// Record implements core.Auditor.
func (h *entry) Record(event core.AuditEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kinds[event.Kind]++
}

func (h *entry) audited(kind core.AuditKind) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.kinds[kind]
}

func (h *entry) revision() core.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.applied.Revision
}

// locked reads a field that callbacks write.
func locked[T any](h *entry, field *T) T {
	h.mu.Lock()
	defer h.mu.Unlock()
	return *field
}

// ackedAt counts the other hosts known to have a revision in force.
func (h *entry) ackedAt(revision core.Revision) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, acked := range h.acked {
		if acked == revision {
			count++
		}
	}
	return count
}

func (h *entry) setRunning(running int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running = running
}

// Running, Refuse, HandOver and ReturnLeases implement fleet.Stopper.
func (h *entry) Running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running
}

func (h *entry) Refuse(context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusing = true
}

func (h *entry) isRefusing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusing
}

func (h *entry) HandOver(context.Context) (core.HostID, error) { return h.holder, nil }

func (h *entry) ReturnLeases(context.Context) {}

// wantRevision checks what every host has in force.
func (w *world) wantRevision(want core.Revision) {
	w.t.Helper()
	for name, h := range w.hosts {
		if got := h.revision(); got != want {
			w.t.Errorf("host %s is at revision %d, want %d", name, got, want)
		}
	}
}
