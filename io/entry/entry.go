// Package entry puts an entry host for routed requests together: the listeners
// for callers, the balancer and other hosts, the reader of published documents
// and what carries out the decisions below core.
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
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/place"
	"apricotproxy/io/front"
	"apricotproxy/io/links"
	"apricotproxy/io/news"
)

const (
	// _endpointDial bounds a new connection to an endpoint. Round trips within a
	// region take a few milliseconds; one that is lost is sent again after a
	// second, and another endpoint is sooner reached.
	_endpointDial = 300 * time.Millisecond
	// _endpointIdle bounds the idle connections to one endpoint.
	_endpointIdle = 4
	// _headerRead bounds the time that a caller takes for a request's header.
	_headerRead = 10 * time.Second
	// _headerBytes bounds a request's header, whatever the configuration says.
	_headerBytes = 64 << 10
	// _tick is how often what runs out by time is looked at.
	_tick = 200 * time.Millisecond
	// _lapseBeats is how many heartbeat intervals without a renewal end an
	// endpoint's document, and _lapseGrace how long after the store's return it
	// may take to be back: docs/platform.md.
	_lapseBeats = 3
	_lapseGrace = 2 * time.Second
)

// Settings are what an entry host is built from.
type Settings struct {
	core.EntrySettings
	Names  core.HeaderNames
	Paths  core.CallPaths
	Store  core.DocumentStore
	Decode know.Decode
	// DecodeReport reads an engine's report.
	DecodeReport func([]byte) (core.EngineState, error)
	Dialer       core.Dialer
	Listen       core.Listen
	// ListenPacket opens a socket for datagrams.
	ListenPacket func(network, address string) (net.PacketConn, error)
	Logger       logr.Logger
	// Switches turn safeguards off, to show that tests notice.
	Switches Switches
	// Seed makes random choices repeatable; 0 draws one.
	Seed uint64
}

// Switches turn safeguards off.
type Switches struct {
	Front front.Switches
	Place place.Switches
}

// Host is one entry host.
type Host struct {
	settings Settings
	log      logr.Logger
	facts    *facts
	desk     *front.Desk
	front    *front.Front
	links    *links.Pool
	peers    *peers
	idle     idleLimit
	stopping atomic.Bool
	servers  []*http.Server
	sockets  []net.Listener
}

// New opens the listeners and starts nothing.
func New(settings Settings) (*Host, error) {
	seed := settings.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	h := &Host{
		settings: settings,
		log:      settings.Logger.WithName("entry"),
		links:    links.New(links.Settings{Dialer: settings.Dialer, DialTimeout: _endpointDial, MaxIdle: _endpointIdle}),
	}
	placer := place.New(settings.Name, settings.DataCentre, settings.Bounds, rand.New(rand.NewPCG(seed, 1)))
	placer.SetSwitches(settings.Switches.Place)
	if alone(settings.EntrySettings) {
		placer.SetHosts(time.Now(), 1)
	}
	h.desk = front.NewDesk(placer)
	h.facts = newFacts(know.New(settings.Decode, lapse(settings.Bounds)), settings.Logger, h.apply)
	h.front = front.New(front.Config{
		Names: settings.Names, Paths: settings.Paths, Desk: h.desk, Links: h.links, View: h.facts.View, Logger: settings.Logger,
		LoadChanged: func() { h.peers.tellNear() }, Switches: settings.Switches.Front,
	})
	var err error
	if h.peers, err = newPeers(h, rand.New(rand.NewPCG(seed, 2))); err != nil {
		return nil, err
	}
	return h, h.listen()
}

// alone tells whether the settings name no other host.
func alone(settings core.EntrySettings) bool {
	return !slices.ContainsFunc(settings.Seeds, func(seed string) bool { return seed != settings.HeartbeatAddress })
}

