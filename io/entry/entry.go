// Package entry assembles an entry host for routed requests: the listeners for
// callers, the balancer and other hosts, the reader of published documents and the
// components that carry out the decisions of the packages under core.
package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/core/procs/await"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/origin"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/procs/poison"
	"apricotproxy/core/procs/reach"
	"apricotproxy/io/front"
	"apricotproxy/io/guard"
	"apricotproxy/io/links"
	"apricotproxy/io/news"
)

const (
	// _endpointDialTimeout limits the time to connect to an endpoint. A round trip
	// within a region takes a few milliseconds. A lost packet is sent again only after
	// a second, so it is faster to try another endpoint.
	_endpointDialTimeout = 300 * time.Millisecond
	// _maxIdlePerEndpoint limits the idle connections to one endpoint.
	_maxIdlePerEndpoint = 4
	// _bufferDivisor is the part of a host's memory that answers may use that are read
	// completely before they are relayed: an eighth.
	_bufferDivisor = 8
	// _bodyDivisor is the part of a host's memory that the bodies of requests may use: a quarter.
	_bodyDivisor = 4
	// _headerTimeout limits the time that a caller takes to send a request's header.
	_headerTimeout = 10 * time.Second
	// _maxHeaderBytes limits a request's header, whatever the configuration says.
	_maxHeaderBytes = 64 << 10
	// _sideIdleTimeout is how long connections of other hosts and the balancer are kept: longer than the
	// second between two checks or the pause between two requests for documents of a busy host.
	_sideIdleTimeout = time.Minute
	// _expiryInterval is how often state is checked for expiry.
	_expiryInterval = 200 * time.Millisecond
	// By the platform's documentation, an endpoint's document expires after
	// _missedHeartbeats heartbeat intervals without a renewal, and after an outage of
	// the store an endpoint may take about _renewalGrace to register its document again; a document
	// that is missing _renewalMargin later is of an endpoint that is gone.
	_missedHeartbeats = 3
	_renewalGrace     = 2 * time.Second
	_renewalMargin    = 500 * time.Millisecond
	// _rewriteGrace is how long a data centre stays out of service whose document was lost
	// when the store was restored. The platform's documentation states no limit within
	// which operators write it again.
	_rewriteGrace = 10 * time.Second
)

// Settings are what an entry host is built from.
type Settings struct {
	core.EntrySettings
	Names  core.HeaderNames
	Paths  core.CallPaths
	Store  core.DocumentStore
	Decode know.Decode
	// DecodeReport decodes an engine's report.
	DecodeReport func([]byte) (core.EngineState, error)
	// DecodeHeld decodes which parts of prompts an engine holds.
	DecodeHeld func([]byte) ([]string, error)
	Dialer     core.Dialer
	Listen     core.Listen
	// ListenPacket opens a datagram socket.
	ListenPacket func(network, address string) (net.PacketConn, error)
	// Guard limits the connections of all callers of the process; nil for one of this host's own.
	Guard    *guard.Guard
	Logger   logr.Logger
	Switches Switches
	// Seed makes random choices repeatable; 0 uses a random seed.
	Seed uint64
}

// Switches disable safeguards, so that tests can show that they detect their absence.
type Switches struct {
	Front front.Switches
	Place place.Switches
	Await await.Switches
}

// Host is one entry host.
type Host struct {
	settings Settings
	// bounds are those of the latest settings; settings.Bounds are those of the start.
	bounds       atomic.Pointer[core.EntryBounds]
	log          logr.Logger
	docState     *documentState
	sharedPlacer *front.SharedPlacer
	detector     *front.SharedDetector
	origins      *front.SharedOrigins
	held         heldLists
	// freshness is guarded by the lock of origins.
	freshness origin.Freshness
	front     *front.Front
	links     *links.Pool
	reach     *front.SharedReach
	// relayLinks are the connections to other hosts over which requests are relayed.
	relayLinks *links.Pool
	peers      *peers
	idle       idleLimit
	stopping   atomic.Bool
	servers    []*http.Server
	listeners  []net.Listener
}

