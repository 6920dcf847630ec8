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
	"slices"
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
	member   *member.Member
	spread   *spread.Spread
	reads    *spread.Reads
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
		reads:    spread.NewReads(settings.Self.Host, random),
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

// Ready tells whether the balancer is to send callers here.
func (f *Fleet) Ready() bool { return f.NotReady() == nil }

// NotReady tells why the balancer is to send no callers here; nil when it is
// to send them: the start is over, no stop has begun, no newer incarnation
// stands at this position, and the position is on the roster and its data
// centre in service.
func (f *Fleet) NotReady() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return errors.New("this host is stopping")
	}
	if !f.ready {
		return fmt.Errorf("no configuration is in force yet; expected the key %s at the platform, or a peer that has it", f.key)
	}
	if newer, superseded := f.member.Superseded(); superseded {
		return fmt.Errorf("this process was replaced by %s; stop it", newer)
	}
	if !f.onRoster() {
		return fmt.Errorf("the roster of revision %d has no position %s; correct the host's name, or add the position",
			f.config.Revision, f.settings.Self.Host)
	}
	if !f.inService() {
		return errors.New("the data centre of this host is out of service")
	}
	return nil
}

func (f *Fleet) onRoster() bool {
	return slices.ContainsFunc(f.config.Hosts, func(host core.Host) bool { return host.Name == f.settings.Self.Host })
}

func (f *Fleet) inService() bool {
	for _, host := range f.config.Hosts {
		if host.Name != f.settings.Self.Host {
			continue
		}
		centre, ok := f.config.DataCentre(host.DataCentre)
		return !ok || centre.InService
	}
	return true
}

// Self gives this host's own identity.
func (f *Fleet) Self() core.HostID { return f.settings.Self }

// Started is closed when the start is over.
func (f *Fleet) Started() <-chan struct{} { return f.readyAt }

// Current tells whether the view of the fleet may be dispatched from. It is
// false in a process that slept, until it has asked its peers again or found
// that none answers. A partition does not make it false.
func (f *Fleet) Current(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.viewDeadline)
}

// ViewUntil gives the time until which engine orders may be given from this
// host's view: a few intervals after the service last answered, or after more
// than half of a round's heartbeats were answered.
func (f *Fleet) ViewUntil() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.viewUntil
}

// confirmView is called with mu held.
func (f *Fleet) confirmView(now time.Time) { f.viewUntil = now.Add(_orderIntervals * f.interval) }

// extendView is called with mu held.
func (f *Fleet) extendView(now time.Time) {
	f.viewDeadline = now.Add(max(_viewTerm, time.Duration(_viewIntervals*float64(f.interval))))
}

// Config gives the configuration in force.
func (f *Fleet) Config() core.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// Revision gives the stamp of the configuration in force.
func (f *Fleet) Revision() (core.Revision, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied.Revision, f.applied.Digest
}

// Peer gives the client for a host by the roster, or else by the platform's
// list or by what a seed answered.
func (f *Fleet) Peer(host core.HostName) (wire.Peer, bool) {
	f.mu.Lock()
	address, ok := f.address(host)
	f.mu.Unlock()
	if !ok {
		return nil, false
	}
	return f.settings.Dial(address), true
}

// address is called with mu held.
func (f *Fleet) address(host core.HostName) (string, bool) {
	for _, known := range f.config.Hosts {
		if known.Name == host && known.PeerAddress != "" {
			return known.PeerAddress, true
		}
	}
	if address, ok := f.listed[host]; ok {
		return address, true
	}
	address, ok := f.learned[host]
	return address, ok
}

// Known gives the newest incarnation seen of a host.
func (f *Fleet) Known(host core.HostName) (core.HostID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if host == f.settings.Self.Host {
		return f.settings.Self, true
	}
	return f.member.Known(host)
}

// Holder gives who holds the order ledger of a host's incarnation: the host
// itself while no move is known.
func (f *Fleet) Holder(of core.HostID) core.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.member.Holder(of)
}

// Ask gives at most count hosts to ask for something, best first.
func (f *Fleet) Ask(count int) []core.HostName {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.member.Ask(count)
}

// HostStatus is one other host as this one sees it.
type HostStatus struct {
	Name     core.HostName
	Standing string
	Draining bool
}

