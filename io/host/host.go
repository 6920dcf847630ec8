// Package host assembles an entry host from its components: the listeners for
// callers, peers and operators, and what handles their requests. All entry hosts of a
// site are alike, and none keeps state beyond its process.
package host

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/core/procs/audit"
	"apricotproxy/core/procs/decide"
	"apricotproxy/core/procs/route"
	"apricotproxy/core/procs/ticket"
	"apricotproxy/core/versn/confg"
	"apricotproxy/io/certs"
	"apricotproxy/io/engine"
	"apricotproxy/io/fleet"
	"apricotproxy/io/peers"
	"apricotproxy/io/platf"
	"apricotproxy/io/runs"
	"apricotproxy/io/shell"
	"apricotproxy/io/wire"
)

// _auditEntries is how many events the audit trail holds in memory.
const _auditEntries = 4096

// _certificateCheckInterval is how often the certificate files are checked for changes.
const _certificateCheckInterval = 10 * time.Second

// Settings are given to a process at its start and are not part of the site's
// configuration.
type Settings struct {
	Site core.SiteName
	Self core.HostID
	// Addresses to listen on. If OperatorAddress is empty, there is no API for
	// operators.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// Platform is the host and port of the platform's service.
	Platform string
	// Seeds are addresses of peers to contact at the start, for the case that the
	// platform is down.
	Seeds []string
	// TLS names the certificates in use until a configuration is known, so that the
	// host can ask its peers for one.
	TLS core.TLS
	// MemoryBytes is the memory that the process may use; 0 if nothing limits it.
	MemoryBytes int64
	// ReadFile reads certificates and keys.
	ReadFile certs.ReadFile
	Dialer   core.Dialer
	Listen   core.Listen
	Logger   logr.Logger
	// Seed makes random choices repeatable; tests set it.
	Seed     uint64
	Switches Switches
}

// Switches disable safeguards, so that tests can show that assertions detect their
// absence. Only tests set them.
type Switches struct {
	Fleet   fleet.Switches
	Decider decide.Options
	// Policy builds a baseline policy that replaces the product's routing policy.
	Policy  func() core.RoutePolicy
	Runs    runs.Switches
	Tickets ticket.Switches
}

// Host is one entry host.
type Host struct {
	settings     Settings
	log          logr.Logger
	trail        *audit.Trail
	certs        *certs.Store
	pool         *peers.Pool
	platform     *platf.Client
	client       *engine.Client
	shell        *shell.Shell
	fleet        *fleet.Fleet
	runner       *runs.Runner
	orders       *runs.Orders
	engineOrders *fleet.EngineOrders

	// stopping is set when a planned stop begins, refusing when the host starts to
	// refuse new requests.
	stopping atomic.Bool
	refusing atomic.Bool
	servers  []server
}

// New creates a host and opens its listeners, so that an address that is in use is
// reported at once. It starts nothing; Run does.
func New(settings Settings) (*Host, error) {
	store, err := certs.New(settings.TLS, settings.ReadFile, settings.Logger)
	if err != nil {
		return nil, fmt.Errorf("read the certificates: %w", err)
	}
	h := &Host{
		settings: settings,
		log:      settings.Logger.WithName("host"),
		trail:    audit.New(_auditEntries),
		certs:    store,
		pool:     peers.NewPool(peers.Settings{Dialer: store.Dialer(certs.RolePeer, settings.Dialer)}),
		platform: platf.New(platf.Settings{Address: settings.Platform, Dialer: settings.Dialer}),
	}
	h.client = engine.New(engine.Config{
		Dialer: store.Dialer(certs.RoleEndpoint, settings.Dialer),
		Limits: func() core.Limits { return h.shell.Config().Limits },
	})
	h.shell = shell.New(shell.Settings{
		Self:        settings.Self,
		Decider:     h.newDecider(),
		Client:      h.client,
		Peer:        h.peer,
		ViewIsFresh: func(now time.Time) bool { return h.fleet.MayDispatch(now) },
		IsSteward:   func(endpoint core.EndpointName) bool { return h.engineOrders.IsSteward(endpoint) },
		OnReport:    func(report core.Report) { h.engineOrders.Observe(report) },
		Auditor:     h.trail,
		Logger:      settings.Logger,
	})
	h.fleet = fleet.New(h.fleetSettings())
	h.engineOrders = fleet.NewEngineOrders(fleet.EngineOrderSettings{
		Self:              settings.Self,
		Client:            h.client,
		EngineOrdersUntil: h.fleet.EngineOrdersUntil,
		LoadsPerMinute:    h.platform.LoadsPerMinute,
		Auditor:           h.trail,
		Logger:            settings.Logger,
		Seed:              settings.Seed,
	})
	h.runner = runs.New(runs.Config{
		Self:       settings.Self,
		Dispatcher: h.shell,
		Client:     h.client,
		Peer:       h.peer,
		Auditor:    h.trail,
		Logger:     settings.Logger,
		Switches:   settings.Switches.Runs,
	})
	h.orders, err = runs.NewOrders(runs.OrdersConfig{
		Runner:   h.runner,
		Site:     settings.Site,
		Self:     settings.Self,
		Holder:   h.ledgerHolder,
		Auditor:  h.trail,
		Logger:   settings.Logger,
		Switches: settings.Switches.Tickets,
	})
	if err != nil {
		return nil, fmt.Errorf("create the order service: %w", err)
	}
	if err := h.listen(); err != nil {
		return nil, err
	}
	return h, nil
}

