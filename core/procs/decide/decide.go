// Package decide is the decision core of one entry host: it composes limits,
// views, admission, routing, queueing and retries into a core.Decider.
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

// Options are the parts of a Decider that vary.
type Options struct {
	Policy core.RoutePolicy
	Random *rand.Rand
	// Switches is set by tests only.
	Switches slots.Switches
	// Roles separates short and long requests when set; see RolePlan.
	Roles RolePlan
}

// Decider implements core.Decider. The slices of the Actions that it returns
// are valid until its next method is called.
type Decider struct {
	self     core.HostID
	policy   core.RoutePolicy
	random   *rand.Rand
	switches slots.Switches
	roles    RolePlan

	config    core.Config
	applied   bool
	owners    owner.Table
	home      core.DataCentreName
	terms     slots.Terms
	viewTerms view.Terms

	endpoints  []*endpoint // in the order of the configuration
	byName     map[core.EndpointName]*endpoint
	services   []*service // in the order of the configuration
	byService  map[core.ServiceName]*service
	workspaces map[core.WorkspaceName]core.Workspace
	// leased lists the endpoints with borrowed slots in hand.
	leased []*endpoint
	// gaining lists the endpoints with shut slots to be released by others.
	gaining []*endpoint

	requests map[core.RequestID]*request
	spare    *request
	delayed  []*request // retries that pause
	waiting  int
	running  int
	returns  []pendingReturn
	lengths  *length.Estimates
	hints    *view.Hints[*endpoint]
	// inherited holds the warm incarnations of a snapshot, which may come before
	// the first revision.
	inherited map[core.EndpointName]core.Incarnation
	budget    *budget.Budget

	positions  map[core.HostName]position
	present    map[core.HostName]bool // on the roster
	departed   map[core.HostName]bool // left the roster while this process lived
	settled    core.Revision          // the highest one that every position acknowledged
	draining   bool
	superseded bool

	actions core.Actions
	demand  core.Demand
}

// service is what callers ask for, with the endpoints that this host deals
// with and the requests that wait for them.
type service struct {
	index  int
	config core.Service
	// candidates describes the endpoints at the same positions.
	endpoints  []*endpoint
	candidates []core.Candidate
	// dueAt is when some candidate changes by itself; zero for never.
	dueAt time.Time
	queue *queue.Queue[*request]
	// blocked is set when the head of a class could not be placed, until
	// something changes.
	blocked [queue.Classes]bool
	// unwanted is set when there was no slot to ask other hosts for either.
	unwanted [queue.Classes]bool
	// free sums the slots in hand that each class may take.
	free  [queue.Classes]int
	rates [queue.Classes]queue.Rate
	// residual is the usual remainder of a request in progress, in tokens.
	residual float64
	asking   int
}

// position is what this host knows of a roster position.
type position struct {
	incarnation core.Incarnation
	revision    core.Revision
}

var _ core.Decider = (*Decider)(nil)

// _histogramsAtMost bounds the length histograms of single workspaces.
const _histogramsAtMost = 1024

// New builds the decision core of one life of one host.
func New(self core.HostID, options Options) *Decider {
	return &Decider{
		self:      self,
		policy:    options.Policy,
		random:    options.Random,
		switches:  options.Switches,
		roles:     options.Roles,
		byName:    make(map[core.EndpointName]*endpoint),
		byService: make(map[core.ServiceName]*service),
		requests:  make(map[core.RequestID]*request),
		lengths:   length.New(_histogramsAtMost),
		hints:     view.NewHints[*endpoint](),
		inherited: make(map[core.EndpointName]core.Incarnation),
		budget:    budget.New(0),
		positions: make(map[core.HostName]position),
		present:   make(map[core.HostName]bool),
		departed:  make(map[core.HostName]bool),
	}
}

// begin prepares the actions of a call and does what is due.
func (d *Decider) begin(now time.Time) {
	d.actions = core.Actions{
		Placements: d.actions.Placements[:0],
		Refusals:   d.actions.Refusals[:0],
		Borrowings: d.actions.Borrowings[:0],
		Returnings: d.actions.Returnings[:0],
	}
	d.expire(now)
}

// finish does what every call ends with: placing, borrowing, giving back.
func (d *Decider) finish(now time.Time) core.Actions {
	d.place(now)
	d.borrow(now)
	d.giveBack(now)
	d.actions.WakeAt = d.wakeAt()
	return d.actions
}

// Tick does what is due.
func (d *Decider) Tick(now time.Time) core.Actions {
	d.begin(now)
	return d.finish(now)
}

// Drain stops admission: waiting requests are refused, idle leases go back.
func (d *Decider) Drain(now time.Time) core.Actions {
	d.draining = true
	d.begin(now)
	return d.finish(now)
}

// wakeAt is the earliest time at which something falls due.
func (d *Decider) wakeAt() time.Time {
	var at time.Time
	for _, s := range d.services {
		if s.queue.Len() == 0 {
			continue
		}
		at = earlier(at, s.queue.NextDeadline())
		at = earlier(at, s.dueAt)
	}
	for _, r := range d.delayed {
		at = earlier(at, r.notBefore)
	}
	for _, p := range d.returns {
		at = earlier(at, p.next)
	}
	for _, e := range d.leased {
		at = earlier(at, e.pool.NextExpiry())
	}
	for _, e := range d.gaining {
		at = earlier(at, e.releaseAt)
	}
	return at
}

// earlier gives the earlier of two deadlines, where zero is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// Deals tells whether this host deals with an endpoint.
func (d *Decider) Deals(name core.EndpointName) bool {
	e := d.byName[name]
	return e != nil && d.owners.Deals(e.index, d.self.Host)
}

// Status gives the figures for /statusz.
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
