// Package fleet runs the membership of one entry host: it reads the platform,
// exchanges heartbeats, fetches revisions from peers, puts accepted ones in
// force, and leads the host through its start and its planned stop.
//
// The decisions are in core/procs/member, core/procs/spread, core/procs/fence
// and core/procs/drain. This package holds the goroutines and timers.
//
// Lock order: applying before mu. Callbacks run without mu.
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
	"apricotproxy/core/procs/member"
	"apricotproxy/core/procs/spread"
	"apricotproxy/io/wire"
)

const (
	_defaultInterval = time.Second
	_seedStream      = 0x666c656574
	// Heartbeats in flight at once, as a multiple of the fanout.
	_beatsInFlight = 4 * member.DefaultFanout
	// A process that has not sent heartbeats for longer is taken to have slept.
	// It is below the 3 s within which a data centre that is out gets no more
	// work: a revision can be no older than this to a process that dispatches.
	_viewTerm = 2500 * time.Millisecond
	// The same in intervals, where those are long.
	_viewIntervals = 2.5
	// Intervals for which engine orders may be given after the view was
	// confirmed.
	_orderIntervals = 4
)

// Callbacks tell the rest of the host what the fleet learned. Nil ones are
// left out. They are called without any lock of the fleet.
type Callbacks struct {
	// Apply puts an accepted revision in force. It has returned before any
	// peer is told that the revision is in force here. Calls come one at a
	// time and in rising order.
	Apply func(core.Config)
	// Acknowledged tells that a host has a revision in force.
	Acknowledged func(core.HostID, core.Revision)
	// Superseded tells of a newer incarnation at this host's own position;
	// the host stops admitting.
	Superseded func(core.HostID)
	// Restore takes a peer's snapshot at the start.
	Restore func([]byte) error
	// Running counts the requests in progress.
	Running func() int
	// KeepPeers gets the addresses of the hosts that may still be called.
	KeepPeers func(addresses []string)
	// SetReads gets this host's share of the read budget, in calls a second.
	SetReads func(reads float64)
}

// Settings are what a Fleet needs.
type Settings struct {
	Self core.HostID
	Site core.SiteName
	// Seeds are addresses of peers to ask at the start when the platform's
	// host list cannot be read.
	Seeds   []string
	Service core.ConfigService
	List    core.HostList
	// Dial gives the client for a peer's address, as peers.Pool.At does.
	Dial      func(address string) wire.Peer
	Parse     func(core.Bundle) (core.Config, error)
	Callbacks Callbacks
	Auditor   core.Auditor
	Logger    logr.Logger
	// Seed makes the choice of peers and the jitter repeatable.
	Seed     uint64
	Switches Switches
}

// Switches turn safeguards off, so that tests can show that the assertions
// behind them notice. Nothing but a test sets them.
type Switches struct {
	Spread spread.Switches
	// SkipDrain makes Drain return at once, with work still running.
	SkipDrain bool
	// SkipSnapshot makes a host start without a peer's snapshot, so that a
	// measurement can tell what it is worth.
	SkipSnapshot bool
}

// Fleet is the membership of one entry host.
type Fleet struct {
	settings Settings
	log      logr.Logger
	key      string

	// applying orders the callbacks of accepted revisions.
	applying sync.Mutex

	mu       sync.Mutex
	member   *member.Membership
	spread   *spread.Spread
	reads    *spread.ReadPlanner
	random   *rand.Rand
	config   core.Config
	applied  spread.Stamp
	listed   map[core.HostName]string
	learned  map[core.HostName]string
	ready    bool
	draining bool
	// viewDeadline is when the view of the fleet is too old to dispatch from
	// without asking first; see Current.
	viewDeadline time.Time
	// viewUntil is when the view is too old to give engine orders from; see
	// ViewUntil.
	viewUntil time.Time
	asked     int // heartbeats of the present round
	answered  int
	interval  time.Duration
	inFlight  map[core.HostName]bool // hosts that a heartbeat is under way to

	beats    chan struct{} // permits of heartbeats in flight
	kick     chan struct{} // asks for a round of heartbeats now
	fetching chan struct{} // asks for a look at what there is to fetch
	readyAt  chan struct{} // closed when the host is ready
	work     sync.WaitGroup
}

// New builds a fleet. It starts nothing; call Run.
func New(settings Settings) *Fleet {
	if settings.Logger.GetSink() == nil {
		settings.Logger = logr.Discard()
	}
	source := rand.NewPCG(settings.Seed, _seedStream)
	random := rand.New(source)
	return &Fleet{
		settings: settings,
		log:      settings.Logger.WithName("fleet"),
		key:      "apricotproxy/" + string(settings.Site),
		member:   member.New(member.Settings{Self: settings.Self, Interval: _defaultInterval}, random),
		spread: spread.New(spread.Settings{
			Self:     settings.Self.Host,
			Parse:    settings.Parse,
			Switches: settings.Switches.Spread,
		}, random),
		reads:    spread.NewReadPlanner(settings.Self.Host, random),
		random:   random,
		listed:   make(map[core.HostName]string),
		learned:  make(map[core.HostName]string),
		interval: _defaultInterval,
		inFlight: make(map[core.HostName]bool),
		beats:    make(chan struct{}, _beatsInFlight),
		kick:     make(chan struct{}, 1),
		fetching: make(chan struct{}, 1),
		readyAt:  make(chan struct{}),
	}
}

// Run works until ctx ends, and returns when all its goroutines have.
func (f *Fleet) Run(ctx context.Context) error {
	now := time.Now()
	f.mu.Lock()
	f.spread.Begin(now)
	f.extendView(now)
	f.mu.Unlock()
	for _, loop := range []func(context.Context){f.readLoop, f.listLoop, f.beatLoop, f.fetchLoop, f.startLoop} {
		f.work.Go(func() { loop(ctx) })
	}
	<-ctx.Done()
	f.work.Wait()
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil
	}
	return fmt.Errorf("run the fleet: %w", ctx.Err())
}

// poke asks a loop for a turn; one pending turn is enough.
func poke(loop chan struct{}) {
	select {
	case loop <- struct{}{}:
	default:
	}
}

// sleep waits until a time, or for a poke, or for the end of ctx. It reports
// false at the end.
func sleep(ctx context.Context, until time.Time, wake <-chan struct{}) bool {
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