// New creates a host and opens its listeners. It starts nothing; Run does.
func New(settings Settings) (*Host, error) {
	seed := settings.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	h := &Host{
		settings: settings,
		log:      settings.Logger.WithName("entry"),
	}
	h.bounds.Store(&settings.Bounds)
	h.links = links.New(links.Settings{
		Dialer: settings.Dialer, DialTimeout: _endpointDialTimeout, MaxIdle: _maxIdlePerEndpoint, Answered: h.inspectAnswer,
		Dialed:     func(endpoint core.RoutedEndpoint, err error) { h.reach.RecordDial(endpoint, err) },
		Unanswered: func(endpoint core.RoutedEndpoint) { h.reach.RecordUnanswered(endpoint) }, UnansweredTime: reach.UnansweredTime,
	})
	h.newReach(rand.New(rand.NewPCG(seed, 3)))
	random := rand.New(rand.NewPCG(seed, 1))
	placer := place.New(settings.Name, settings.DataCentre, settings.Bounds, random)
	placer.SetSwitches(settings.Switches.Place)
	if isOnlyHost(settings.EntrySettings) {
		placer.SetHosts(time.Now(), 1)
	}
	h.sharedPlacer = front.NewSharedPlacer(placer, await.New(placer, random, settings.Switches.Await))
	h.docState = newDocumentState(know.New(settings.Decode, outagePolicy(settings.Bounds)), settings.Logger, h.apply)
	h.detector = front.NewSharedDetector(settings.Logger, func() { h.peers.scheduleHeartbeat() }, func() { h.peers.scheduleRequestReport() })
	h.origins = h.newOrigins()
	h.front = front.New(front.Config{
		Names: settings.Names, Paths: settings.Paths, SharedPlacer: h.sharedPlacer, Detector: h.detector, Origins: h.origins, Links: h.links, View: h.docState.View,
		Reach: h.reach, RelayLinks: h.relayLinks, Self: settings.Name,
		SyncStatus: h.docState.syncStatus, Logger: settings.Logger, BufferBytes: settings.MemoryBytes / _bufferDivisor, BodyBytes: settings.MemoryBytes / _bodyDivisor,
		ConfirmIncarnation: h.confirmIncarnation, DocumentsOutdated: h.documentsOutdated,
		LoadChanged: func() { h.peers.scheduleLoadChanges() }, Switches: settings.Switches.Front,
	})
	var err error
	if h.peers, err = newPeers(h, rand.New(rand.NewPCG(seed, 2))); err != nil {
		return nil, err
	}
	return h, h.listen()
}

// isOnlyHost reports whether the settings name no other host.
func isOnlyHost(settings core.EntrySettings) bool {
	return !slices.ContainsFunc(settings.Seeds, func(seed string) bool { return seed != settings.HeartbeatAddress })
}

func outagePolicy(bounds core.EntryBounds) know.OutagePolicy {
	return know.OutagePolicy{
		MinOutage:      (_missedHeartbeats - 1) * bounds.EndpointInterval,
		RecoveryPeriod: _renewalGrace + _renewalMargin,
		RenewalGrace:   _renewalGrace,
		RewriteGrace:   _rewriteGrace,
	}
}

// listen opens the listeners. The one for callers comes first: the code below and stop
// refer to it by its index.
func (h *Host) listen() error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+h.settings.Paths.Ready, h.serveReady)
	limits := h.settings.Guard
	if limits == nil {
		limits = guard.New(guard.Settings{MemoryBytes: h.settings.MemoryBytes, Logger: h.settings.Logger})
	}
	for _, l := range []struct {
		address string
		kind    guard.Kind
		server  *http.Server
	}{
		{h.settings.CallerAddress, guard.Callers, &http.Server{
			Handler: h.front, ReadHeaderTimeout: _headerTimeout, MaxHeaderBytes: _maxHeaderBytes,
			IdleTimeout: _maxIdleTimeout, ConnState: h.idle.connState,
		}},
		{h.settings.ReadyAddress, guard.Others, newSideServer(ready)},
		{h.settings.PeerAddress, guard.Hosts, newSideServer(h.front.PeerHandler(news.Handler(h.peers.servePull)))},
	} {
		listener, err := h.settings.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", l.address, err)
		}
		h.servers = append(h.servers, l.server)
		h.listeners = append(h.listeners, limits.Protect(l.kind, l.server, listener))
	}
	h.listeners[0] = h.idle.wrap(h.listeners[0])
	return nil
}

