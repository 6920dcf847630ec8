// Package fleet runs the membership of one entry host: it reads the platform's
// configuration service and host list, exchanges heartbeats with other hosts, fetches
// revisions of the configuration from them, puts accepted revisions in force, and
// carries out the start and the planned stop of the host. It also sends the engine
// orders of the host.
//
// The decisions are made in core/procs/member, core/procs/spread, core/procs/fence and
// core/procs/drain. This package holds the goroutines and timers.
//
// Lock order: applyMu before mu. Callbacks are called without mu.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/core/mutex"
	"apricotproxy/core/procs/member"
	"apricotproxy/core/procs/spread"
	"apricotproxy/io/wire"
)

const (
	_defaultHeartbeatInterval = time.Second
	_randomStream             = 0x666c656574 // "fleet" in ASCII
	// Maximum number of heartbeats in flight, a multiple of the fanout.
	_maxHeartbeatsInFlight = 4 * member.DefaultFanout
	// Requests may be dispatched for this long after the last round of heartbeats. A
	// process that exceeds it counts as suspended. It is below the 3 s after which a
	// data centre that is taken out of service must get no more work: a dispatching
	// process can have missed a revision for no longer than this.
	_minDispatchPeriod = 2500 * time.Millisecond
	// The same period in heartbeat intervals; the longer of the two applies.
	_dispatchIntervals = 2.5
	// Engine orders may be sent for this many heartbeat intervals after the configuration
	// service or more than half of a round's peers answered.
	_engineOrderIntervals = 4
)

// Callbacks connect the fleet to the rest of the host. Nil callbacks are not called.
// All are called without mu.
type Callbacks struct {
	// Apply puts an accepted revision in force. It returns before any peer learns that
	// the revision is in force here. Calls are made one at a time, with increasing
	// revisions.
	Apply func(core.Config)
	// Acknowledged is called when a host is known to have a revision in force.
	Acknowledged func(core.HostID, core.Revision)
	// Superseded is called when a newer incarnation of this host is known. This process
	// then stops admitting requests.
	Superseded func(core.HostID)
	// Restore restores a peer's snapshot at the start.
	Restore func([]byte) error
	// Running returns the number of running requests.
	Running func() int
	// SetPeerAddresses sets the addresses of the hosts that may still be called.
	SetPeerAddresses func(addresses []string)
	// SetReadBudget sets this host's share of the read budget, in calls per second.
	SetReadBudget func(reads float64)
}

// Settings are the parameters of New.
type Settings struct {
	Self core.HostID
	Site core.SiteName
	// Seeds are addresses of peers to contact at the start, for the case that the
	// platform's host list cannot be read.
	Seeds         []string
	ConfigService core.ConfigService
	HostList      core.HostList
	// PeerClient returns the client for a peer's address, like peers.Pool.Client.
	PeerClient func(address string) wire.Peer
	Parse      func(core.Bundle) (core.Config, error)
	Callbacks  Callbacks
	Auditor    core.Auditor
	Logger     logr.Logger
	// Seed makes the random choice of peers and the jitter reproducible.
	Seed     uint64
	Switches Switches
}

// Switches disable safeguards, so that tests can show that the invariant checks
// detect the resulting faults. Only tests set them.
type Switches struct {
	Spread spread.Switches
	// SkipDrain makes Drain return at once, while requests still run.
	SkipDrain bool
	// SkipSnapshot makes a host start without a peer's snapshot, so that a test can
	// measure the effect of the snapshot.
	SkipSnapshot bool
}

// Fleet runs the membership of one entry host. It is safe for concurrent use.
type Fleet struct {
	settings  Settings
	log       logr.Logger
	configKey string

	// applyMu serializes the decisions on revisions and the callbacks that follow.
	applyMu sync.Mutex

	mu              sync.Mutex
	member          *member.Membership
	spread          *spread.Spread
	readPlanner     *spread.ReadPlanner
	random          *rand.Rand
	config          core.Config
	applied         spread.Stamp
	listedAddresses map[core.HostName]string
	seedAddresses   map[core.HostName]string
	ready           bool
	draining        bool
	// dispatchUntil is the time until which requests may be dispatched.
	dispatchUntil time.Time
	// engineOrdersUntil is the time until which engine orders may be sent.
	engineOrdersUntil time.Time
	roundTargets      int // heartbeats due in the current round
	roundAnswers      int // heartbeats answered since the round began
	heartbeatInterval time.Duration
	inFlight          map[core.HostName]bool // hosts with a heartbeat in flight

	heartbeatPermits chan struct{} // one element for each heartbeat in flight
	heartbeatNow     chan struct{} // wakes heartbeatLoop
	fetchNow         chan struct{} // wakes fetchLoop
	started          chan struct{} // closed when the host is ready
	goroutines       sync.WaitGroup
}

// New returns a Fleet. It starts no goroutines; call Run.
func New(settings Settings) *Fleet {
	if settings.Logger.GetSink() == nil {
		settings.Logger = logr.Discard()
	}
	source := rand.NewPCG(settings.Seed, _randomStream)
	random := rand.New(source)
	return &Fleet{
		settings:  settings,
		log:       settings.Logger.WithName("fleet"),
		configKey: "apricotproxy/" + string(settings.Site),
		member:    member.New(member.Settings{Self: settings.Self, Interval: _defaultHeartbeatInterval}, random),
		spread: spread.New(spread.Settings{
			Self:     settings.Self.Host,
			Parse:    settings.Parse,
			Switches: settings.Switches.Spread,
		}, random),
		readPlanner:       spread.NewReadPlanner(settings.Self.Host, random),
		random:            random,
		listedAddresses:   make(map[core.HostName]string),
		seedAddresses:     make(map[core.HostName]string),
		heartbeatInterval: _defaultHeartbeatInterval,
		inFlight:          make(map[core.HostName]bool),
		heartbeatPermits:  make(chan struct{}, _maxHeartbeatsInFlight),
		heartbeatNow:      make(chan struct{}, 1),
		fetchNow:          make(chan struct{}, 1),
		started:           make(chan struct{}),
	}
}

// Run runs the fleet until ctx ends, and returns when all its goroutines have ended.
func (f *Fleet) Run(ctx context.Context) error {
	now := time.Now()
	mutex.Do(&f.mu, func() {
		f.spread.Begin(now)
		f.allowDispatch(now)
	})
	for _, loop := range []func(context.Context){f.readLoop, f.hostListLoop, f.heartbeatLoop, f.fetchLoop, f.startLoop} {
		f.goroutines.Go(func() { loop(ctx) })
	}
	<-ctx.Done()
	f.goroutines.Wait()
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil
	}
	return fmt.Errorf("run the fleet: %w", ctx.Err())
}

// notify wakes the loop that receives from the channel. It does not block: one pending
// element is enough.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// waitUntil waits until the given time, for an element of wake or for the end of ctx. It
// returns false if ctx ended.
func waitUntil(ctx context.Context, until time.Time, wake <-chan struct{}) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-wake:
		return true
	case <-ctx.Done():
		return false
	}
}
