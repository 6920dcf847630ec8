// Package decide implements core.Decider for one entry host. It combines slot
// limits, endpoint views, admission, routing, queueing and retries.
package decide

import (
	"math/rand/v2"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/budget"
	"apricotproxy/core/procs/length"
	"apricotproxy/core/procs/queue"
	"apricotproxy/core/procs/slots"
	"apricotproxy/core/procs/view"
	"apricotproxy/core/versn/owner"
)

// Options configures a Decider.
type Options struct {
	Policy core.RoutePolicy
	Random *rand.Rand
	// Switches turns safeguards off. Only tests set it.
	Switches slots.Switches
	// Roles, if set, sends short and long requests to separate endpoints.
	Roles RolePlan
}

// Decider implements core.Decider. The slices of the Actions that it returns
// are valid until the next call of one of its methods.
type Decider struct {
	self     core.HostID
	policy   core.RoutePolicy
	random   *rand.Rand
	switches slots.Switches
	roles    RolePlan

	config          core.Config
	applied         bool
	owners          owner.Table
	localDataCentre core.DataCentreName
	terms           slots.Terms
	viewParams      view.Params

	endpoints  []*endpoint // in the order of the configuration
	byName     map[core.EndpointName]*endpoint
	services   []*service // in the order of the configuration
	byService  map[core.ServiceName]*service
	workspaces map[core.WorkspaceName]core.Workspace
	// leased lists the endpoints of which this host holds borrowed slots.
	leased []*endpoint
	// awaitingRelease lists the endpoints with slots that this host gained by a
	// revision and that their previous owners have not released.
	awaitingRelease []*endpoint

	requests     map[core.RequestID]*request
	freeRequests *request
	delayed      []*request // retries whose pause is not over
	waiting      int
	running      int
	returns      []pendingReturn
	lengths      *length.Estimator
	hints        *view.Hints[*endpoint]
	// provenWarm holds the incarnations of warm endpoints from a snapshot, which
	// may be restored before the first revision is applied.
	provenWarm map[core.EndpointName]core.Incarnation
	budget     *budget.Budget

	peers           map[core.HostName]peer
	configuredHosts map[core.HostName]bool
	removedHosts    map[core.HostName]bool // removed from the configuration while this process ran
	settled         core.Revision          // highest revision that every host has acknowledged
	draining        bool
	superseded      bool

	actions core.Actions
	demand  core.Demand
}

// service is a configured service with the endpoints that this host uses and the
// requests that wait for them.
type service struct {
	index  int
	config core.Service
	// candidates[i] describes endpoints[i] to the routing policy.
	endpoints  []*endpoint
	candidates []core.Candidate
	// refreshAt is when a candidate next changes through the passing of time;
	// zero for never.
	refreshAt time.Time
	queue     *queue.Queue[*request]
	// blocked is set for a class whose head could not be placed. It is cleared
	// when a candidate or the head changes.
	blocked [queue.Classes]bool
	// nothingToBorrow is set for a class if the policy found no endpoint on which
	// to borrow a slot for its head. It is cleared together with blocked.
	nothingToBorrow [queue.Classes]bool
	// free counts the free slots, owned and borrowed, that each class may use.
	free  [queue.Classes]int
	rates [queue.Classes]queue.Rate
	// meanRemaining is the moving average of the tokens that a running request is
	// expected to still produce.
	meanRemaining     float64
	pendingBorrowings int
}

// peer is the state of another host as this host knows it.
type peer struct {
	incarnation core.Incarnation
	revision    core.Revision
}

var _ core.Decider = (*Decider)(nil)

// _maxHistograms is the largest number of length histograms of single workspaces.
const _maxHistograms = 1024

// New returns a Decider for one process of a host.
func New(self core.HostID, options Options) *Decider {
	return &Decider{
		self:            self,
		policy:          options.Policy,
		random:          options.Random,
		switches:        options.Switches,
		roles:           options.Roles,
		byName:          make(map[core.EndpointName]*endpoint),
		byService:       make(map[core.ServiceName]*service),
		requests:        make(map[core.RequestID]*request),
		lengths:         length.New(_maxHistograms),
		hints:           view.NewHints[*endpoint](),
		provenWarm:      make(map[core.EndpointName]core.Incarnation),
		budget:          budget.New(0),
		peers:           make(map[core.HostName]peer),
		configuredHosts: make(map[core.HostName]bool),
		removedHosts:    make(map[core.HostName]bool),
	}
}

// begin starts a call: it clears the actions and handles what is due.
func (d *Decider) begin(now time.Time) {
	d.actions = core.Actions{
		Placements:   d.actions.Placements[:0],
		Refusals:     d.actions.Refusals[:0],
		SlotRequests: d.actions.SlotRequests[:0],
		LeaseReturns: d.actions.LeaseReturns[:0],
	}
	d.expire(now)
}

// finish ends a call: it places waiting requests, borrows slots and returns idle
// leases.
func (d *Decider) finish(now time.Time) core.Actions {
	d.placeWaiting(now)
	d.borrow(now)
	d.returnIdleLeases(now)
	d.actions.WakeAt = d.wakeAt()
	return d.actions
}

// Tick handles what is due: deadlines that have passed, and retries.
func (d *Decider) Tick(now time.Time) core.Actions {
	d.begin(now)
	return d.finish(now)
}

// Drain stops admission: waiting requests are refused and idle leases returned.
func (d *Decider) Drain(now time.Time) core.Actions {
	d.draining = true
	d.begin(now)
	return d.finish(now)
}

// wakeAt returns the earliest time at which something is due; zero for none.
func (d *Decider) wakeAt() time.Time {
	var at time.Time
	for _, s := range d.services {
		if s.queue.Len() == 0 {
			continue
		}
		at = earlier(at, s.queue.NextDeadline())
		at = earlier(at, s.refreshAt)
	}
	for _, r := range d.delayed {
		at = earlier(at, r.notBefore)
	}
	for _, p := range d.returns {
		at = earlier(at, p.nextSendAt)
	}
	for _, e := range d.leased {
		at = earlier(at, e.pool.NextExpiry())
	}
	for _, e := range d.awaitingRelease {
		at = earlier(at, e.nextReleaseRequestAt)
	}
	return at
}

// earlier returns the earlier of two times, where zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// RoutesTo reports whether an endpoint is in the subset that this host uses.
func (d *Decider) RoutesTo(name core.EndpointName) bool {
	e := d.byName[name]
	return e != nil && d.owners.IsAssigned(e.index, d.self.Host)
}

// Status returns the figures for /statusz.
func (d *Decider) Status(now time.Time) core.DeciderStatus {
	status := core.DeciderStatus{Waiting: d.waiting, Running: d.running}
	for _, e := range d.endpoints {
		counts := e.pool.Counts()
		phase := core.PhaseWarm
		if e.view.Cold(now) {
			phase = core.PhaseCold
		}
		status.Endpoints = append(status.Endpoints, core.EndpointStatus{
			Name:       e.config.Name,
			Phase:      phase.String(),
			OwnedSlots: counts.Owned,
			InUse:      counts.InUse,
			Lent:       counts.Lent,
			Borrowed:   counts.Borrowed,
			FreeTokens: e.view.Report.FreeTokens,
			ReportedAt: e.view.Report.AskedAt,
		})
	}
	return status
}
