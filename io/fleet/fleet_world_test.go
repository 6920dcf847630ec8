package fleet_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/io/fleet"
	"apricotproxy/io/peers"
	"apricotproxy/io/wire"
)

const _port = ":7443"

// network carries connections in memory, so that whole fleets run under
// virtual time. A cut pair of hosts cannot dial; its open connections pass
// nothing on and tell neither side.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[[2]string]bool
}

func newNetwork() *network {
	return &network{listeners: make(map[string]*listener), cut: make(map[[2]string]bool)}
}

type listener struct {
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return memoryAddr(l.address) }

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

func (n *network) listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// setCut cuts or mends the link from one host to another, one way.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}]
}

// dialer dials on behalf of one host.
type dialer struct {
	network *network
	from    string
}

var errRefused = errors.New("connection refused")

func (d dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	address, _, _ = strings.Cut(address, ":")
	d.network.mu.Lock()
	l := d.network.listeners[address]
	d.network.mu.Unlock()
	if d.network.isCut(d.from, address) || d.network.isCut(address, d.from) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errRefused
	}
	near, far := net.Pipe()
	select {
	case l.accept <- &link{Conn: far, network: d.network, from: address, to: d.from}:
		return &link{Conn: near, network: d.network, from: d.from, to: address}, nil
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// link is one side of a connection. What is written to a cut link is lost.
type link struct {
	net.Conn
	network *network
	from    string
	to      string
}

func (l *link) Write(data []byte) (int, error) {
	if l.network.isCut(l.from, l.to) {
		return len(data), nil
	}
	return l.Conn.Write(data)
}

// service is the platform's configuration service and host list. It counts the
// calls, a waiting watch as one.
type service struct {
	mu      sync.Mutex
	down    bool
	value   []byte
	version uint64
	changed chan struct{}
	calls   int
	listed  []core.ListedHost
}

func newService() *service { return &service{changed: make(chan struct{})} }

var errDown = errors.New("the service is down")

func (s *service) publish(bundle core.Bundle) {
	value, _ := json.Marshal(bundle)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = value
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *service) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *service) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *service) look() (value []byte, version uint64, changed chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.value == nil {
		return nil, 0, s.changed, errDown
	}
	return s.value, s.version, s.changed, nil
}

func (s *service) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

func (s *service) Read(context.Context, string) (value []byte, version uint64, err error) {
	s.count()
	value, version, _, err = s.look()
	return value, version, err
}

func (s *service) Watch(ctx context.Context, _ string, after uint64) (value []byte, version uint64, err error) {
	s.count()
	for {
		value, version, changed, err := s.look()
		if err != nil || version > after {
			return value, version, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (s *service) Hosts(context.Context) ([]core.ListedHost, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	return s.listed, nil
}

// platform is the platform as one host sees it: a test gives a host another
// service to show it a stale one.
type platform struct {
	mu  sync.Mutex
	now *service
}

func (p *platform) set(to *service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now = to
}

func (p *platform) get() *service {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

func (p *platform) Read(ctx context.Context, key string) (value []byte, version uint64, err error) {
	return p.get().Read(ctx, key)
}

func (p *platform) Watch(ctx context.Context, key string, after uint64) (value []byte, version uint64, err error) {
	return p.get().Watch(ctx, key, after)
}

func (p *platform) Hosts(ctx context.Context) ([]core.ListedHost, error) { return p.get().Hosts(ctx) }

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

// world is a fleet of hosts in one bubble.
type world struct {
	t       *testing.T
	network *network
	service *service
	hosts   map[string]*host
	names   []string
}

type host struct {
	fleet    *fleet.Fleet
	platform *platform
	stop     func()

	mu       sync.Mutex
	applied  core.Config
	inForce  time.Time
	acked    map[core.HostID]core.Revision
	snapshot []byte
}

func newWorld(t *testing.T, count int) *world {
	w := &world{t: t, network: newNetwork(), service: newService(), hosts: make(map[string]*host)}
	for i := range count {
		w.names = append(w.names, fmt.Sprintf("entry-%d", i+1))
	}
	return w
}

func (w *world) seeds() []string {
	var seeds []string
	for _, name := range w.names[:min(len(w.names), 3)] {
		seeds = append(seeds, name+_port)
	}
	return seeds
}

func (w *world) bundle(revision core.Revision) core.Bundle {
	return core.Bundle{Revision: revision, Base: strings.Join(w.names, " ")}
}

// stub answers what the fleet does not.
type stub struct {
	*fleet.Fleet
	wire.Peer
	host *host
}

func (s stub) Heartbeat(ctx context.Context, q *wire.HeartbeatRequest) (*wire.HeartbeatReply, error) {
	return s.Fleet.Heartbeat(ctx, q)
}

func (s stub) FetchRevision(ctx context.Context, q *wire.FetchRevisionRequest) (*wire.FetchRevisionReply, error) {
	return s.Fleet.FetchRevision(ctx, q)
}

func (s stub) Snapshot(context.Context, *wire.SnapshotRequest) (*wire.SnapshotReply, error) {
	return &wire.SnapshotReply{Decider: []byte("estimates of " + string(s.host.fleet.Self().Host))}, nil
}

func (w *world) start(name string) *host {
	h := &host{acked: make(map[core.HostID]core.Revision), platform: &platform{now: w.service}}
	pool := peers.NewPool(peers.Settings{Dialer: dialer{network: w.network, from: name}})
	h.fleet = fleet.New(fleet.Settings{
		Self:    core.HostID{Host: core.HostName(name), Incarnation: core.Incarnation(time.Now().UnixNano())},
		Site:    "test",
		Seeds:   w.seeds(),
		Service: h.platform,
		List:    h.platform,
		Dial:    pool.At,
		Parse:   parse,
		Seed:    uint64(len(name)) + uint64(name[len(name)-1]),
		Callbacks: fleet.Callbacks{
			Apply:        h.apply,
			Acknowledged: h.acknowledge,
			Restore:      h.restore,
			KeepPeers:    pool.Keep,
		},
	})
	server := peers.NewServer(peers.NewHandler(peers.Guard(stub{Fleet: h.fleet, host: h}, h.fleet.CheckSender)))
	l := w.network.listen(name)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = server.Serve(l) })
	done.Go(func() { _ = h.fleet.Run(ctx) })
	h.stop = sync.OnceFunc(func() {
		cancel()
		_ = server.Close()
		pool.Close()
		done.Wait()
	})
	w.hosts[name] = h
	return h
}

// cutOff cuts a host off from all others, or mends its links.
func (w *world) cutOff(name string, cut bool) {
	for _, other := range w.names {
		if other == name {
			continue
		}
		w.network.setCut(name, other, cut)
		w.network.setCut(other, name, cut)
	}
}

func (w *world) stopAll() {
	for _, h := range w.hosts {
		h.stop()
	}
}

func (h *host) apply(config core.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applied = config
	h.inForce = time.Now()
}

func (h *host) acknowledge(id core.HostID, revision core.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acked[id] = revision
}

func (h *host) restore(snapshot []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.snapshot = snapshot
	return nil
}

func (h *host) revision() core.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.applied.Revision
}