// Status gives the other hosts for /statusz, in name order.
func (f *Fleet) Status() []HostStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	var status []HostStatus
	for _, name := range f.member.Hosts() {
		status = append(status, HostStatus{
			Name:     name,
			Standing: f.member.Standing(name).String(),
			Draining: f.member.Draining(name),
		})
	}
	return status
}

// offer hands a bundle to the spread and puts it in force when accepted.
func (f *Fleet) offer(source string, decide func() spread.Decision) {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	decision := decide()
	f.mu.Unlock()
	switch decision.Verdict {
	case spread.VerdictAccepted:
		f.apply(source, decision)
	case spread.VerdictRejected:
		f.log.Info("Rejected a revision. The last good one stays.",
			"Revision", decision.Stamp.Revision, "Source", source, "Cause", decision.Err.Error())
		f.audit(core.AuditRevisionRejected, decision.Stamp.Revision, source, decision.Err.Error())
	case spread.VerdictConflict:
		if decision.News {
			f.alarmConflict(source, decision.Stamp.Revision)
		}
	default:
	}
}

func (f *Fleet) alarmConflict(source string, revision core.Revision) {
	f.log.Info("Two contents have one revision number. The first stays. Publish a higher revision.",
		"Revision", revision, "Source", source)
	f.audit(core.AuditRevisionConflict, revision, source,
		"another content has this number; publish a higher revision")
}

// apply is called with applying held. Peers are told only after the callback
// has returned, because an acknowledged revision is one in force.
func (f *Fleet) apply(source string, decision spread.Decision) {
	config := decision.Config
	f.mu.Lock()
	before := f.config
	f.config = config
	f.member.SetRoster(config.Hosts)
	f.member.SetTerms(config.Limits.HeartbeatInterval, config.Limits.TicketTerm)
	if config.Limits.HeartbeatInterval > 0 {
		f.interval = config.Limits.HeartbeatInterval
	}
	addresses := f.addresses()
	f.mu.Unlock()
	if f.settings.Callbacks.Apply != nil {
		f.settings.Callbacks.Apply(config)
	}
	f.mu.Lock()
	f.applied = decision.Stamp
	f.member.SetSelf(decision.Stamp.Revision, f.draining)
	known := f.member.Acknowledgements()
	f.mu.Unlock()
	// Peers that were ahead have acknowledged this revision already.
	f.tell(member.Change{Acknowledged: known})
	if f.settings.Callbacks.KeepPeers != nil {
		f.settings.Callbacks.KeepPeers(addresses)
	}
	if f.settings.Callbacks.SetReads != nil {
		f.settings.Callbacks.SetReads(spread.Share(len(config.Hosts), config.Limits.ServiceReads))
	}
	f.auditAccepted(source, before, config)
	poke(f.kick)
}

func (f *Fleet) auditAccepted(source string, before, config core.Config) {
	f.log.Info("Put a revision in force.", "Revision", config.Revision, "Source", source)
	f.audit(core.AuditRevisionAccepted, config.Revision, source, "valid, and higher than the one before")
	for _, centre := range config.DataCentres {
		was, known := before.DataCentre(centre.Name)
		if known && was.InService == centre.InService {
			continue
		}
		switch {
		case !centre.InService:
			f.audit(core.AuditDataCentreOut, config.Revision, string(centre.Name), source)
		case known:
			f.audit(core.AuditDataCentreIn, config.Revision, string(centre.Name), source)
		}
	}
}

// addresses is called with mu held.
func (f *Fleet) addresses() []string {
	var addresses []string
	for _, name := range f.member.Hosts() {
		if address, ok := f.address(name); ok {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func (f *Fleet) audit(kind core.AuditKind, revision core.Revision, subject, cause string) {
	if f.settings.Auditor == nil {
		return
	}
	f.settings.Auditor.Record(core.AuditEvent{
		Time: time.Now(), Host: f.settings.Self, Kind: kind, Revision: revision, Subject: subject, Cause: cause,
	})
}

// auditNow records an event under the revision in force.
func (f *Fleet) auditNow(kind core.AuditKind, subject, cause string) {
	revision, _ := f.Revision()
	f.audit(kind, revision, subject, cause)
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