func lapse(bounds core.EntryBounds) know.OutagePolicy {
	return know.OutagePolicy{
		MinOutage:      (_lapseBeats - 1) * bounds.EndpointInterval,
		RecoveryPeriod: _lapseBeats*bounds.EndpointInterval + _lapseGrace,
		RenewalGrace:   _lapseGrace,
	}
}

func (h *Host) listen() error {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+h.settings.Paths.Ready, h.serveReady)
	for _, l := range []struct {
		address string
		server  *http.Server
	}{
		{h.settings.CallerAddress, &http.Server{
			Handler: h.front, ReadHeaderTimeout: _headerRead, MaxHeaderBytes: _headerBytes,
			IdleTimeout: _idleCeiling, ConnState: h.idle.connState,
		}},
		{h.settings.ReadyAddress, &http.Server{Handler: ready, ReadHeaderTimeout: _headerRead}},
		{h.settings.PeerAddress, &http.Server{Handler: news.Handler(h.peers.give), ReadHeaderTimeout: _headerRead}},
	} {
		socket, err := h.settings.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", l.address, err)
		}
		h.servers = append(h.servers, l.server)
		h.sockets = append(h.sockets, socket)
	}
	h.sockets[0] = h.idle.wrap(h.sockets[0])
	return nil
}

// apply spreads a changed view.
func (h *Host) apply(view *know.View) {
	if view.Table != nil {
		h.idle.set(view.Table.Limits().IdleTimeout)
	}
	h.desk.Apply(view)
}

func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Ready tells whether the host can serve.
func (h *Host) Ready() bool {
	view := h.facts.View()
	return !h.stopping.Load() && view != nil && view.Table != nil && len(view.Endpoints) > 0
}

// Run serves until ctx ends, then stops as planned.
func (h *Host) Run(ctx context.Context) error {
	working, halt := context.WithCancel(context.WithoutCancel(ctx))
	defer halt()
	var group sync.WaitGroup
	failed := make(chan error, len(h.servers)+1)
	for i, server := range h.servers {
		group.Go(func() {
			if err := server.Serve(h.sockets[i]); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	group.Go(func() { h.readStore(working) })
	group.Go(func() { h.tick(working) })
	group.Go(func() { h.askEngines(working) })
	group.Go(func() { h.peers.run(working) })
	group.Go(func() {
		if err := news.Receive(h.peers.socket, func(b []byte) { h.peers.heard(working, b) }); !errors.Is(err, net.ErrClosed) {
			failed <- err
		}
	})
	h.log.Info("This host serves.", "Host", h.settings.Name, "DataCentre", h.settings.DataCentre)
	var err error
	select {
	case <-ctx.Done():
		h.stop()
	case err = <-failed:
	}
	halt()
	for _, server := range h.servers {
		err = errors.Join(err, server.Close())
	}
	err = errors.Join(err, h.peers.socket.Close())
	group.Wait()
	h.links.Close()
	h.log.Info("This host has stopped.", "Host", h.settings.Name)
	return err
}

// tick looks at what runs out by time.
func (h *Host) tick(ctx context.Context) {
	ticker := time.NewTicker(_tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			h.facts.expire(now)
			h.desk.Update(func(p *place.Placer) { p.ExpirePeerLoads(now) })
			h.links.Keep(h.keepLinks())
		}
	}
}

// keepLinks tells which idle connections belong to endpoints that still take work.
func (h *Host) keepLinks() func(key string) bool {
	view := h.facts.View()
	if view == nil {
		return func(string) bool { return true }
	}
	keys := make(map[string]bool, len(view.Endpoints))
	for _, e := range view.Endpoints {
		keys[links.Key(e.RoutedEndpoint)] = !e.Draining
	}
	return func(key string) bool { return keys[key] }
}

// Reload takes in settings that changed while the process runs: the seeds and
// the bounds. Addresses are those of the start.
func (h *Host) Reload(settings core.EntrySettings) {
	h.peers.setSeeds(settings.Seeds)
	h.desk.Update(func(p *place.Placer) { p.SetBounds(settings.Bounds) })
}