// newSideServer returns a server for an address that is not for callers.
func newSideServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: _headerTimeout, MaxHeaderBytes: _maxHeaderBytes, IdleTimeout: _sideIdleTimeout}
}

// apply puts a changed view in force.
func (h *Host) apply(view *know.View) {
	if view.Table != nil {
		h.idle.raise(view.Table.Limits().IdleTimeout)
	}
	h.observeBuilds(view)
	h.sharedPlacer.Apply(view)
	h.reach.SetEndpoints(view, h.leavingEndpoints())
}

func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Ready reports whether the host can serve: it is not stopping and has a routing table
// and at least one endpoint.
func (h *Host) Ready() bool {
	view := h.docState.View()
	return !h.stopping.Load() && view != nil && view.Table != nil && len(view.Endpoints) > 0
}

// Run serves until ctx ends and then performs a planned stop.
func (h *Host) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group sync.WaitGroup
	failed := make(chan error, len(h.servers)+1)
	for i, server := range h.servers {
		group.Go(func() {
			if err := server.Serve(h.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	group.Go(func() { h.readStore(runCtx) })
	group.Go(func() { h.runExpiry(runCtx) })
	group.Go(func() { h.runProbes(runCtx) })
	group.Go(func() { h.pollEngines(runCtx) })
	group.Go(func() { h.peers.run(runCtx) })
	group.Go(func() {
		receive := func(b []byte) { h.peers.receive(runCtx, b) }
		report := func(err error) { h.log.Error(err, "A heartbeat was lost.") }
		if err := news.Receive(h.peers.socket, receive, report); !errors.Is(err, net.ErrClosed) {
			failed <- err
		}
	})
	h.log.Info("This host is serving.", "Host", h.settings.Name, "DataCentre", h.settings.DataCentre)
	var err error
	select {
	case <-ctx.Done():
		h.stop()
	case err = <-failed:
	}
	cancel()
	for _, server := range h.servers {
		err = errors.Join(err, server.Close())
	}
	err = errors.Join(err, h.peers.socket.Close())
	group.Wait()
	h.front.Close()
	h.links.Close()
	h.relayLinks.Close()
	h.log.Info("This host has stopped.", "Host", h.settings.Name)
	return err
}

// runExpiry drops expired documents and loads, and closes idle connections to
// endpoints that take no more work.
func (h *Host) runExpiry(ctx context.Context) {
	ticker := time.NewTicker(_expiryInterval)
	defer ticker.Stop()
	gauges := _documentGauges()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			h.docState.expire(now)
			h.reach.Tick()
			h.refreshOrigins(now)
			gauges.set(now, h.docState.View().Version(), h.docState.syncStatus())
			h.sharedPlacer.Update(func(p *place.Placer) { p.ExpirePeerLoads(now) })
			h.detector.Settle(now)
			h.detector.UpdateRequests("time", func(d *poison.CrashDetector) { d.Settle(now) })
			h.links.EvictIdle(h.linkFilter())
		}
	}
}

// linkFilter returns a function that reports whether an idle connection belongs to an
// endpoint that still takes work.
func (h *Host) linkFilter() func(key string) bool {
	view := h.docState.View()
	if view == nil {
		return func(string) bool { return true }
	}
	keys := make(map[string]bool, len(view.Endpoints))
	for _, e := range view.Endpoints {
		keys[links.Key(e.RoutedEndpoint)] = !e.Draining
	}
	return func(key string) bool { return keys[key] }
}

// Reload applies the seeds and the bounds of changed settings while the host runs.
// Changed addresses have no effect until a restart.
func (h *Host) Reload(settings core.EntrySettings) {
	h.bounds.Store(&settings.Bounds)
	h.peers.setSeeds(settings.Seeds)
	h.docState.withState(func(s *know.State) { s.SetOutagePolicy(outagePolicy(settings.Bounds)) })
	h.sharedPlacer.Update(func(p *place.Placer) { p.SetBounds(time.Now(), settings.Bounds) })
}