func (h *Host) newDecider() core.Decider {
	seed := h.settings.Seed
	if seed == 0 {
		seed = uint64(h.settings.Self.Incarnation)
	}
	options := h.settings.Switches.Decider
	options.Random = rand.New(rand.NewPCG(seed, 1))
	options.Policy = route.NewProduct(options.Random)
	if h.settings.Switches.Policy != nil {
		options.Policy = h.settings.Switches.Policy()
	}
	return decide.New(h.settings.Self, options)
}

func (h *Host) fleetSettings() fleet.Settings {
	return fleet.Settings{
		Self:          h.settings.Self,
		Site:          h.settings.Site,
		Seeds:         h.settings.Seeds,
		ConfigService: h.platform,
		HostList:      h.platform,
		PeerClient:    h.pool.Client,
		Parse: func(bundle core.Bundle) (core.Config, error) {
			return confg.Parse(bundle, h.settings.Site)
		},
		Callbacks: fleet.Callbacks{
			Apply:            h.apply,
			Acknowledged:     h.shell.Acknowledged,
			Superseded:       func(newer core.HostID) { h.shell.Acknowledged(newer, 0) },
			Restore:          h.shell.Restore,
			Running:          func() int { return h.runner.Running() },
			SetPeerAddresses: h.pool.CloseExcept,
			SetReadBudget:    h.platform.SetReads,
		},
		Auditor:  h.trail,
		Logger:   h.settings.Logger,
		Seed:     h.settings.Seed,
		Switches: h.settings.Switches.Fleet,
	}
}

// apply puts an accepted configuration in force. If its certificates cannot be used,
// the previous ones stay in use and the rest of the revision still comes into force.
func (h *Host) apply(config core.Config) {
	if _, err := h.certs.Apply(config.TLS); err != nil {
		h.log.Error(err, "The certificates of a revision cannot be used. The last valid ones stay in use.", "Revision", config.Revision)
	}
	// engineOrders comes first, since the shell asks it which endpoints this host is
	// the steward of.
	h.engineOrders.Apply(config)
	h.shell.Apply(config)
}

// peer returns the client of another entry host, or nil when its address is not
// known.
func (h *Host) peer(name core.HostName) wire.Peer {
	client, ok := h.fleet.Peer(name)
	if !ok {
		return nil
	}
	return client
}

// ledgerHolder returns the process that holds the order ledger of the given process,
// and whether the ledger has moved to another one.
func (h *Host) ledgerHolder(of core.HostID) (core.HostID, bool) {
	holder := h.fleet.Holder(of)
	return holder, holder != of
}

func (h *Host) ready() error { return h.fleet.CheckReady() }

// _notReadyRetry is the delay after which a caller is told to retry, when it was
// refused because the host is starting or stopping.
const _notReadyRetry = time.Second

// refusal returns the error with which new requests are refused, or nil. A host whose
// data centre is out of service reports to the balancer that it is not ready, but
// serves the requests that reach it.
func (h *Host) refusal() *core.OutcomeError {
	if h.refusing.Load() {
		return core.NotRun(core.CauseDraining, "this host is stopping; ask again, another host answers", time.Now().Add(_notReadyRetry))
	}
	select {
	case <-h.fleet.Started():
		return nil
	default:
		return core.NotRun(core.CauseNotReady, "this host is starting; ask again, another host answers", time.Now().Add(_notReadyRetry))
	}
}

// Trail returns the audit trail.
func (h *Host) Trail() *audit.Trail { return h.trail }

// Started returns a channel that is closed once the start is over and the host can serve
// requests.
func (h *Host) Started() <-chan struct{} { return h.fleet.Started() }

// Run serves until ctx ends and then performs a planned stop. It returns nil when no
// request was cut off.
func (h *Host) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group sync.WaitGroup
	failed := make(chan error, len(h.servers))
	for _, s := range h.servers {
		group.Go(func() { h.serve(s, failed) })
	}
	group.Go(func() { h.shell.Run(runCtx) })
	group.Go(func() { _ = h.fleet.Run(runCtx) })
	group.Go(func() { h.engineOrders.Run(runCtx) })
	group.Go(func() { h.logWhileNotReady(runCtx) })
	group.Go(func() { h.certs.Watch(runCtx, _certificateCheckInterval) })
	h.log.Info("This host is serving.", "Host", h.settings.Self, "Site", h.settings.Site)
	var err error
	select {
	case <-ctx.Done():
		err = h.stop(runCtx)
	case err = <-failed:
	}
	h.closeServers()
	cancel()
	group.Wait()
	h.pool.Close()
	h.platform.Close()
	h.client.Close()
	h.log.Info("This host has stopped.", "Host", h.settings.Self)
	return err
}

// _notReadyLogInterval is how often a host that is not ready logs the reason.
const _notReadyLogInterval = 10 * time.Second

// logWhileNotReady logs why the host is not ready. Without it, a wrong name of the
// site or of the host would be noticed only at the balancer.
func (h *Host) logWhileNotReady(ctx context.Context) {
	ticker := time.NewTicker(_notReadyLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := h.ready(); err != nil && !h.refusing.Load() {
			h.log.Info("This host is not ready.", "Cause", err.Error())
		}
	}
}
